package quota

import (
	"math"
	"time"
)

// teamTotal is the sum of a team's usage over all hosts, so that the cost of a report does
// not depend on the number of hosts. Every change of a usage goes through Allocator.update.
type teamTotal struct {
	asked                    float64 // tokens per second, decayed like each usage
	at                       time.Time
	debt, fraction, reserved float64
}

func (s *teamTotal) decay(now time.Time) {
	if age := now.Sub(s.at); age > 0 {
		s.asked *= math.Exp2(-float64(age) / float64(askedHalfLife))
		s.at = now
	}
}

func (s *teamTotal) need() float64 { return max(s.asked, 0) + max(s.debt, 0)/debtRepayTime.Seconds() }

// add adds a usage, or subtracts it if sign is -1.
func (s *teamTotal) add(u *usage, sign float64) {
	s.asked += sign * u.asked
	s.debt += sign * u.debt
	s.fraction += sign * u.fraction
	s.reserved += sign * u.reserved
}

// total returns the team's total, decayed to now.
func (a *Allocator) total(team string, now time.Time) *teamTotal {
	s := a.totals[team]
	if s == nil {
		s = &teamTotal{at: now}
		a.totals[team] = s
	}
	s.decay(now)
	return s
}

// update edits a host's usage of a team's rate and updates the team's total.
func (a *Allocator) update(h *host, team string, now time.Time, edit func(*usage)) {
	u, s := h.usage(team, now), a.total(team, now)
	u.decay(now)
	s.add(u, -1)
	edit(u)
	s.add(u, 1)
}

// subtract subtracts a host's usage of all teams from the totals.
func (a *Allocator) subtract(h *host, now time.Time) {
	for team, u := range h.teams {
		u.decay(now)
		a.total(team, now).add(u, -1)
	}
}
