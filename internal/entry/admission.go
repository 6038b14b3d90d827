package entry

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// maxQueueWait returns the maximum time in the queue for a class.
func (s *Server) maxQueueWait(class fairqueue.Class) time.Duration {
	if class == fairqueue.Batch {
		return s.limits.MaxBatchWait
	}
	return s.limits.MaxInteractiveWait
}

// firstByteTimeout returns the timeout for the first byte of the response,
// counted from the arrival of the request.
func (s *Server) firstByteTimeout(ar *admittedRequest) time.Duration {
	if ms := ar.x.route.GetTimeoutMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if ar.class == fairqueue.Batch {
		return s.limits.BatchFirstByte
	}
	return s.limits.InteractiveFirstByte
}

// admit reserves the tokens of a request and queues it. It returns when the
// request is assigned to a backend server or has failed. The caller must call
// finish in both cases.
func (s *Server) admit(ctx context.Context, ar *admittedRequest) error {
	now := s.now()
	ar.enqueued = now
	ar.deadline = now.Add(min(s.maxQueueWait(ar.class), s.firstByteTimeout(ar)))
	s.mu.Lock()
	s.d.recordArrival(ar)
	e := s.d.submit(ar, now)
	if e == nil {
		s.d.startReady(now)
	}
	s.mu.Unlock()
	if e != nil {
		s.countRefusal(ar, e)
		return e
	}
	return s.await(ctx, ar)
}

// await waits until the request is assigned or refused, or ctx ends.
func (s *Server) await(ctx context.Context, ar *admittedRequest) error {
	select {
	case <-ar.decided:
	case <-ctx.Done():
		return contextError(ctx, fault.NotRun)
	}
	// The dispatch lock orders this read after the write of the decision.
	s.mu.Lock()
	refusal, assigned, stalled := ar.refusal, ar.assignment, ar.stalled
	s.mu.Unlock()
	if refusal != nil {
		s.countRefusal(ar, refusal)
		return refusal
	}
	waited := s.now().Sub(ar.enqueued)
	s.metrics.recordWait(ar.x.team, waited)
	if stalled {
		s.metrics.stalls.Add(1)
		s.metrics.stallMs.Add(waited.Milliseconds())
	}
	ar.x.backend = assigned.server
	s.decide(ar.x, stepDispatch, ar.reason, ar.considered)
	return nil
}

func (s *Server) countRefusal(ar *admittedRequest, e *fault.Error) {
	s.metrics.recordWait(ar.x.team, s.now().Sub(ar.enqueued))
	s.metrics.recordRefusal(ar.x.team, e.Kind)
}

// requeue ends the request's assignment and puts the request back into the
// queue. Backend servers in excluded are not chosen again.
func (s *Server) requeue(ctx context.Context, ar *admittedRequest) error {
	now := s.now()
	s.mu.Lock()
	s.d.release(ar.assignment)
	ar.assignment = nil
	e := s.d.enqueue(ar, now)
	s.d.startReady(now)
	s.mu.Unlock()
	if e != nil {
		return e
	}
	return s.await(ctx, ar)
}

// finish releases everything that a request holds: its place in a queue, its
// assignment and its token reservation. It is the only place that settles a
// reservation, and it runs once for each admitted request.
func (s *Server) finish(ar *admittedRequest) {
	now := s.now()
	s.mu.Lock()
	s.d.removeFromQueues(ar)
	if ar.assignment != nil {
		s.d.release(ar.assignment)
		ar.assignment = nil
		s.d.startReady(now)
	}
	ar.state = stateEnded
	reserved := ar.reserved
	ar.reserved = false
	s.mu.Unlock()
	if reserved {
		s.opts.Account.Settle(ar.reservation, ar.usedTokens, now)
		s.metrics.tokens.Add(s.metrics.teamLabel(ar.x.team), int64(ar.usedTokens))
	}
}

