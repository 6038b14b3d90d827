package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// decayPerSecond turns tokens into a decayed rate with the half-life of what is
// asked.
var decayPerSecond = math.Ln2 / askedHalfLife.Seconds()

func (u *use) decay(now time.Time) {
	if age := now.Sub(u.at); age > 0 {
		u.asked *= math.Exp2(-float64(age) / float64(askedHalfLife))
		u.at = now
	}
}

// Limiter spends a host's parts. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[string]*balance
}

// balance is one team's tokens on this host. Its level grows by the part's rate
// up to its burst, and may be overdrawn by one request.
type balance struct {
	part    Allocation
	ends    time.Time
	level   float64
	at      time.Time
	asked   float64
	sending float64
	// endowed is the largest part whose burst this host has been given, and
	// endowUntil when it is given no more.
	endowed    float64
	endowUntil time.Time
	// waiters are the requests that wait, lent the tokens from the pool for them,
	// and poolEmpty until when the pool has nothing more.
	waiters   []*Waiter
	lent      float64
	poolEmpty time.Time
}

// mostWaiting bounds the requests of one team that the leader is told of at once.
const mostWaiting = 64

// unlent returns the tokens of the requests that nothing is lent for yet.
func (b *balance) unlent() []float64 {
	var out []float64
	lent := b.lent
	for _, w := range b.waiters[:min(len(b.waiters), mostWaiting)] {
		if lent -= float64(w.tokens); lent < 0 {
			out = append(out, float64(w.tokens))
		}
	}
	return out
}

// endowTime is how long after its first part a host is given the burst of a larger
// one. A new leader begins with small parts until it has heard all hosts.
const endowTime = 2 * time.Second

// NewLimiter returns a limiter without parts.
func NewLimiter() *Limiter { return &Limiter{teams: map[string]*balance{}} }

func (h *Limiter) team(name string) *balance {
	b := h.teams[name]
	if b == nil {
		b = &balance{}
		h.teams[name] = b
	}
	return b
}

func (b *balance) refill(now time.Time) {
	if until := minTime(now, b.ends); until.After(b.at) {
		b.level = min(b.level+b.part.PerSecond*until.Sub(b.at).Seconds(), b.part.Burst)
	}
	b.at = now
}

// Take takes tokens for a request, or tells when they may be there.
func (h *Limiter) Take(team string, tokens uint64, now time.Time) (ok bool, retry time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.team(team)
	b.asked += float64(tokens)
	return b.take(tokens, now)
}

func (b *balance) take(tokens uint64, now time.Time) (bool, time.Duration) {
	b.refill(now)
	if b.level > 0 && now.Before(b.ends) {
		b.level -= float64(tokens)
		return true, 0
	}
	return false, b.retry(now)
}

// Waiter is a request that waits for tokens. The leader is told of it.
type Waiter struct {
	h      *Limiter
	team   string
	tokens uint64
}

// Wait lets a request wait after Take had no tokens for it. End must follow.
func (h *Limiter) Wait(team string, tokens uint64) *Waiter {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &Waiter{h, team, tokens}
	b := h.team(team)
	b.waiters = append(b.waiters, w)
	return w
}

// Try takes the tokens if they are there now, or tells when they may be.
func (w *Waiter) Try(now time.Time) (ok bool, retry time.Duration) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	b := w.h.team(w.team)
	if b.lent >= float64(w.tokens) {
		b.lent -= float64(w.tokens)
		return true, 0
	}
	return b.take(w.tokens, now)
}

// End ends the wait.
func (w *Waiter) End() {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	b := w.h.team(w.team)
	b.waiters = slices.DeleteFunc(b.waiters, func(other *Waiter) bool { return other == w })
	if len(b.waiters) == 0 {
		b.lent = 0
	}
}

const (
	// leastRetry and mostRetry bound the time after which a caller is told to
	// come back. Other hosts may have tokens, and parts follow what is asked.
	leastRetry = 20 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// retry returns when the part or the pool may have tokens, whichever is sooner.
func (b *balance) retry(now time.Time) time.Duration {
	return min(max(min(b.repaid(now), b.poolEmpty.Sub(now)), leastRetry), mostRetry)
}

// repaid returns when the part has worked off its debt.
func (b *balance) repaid(now time.Time) time.Duration {
	if !now.Before(b.ends) || b.part.PerSecond <= 0 {
		return mostRetry
	}
	return time.Duration(-b.level / b.part.PerSecond * float64(time.Second))
}

// RetryAfter returns when a refused caller should ask again: when the part has worked
// off its debt. The pool may have tokens sooner, but others wait for them; callers
// that come back for them too soon use up their tries.
func (h *Limiter) RetryAfter(team string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(h.team(team).repaid(now), leastRetry), mostRetry)
}

// Return gives back the tokens of a request that did not run.
func (h *Limiter) Return(team string, tokens uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.team(team)
	b.level = min(b.level+float64(tokens), b.part.Burst)
}

// Report returns what the leader is told, sorted by team. Reported follows it.
func (h *Limiter) Report(now time.Time) []Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Usage
	for name, b := range h.teams {
		b.refill(now)
		u := Usage{Team: name, Asked: b.asked, Debt: max(0, -b.level)}
		if now.Before(b.ends) {
			u.Fraction = b.part.Fraction
		}
		b.sending, b.asked = b.asked, 0
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// Reported tells whether the leader has received the last report.
func (h *Limiter) Reported(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.teams {
		if !ok {
			b.asked += b.sending
		}
		b.sending = 0
	}
}

// ApplyAllocations takes over the parts of an answer whose request was sent at the time,
// at the earliest. Teams that it does not name keep theirs until they end.
func (h *Limiter) ApplyAllocations(parts []Allocation, sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range parts {
		b := h.team(p.Team)
		b.refill(now)
		if b.ends.IsZero() {
			b.endowUntil = now.Add(endowTime)
		}
		if p.Fraction > b.endowed && now.Before(b.endowUntil) {
			b.level += p.Burst * (1 - b.endowed/p.Fraction)
			b.endowed = p.Fraction
		}
		b.part, b.ends = p, sent.Add(p.Valid)
		b.level = min(b.level, p.Burst)
	}
}

// Demands returns the requests that wait and that nothing is lent for, sorted by team.
func (h *Limiter) Demands() []Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Demand
	for name, b := range h.teams {
		if waiting := b.unlent(); len(waiting) > 0 {
			out = append(out, Demand{Team: name, Waiting: waiting})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Team, b.Team) })
	return out
}

// ApplyGrants takes over what the pools lend to the requests that wait.
func (h *Limiter) ApplyGrants(loans []Grant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loans {
		b := h.team(l.Team)
		if len(b.waiters) > 0 {
			b.lent += l.Tokens
		}
		b.poolEmpty = now.Add(l.Wait)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
