package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// decayPerSecond converts tokens to their contribution to a decayed rate with the
// half-life askedHalfLife.
var decayPerSecond = math.Ln2 / askedHalfLife.Seconds()

func (u *usage) decay(now time.Time) {
	if age := now.Sub(u.at); age > 0 {
		u.asked *= math.Exp2(-float64(age) / float64(askedHalfLife))
		u.at = now
	}
}

// Limiter is a host's rate limiter. It spends the host's allocations, and is safe for
// concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[string]*bucket
}

// bucket holds one team's tokens on this host. Its level grows at the allocation's rate
// up to its burst, and may be overdrawn by one request.
type bucket struct {
	allocation Allocation
	expires    time.Time
	level      float64
	at         time.Time
	// asked are the tokens that callers have asked for since the last report.
	asked float64
	// unconfirmed is the value of asked in the last report until Reported is called.
	unconfirmed float64
	// burstFraction is the largest fraction whose initial burst this host has been
	// given, and burstUntil the time until which it is given more.
	burstFraction float64
	burstUntil    time.Time
	// waiters are the requests that wait, granted the tokens from the shared bucket for
	// them, and sharedEmpty the time until which the shared bucket is empty.
	waiters     []*Waiter
	granted     float64
	sharedEmpty time.Time
}

// maxReportedWaiting limits the requests of one team that are reported to the leader at
// once.
const maxReportedWaiting = 64

// ungranted returns the tokens of each request that no grant covers yet.
func (b *bucket) ungranted() []float64 {
	var out []float64
	granted := b.granted
	for _, w := range b.waiters[:min(len(b.waiters), maxReportedWaiting)] {
		if granted -= float64(w.tokens); granted < 0 {
			out = append(out, float64(w.tokens))
		}
	}
	return out
}

// initialBurstTime is how long after its first allocation a host gets the burst of a larger
// one. A new leader starts with small allocations until all hosts have reported.
const initialBurstTime = 2 * time.Second

// NewLimiter returns a limiter without allocations.
func NewLimiter() *Limiter { return &Limiter{teams: map[string]*bucket{}} }

func (l *Limiter) team(name string) *bucket {
	b := l.teams[name]
	if b == nil {
		b = &bucket{}
		l.teams[name] = b
	}
	return b
}

func (b *bucket) refill(now time.Time) {
	if until := minTime(now, b.expires); until.After(b.at) {
		b.level = min(b.level+b.allocation.PerSecond*until.Sub(b.at).Seconds(), b.allocation.Burst)
	}
	b.at = now
}

// Take takes tokens for a request, or returns after what time they may be available.
func (l *Limiter) Take(team string, tokens uint64, now time.Time) (ok bool, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.team(team)
	b.asked += float64(tokens)
	return b.take(tokens, now)
}

// Available returns what Take would, and takes nothing.
func (l *Limiter) Available(team string, tokens uint64, now time.Time) (ok bool, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	trial := *l.team(team)
	return trial.take(tokens, now)
}

func (b *bucket) take(tokens uint64, now time.Time) (bool, time.Duration) {
	b.refill(now)
	if b.level > 0 && now.Before(b.expires) {
		b.level -= float64(tokens)
		return true, 0
	}
	return false, b.retryAfter(now)
}

// Waiter is a request that waits for tokens. It is part of the demand that is reported
// to the leader.
type Waiter struct {
	limiter *Limiter
	team    string
	tokens  uint64
	demand  DemandState
	// changed holds a value once the leader has answered for the team.
	changed chan struct{}
}

// DemandState is the state of a waiter's demand.
type DemandState string

const (
	// NotSent: no call to the leader has named the waiter's tokens.
	NotSent DemandState = "not_sent"
	// NotAnswered: a call has named them, and no answer has come.
	NotAnswered DemandState = "not_answered"
	// NotGranted: the leader has answered a call that named them, and the shared bucket was
	// empty.
	NotGranted DemandState = "not_granted"
)

// Wait registers a request for which Take had no tokens as waiting. The caller must call
// End.
func (l *Limiter) Wait(team string, tokens uint64) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Waiter{limiter: l, team: team, tokens: tokens, demand: NotSent, changed: make(chan struct{}, 1)}
	b := l.team(team)
	b.waiters = append(b.waiters, w)
	return w
}

// Try takes the tokens if they are available now, or returns after what time they may
// be.
func (w *Waiter) Try(now time.Time) (ok bool, retry time.Duration) {
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	b := w.limiter.team(w.team)
	if b.granted >= float64(w.tokens) {
		b.granted -= float64(w.tokens)
		return true, 0
	}
	return b.take(w.tokens, now)
}

