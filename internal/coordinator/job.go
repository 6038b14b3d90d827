package coordinator

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// orderTimeout limits one order. An order without a response by then may still
	// be carried out later.
	orderTimeout = 80 * time.Millisecond
	// jobTimeout limits all orders of one load.
	jobTimeout = 3 * time.Second
	// blockedWait is how long a job waits for an engine that cannot take an order,
	// unless another order or report is answered first.
	blockedWait = 50 * time.Millisecond
)

type jobKey struct {
	instance string
	ref      residency.Ref
}

// job is the sequence of orders that loads one adapter or model at one engine.
// Several requests may wait for it.
type job struct {
	done chan struct{}
	// resident is true when the engine has it loaded or is loading it. It is
	// written before done is closed.
	resident bool
}

// startJob starts a job, or returns the running one. The caller holds mu.
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
	j.resident = l.orderUntilResident(ctx, key, reason)
	now := l.c.opts.Now()
	l.mu.Lock()
	delete(l.jobs, key)
	blocked := l.table.BlockedReason(key.instance, now)
	l.mu.Unlock()
	if !j.resident {
		l.log.Info().Str("event", "load_given_up").Str("engine", key.instance).Str("copy", key.ref.String()).
			Str("engine_waits", blocked).Str("reason", reason).Dur("took", now.Sub(began)).Msg("load given up, no order for it was accepted")
	}
	close(j.done)
}

// orderUntilResident sends orders until the engine has the adapter loaded or is
// loading it. It reports whether that was reached.
func (l *leader) orderUntilResident(ctx context.Context, key jobKey, reason string) bool {
	for ctx.Err() == nil {
		l.mu.Lock()
		order, status := l.table.Next(key.instance, key.ref, l.c.opts.Now())
		progress := l.progress
		l.mu.Unlock()
		switch status {
		case residency.NextFinished:
			return true
		case residency.NextImpossible:
			return false
		case residency.NextLater:
			wait(ctx, progress, blockedWait)
		case residency.NextSend:
			l.order(ctx, order, reason)
		}
	}
	return false
}

// order has the holder send one order, if the lease is still held, and records its
// outcome.
func (l *leader) order(ctx context.Context, o residency.Order, reason string) {
	began := l.c.opts.Now()
	result := residency.Result{Outcome: residency.Conflict}
	l.mu.Lock()
	h, ready := l.holderOf(o.Instance)
	l.mu.Unlock()
	lease := l.c.opts.Log.Lease()
	if ready && lease.Held && lease.Term == l.term {
		result = l.execute(ctx, h, o)
	}
	now := l.c.opts.Now()
	l.mu.Lock()
	l.table.RecordOutcome(o, result.Outcome, now)
	l.table.SetQuiet(o.Instance, result.Quiet, now)
	l.signalProgress()
	l.mu.Unlock()
	l.c.metrics.order(result.Outcome)
	l.log.Info().Str("event", "order").Str("engine", o.Instance).Str("copy", o.Ref.String()).Bool("unload", o.Unload).
		Uint64("version", o.Version).Uint64("expect", o.Expect).Str("holder", h.GetHolder()).Uint64("fence", h.GetFence()).
		Str("outcome", result.Outcome.String()).Str("reason", reason).Dur("took", now.Sub(began)).Msg("order answered")
}

// wait returns on the signal, after the limit or when the context ends.
func wait(ctx context.Context, signal <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-t.C:
	}
}
