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
	// maxHold bounds how long a request is held, whatever the host asks for.
	maxHold = time.Second
	// maxHeld bounds the requests held at once. Each of 1,200 hosts holds one.
	// Beyond it requests are answered at once, and the hosts space their requests.
	maxHeld = 4096
	// maxDeltaBytes bounds a delta. Behind by more, a host gets the whole
	// configuration, which takes 1.5 MB at 28,000 adapters.
	maxDeltaBytes = 1 << 20
)

// Provider is what a Server serves: the state machine on a control host, or
// the View of an entry host that relays.
type Provider interface {
	Config() *config.Snapshot
	Changed() <-chan struct{}
	ChangesSince(revision uint64) ([]*apiv1.Change, bool)
	// Age is how old the provider's view may be, math.MaxInt64 without one.
	Age(now time.Time) time.Duration
}

// Server answers Sync for any Provider.
type Server struct {
	cluster  string
	provider Provider
	held     atomic.Int64

	mu sync.Mutex
	// full caches the manifest of one snapshot, which costs a sort of all tables.
	fullOf *config.Snapshot
	full   *apiv1.Manifest
}

// NewServer returns a server of the provider's configuration.
func NewServer(cluster string, p Provider) *Server {
	return &Server{cluster: cluster, provider: p}
}

// Held returns the number of requests that wait for a change.
func (s *Server) Held() int { return int(s.held.Load()) }

// Sync returns what follows the host's revision, and holds the request while
// nothing does.
func (s *Server) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	received := time.Now()
	if req.GetCluster() != s.cluster {
		return nil, fault.Newf(fault.KindWrongCluster, "correct the address of the source or the cluster name",
			"the request is for cluster %q, this is %q", req.GetCluster(), s.cluster).At("cluster")
	}
	if err := s.hold(ctx, req); err != nil {
		return nil, err
	}
	return s.answer(req, received)
}

// hold waits until the provider has something that the host lacks, or until
// the hold time has passed. A host that is ahead or has other content is
// answered at once.
func (s *Server) hold(ctx context.Context, req *apiv1.SyncRequest) error {
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

func (s *Server) answer(req *apiv1.SyncRequest, received time.Time) (*apiv1.SyncResponse, error) {
	// The age is taken before the content, so that the content is at least as
	// new as the age says.
	now := time.Now()
	age := s.provider.Age(now)
	if age > math.MaxUint32*time.Millisecond {
		return nil, fault.New(fault.KindUnavailable, "this host has no configuration yet", "ask another source")
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
		// The host is ahead. It skips this source.
	case req.GetRevision() == cfg.Revision && bytes.Equal(req.GetDigest(), resp.GetDigest()):
	case req.GetRevision() == 0 || req.GetRevision() == cfg.Revision:
		resp.Full = s.manifest(cfg)
	default:
		s.fill(resp, req.GetRevision(), cfg)
	}
	return resp, nil
}

// fill adds the delta, or the whole configuration when there is none.
func (s *Server) fill(resp *apiv1.SyncResponse, from uint64, cfg *config.Snapshot) {
	changes, ok := s.provider.ChangesSince(from)
	size := 0
	for _, c := range changes {
		if c.GetNumber() > cfg.Revision {
			// The provider has moved on since cfg was read.
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
	if s.fullOf != cfg {
		s.fullOf, s.full = cfg, cfg.Manifest()
	}
	return s.full
}
