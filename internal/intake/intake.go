// Package intake decides whether an entry host may send a request to a backend server, by all that the server has
// said or shown of what it takes: the limit that it names, its places if it is brittle, that it is cold, a time for which it wants
// nothing, that it leaves, and that it cannot be reached. It does no I/O and takes the time as an argument.
//
// It answers the load of days on which servers are full, fail over each other, or are replaced. How a limit and places are
// divided between hosts belongs to the packages serverlimit and places; all else concerns one host and one server.
//
// Invariants:
//   - A server that has said that it leaves gets no request until it has started anew.
//   - A server that has asked for quiet gets no request before the time is over.
package intake

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/places"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

// Statement is what one response of a server says of what it takes.
type Statement struct {
	// Limit is the number of requests a second that it takes from all hosts; 0 when it names none.
	Limit float64
	// Tolerated is the number of requests that a brittle server can turn away in a second; 0 when it
	// does not say that it is brittle.
	Tolerated int
	// Leaving is true when the server says that it leaves.
	Leaving bool
	// Quiet is how long the server wants nothing of this host; 0 when it does not say so.
	Quiet time.Duration
	// Served is true for a success. Only it ends a limit or brittleness that it does not name: a server may
	// refuse without naming them.
	Served bool
	// TurnedAway is true when the server had no room for the request.
	TurnedAway bool
}

const (
	// MaxQuiet limits how long a server can ask for quiet.
	MaxQuiet = 10 * time.Minute
	// minBackoff and maxBackoff bound the time for which an unreachable server
	// is not tried; it doubles with each consecutive failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// maxListLag is how long a view may still show an earlier start of a server that has restarted under its
	// name.
	maxListLag = 3 * time.Second
)

// State is whether a server takes a request of this host, or why not.
type State int

// States.
const (
	Open State = iota
	// Leaving: the server has said that it leaves.
	Leaving
	// Quiet: the server has asked for quiet.
	Quiet
	// Unreachable: the server could not be reached lately.
	Unreachable
	// Limited: this host has used its share of the server's limit.
	Limited
	// NoPlace: this host has no place at a brittle server.
	NoPlace
	// Cold: this host has used its share of what a cold server takes.
	Cold
)

func (s State) String() string {
	return [...]string{"open", "leaving", "asked for quiet", "unreachable", "at its limit", "no place", "cold"}[s]
}

// Load is this host's part of the load of a server.
type Load struct {
	// InFlight is the number of this host's requests there, Slots the number that the server runs at once, and
	// Hosts the number of entry hosts.
	InFlight, Slots, Hosts int
}

// Gate holds what one host knows of one server. The zero Gate is open. It is not safe for concurrent use.
type Gate struct {
	limit  serverlimit.Gate
	places places.Gate
	warmup warmup.Gate

	quietUntil time.Time

	leaving bool
	// leavingStart is the start of the server that said that it leaves, 0 if unknown.
	leavingStart int64
	leavingSince time.Time

	unreachableUntil time.Time
	failures         int
}

// Observe records what a response says. start is the start of the server, in Unix milliseconds as far as it is
// known.
func (g *Gate) Observe(instance string, start int64, s Statement, now time.Time) {
	if s.Limit > 0 || s.Served {
		g.limit.Name(instance, s.Limit, now)
	}
	if s.Tolerated > 0 || s.Served {
		g.places.Name(instance, s.Tolerated, now)
	}
	if s.TurnedAway {
		g.places.Refused(now)
	}
	if s.Leaving {
		g.MarkLeaving(start, now)
	}
	if until := now.Add(min(s.Quiet, MaxQuiet)); s.Quiet > 0 && until.After(g.quietUntil) {
		g.quietUntil = until
	}
}

// MarkLeaving records that the server has said that it leaves.
func (g *Gate) MarkLeaving(start int64, now time.Time) {
	if !g.leaving || start > g.leavingStart {
		g.leaving, g.leavingStart, g.leavingSince = true, start, now
	}
}

