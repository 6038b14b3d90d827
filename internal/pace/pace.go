// Package pace estimates how long work takes at each backend server compared with usual, from what servers tell with their
// responses to all entry hosts. It answers the load of fleets whose servers share their machines with others: a host sees a
// server less than once a second, and the leader sees all of them. It does no I/O and takes the time as an argument.
//
// Invariant: a server of which nothing is heard returns to the usual pace, so that it is tried again.
package pace

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// halfLife is the time in which an observation loses half of its weight: a server that becomes slow is known to be within
	// a second or two, and one response of a pace that changes many times a second does not decide.
	halfLife = time.Second
	// priorWeight is the weight of the usual pace, as a number of observations.
	priorWeight = 0.5
	// tellChange is the smallest change, as a fraction, that hosts are told of.
	tellChange = 0.1
	// minFactor and maxFactor bound what is believed.
	minFactor = 0.2
	maxFactor = 10
)

// Clamp returns a factor within what is believed.
func Clamp(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// Sum is the sum of observations of one server.
type Sum struct {
	Instance string
	// Total is the sum of the factors, Count their number.
	Total float64
	Count int
}

// Factor is how long work takes at a server as a multiple of usual.
type Factor struct {
	Instance string
	Factor   float64
}

// estimate is the decayed mean of one server.
type estimate struct {
	total, weight float64
	at            time.Time
	// told is what hosts were last told, as of toldEpoch.
	told      float64
	toldEpoch uint64
}

// Table holds the estimates at the leader. It is not safe for concurrent use.
type Table struct {
	servers map[string]*estimate
	epoch   uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*estimate{}} }

// Observe adds the observations of a host.
func (t *Table) Observe(s Sum, now time.Time) {
	if s.Count <= 0 || math.IsNaN(s.Total) || s.Total <= 0 {
		return
	}
	e := t.servers[s.Instance]
	if e == nil {
		e = &estimate{at: now, told: 1}
		t.servers[s.Instance] = e
	}
	e.decay(now)
	e.total += Clamp(s.Total/float64(s.Count)) * float64(s.Count)
	e.weight += float64(s.Count)
}

func (e *estimate) decay(now time.Time) {
	if age := now.Sub(e.at); age > 0 {
		keep := math.Exp2(-float64(age) / float64(halfLife))
		e.total, e.weight, e.at = e.total*keep, e.weight*keep, now
	}
}

func (e *estimate) factor() float64 { return (e.total + priorWeight) / (e.weight + priorWeight) }

// Update decides of which changes hosts are told, and drops the servers that are gone. It is called periodically.
func (t *Table) Update(present func(instance string) bool, now time.Time) {
	t.epoch++
	for instance, e := range t.servers {
		if !present(instance) {
			delete(t.servers, instance)
			continue
		}
		e.decay(now)
		if f := e.factor(); math.Abs(f-e.told) >= tellChange*e.told {
			e.told, e.toldEpoch = f, t.epoch
		}
	}
}

// Factor returns the pace of a server, 1 if nothing is known.
func (t *Table) Factor(instance string) float64 {
	if e := t.servers[instance]; e != nil {
		return e.told
	}
	return 1
}

// slowFactor is the factor from which a server counts as slow.
const slowFactor = 1.5

// Len returns the number of servers that tell a pace.
func (t *Table) Len() int { return len(t.servers) }

// Slow returns the number of servers at which work takes much longer than usual.
func (t *Table) Slow() int {
	n := 0
	for _, e := range t.servers {
		if e.told >= slowFactor {
			n++
		}
	}
	return n
}

// Since returns the factors that changed after the epoch, sorted by instance, and the current epoch.
func (t *Table) Since(epoch uint64) ([]Factor, uint64) {
	var out []Factor
	for instance, e := range t.servers {
		if e.toldEpoch > epoch {
			out = append(out, Factor{instance, e.told})
		}
	}
	slices.SortFunc(out, func(a, b Factor) int { return strings.Compare(a.Instance, b.Instance) })
	return out, t.epoch
}
