package control

import (
	"context"
	"math"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

const (
	// freshnessMaxHold is the longest time that the leader may hold the request.
	freshnessMaxHold = 500 * time.Millisecond
	// freshnessTimeout limits one request.
	freshnessTimeout = time.Second
	// freshnessRetryDelay is the wait after a failed request.
	freshnessRetryDelay = 100 * time.Millisecond
)

// freshness tracks the age of a follower's configuration. A follower can't tell
// how long a heartbeat was in transit. It therefore polls the leader, and
// computes the age from the time at which it sent the request.
type freshness struct {
	s *Server

	mu sync.Mutex
	// asOf is a time at which this host's configuration was current at the leader.
	asOf time.Time
}

func newFreshness(s *Server) *freshness { return &freshness{s: s} }

func (f *freshness) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.poll(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(freshnessRetryDelay):
		}
	}
	return nil
}

// poll sends one request to the leader and updates asOf. It reports whether it
// got a response and this host's revision is no older than the response's.
func (f *freshness) poll(ctx context.Context) bool {
	leaderMember := f.s.replica.Leader()
	if leaderMember == nil || f.s.isSelf(leaderMember) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	conf := f.s.machine.Config()
	sent := time.Now()
	resp, err := f.s.endpoint(leaderMember.GetAddress()).Config.Sync(ctx, &apiv1.SyncRequest{
		Cluster:   f.s.opts.Cluster,
		Host:      f.s.opts.Self.GetHost(),
		Revision:  conf.Revision,
		Digest:    conf.Digest().Bytes(),
		MaxHoldMs: uint32(freshnessMaxHold.Milliseconds()),
	})
	if err != nil || f.s.machine.Config().Revision < resp.GetRevision() {
		return false
	}
	// A hold time longer than the whole exchange would put asOf into the future.
	held := min(time.Duration(resp.GetHeldMs())*time.Millisecond, time.Since(sent))
	at := sent.Add(held - time.Duration(resp.GetAgeMs())*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.asOf) {
		f.asOf = at
	}
	return true
}

func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(f.asOf))
}

// Config returns the configuration in force.
func (s *Server) Config() *config.Snapshot { return s.machine.Config() }

// Changed returns a channel that is closed at the next change of the
// configuration.
func (s *Server) Changed() <-chan struct{} { return s.machine.Changed() }

// ChangesSince returns the changes after the revision, or false when they are
// no longer stored.
func (s *Server) ChangesSince(revision uint64) ([]*apiv1.Change, bool) {
	return s.machine.ChangesSince(revision)
}

// Age returns the maximum age of the configuration, which is 0 while this host
// holds the leader lease.
func (s *Server) Age(now time.Time) time.Duration {
	if s.replica.Lease().Held {
		return 0
	}
	return s.freshness.age(now)
}
