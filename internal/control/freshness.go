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
	// freshnessHold is how long the leader may hold the question.
	freshnessHold = 500 * time.Millisecond
	// freshnessTimeout bounds one question.
	freshnessTimeout = time.Second
	// freshnessPause is the wait after a question without an answer.
	freshnessPause = 100 * time.Millisecond
)

// freshness dates a follower's configuration. A follower can't tell how long a
// heartbeat was under way, so that it asks the leader and counts from the time
// at which it sent the question.
type freshness struct {
	s *Server

	mu      sync.Mutex
	freshAt time.Time
}

func newFreshness(s *Server) *freshness { return &freshness{s: s} }

func (f *freshness) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.ask(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(freshnessPause):
		}
	}
	return nil
}

// ask sends one question to the leader and returns whether it was answered.
func (f *freshness) ask(ctx context.Context) bool {
	to := f.s.replica.Leader()
	if to == nil || f.s.isSelf(to) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	conf := f.s.machine.Config()
	sent := time.Now()
	resp, err := f.s.endpoint(to.GetAddress()).Config.Sync(ctx, &apiv1.SyncRequest{
		Cluster:   f.s.opts.Cluster,
		Host:      f.s.opts.Self.GetHost(),
		Revision:  conf.Revision,
		Digest:    conf.Digest().Bytes(),
		MaxHoldMs: uint32(freshnessHold.Milliseconds()),
	})
	if err != nil || f.s.machine.Config().Revision < resp.GetRevision() {
		return false
	}
	// A hold longer than the whole question would date the answer in the future.
	held := min(time.Duration(resp.GetHeldMs())*time.Millisecond, time.Since(sent))
	at := sent.Add(held - time.Duration(resp.GetAgeMs())*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.freshAt) {
		f.freshAt = at
	}
	return true
}

func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(f.freshAt))
}

// Config returns the configuration in force.
func (s *Server) Config() *config.Snapshot { return s.machine.Config() }

// Changed returns a channel that is closed at the next change.
func (s *Server) Changed() <-chan struct{} { return s.machine.Changed() }

// ChangesSince returns the changes after the revision, or false when they are
// no longer kept.
func (s *Server) ChangesSince(revision uint64) ([]*apiv1.Change, bool) {
	return s.machine.ChangesSince(revision)
}

// Age returns how old the configuration may be. It is 0 while the leader lease
// is held.
func (s *Server) Age(now time.Time) time.Duration {
	if s.replica.Lease().Held {
		return 0
	}
	return s.freshness.age(now)
}
