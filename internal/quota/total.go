package quota

import (
	"math"
	"time"
)

// total adds up a team's uses of all hosts, so that a report costs the same for any
// number of hosts. Each change of a use goes through Allocator.change.
type total struct {
	asked                 float64 // tokens per second, decayed as each use is
	at                    time.Time
	debt, fraction, claim float64
}

func (s *total) decay(now time.Time) {
	if age := now.Sub(s.at); age > 0 {
		s.asked *= math.Exp2(-float64(age) / float64(askedHalfLife))
		s.at = now
	}
}

func (s *total) need() float64 { return max(s.asked, 0) + max(s.debt, 0)/debtTime.Seconds() }

// add adds a use, or takes it out with a sign of -1.
func (s *total) add(u *use, sign float64) {
	s.asked += sign * u.asked
	s.debt += sign * u.debt
	s.fraction += sign * u.fraction
	s.claim += sign * u.claim
}

// total returns the team's total as of now.
func (d *Allocator) total(team string, now time.Time) *total {
	s := d.totals[team]
	if s == nil {
		s = &total{at: now}
		d.totals[team] = s
	}
	s.decay(now)
	return s
}

// change changes a host's use of a team's rate, and the total with it.
func (d *Allocator) change(h *host, team string, now time.Time, edit func(*use)) {
	u, s := h.of(team, now), d.total(team, now)
	u.decay(now)
	s.add(u, -1)
	edit(u)
	s.add(u, 1)
}

// forget takes a host's uses out of the totals.
func (d *Allocator) forget(h *host, now time.Time) {
	for team, u := range h.teams {
		u.decay(now)
		d.total(team, now).add(u, -1)
	}
}