// submit reserves the request's tokens and puts it into the fair queue. Without
// enough tokens the request waits in the token queue.
func (d *dispatch) submit(ar *admittedRequest, now time.Time) *fault.Error {
	if ar.x.team == "" || ar.tokens == 0 {
		return d.enqueue(ar, now)
	}
	team, _ := d.cfg.Team(ar.x.team)
	if burst := team.GetRate().GetBurstTokens(); ar.tokens > rate.MaxReservation(burst) {
		return fault.Newf(fault.KindRequestTooLarge, "shorten the prompt or lower max_tokens",
			"the request reserves %d tokens, more than the %d that may be in use at once of the team's burst of %d",
			ar.tokens, rate.MaxReservation(burst), burst).
			At("max_tokens").WithRun(fault.NotRun)
	}
	if !d.tokens.hasEarlier(ar) && d.reserve(ar, now) {
		return d.enqueue(ar, now)
	}
	retryAfter := d.s.opts.Account.RetryAfter(ar.x.team, ar.tokens, now)
	if now.Add(retryAfter).After(ar.deadline) {
		return rateLimited(retryAfter)
	}
	if !d.tokens.push(ar) {
		return rateLimited(retryAfter)
	}
	ar.state = stateLacksTokens
	return nil
}

func (d *dispatch) reserve(ar *admittedRequest, now time.Time) bool {
	r, ok := d.s.opts.Account.Reserve(ar.x.team, ar.tokens, now)
	if ok {
		ar.reservation, ar.reserved = r, true
	}
	return ok
}

func rateLimited(retryAfter time.Duration) *fault.Error {
	return fault.New(fault.KindRateLimited, "the team's rate is exceeded", "wait before sending the request again").
		WithRun(fault.NotRun).After(max(retryAfter, time.Second))
}

// enqueue puts a request whose tokens are reserved into the fair queue.
func (d *dispatch) enqueue(ar *admittedRequest, now time.Time) *fault.Error {
	ar.queue = d.models
	if ar.nonRepeatable {
		ar.queue = d.calls
	}
	ar.cold = false
	if ar.ref != nil {
		list, _ := d.table.ready.Get(ar.model)
		ar.cold = len(list) == 0
		ar.stalled = ar.stalled || ar.cold
	}
	if e := d.checkDeadline(ar, now); e != nil {
		return e
	}
	ticket, ok := ar.queue.Push(fairqueue.Item[*admittedRequest]{
		Team: ar.x.team, Class: ar.class, Group: ar.group(), Cost: max(ar.cost, 1),
		Enqueued: ar.enqueued, Deadline: ar.deadline, Value: ar,
	})
	if !ok {
		return fault.New(fault.KindOverloaded, "the queue of this entry host is full", "send the request again").
			WithRun(fault.NotRun).After(time.Second)
	}
	ar.ticket = ticket
	ar.state = stateQueued
	d.setWaiting(ar, true)
	if !d.blocked.contains(ar.group()) {
		d.blocked.changed = true
	}
	return nil
}

// checkDeadline refuses a request that cannot meet its deadline: at the recent
// throughput, the requests queued before it take longer. Requests that wait for
// an adapter to be loaded do not count: they do not delay the others, and the
// time to load does not depend on the queue.
func (d *dispatch) checkDeadline(ar *admittedRequest, now time.Time) *fault.Error {
	perSecond := d.throughput.tokensPerSecond()
	ahead := ar.queue.TokensAhead(ar.x.team, ar.class)
	ahead -= min(ahead, d.coldCost)
	if perSecond == 0 || ar.cold || ahead == 0 {
		return nil
	}
	wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
	over := now.Add(wait).Sub(ar.deadline)
	if over <= 0 {
		return nil
	}
	return fault.Newf(fault.KindDeadline, "send the request again later",
		"the requests queued before it take about %s", wait.Round(time.Second)).
		WithRun(fault.NotRun).After(over)
}

// removeFromQueues removes the request from the queue in which it waits.
func (d *dispatch) removeFromQueues(ar *admittedRequest) {
	switch ar.state {
	case stateLacksTokens:
		d.tokens.remove(ar)
	case stateQueued:
		ar.queue.Remove(ar.ticket)
	}
	d.setWaiting(ar, false)
	if entry := d.demand[ar.model]; entry != nil && entry.arrivals == 0 && len(entry.waiting) == 0 {
		delete(d.demand, ar.model)
	}
}