// Leaves reports whether the server leaves, when the host's view gives the start of the server. A later start than that of
// the server which said so is another one, unless the view only caught up.
func (g *Gate) Leaves(start int64, now time.Time) bool {
	if !g.leaving {
		return false
	}
	if start <= g.leavingStart || g.leavingStart == 0 {
		return true
	}
	if now.Sub(g.leavingSince) < maxListLag {
		g.leavingStart = start
		return true
	}
	g.leaving = false
	return false
}

// LeavingStart returns the start of the server that said that it leaves, and whether one did.
func (g *Gate) LeavingStart() (int64, bool) { return g.leavingStart, g.leaving }

// Unreachable records that the server could not be reached.
func (g *Gate) Unreachable(now time.Time) {
	if now.Before(g.unreachableUntil) {
		return
	}
	g.unreachableUntil = now.Add(min(minBackoff<<min(g.failures, 8), maxBackoff))
	g.failures++
}

// Reached records that the server can be reached.
func (g *Gate) Reached() { g.failures, g.unreachableUntil = 0, time.Time{} }

// Assign records the limit and the share that the leader gave; a zero Limit when it knows of none.
func (g *Gate) Assign(l serverlimit.Limit, now time.Time) { g.limit.Assign(l, now) }

// AssignCold records this host's share of what the server takes while it is cold; a zero Share for a warm server.
func (g *Gate) AssignCold(s warmup.Share, now time.Time) { g.warmup.Assign(s, now) }

// AssignPlaces records what the leader knows of a brittle server, and the places that it gave.
func (g *Gate) AssignPlaces(f places.Fact, n int) { g.places.Assign(f, n) }

// Brittle reports whether the server last said that it is brittle.
func (g *Gate) Brittle() bool { return g.places.Brittle() }

// Preview returns what Check would, and counts nothing.
func (g *Gate) Preview(start int64, l Load, now time.Time) State {
	trial := *g
	return trial.Check(start, l, now)
}

// Check returns whether the server takes a request now. It counts a request that finds no place as demand.
func (g *Gate) Check(start int64, l Load, now time.Time) State {
	switch {
	case g.Leaves(start, now):
		return Leaving
	case now.Before(g.quietUntil):
		return Quiet
	case now.Before(g.unreachableUntil):
		return Unreachable
	case !g.limit.Open(now, l.Hosts):
		return Limited
	case !g.warmup.Open(now):
		return Cold
	case !g.places.Open(l.InFlight, l.Slots, l.Hosts, now):
		return NoPlace
	}
	return Open
}

// Silent reports whether the server must get nothing from this host now, not even a request that was placed
// before.
func (g *Gate) Silent(start int64, now time.Time) bool {
	return g.Leaves(start, now) || now.Before(g.quietUntil)
}

// Take counts a request against this host's shares of a limit and of what a cold server takes, and reports whether it may be
// sent.
func (g *Gate) Take(hosts int, now time.Time) bool {
	return g.warmup.Open(now) && g.limit.Take(now, hosts) && g.warmup.Take(now)
}

// OpenIn returns the time until the server's limit and its request for quiet allow a request; 0 when they do.
func (g *Gate) OpenIn(hosts int, now time.Time) time.Duration {
	return max(g.limit.OpenIn(now, hosts), g.warmup.OpenIn(now), g.quietUntil.Sub(now), 0)
}

// KnownLimit returns the newest of what this host knows of the server's limit, and whether it knows anything.
func (g *Gate) KnownLimit() (serverlimit.Limit, bool) { return g.limit.Known() }

// ReportPlaces returns what the leader must know of a brittle server, and whether there is anything.
func (g *Gate) ReportPlaces(inFlight int, now time.Time) (places.Fact, places.Demand, bool) {
	return g.places.Report(inFlight, now)
}
