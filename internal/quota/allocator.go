// Package quota divides the rate of each team between the entry hosts. The
// Allocator on the leader gives each host an allocation, a fraction of the rate. The
// host's Limiter spends it locally until it expires, so hosts continue for that long
// without the leader, and no request waits for the leader.
//
// A shared bucket holds a fraction of each rate undivided. From it, the leader grants
// tokens to hosts whose requests wait although other hosts have tokens left.
//
// Package rate leases single tokens instead. It is exact, but stops within seconds
// without the leasing side, and leaves tokens idle at hosts when requests are large
// relative to the burst. An allocation here may be overdrawn by one request at each
// host, which the contract's tolerated excess must cover.
package quota

import (
	"slices"
	"strings"
	"time"
)

// Rate is a team's rate, in tokens per second, and its burst in tokens.
type Rate struct{ PerSecond, Burst float64 }

func (r Rate) scale(fraction float64) Rate { return Rate{r.PerSecond * fraction, r.Burst * fraction} }

// Usage is a host's report of one team.
type Usage struct {
	Team string
	// Asked are the tokens that callers have asked for since the last report.
	Asked float64
	// Debt is the number of tokens by which the host has overdrawn its allocation.
	Debt float64
	// Fraction is the fraction of the divided rate that the host's allocation gives it,
	// from 0 to 1.
	Fraction float64
}

// Allocation is the rate and burst of a team that a host may use for a time.
type Allocation struct {
	Team             string
	PerSecond, Burst float64
	Fraction         float64
	Validity         time.Duration
}

const (
	// validity is how long a host uses its allocation without a further response. The
	// election of a leader or a restart of all control hosts takes less.
	validity = 8 * time.Second
	// silentValidity is how long the leader counts the allocation of a silent host as
	// used. The difference from validity covers clocks that run at different rates.
	silentValidity = validity + validity/10
	// settleTime is how long a new leader collects reports before it divides the rates.
	// Hosts report every 250 ms.
	settleTime = 400 * time.Millisecond
	// askedHalfLife is the half-life of the rate of tokens asked for, which the
	// allocations follow.
	askedHalfLife = 1500 * time.Millisecond
	// debtRepayTime is the time within which a host should repay its debt.
	debtRepayTime = time.Second
	// minEven and maxEven limit the fraction of a rate that is divided evenly. The even
	// fraction lets a host serve a team that has sent it no requests yet; it is small
	// for a team that uses its whole rate, so that few tokens stay idle.
	minEven = 0.05
	maxEven = 0.3
)

// maxInitialFraction limits the fraction that a host gets while a new leader may not
// have the reports of all hosts.
const maxInitialFraction = 0.125

// Allocator divides the rates of all teams for one term. It is not safe for
// concurrent use.
type Allocator struct {
	start  time.Time
	rates  map[string]Rate
	hosts  map[string]*host
	totals map[string]*teamTotal
	shared sharedBuckets
	// earlier is true when some host has allocations of an earlier leader. Unreported
	// allocations may then be in use until silentValidity after the start.
	earlier bool
}

// host is the state of one entry host.
type host struct {
	lastSeen time.Time
	teams    map[string]*usage
}

// usage is a host's usage of one team's rate.
type usage struct {
	asked    float64 // tokens per second, decayed
	at       time.Time
	debt     float64
	fraction float64
	// reserved is the largest fraction that the host may still use. It exceeds fraction
	// when a response with a smaller one may be lost.
	reserved float64
}

// NewAllocator returns an allocator for a term that starts now.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{start: now, rates: map[string]Rate{}, hosts: map[string]*host{}, totals: map[string]*teamTotal{}, shared: sharedBuckets{}}
}

// SetRates replaces the rates of all teams.
func (a *Allocator) SetRates(rates map[string]Rate) { a.rates = rates }

