package warmup

import "time"

// Gate holds one host's part of what a cold server takes. The zero Gate is that of a warm server. It is not safe for
// concurrent use.
type Gate struct {
	share Share
	// tokens is the number of requests that may be sent, at most one, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// Assign sets the share. The bucket of a server that becomes cold is empty: all hosts learn of it at the same time.
func (g *Gate) Assign(s Share, now time.Time) {
	if !g.cold(now) {
		g.tokens, g.filledAt = 0, now
	}
	g.share = s
}

func (g *Gate) cold(now time.Time) bool { return g.share.Until.After(now) }

func (g *Gate) fill(now time.Time) {
	if elapsed := now.Sub(g.filledAt); elapsed > 0 {
		g.tokens = min(1, g.tokens+elapsed.Seconds()*g.share.PerSecond)
	}
	g.filledAt = now
}

// Open reports whether a request may be sent now.
func (g *Gate) Open(now time.Time) bool {
	if !g.cold(now) {
		return true
	}
	g.fill(now)
	return g.tokens >= 1
}

// Take counts a request and reports whether it may be sent.
func (g *Gate) Take(now time.Time) bool {
	if !g.Open(now) {
		return false
	}
	if g.cold(now) {
		g.tokens--
	}
	return true
}

// OpenIn returns the time until a request may be sent.
func (g *Gate) OpenIn(now time.Time) time.Duration {
	switch {
	case g.Open(now):
		return 0
	case g.share.PerSecond <= 0:
		return g.share.Until.Sub(now)
	}
	return min(time.Duration((1-g.tokens)/g.share.PerSecond*float64(time.Second)), g.share.Until.Sub(now))
}
