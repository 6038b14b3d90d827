package serverlimit

import (
	"math"
	"time"
)

// Gate holds one entry host's part of the limit of one server. The zero Gate has no limit. It is
// not safe for concurrent use.
type Gate struct {
	// named is what the last response to this host said, assigned what the leader said.
	named, assigned Limit
	// tokens is the number of requests that may be sent, at most burst, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// burst is the number of requests that a host may send at once to a server with a limit.
const burst = 1

// Name records that a response of the server named a limit, or none with 0.
func (g *Gate) Name(instance string, perSecond float64, now time.Time) {
	if perSecond <= 0 && g.named.PerSecond == 0 && g.assigned.PerSecond == 0 {
		return
	}
	g.begin(now)
	g.named = Limit{Instance: instance, PerSecond: perSecond, NamedAt: now}
}

// Assign records the leader's limit and share; a zero Limit when it knows of none.
func (g *Gate) Assign(l Limit, now time.Time) {
	if l.PerSecond > 0 {
		g.begin(now)
	} else if l.NamedAt.After(g.named.NamedAt) {
		g.named = Limit{}
	}
	g.assigned = l
}

// begin starts an empty bucket when the first limit becomes known: all hosts learn of it at the same
// time, and a request each would be many.
func (g *Gate) begin(now time.Time) {
	if !g.limited() {
		g.tokens, g.filledAt = 0, now
	}
}

// limited reports whether a limit is in force. Only the leader ends a limit that it has
// assigned: it knows the responses to all hosts.
func (g *Gate) limited() bool { return g.assigned.PerSecond > 0 || g.named.PerSecond > 0 }

// share returns this host's requests a second. Until the leader has assigned one, and when a
// response has named a lower limit since, it is no more than an even share.
func (g *Gate) share(hosts int) float64 {
	if g.assigned.PerSecond <= 0 {
		return g.named.PerSecond / float64(max(1, hosts))
	}
	if g.named.PerSecond > 0 && g.named.PerSecond < g.assigned.PerSecond && g.named.NamedAt.After(g.assigned.NamedAt) {
		return g.assigned.Share * g.named.PerSecond / g.assigned.PerSecond
	}
	return g.assigned.Share
}

func (g *Gate) fill(now time.Time, hosts int) {
	if elapsed := now.Sub(g.filledAt); elapsed > 0 {
		g.tokens = math.Min(burst, g.tokens+elapsed.Seconds()*g.share(hosts))
	}
	g.filledAt = now
}

// Open reports whether a request may be sent to the server now.
func (g *Gate) Open(now time.Time, hosts int) bool {
	if !g.limited() {
		return true
	}
	g.fill(now, hosts)
	return g.tokens >= 1 && g.share(hosts) > 0
}

// Take counts a request to the server and reports whether it may be sent.
func (g *Gate) Take(now time.Time, hosts int) bool {
	if !g.Open(now, hosts) {
		return false
	}
	if g.limited() {
		g.tokens--
	}
	return true
}

// OpenIn returns the time until a request may be sent, or a long time when this host has no share.
func (g *Gate) OpenIn(now time.Time, hosts int) time.Duration {
	if g.Open(now, hosts) {
		return 0
	}
	share := g.share(hosts)
	if share <= 0 {
		return time.Hour
	}
	return time.Duration((1 - g.tokens) / share * float64(time.Second))
}

// Known returns the newest of what this host knows of the limit, and whether it knows anything.
func (g *Gate) Known() (Limit, bool) {
	l := g.assigned
	if g.named.NamedAt.After(l.NamedAt) {
		l = g.named
	}
	return l, l.Instance != ""
}
