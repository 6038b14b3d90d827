package rate

import (
	"math"
	"math/bits"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// reserveDivisor sets the reserve of a bucket: burst/reserveDivisor tokens, which a
// lender never has outstanding. A new lender does not know how many tokens an
// earlier one has outstanding, but the reserve is not among them, so that it can
// grant the reserve at once. Without a reserve, every team waited for all earlier
// grants to expire after a change of the leader.
const reserveDivisor = 16

// MaxReservation returns the largest number of tokens that may be outstanding, which
// is also the largest reservation of one request.
func MaxReservation(burst uint64) uint64 { return burst - burst/reserveDivisor }

// bucket is one team's token bucket at the lender.
type bucket struct {
	rate, burst uint64
	level       uint64
	carry       uint64 // fraction of a token not yet added to level, in tokens x 1e-9
	leased      uint64 // sum of the leases' outstanding tokens
	spent       uint64
	refilled    time.Time
	// earlierExpires is the time until which an earlier lender's tokens may be in
	// use; all tokens that it may have granted count as outstanding until then.
	earlierExpires time.Time
	// earlierActive is true until earlierExpires.
	earlierActive bool
	// lendReserve is true if the reserve may be granted before earlierExpires.
	lendReserve bool
	removed     bool
	leases      map[leaseKey]*lease
	demands     []uint64 // reused by updateFairShare
	// fairShare and totalUnmet are the last result of updateFairShare and the sum
	// of the unmet demands at that time.
	fairShare, totalUnmet uint64
	fairShareAt           time.Time
}

func newBucket(earlierExpires time.Time, lendReserve bool, now time.Time) *bucket {
	return &bucket{earlierExpires: earlierExpires, earlierActive: now.Before(earlierExpires), lendReserve: lendReserve, refilled: now, leases: map[leaseKey]*lease{}}
}

func (b *bucket) setRate(rate, burst uint64) {
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.maxLevel())
}

// maxLevel returns the largest level for which level + outstanding does not exceed
// the burst.
func (b *bucket) maxLevel() uint64 {
	limit := b.burst - b.earlierOutstanding()
	if b.leased >= limit {
		return 0
	}
	return limit - b.leased
}

// earlierOutstanding returns how many tokens an earlier lender may have outstanding.
func (b *bucket) earlierOutstanding() uint64 {
	switch {
	case !b.earlierActive:
		return 0
	case b.lendReserve:
		return MaxReservation(b.burst)
	default:
		return b.burst
	}
}

func (b *bucket) outstanding() uint64 { return b.leased + b.earlierOutstanding() }

// refill adds the tokens since the last refill, up to maxLevel.
func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilled) {
		return
	}
	hi, lo := bits.Mul64(b.rate, uint64(now.Sub(b.refilled)))
	lo, overflow := bits.Add64(lo, b.carry, 0)
	hi += overflow
	b.refilled = now
	b.earlierActive = now.Before(b.earlierExpires)
	if hi >= uint64(time.Second) {
		b.level, b.carry = b.maxLevel(), 0
		return
	}
	tokens, carry := bits.Div64(hi, lo, uint64(time.Second))
	b.carry = carry
	if maxLevel := b.maxLevel(); tokens >= maxLevel || b.level >= maxLevel-tokens {
		b.level, b.carry = maxLevel, 0
		return
	}
	b.level += tokens
}

// applyReport applies the host's counters to its lease. Tokens granted in a
// response that the host did not receive are added to the level again. It returns
// false if the counters contradict the lease.
func (b *bucket) applyReport(ls *lease, tb *apiv1.TeamBorrow) bool {
	received := tb.GetSpent() + tb.GetUnspent() + tb.GetReturned()
	if received > ls.granted || tb.GetSpent() < ls.spent || tb.GetReturned() < ls.returned {
		return false
	}
	lost := ls.granted - received
	refunded := lost + tb.GetReturned() - ls.returned
	spent := tb.GetSpent() - ls.spent
	ls.granted, ls.spent, ls.returned = received, tb.GetSpent(), tb.GetReturned()
	b.leased -= refunded + spent
	b.spent += spent
	b.level = min(b.level+refunded, b.maxLevel())
	return true
}

