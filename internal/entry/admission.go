package entry

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// waitBound returns the longest wait of a class.
func (s *Server) waitBound(class fairqueue.Class) time.Duration {
	if class == fairqueue.Batch {
		return s.limits.BatchWait
	}
	return s.limits.InteractiveWait
}

// firstByte returns the bound on the time to the first byte of the answer,
// counted from the start of the request.
func (s *Server) firstByte(w *work) time.Duration {
	if ms := w.x.route.GetTimeoutMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if w.class == fairqueue.Batch {
		return s.limits.BatchFirstByte
	}
	return s.limits.InteractiveFirstByte
}

// admit reserves the tokens of a request and queues it. It returns when the
// request has a share on a backend server. The caller must call finish whatever
// admit returns.
func (s *Server) admit(ctx context.Context, w *work) error {
	now := s.now()
	w.enqueued = now
	w.deadline = now.Add(min(s.waitBound(w.class), s.firstByte(w)))
	s.mu.Lock()
	s.d.arrived(w)
	e := s.d.submit(w, now)
	if e == nil {
		s.d.pump(now)
	}
	s.mu.Unlock()
	if e != nil {
		s.countRefusal(w, e)
		return e
	}
	return s.await(ctx, w)
}

// await waits until the request has a share, is refused or is given up.
func (s *Server) await(ctx context.Context, w *work) error {
	select {
	case <-w.granted:
	case <-ctx.Done():
		return ended(ctx, fault.NotRun)
	}
	// The dispatch lock orders this read after the write of the grant.
	s.mu.Lock()
	refusal, sh, stalled := w.refusal, w.share, w.stalled
	s.mu.Unlock()
	if refusal != nil {
		s.countRefusal(w, refusal)
		return refusal
	}
	waited := s.now().Sub(w.enqueued)
	s.metrics.waited(w.x.team, waited)
	if stalled {
		s.metrics.stalls.Add(1)
		s.metrics.stallMs.Add(waited.Milliseconds())
	}
	w.x.backend = sh.server
	s.decide(w.x, stepDispatch, w.reason, w.considered)
	return nil
}

func (s *Server) countRefusal(w *work, e *fault.Error) {
	s.metrics.waited(w.x.team, s.now().Sub(w.enqueued))
	s.metrics.refused(w.x.team, e.Kind)
}

// requeue returns the request's share and puts the request back into the queue,
// without the backend servers that it was tried on.
func (s *Server) requeue(ctx context.Context, w *work) error {
	now := s.now()
	s.mu.Lock()
	s.d.giveBack(w.share)
	w.share = nil
	e := s.d.enqueue(w, now)
	s.d.pump(now)
	s.mu.Unlock()
	if e != nil {
		return e
	}
	return s.await(ctx, w)
}

// finish returns everything that a request holds: its place in the queue, its
// share of a backend server and its reservation. It is the only place that
// settles a reservation, and it runs once for each admitted request.
func (s *Server) finish(w *work) {
	now := s.now()
	s.mu.Lock()
	s.d.leaveQueues(w)
	if w.share != nil {
		s.d.giveBack(w.share)
		w.share = nil
		s.d.pump(now)
	}
	w.state = workEnded
	reserved := w.reserved
	w.reserved = false
	s.mu.Unlock()
	if reserved {
		s.opts.Account.Settle(w.reservation, w.used, now)
		s.metrics.tokens.Add(s.metrics.team(w.x.team), int64(w.used))
	}
}

// submit reserves the request's tokens and queues it, or lets it wait for
// tokens.
func (d *dispatch) submit(w *work, now time.Time) *fault.Error {
	if w.x.team == "" || w.tokens == 0 {
		return d.enqueue(w, now)
	}
	team, _ := d.cfg.Team(w.x.team)
	if burst := team.GetRate().GetBurstTokens(); w.tokens > rate.MaxReservation(burst) {
		return fault.Newf(fault.KindRequestTooLarge, "shorten the prompt or lower max_tokens",
			"the request reserves %d tokens, more than the %d that may be in use at once of the team's burst of %d",
			w.tokens, rate.MaxReservation(burst), burst).
			At("max_tokens").WithRun(fault.NotRun)
	}
	if !d.tokens.hasWaiting(w) && d.reserve(w, now) {
		return d.enqueue(w, now)
	}
	after := d.s.opts.Account.RetryAfter(w.x.team, w.tokens, now)
	if now.Add(after).After(w.deadline) {
		return rateLimited(after)
	}
	if !d.tokens.push(w) {
		return rateLimited(after)
	}
	w.state = workLacksTokens
	return nil
}

func (d *dispatch) reserve(w *work, now time.Time) bool {
	r, ok := d.s.opts.Account.Reserve(w.x.team, w.tokens, now)
	if ok {
		w.reservation, w.reserved = r, true
	}
	return ok
}

func rateLimited(after time.Duration) *fault.Error {
	return fault.New(fault.KindRateLimited, "the team's rate is used up", "wait before sending the request again").
		WithRun(fault.NotRun).After(max(after, time.Second))
}

// enqueue puts a request whose tokens are reserved into the fair queue.
func (d *dispatch) enqueue(w *work, now time.Time) *fault.Error {
	w.queue = d.models
	if w.once {
		w.queue = d.calls
	}
	w.cold = false
	if w.ref != nil {
		list, _ := d.table.ready.Get(w.model)
		w.cold = len(list) == 0
		w.stalled = w.stalled || w.cold
	}
	if e := d.tooLate(w, now); e != nil {
		return e
	}
	ticket, ok := w.queue.Push(fairqueue.Item[*work]{
		Team: w.x.team, Class: w.class, Group: w.group(), Cost: max(w.cost, 1),
		Enqueued: w.enqueued, Deadline: w.deadline, Value: w,
	})
	if !ok {
		return fault.New(fault.KindOverloaded, "the queue of this entry host is full", "send the request again").
			WithRun(fault.NotRun).After(time.Second)
	}
	w.ticket = ticket
	w.state = workQueued
	d.setWaiting(w, true)
	if !d.blocked.has(w.group()) {
		d.blocked.changed = true
	}
	return nil
}

// tooLate refuses a request early whose deadline cannot be met with what is
// queued before it at the pace of the last seconds. Requests that wait for a load
// are left out: they do not hold up the others, and a load does not depend on
// the queue.
func (d *dispatch) tooLate(w *work, now time.Time) *fault.Error {
	pace := d.pace.perSecond()
	ahead := w.queue.Ahead(w.x.team, w.class)
	ahead -= min(ahead, d.coldCost)
	if pace == 0 || w.cold || ahead == 0 {
		return nil
	}
	wait := time.Duration(float64(ahead) / pace * float64(time.Second))
	over := now.Add(wait).Sub(w.deadline)
	if over <= 0 {
		return nil
	}
	return fault.Newf(fault.KindDeadline, "send the request again later",
		"the requests queued before it take about %s", wait.Round(time.Second)).
		WithRun(fault.NotRun).After(over)
}

// leaveQueues takes the request out of whatever it waits in.
func (d *dispatch) leaveQueues(w *work) {
	switch w.state {
	case workLacksTokens:
		d.tokens.remove(w)
	case workQueued:
		w.queue.Remove(w.ticket)
	}
	d.setWaiting(w, false)
	if row := d.demand[w.model]; row != nil && row.arrivals == 0 && len(row.waiting) == 0 {
		delete(d.demand, w.model)
	}
}
