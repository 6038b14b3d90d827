package view

import (
	"bytes"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const (
	// maxHold limits how long a request is held, whatever the host asks for.
	maxHold = time.Second
	// maxHeld limits the requests that are held at the same time; each of 1,200
	// hosts has one. Further requests get an immediate response, and the hosts
	// then space their requests.
	maxHeld = 4096
	// maxDeltaBytes limits a delta. A host that is further behind gets the whole
	// configuration, which takes 1.5 MB at 28,000 adapters.
	maxDeltaBytes = 1 << 20
)

// Provider supplies the configuration that a Server serves: the state machine of
// a control host, or the View of an entry host that is a relay.
type Provider interface {
	Config() *config.Snapshot
	Changed() <-chan struct{}
	ChangesSince(revision uint64) ([]*apiv1.Change, bool)
	// Age returns the maximum age of the provider's configuration, or
	// math.MaxInt64 when it has none yet.
	Age(now time.Time) time.Duration
}

// Server implements the Sync RPC for any Provider.
type Server struct {
	cluster  string
	provider Provider
	held     atomic.Int64

	mu sync.Mutex
	// full caches the manifest of fullConfig, because creating it sorts all tables.
	fullConfig *config.Snapshot
	full       *apiv1.Manifest
}

// NewServer returns a Server of the provider's configuration.
func NewServer(cluster string, p Provider) *Server {
	return &Server{cluster: cluster, provider: p}
}

// HeldRequests returns the number of requests that are held until a change.
func (s *Server) HeldRequests() int { return int(s.held.Load()) }

// Sync returns the changes after the host's revision. It is a long poll: while
// there are none, the request is held.
func (s *Server) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	received := time.Now()
	if req.GetCluster() != s.cluster {
		return nil, fault.Newf(fault.KindWrongCluster, "correct the address of the source or the cluster name",
			"the request is for cluster %q, this host belongs to %q", req.GetCluster(), s.cluster).At("cluster")
	}
	if err := s.waitForChange(ctx, req); err != nil {
		return nil, err
	}
	return s.respond(req, received)
}

// waitForChange waits until the provider's configuration differs from the
// host's, or until the hold time has passed. It returns at once for a host that
// is ahead or whose digest differs.
func (s *Server) waitForChange(ctx context.Context, req *apiv1.SyncRequest) error {
	defer s.held.Add(-1)
	if s.held.Add(1) > maxHeld {
		return nil
	}
	timer := time.NewTimer(min(time.Duration(req.GetMaxHoldMs())*time.Millisecond, maxHold))
	defer timer.Stop()
	for {
		changed := s.provider.Changed()
		cfg := s.provider.Config()
		if req.GetRevision() != cfg.Revision || !bytes.Equal(req.GetDigest(), cfg.Digest().Bytes()) {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.KindUnavailable, "the request ended while it was held", "send it again")
		}
	}
}

func (s *Server) respond(req *apiv1.SyncRequest, received time.Time) (*apiv1.SyncResponse, error) {
	// The age is read before the configuration, so that the configuration is at
	// least as recent as the age says.
	now := time.Now()
	age := s.provider.Age(now)
	if age > math.MaxUint32*time.Millisecond {
		return nil, fault.New(fault.KindUnavailable, "this host has no configuration yet", "try another source")
	}
	cfg := s.provider.Config()
	resp := &apiv1.SyncResponse{
		Revision: cfg.Revision,
		Digest:   cfg.Digest().Bytes(),
		HeldMs:   uint32(now.Sub(received).Milliseconds()),
		AgeMs:    uint32((age + time.Millisecond - 1).Milliseconds()),
	}
	switch {
	case req.GetRevision() > cfg.Revision:
		// The host is ahead, and will fail over to its next source.
	case req.GetRevision() == cfg.Revision && bytes.Equal(req.GetDigest(), resp.GetDigest()):
	case req.GetRevision() == 0 || req.GetRevision() == cfg.Revision:
		resp.Full = s.manifest(cfg)
	default:
		s.addChanges(resp, req.GetRevision(), cfg)
	}
	return resp, nil
}

// addChanges adds the changes after from to the response, or the whole
// configuration when they are not all available or too large.
func (s *Server) addChanges(resp *apiv1.SyncResponse, from uint64, cfg *config.Snapshot) {
	changes, ok := s.provider.ChangesSince(from)
	size := 0
	for _, c := range changes {
		if c.GetNumber() > cfg.Revision {
			// The provider has accepted more changes since cfg was read.
			break
		}
		size += proto.Size(c)
		resp.Changes = append(resp.Changes, c)
	}
	if !ok || size > maxDeltaBytes || uint64(len(resp.Changes)) != cfg.Revision-from {
		resp.Changes, resp.Full = nil, s.manifest(cfg)
	}
}

func (s *Server) manifest(cfg *config.Snapshot) *apiv1.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fullConfig != cfg {
		s.fullConfig, s.full = cfg, cfg.Manifest()
	}
	return s.full
}
