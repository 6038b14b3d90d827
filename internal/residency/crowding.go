package residency

import (
	"math"
	"time"
)

const (
	// minFullSpeed is the lowest number of loads at once that the weight store is assumed to serve at
	// full speed.
	minFullSpeed = 4
	// lateWeight limits how far one late load lowers the assumed number, as a fraction of it. The load
	// may be late for another reason, such as a restart of its engine.
	lateWeight = 0.1
	// fullSpeedRecovery is the fraction by which the assumed number grows in a second.
	fullSpeedRecovery = 0.05
)

// crowding estimates how long loads from the weight store take. The store serves a number of loads
// at once at full speed, and each takes longer in proportion beyond it. The platform does not tell that
// number, which late loads show. It answers the load of days on which more adapters are
// asked for than the store delivers.
type crowding struct {
	// fullSpeed is the assumed number of loads at once at full speed as of updatedAt; 0 before
	// the first late load.
	fullSpeed float64
	updatedAt time.Time
}

// atOnce returns the number of loads at once that the store serves at full speed, at most limit.
func (c *crowding) atOnce(limit int, now time.Time) float64 {
	if c.fullSpeed == 0 {
		return float64(limit)
	}
	return min(float64(limit), c.fullSpeed*math.Exp(fullSpeedRecovery*now.Sub(c.updatedAt).Seconds()))
}

// loadTime returns the time of a load that takes base at full speed, while n loads run.
func (c *crowding) loadTime(n, limit int, base time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(base) * max(1, float64(n)/c.atOnce(limit, now)))
}

// observeLate records that one of n loads has not ended after the time elapsed.
func (c *crowding) observeLate(elapsed time.Duration, n, limit int, base time.Duration, now time.Time) {
	before := c.atOnce(limit, now)
	shown := float64(n) * float64(base) / float64(max(elapsed, base))
	if shown < before {
		c.fullSpeed, c.updatedAt = max(minFullSpeed, shown, before*(1-lateWeight)), now
	}
}