// Changed returns a channel that has a value when tokens may have become available.
func (w *Waiter) Changed() <-chan struct{} { return w.changed }

// Demand returns the state of the waiter's demand.
func (w *Waiter) Demand() DemandState {
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	return w.demand
}

// End ends the wait.
func (w *Waiter) End() {
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	b := w.limiter.team(w.team)
	b.waiters = slices.DeleteFunc(b.waiters, func(other *Waiter) bool { return other == w })
	if len(b.waiters) == 0 {
		b.granted = 0
	}
}

const (
	// minRetry and maxRetry limit the time after which a caller is told to retry.
	// Other hosts may have tokens, and allocations follow the demand.
	minRetry = 20 * time.Millisecond
	maxRetry = 2 * time.Second
)

// retryAfter returns the time until the allocation or the shared bucket may have tokens,
// whichever is sooner.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	return min(max(min(b.timeToRepay(now), b.sharedEmpty.Sub(now)), minRetry), maxRetry)
}

// timeToRepay returns the time until the debt of the allocation is repaid.
func (b *bucket) timeToRepay(now time.Time) time.Duration {
	if !now.Before(b.expires) || b.allocation.PerSecond <= 0 {
		return maxRetry
	}
	return time.Duration(-b.level / b.allocation.PerSecond * float64(time.Second))
}

// RetryAfter returns the time after which a refused caller should retry, which is when
// the debt of the allocation is repaid. The shared bucket may have tokens sooner, but
// other requests wait for them, and callers that retry too soon use up their attempts.
func (l *Limiter) RetryAfter(team string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(l.team(team).timeToRepay(now), minRetry), maxRetry)
}

// Return returns the tokens of a request that did not run.
func (l *Limiter) Return(team string, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.team(team)
	b.level = min(b.level+float64(tokens), b.allocation.Burst)
}

// Report returns the usage to report to the leader, sorted by team. The caller must call
// Reported afterwards.
func (l *Limiter) Report(now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for name, b := range l.teams {
		b.refill(now)
		u := Usage{Team: name, Asked: b.asked, Debt: max(0, -b.level)}
		if now.Before(b.expires) {
			u.Fraction = b.allocation.Fraction
		}
		b.unconfirmed, b.asked = b.asked, 0
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// Reported records whether the leader has received the last report.
func (l *Limiter) Reported(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.teams {
		if !ok {
			b.asked += b.unconfirmed
		}
		b.unconfirmed = 0
	}
}

// ApplyAllocations applies the allocations of a response to a request that was not sent
// before the time sent. Teams that are not named keep their allocations until they expire.
func (l *Limiter) ApplyAllocations(allocations []Allocation, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, alloc := range allocations {
		b := l.team(alloc.Team)
		b.refill(now)
		if b.expires.IsZero() {
			b.burstUntil = now.Add(initialBurstTime)
		}
		if alloc.Fraction > b.burstFraction && now.Before(b.burstUntil) {
			b.level += alloc.Burst * (1 - b.burstFraction/alloc.Fraction)
			b.burstFraction = alloc.Fraction
		}
		b.allocation, b.expires = alloc, sent.Add(alloc.Validity)
		b.level = min(b.level, alloc.Burst)
	}
}

// Demands returns the waiting requests that no grant covers yet, sorted by team.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for name, b := range l.teams {
		if waiting := b.ungranted(); len(waiting) > 0 {
			b.advanceDemand(NotSent, NotAnswered)
			out = append(out, Demand{Team: name, Waiting: waiting})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// advanceDemand changes the state of the team's reported waiters.
func (b *bucket) advanceDemand(from, to DemandState) {
	for _, w := range b.waiters[:min(len(b.waiters), maxReportedWaiting)] {
		if w.demand == from {
			w.demand = to
		}
	}
}

// ApplyGrants applies grants from the shared buckets for the requests that wait.
func (l *Limiter) ApplyGrants(grants []Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range grants {
		b := l.team(g.Team)
		if len(b.waiters) > 0 {
			b.granted += g.Tokens
		}
		b.advanceDemand(NotAnswered, NotGranted)
		b.sharedEmpty = now.Add(g.Wait)
		b.wakeWaiters()
	}
}

// wakeWaiters has the waiting requests try again.
func (b *bucket) wakeWaiters() {
	for _, w := range b.waiters {
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
