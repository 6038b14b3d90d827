package rate

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// balance is one team's tokens on one host. The sum held + open + spent + returned
// is the number of tokens received from the lender of the current term.
type balance struct {
	held, spent, returned uint64
	open                  uint64             // sum of refundable reservations
	openByAge             [ageClasses]uint64 // open by age class
	newestAge             int64              // newest age class
	expires               time.Time          // when held and open expire
	generation            uint64             // incremented when open reservations become non-refundable
	earlierTerm           uint64             // tokens of an earlier term, never renewed
	earlierTermExpires    time.Time
	debt                  uint64  // tokens used beyond reservations, deducted from later grants
	reserved, queued      uint64  // tokens reserved, and lacking, since the last request
	demandRate            float64 // tokens per second
	retryAt               time.Time
}

func (b *balance) available() uint64 { return b.held + b.earlierTerm }

// advance expires tokens and counts reservations older than refundWindow as spent.
func (b *balance) advance(now time.Time) {
	if b.earlierTerm > 0 && !now.Before(b.earlierTermExpires) {
		b.earlierTerm = 0
	}
	if b.held+b.open > 0 && !now.Before(b.expires) {
		b.spendOpen()
		b.spent += b.held
		b.held = 0
	}
	b.expireRefunds(now)
}

// expireRefunds counts reservations older than refundWindow as spent.
func (b *balance) expireRefunds(now time.Time) {
	class := now.UnixNano() / int64(ageClassSpan)
	if class <= b.newestAge {
		return
	}
	for i := b.newestAge + 1; i <= min(class, b.newestAge+ageClasses); i++ {
		old := &b.openByAge[i%ageClasses]
		b.open -= *old
		b.spent += *old
		*old = 0
	}
	b.newestAge = class
}

// spendOpen counts all open reservations as spent.
func (b *balance) spendOpen() {
	b.spent += b.open
	b.open = 0
	b.openByAge = [ageClasses]uint64{}
	b.generation++
}

// reserve deducts the tokens of r. It returns false if there are too few.
func (b *balance) reserve(r *reservation, now time.Time) bool {
	if b.available() < r.tokens {
		return false
	}
	r.generation, r.ageClass = b.generation, b.newestAge
	if earlier := min(b.earlierTerm, r.tokens); earlier > 0 {
		// Tokens of an earlier term are not refundable under this one.
		b.earlierTerm -= earlier
		b.held -= r.tokens - earlier
		b.spent += r.tokens - earlier
		r.ageClass = -1
		return true
	}
	b.held -= r.tokens
	b.open += r.tokens
	b.openByAge[b.newestAge%ageClasses] += r.tokens
	return true
}

// settle refunds the unused tokens of r if it is still refundable, and adds tokens
// used beyond r to the debt.
func (b *balance) settle(r *reservation, used uint64) {
	if used > r.tokens {
		b.debt += used - r.tokens
		b.payDebt()
		used = r.tokens
	}
	if r.generation != b.generation || r.ageClass < 0 || r.ageClass <= b.newestAge-ageClasses {
		return
	}
	b.openByAge[r.ageClass%ageClasses] -= r.tokens
	b.open -= r.tokens
	b.spent += used
	b.held += r.tokens - used
}

// payDebt deducts the debt from the held tokens.
func (b *balance) payDebt() {
	paid := min(b.debt, b.held)
	b.held -= paid
	b.spent += paid
	b.debt -= paid
}

// changeTerm resets the counters. The tokens of the earlier lender stay usable
// until they expire; the new lender counts them as outstanding until then.
func (b *balance) changeTerm() {
	b.spendOpen()
	if b.held > 0 {
		b.earlierTerm, b.earlierTermExpires = b.held, b.expires
	}
	b.held, b.spent, b.returned = 0, 0, 0
}

// apply applies the grant in the response to a request sent at sent.
func (b *balance) apply(g *apiv1.TeamGrant, sent time.Time) {
	b.retryAt = sent.Add(time.Duration(g.GetRetryAfterMs()) * time.Millisecond)
	if g.GetValidMs() == 0 {
		b.spendOpen()
		b.held, b.spent, b.returned = 0, 0, 0
		return
	}
	b.expires = sent.Add(time.Duration(g.GetValidMs()) * time.Millisecond)
	b.held += g.GetGranted()
	b.payDebt()
}

// updateDemandRate updates the demand per second, with a time constant of 1 s. A single
// large request of a small team must not look like a high rate, or the hosts
// would split up a burst that is only enough for a few requests.
func (b *balance) updateDemandRate(interval time.Duration) {
	if interval <= 0 {
		return
	}
	rate := float64(b.reserved) / interval.Seconds()
	b.demandRate += (rate - b.demandRate) * min(1, interval.Seconds())
	b.reserved = 0
}

const (
	// targetSeconds is the period whose mean demand a host holds in advance.
	// Requests beyond it wait for one Borrow; a longer period would leave tokens
	// unused while another host lacks them.
	targetSeconds = 0.8
	// maxHeldRatio is the multiple of the target above which a host returns tokens.
	maxHeldRatio = 1.25
)

// report returns the team's part of a request, or nil if all its counters are 0.
func (b *balance) report(team string) *apiv1.TeamBorrow {
	target := uint64(b.demandRate*targetSeconds) + b.queued + b.debt
	b.queued = 0
	if maxHeld := uint64(maxHeldRatio * float64(target)); b.held > maxHeld {
		b.returned += b.held - maxHeld
		b.held = maxHeld
	}
	want := target - min(target, b.held)
	if want+b.held+b.open+b.spent+b.returned == 0 {
		return nil
	}
	return &apiv1.TeamBorrow{Team: team, Spent: b.spent, Unspent: b.held + b.open, Want: want, Returned: b.returned}
}
