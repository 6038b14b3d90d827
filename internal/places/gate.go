package places

import "time"

const (
	// refusalPause is how long a host sends nothing to a brittle server that turned a request away.
	refusalPause = time.Second
	// demandTime is how long a host that found no place wants one.
	demandTime = 2 * time.Second
)

// Gate holds one entry host's places at one server. The zero Gate is that of a server that is not brittle. It is not
// safe for concurrent use.
type Gate struct {
	fact Fact
	// places are those that the leader gave, if assigned is true.
	places   int
	assigned bool
	// refusals counts requests within the assigned places that the server turned away since the last
	// report.
	refusals     int
	refusedUntil time.Time
	// peak is the highest number of requests in flight since the last report, and closedAt when a
	// request last found no place.
	peak     int
	closedAt time.Time
}

// Name records what a response of the server said.
func (g *Gate) Name(instance string, tolerated int, now time.Time) {
	if tolerated > 0 || g.fact.Instance != "" {
		g.set(Fact{instance, tolerated, now})
	}
}

func (g *Gate) set(f Fact) {
	if !f.NamedAt.After(g.fact.NamedAt) {
		return
	}
	if g.fact = f; f.Tolerated <= 0 {
		g.assigned, g.refusedUntil, g.refusals = false, time.Time{}, 0
	}
}

// Assign records what the leader knows of the server, and the places that it gave.
func (g *Gate) Assign(f Fact, places int) {
	g.set(f)
	if g.Brittle() {
		g.places, g.assigned = places, true
	}
}

// Brittle reports whether the server last said that it is brittle.
func (g *Gate) Brittle() bool { return g.fact.Tolerated > 0 }

// Refused records that the server turned a request away for want of room.
func (g *Gate) Refused(now time.Time) {
	if !g.Brittle() {
		return
	}
	g.refusedUntil = now.Add(refusalPause)
	if g.assigned {
		g.refusals++ // the leader gave too many places
	}
}

// limit returns the number of requests that this host may have there. Until the leader has assigned places it is
// an even share.
func (g *Gate) limit(slots, hosts int) int {
	if g.assigned {
		return g.places
	}
	return max(1, slots/max(1, hosts))
}

// Open reports whether another request may be sent to the server with the slots, where inFlight are there.
func (g *Gate) Open(inFlight, slots, hosts int, now time.Time) bool {
	if !g.Brittle() || slots <= 0 {
		return true
	}
	if inFlight < g.limit(slots, hosts) && !now.Before(g.refusedUntil) {
		g.peak = max(g.peak, inFlight+1)
		return true
	}
	g.closedAt = now
	return false
}

// Report returns what the leader must know of the server, and whether there is anything.
func (g *Gate) Report(inFlight int, now time.Time) (Fact, Demand, bool) {
	if g.fact.Instance == "" {
		return Fact{}, Demand{}, false
	}
	d := Demand{InFlight: inFlight, Refusals: g.refusals}
	peak := max(g.peak, inFlight)
	g.refusals, g.peak = 0, inFlight
	if g.assigned {
		d.Held = g.places
	}
	d.Wanted = peak
	if now.Sub(g.closedAt) < demandTime {
		d.Wanted += max(1, peak/2)
	}
	return g.fact, d, true
}
