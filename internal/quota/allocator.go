// Package quota divides the rate of each team between the entry hosts. The
// Allocator on the leader gives each host a part of the rate, which the host's
// Limiter spends on its own until the part ends. Hosts go on without the leader
// for that long, and no request waits for it.
//
// A pool keeps some of each rate undivided. The leader lends from it to hosts whose
// requests wait although others have tokens left.
//
// Package rate lends single tokens instead. It is exact, but stops within
// seconds without a lender, and leaves tokens idle at hosts when requests are
// large against the burst. The parts here may be overdrawn by one request at each
// host, which the contract's tolerated excess has to cover.
package quota

import (
	"slices"
	"strings"
	"time"
)

// Rate is a team's rate, in tokens per second, and its burst in tokens.
type Rate struct{ PerSecond, Burst float64 }

func (r Rate) times(part float64) Rate { return Rate{r.PerSecond * part, r.Burst * part} }

// Usage is what a host tells of one team.
type Usage struct {
	Team string
	// Asked are the tokens that callers have asked for since the last report.
	Asked float64
	// Debt is how far the host has overdrawn its part.
	Debt float64
	// Fraction is the part of the rate that the host holds, of 1.
	Fraction float64
}

// Allocation is a host's part of a team's rate.
type Allocation struct {
	Team             string
	PerSecond, Burst float64
	Fraction         float64
	Valid            time.Duration
}

const (
	// valid is how long a host uses its part without a further answer. The
	// election of a leader and a restart of all control hosts are over by then.
	valid = 8 * time.Second
	// heldValid is for how long the leader counts the part of a silent host as
	// used. The difference covers clocks that run at different rates.
	heldValid = valid + valid/10
	// settle is how long a new leader listens before it divides anew. Hosts
	// report every 250 ms.
	settle = 400 * time.Millisecond
	// askedHalfLife is how fast the parts follow what is asked.
	askedHalfLife = 1500 * time.Millisecond
	// debtTime is the time within which a host shall work off its debt.
	debtTime = time.Second
	// evenLeast and evenMost bound the part of a rate that is divided evenly, so
	// that a host can serve a team that has not asked it yet. A team that uses its
	// whole rate leaves little idle.
	evenLeast = 0.05
	evenMost  = 0.3
)

// firstPart bounds what a host gets while a new leader has not heard all hosts.
const firstPart = 0.125

// Allocator divides the rates of all teams for one term. It is not safe for
// concurrent use.
type Allocator struct {
	start  time.Time
	rates  map[string]Rate
	hosts  map[string]*host
	totals map[string]*total
	pools  pools
	// earlier is true when some host holds parts of an earlier leader. Parts that
	// nobody has reported may then be in use until heldValid after the start.
	earlier bool
}

// host is one entry host.
type host struct {
	heard time.Time
	teams map[string]*use
}

type use struct {
	asked    float64 // tokens per second, decayed
	at       time.Time
	debt     float64
	fraction float64
	// claim is the largest part that the host may hold: an answer may be lost.
	claim float64
}

// NewAllocator returns an allocator for a term that starts now.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{start: now, rates: map[string]Rate{}, hosts: map[string]*host{}, totals: map[string]*total{}, pools: pools{}}
}

// SetRates replaces the rates of all teams.
func (d *Allocator) SetRates(rates map[string]Rate) { d.rates = rates }

// Report books what a host tells and returns its parts, sorted by team. It
// returns nothing while the leader is new; the host keeps what it holds.
func (d *Allocator) Report(name string, uses []Usage, now time.Time) []Allocation {
	h := d.hosts[name]
	if h == nil {
		h = &host{teams: map[string]*use{}}
		d.hosts[name] = h
	}
	h.heard = now
	for _, u := range uses {
		d.change(h, u.Team, now, func(own *use) { own.book(u) })
		d.earlier = d.earlier || u.Fraction > 0 && now.Sub(d.start) < settle
	}
	d.expire(now)
	if now.Sub(d.start) < settle && d.earlier {
		return nil
	}
	silent := d.silent(now)
	parts := make([]Allocation, 0, len(d.rates))
	for team, rate := range d.rates {
		u := h.of(team, now)
		f := min(d.fraction(u, team, rate, silent, now), d.unclaimed(u, team, now))
		d.change(h, team, now, func(own *use) {
			own.claim = max(own.fraction, f)
			own.fraction = f
		})
		divided := rate.times((1 - d.poolPart()) * f)
		parts = append(parts, Allocation{Team: team, PerSecond: divided.PerSecond, Burst: divided.Burst, Fraction: f, Valid: valid})
	}
	slices.SortFunc(parts, func(a, b Allocation) int { return strings.Compare(a.Team, b.Team) })
	return parts
}

func (h *host) of(team string, now time.Time) *use {
	u := h.teams[team]
	if u == nil {
		u = &use{at: now}
		h.teams[team] = u
	}
	return u
}

// book takes over what the host tells. The use has been decayed.
func (u *use) book(r Usage) {
	u.asked += r.Asked * decayPerSecond
	u.debt, u.fraction, u.claim = r.Debt, r.Fraction, r.Fraction
}

// headroom is how much more than the whole rate the parts of all hosts may add up
// to while they move. Without it a host that is asked for more gets it only when
// another host has been told to hold less, and a part of the rate lies idle.
const headroom = 0.1

// unclaimed is the part of a team's rate that no other host holds. A part that is
// to move is free only once its holder has been told, beyond the headroom.
func (d *Allocator) unclaimed(own *use, team string, now time.Time) float64 {
	left := 1 + headroom - (d.total(team, now).claim - own.claim)
	if now.Sub(d.start) < settle {
		left = min(left, firstPart)
	}
	return max(left, 0)
}

// expire drops hosts whose parts have ended.
func (d *Allocator) expire(now time.Time) {
	for name, h := range d.hosts {
		if now.Sub(h.heard) > heldValid {
			d.forget(h, now)
			delete(d.hosts, name)
		}
	}
}

// hostLive is how long a host that has not reported takes part in the division.
const hostLive = time.Second

// silent returns the hosts that take no part in the division now.
func (d *Allocator) silent(now time.Time) []*host {
	var out []*host
	for _, h := range d.hosts {
		if now.Sub(h.heard) > hostLive {
			out = append(out, h)
		}
	}
	return out
}

// fraction returns a host's part of a team's rate: what is free, divided by what
// the hosts need. The parts of silent hosts are not free.
func (d *Allocator) fraction(own *use, team string, rate Rate, silent []*host, now time.Time) float64 {
	live, need, kept := len(d.hosts)-len(silent), d.total(team, now).need(), 0.0
	for _, h := range silent {
		u := h.of(team, now)
		kept += u.fraction
		need -= u.need(now)
	}
	if d.earlier && now.Sub(d.start) < heldValid {
		kept = max(kept, d.unreported(team, now))
	}
	free := min(max(1-kept, 0), 1)
	if need <= 0 {
		return free / float64(live)
	}
	even := evenMost
	if rate.PerSecond > 0 {
		even = min(max((1-need/rate.PerSecond)/2, evenLeast), evenMost)
	}
	return free * (even/float64(live) + (1-even)*min(own.need(now)/need, 1))
}

// unreported is the part that hosts of an earlier leader may use that have not
// reported to this one.
func (d *Allocator) unreported(team string, now time.Time) float64 {
	// After the first division the known parts add up to what is free.
	return max(0, 1-d.total(team, now).fraction)
}

func (u *use) need(now time.Time) float64 {
	u.decay(now)
	return u.asked + u.debt/debtTime.Seconds()
}