// reclaim deletes a lease that its host is known not to have received and adds its
// tokens to the level again.
func (b *bucket) reclaim(key leaseKey) {
	if ls := b.leases[key]; ls != nil {
		b.leased -= ls.outstanding()
		b.level = min(b.level+ls.outstanding(), b.maxLevel())
		delete(b.leases, key)
	}
}

// lease returns the host's lease, or nil if there is none or it has expired.
func (b *bucket) lease(key leaseKey, now time.Time) *lease {
	if ls := b.leases[key]; ls != nil && !now.Before(ls.expires) {
		b.expireLease(key)
	}
	return b.leases[key]
}

// expireLease deletes a lease and counts its tokens as spent.
func (b *bucket) expireLease(key leaseKey) {
	if ls := b.leases[key]; ls != nil {
		b.leased -= ls.outstanding()
		b.spent += ls.outstanding()
		delete(b.leases, key)
	}
}

func (b *bucket) expireLeases(now time.Time) {
	for key, ls := range b.leases {
		if !now.Before(ls.expires) {
			b.expireLease(key)
		}
	}
}

// grant divides the level by max-min fairness between the hosts with unmet demand,
// so that a burst at one host leaves tokens for the others. A host's recent grants
// count, since the order of the Borrow calls would decide otherwise.
func (b *bucket) grant(ls *lease, now time.Time) uint64 {
	fairShare := b.updateFairShare(now)
	lendable := MaxReservation(b.burst) - min(MaxReservation(b.burst), b.leased)
	granted := min(ls.unmet, b.level, lendable, fairShare-min(fairShare, uint64(ls.recentGrants)))
	b.level -= granted
	b.leased += granted
	ls.granted += granted
	ls.unmet -= granted
	ls.recentGrants += float64(granted)
	return granted
}

// updateFairShare returns the largest s with sum(min(recentGrants + unmet, s)) <=
// level + sum(recentGrants) over the hosts with unmet demand. With many hosts it is
// computed once per fairShareInterval; grants are limited by the level also if the
// fair share is outdated.
func (b *bucket) updateFairShare(now time.Time) uint64 {
	if len(b.leases) > maxExactLeases && now.Sub(b.fairShareAt) < fairShareInterval {
		return b.fairShare
	}
	b.fairShareAt, b.fairShare, b.totalUnmet = now, math.MaxUint64, 0
	remaining, demands := b.level, b.demands[:0]
	for _, ls := range b.leases {
		if ls.hasDemand(now) {
			recent := uint64(ls.decay(now))
			remaining += recent
			demands = append(demands, recent+ls.unmet)
			b.totalUnmet += ls.unmet
		}
	}
	b.demands = demands
	slices.Sort(demands)
	for i, demand := range demands {
		n := uint64(len(demands) - i)
		if demand > remaining/n {
			b.fairShare = (remaining + n - 1) / n
			break
		}
		remaining -= demand
	}
	return b.fairShare
}

// hasDemand reports whether the host reported an unmet demand within
// unmetDemandTTL.
func (ls *lease) hasDemand(now time.Time) bool {
	return ls.unmet > 0 && now.Sub(ls.demandAt) <= unmetDemandTTL
}

// decay halves recentGrants each recentHalfLife and returns it.
func (ls *lease) decay(now time.Time) float64 {
	if age := now.Sub(ls.decayedAt); age > 0 {
		ls.recentGrants *= math.Exp2(-float64(age) / float64(recentHalfLife))
		ls.decayedAt = now
	}
	return ls.recentGrants
}

// retryAfter estimates in how many milliseconds the unmet demand can be granted.
func (b *bucket) retryAfter(ls *lease, now time.Time) uint32 {
	if ls.unmet == 0 || b.rate == 0 {
		return 0
	}
	wait := time.Duration(float64(max(b.totalUnmet, ls.unmet)) / float64(b.rate) * float64(time.Second))
	return uint32(min(max(wait, time.Millisecond), time.Minute).Milliseconds())
}
