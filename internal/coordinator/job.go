package coordinator

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// orderTimeout bounds one order. An order without an answer by then is
	// treated as one that may be carried out late.
	orderTimeout = 80 * time.Millisecond
	// jobTimeout bounds all orders of one load.
	jobTimeout = 3 * time.Second
	// laterPause is how long a job waits for an engine that cannot take an order,
	// unless another order or report is answered before.
	laterPause = 50 * time.Millisecond
)

type jobKey struct {
	instance string
	ref      residency.Ref
}

// job is the orders that lead to one copy at one engine. Several requests may
// wait for it.
type job struct {
	done chan struct{}
	// ok is true when the engine holds the copy or is loading it. It is written
	// before done is closed.
	ok bool
}

// startJob starts a job or returns the one that runs. The caller holds mu.
func (l *leader) startJob(key jobKey, reason string) *job {
	if j := l.jobs[key]; j != nil {
		return j
	}
	j := &job{done: make(chan struct{})}
	l.jobs[key] = j
	if l.stopped {
		close(j.done)
		return j
	}
	l.background(func() { l.runJob(key, j, reason) })
	return j
}

func (l *leader) runJob(key jobKey, j *job, reason string) {
	ctx, cancel := context.WithTimeout(l.ctx, jobTimeout)
	defer cancel()
	began := l.c.opts.Now()
	j.ok = l.orderUntilHeld(ctx, key, reason)
	now := l.c.opts.Now()
	l.mu.Lock()
	delete(l.jobs, key)
	waits := l.table.BlockedReason(key.instance, now)
	l.mu.Unlock()
	if !j.ok {
		l.log.Info().Str("event", "load_given_up").Str("engine", key.instance).Str("copy", key.ref.String()).
			Str("engine_waits", waits).Str("reason", reason).Dur("took", now.Sub(began)).Msg("no order towards the load was accepted")
	}
	close(j.done)
}

func (l *leader) orderUntilHeld(ctx context.Context, key jobKey, reason string) bool {
	for ctx.Err() == nil {
		l.mu.Lock()
		order, verdict := l.table.Next(key.instance, key.ref, l.c.opts.Now())
		answered := l.answered
		l.mu.Unlock()
		switch verdict {
		case residency.Finished:
			return true
		case residency.Impossible:
			return false
		case residency.Later:
			wait(ctx, answered, laterPause)
		case residency.Send:
			l.order(ctx, order, reason)
		}
	}
	return false
}

// order has one order given, if the lease is still held, and books its outcome.
func (l *leader) order(ctx context.Context, o residency.Order, reason string) {
	began := l.c.opts.Now()
	outcome := residency.Conflict
	l.mu.Lock()
	h, ready := l.holderOf(o.Instance)
	l.mu.Unlock()
	lease := l.c.opts.Log.Lease()
	if ready && lease.Held && lease.Term == l.term {
		outcome = l.execute(ctx, h, o)
	}
	now := l.c.opts.Now()
	l.mu.Lock()
	l.table.RecordOutcome(o, outcome, now)
	l.wake()
	l.mu.Unlock()
	l.c.metrics.order(outcome)
	l.log.Info().Str("event", "order").Str("engine", o.Instance).Str("copy", o.Ref.String()).Bool("unload", o.Unload).
		Uint64("version", o.Version).Uint64("expect", o.Expect).Str("holder", h.GetHolder()).Uint64("fence", h.GetFence()).
		Str("outcome", outcome.String()).Str("reason", reason).Dur("took", now.Sub(began)).Msg("order answered")
}

func wait(ctx context.Context, signal <-chan struct{}, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-t.C:
	}
}