// Report applies a host's report and returns its allocations, sorted by team. While the
// leader is new and some host has allocations of an earlier leader, it returns nothing,
// and the hosts keep the allocations that they have.
func (a *Allocator) Report(name string, usages []Usage, now time.Time) []Allocation {
	h := a.hosts[name]
	if h == nil {
		h = &host{teams: map[string]*usage{}}
		a.hosts[name] = h
	}
	h.lastSeen = now
	for _, u := range usages {
		a.update(h, u.Team, now, func(own *usage) { own.apply(u) })
		a.earlier = a.earlier || u.Fraction > 0 && now.Sub(a.start) < settleTime
	}
	a.expire(now)
	if now.Sub(a.start) < settleTime && a.earlier {
		return nil
	}
	silent := a.silentHosts(now)
	allocations := make([]Allocation, 0, len(a.rates))
	for team, rate := range a.rates {
		u := h.usage(team, now)
		f := min(a.fraction(u, team, rate, silent, now), a.unreserved(u, team, now))
		a.update(h, team, now, func(own *usage) {
			own.reserved = max(own.fraction, f)
			own.fraction = f
		})
		divided := rate.scale((1 - a.sharedFraction()) * f)
		allocations = append(allocations, Allocation{Team: team, PerSecond: divided.PerSecond, Burst: divided.Burst, Fraction: f, Validity: validity})
	}
	slices.SortFunc(allocations, func(a, b Allocation) int { return strings.Compare(a.Team, b.Team) })
	return allocations
}

// usage returns the host's usage of the team, which it creates if need be.
func (h *host) usage(team string, now time.Time) *usage {
	u := h.teams[team]
	if u == nil {
		u = &usage{at: now}
		h.teams[team] = u
	}
	return u
}

// apply applies the host's report. The caller has decayed u.
func (u *usage) apply(r Usage) {
	u.asked += r.Asked * decayPerSecond
	u.debt, u.fraction, u.reserved = r.Debt, r.Fraction, r.Fraction
}

// headroom is the fraction by which the allocations of all hosts may exceed the rate
// while they change. Without it, a host with growing demand gets more only after another
// host has been told to use less, and some of the rate stays idle.
const headroom = 0.1

// unreserved returns the fraction of a team's rate that no other host may still use.
// Beyond the headroom, a fraction moves to a host only after the host that used it has
// been told.
func (a *Allocator) unreserved(own *usage, team string, now time.Time) float64 {
	remaining := 1 + headroom - (a.total(team, now).reserved - own.reserved)
	if now.Sub(a.start) < settleTime {
		remaining = min(remaining, maxInitialFraction)
	}
	return max(remaining, 0)
}

// expire removes hosts whose allocations have expired.
func (a *Allocator) expire(now time.Time) {
	for name, h := range a.hosts {
		if now.Sub(h.lastSeen) > silentValidity {
			a.subtract(h, now)
			delete(a.hosts, name)
		}
	}
}

// hostTimeout is how long after its last report a host takes part in the division.
const hostTimeout = time.Second

// silentHosts returns the hosts whose last report is too old for the division.
func (a *Allocator) silentHosts(now time.Time) []*host {
	var out []*host
	for _, h := range a.hosts {
		if now.Sub(h.lastSeen) > hostTimeout {
			out = append(out, h)
		}
	}
	return out
}

// fraction returns a host's fraction of a team's rate. The rate less the fractions of
// silent hosts is divided by the needs of the live hosts.
func (a *Allocator) fraction(own *usage, team string, rate Rate, silent []*host, now time.Time) float64 {
	live, need, unavailable := len(a.hosts)-len(silent), a.total(team, now).need(), 0.0
	for _, h := range silent {
		u := h.usage(team, now)
		unavailable += u.fraction
		need -= u.need(now)
	}
	if a.earlier && now.Sub(a.start) < silentValidity {
		unavailable = max(unavailable, a.unreported(team, now))
	}
	free := min(max(1-unavailable, 0), 1)
	if need <= 0 {
		return free / float64(live)
	}
	even := maxEven
	if rate.PerSecond > 0 {
		even = min(max((1-need/rate.PerSecond)/2, minEven), maxEven)
	}
	return free * (even/float64(live) + (1-even)*min(own.need(now)/need, 1))
}

// unreported returns the fraction that may be in use at hosts that have allocations of
// an earlier leader and have not reported to this one.
func (a *Allocator) unreported(team string, now time.Time) float64 {
	// After the first division, the known fractions add up to the rest of the rate.
	return max(0, 1-a.total(team, now).fraction)
}

// need returns the rate that the host needs for its demand and the repayment of its debt.
func (u *usage) need(now time.Time) float64 {
	u.decay(now)
	return u.asked + u.debt/debtRepayTime.Seconds()
}
