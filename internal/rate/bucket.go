package rate

import (
	"math"
	"math/bits"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// reserveShare is the part of a burst that no lender ever has outstanding, as a
// divisor. A new lender can't know what an earlier one has outstanding, but it
// knows that this part is not, and lends within it at once. Without it, every
// team waited for the end of all earlier grants after a change of the leader.
const reserveShare = 16

// MaxReservation returns the largest number of tokens that may be outstanding, and so
// the largest reservation of one request.
func MaxReservation(burst uint64) uint64 { return burst - burst/reserveShare }

// bucket is one team's token bucket at the lender.
type bucket struct {
	rate, burst uint64
	level       uint64
	carry       uint64 // refill that is less than one token, in tokens x 1e-9
	leased      uint64 // sum of the leases' outstanding tokens
	spent       uint64
	refilled    time.Time
	// assumed is the time until which an earlier lender's tokens may be in use;
	// all that it may have lent counts as outstanding until then.
	assumed time.Time
	// waits is true until assumed has passed.
	waits bool
	// reserve is true when the part that earlier lenders kept back may be lent
	// before assumed has passed.
	reserve bool
	removed bool
	leases  map[holderKey]*lease
	wants   []uint64 // reused by fairShare
	// share and unmet are the last result of fairShare and the wants it saw.
	share, unmet uint64
	shareAt      time.Time
}

func newBucket(assumed time.Time, reserve bool, now time.Time) *bucket {
	return &bucket{assumed: assumed, waits: now.Before(assumed), reserve: reserve, refilled: now, leases: map[holderKey]*lease{}}
}

func (b *bucket) setRate(rate, burst uint64) {
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.room())
}

// room is how many tokens may be at the lender beside the outstanding ones.
func (b *bucket) room() uint64 {
	whole := b.burst - b.assumedLent()
	if b.leased >= whole {
		return 0
	}
	return whole - b.leased
}

// assumedLent is what an earlier lender may have outstanding.
func (b *bucket) assumedLent() uint64 {
	switch {
	case !b.waits:
		return 0
	case b.reserve:
		return MaxReservation(b.burst)
	default:
		return b.burst
	}
}

func (b *bucket) outstanding() uint64 { return b.leased + b.assumedLent() }

func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilled) {
		return
	}
	hi, lo := bits.Mul64(b.rate, uint64(now.Sub(b.refilled)))
	lo, overflow := bits.Add64(lo, b.carry, 0)
	hi += overflow
	b.refilled = now
	b.waits = now.Before(b.assumed)
	if hi >= uint64(time.Second) {
		b.level, b.carry = b.room(), 0
		return
	}
	tokens, carry := bits.Div64(hi, lo, uint64(time.Second))
	b.carry = carry
	if room := b.room(); tokens >= room || b.level >= room-tokens {
		b.level, b.carry = room, 0
		return
	}
	b.level += tokens
}

// book takes over the host's counters. Tokens of an answer that the host did
// not receive go back to the level. It returns false when the counters do not
// fit the lease.
func (b *bucket) book(ls *lease, tb *apiv1.TeamBorrow) bool {
	received := tb.GetSpent() + tb.GetUnspent() + tb.GetReturned()
	if received > ls.granted || tb.GetSpent() < ls.spent || tb.GetReturned() < ls.returned {
		return false
	}
	lost := ls.granted - received
	back := lost + tb.GetReturned() - ls.returned
	spent := tb.GetSpent() - ls.spent
	ls.granted, ls.spent, ls.returned = received, tb.GetSpent(), tb.GetReturned()
	b.leased -= back + spent
	b.spent += spent
	b.level = min(b.level+back, b.room())
	return true
}

// reclaim returns a lease that its host is known not to have.
func (b *bucket) reclaim(key holderKey) {
	if ls := b.leases[key]; ls != nil {
		b.leased -= ls.outstanding()
		b.level = min(b.level+ls.outstanding(), b.room())
		delete(b.leases, key)
	}
}

// lease returns the holder's lease unless it has expired.
func (b *bucket) lease(key holderKey, now time.Time) *lease {
	if ls := b.leases[key]; ls != nil && !now.Before(ls.expires) {
		b.drop(key)
	}
	return b.leases[key]
}

// drop counts a lease as spent.
func (b *bucket) drop(key holderKey) {
	if ls := b.leases[key]; ls != nil {
		b.leased -= ls.outstanding()
		b.spent += ls.outstanding()
		delete(b.leases, key)
	}
}

func (b *bucket) expire(now time.Time) {
	for key, ls := range b.leases {
		if !now.Before(ls.expires) {
			b.drop(key)
		}
	}
}

// grant divides the level by max-min fairness between the hosts with unmet
// wants, so that a burst at one host leaves a share to the others. What a host
// got lately counts, or else the order of the Borrow calls would decide.
func (b *bucket) grant(ls *lease, now time.Time) uint64 {
	share := b.fairShare(now)
	lendable := MaxReservation(b.burst) - min(MaxReservation(b.burst), b.leased)
	granted := min(ls.unmet, b.level, lendable, share-min(share, uint64(ls.recent)))
	b.level -= granted
	b.leased += granted
	ls.granted += granted
	ls.unmet -= granted
	ls.recent += float64(granted)
	return granted
}

// fairShare returns the largest s with sum(min(recent + unmet, s)) <= level +
// sum(recent) over the hosts with unmet wants. With many hosts it is computed
// once per shareEvery; an older share cannot grant more than the level.
func (b *bucket) fairShare(now time.Time) uint64 {
	if len(b.leases) > fewLeases && now.Sub(b.shareAt) < shareEvery {
		return b.share
	}
	b.shareAt, b.share, b.unmet = now, math.MaxUint64, 0
	left, wants := b.level, b.wants[:0]
	for _, ls := range b.leases {
		if ls.contends(now) {
			recent := uint64(ls.decay(now))
			left += recent
			wants = append(wants, recent+ls.unmet)
			b.unmet += ls.unmet
		}
	}
	b.wants = wants
	slices.Sort(wants)
	for i, w := range wants {
		n := uint64(len(wants) - i)
		if w > left/n {
			b.share = (left + n - 1) / n
			break
		}
		left -= w
	}
	return b.share
}

func (ls *lease) contends(now time.Time) bool {
	return ls.unmet > 0 && now.Sub(ls.wanted) <= wantMemory
}

// decay halves recent each recentHalfLife.
func (ls *lease) decay(now time.Time) float64 {
	if age := now.Sub(ls.decayed); age > 0 {
		ls.recent *= math.Exp2(-float64(age) / float64(recentHalfLife))
		ls.decayed = now
	}
	return ls.recent
}

// retryAfter estimates when the rest of the want can be granted, in ms.
func (b *bucket) retryAfter(ls *lease, now time.Time) uint32 {
	if ls.unmet == 0 || b.rate == 0 {
		return 0
	}
	wait := time.Duration(float64(max(b.unmet, ls.unmet)) / float64(b.rate) * float64(time.Second))
	return uint32(min(max(wait, time.Millisecond), time.Minute).Milliseconds())
}
