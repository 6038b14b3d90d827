package rate

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// balance is one team's tokens on one host. held + open + spent + returned is the
// number of tokens received from the lender of the current term.
type balance struct {
	held, spent, returned uint64
	open                  uint64            // sum of refundable reservations
	slots                 [holdSlots]uint64 // open by age class
	slot                  int64             // newest age class
	expires               time.Time         // end of validity of held and open
	generation            uint64            // grows when open reservations lose their refund
	previous              uint64            // tokens of an earlier term, never renewed
	previousExpires       time.Time
	debt                  uint64 // use beyond reservations, taken from later grants
	taken, queued         uint64 // demand since the last request
	demand                float64
	retryAt               time.Time
}

func (p *balance) available() uint64 { return p.held + p.previous }

// advance expires tokens and ends the refund of reservations that are too old.
func (p *balance) advance(now time.Time) {
	if p.previous > 0 && !now.Before(p.previousExpires) {
		p.previous = 0
	}
	if p.held+p.open > 0 && !now.Before(p.expires) {
		p.voidOpen()
		p.spent += p.held
		p.held = 0
	}
	p.age(now)
}

func (p *balance) age(now time.Time) {
	slot := now.UnixNano() / int64(slotSpan)
	if slot <= p.slot {
		return
	}
	for i := p.slot + 1; i <= min(slot, p.slot+holdSlots); i++ {
		old := &p.slots[i%holdSlots]
		p.open -= *old
		p.spent += *old
		*old = 0
	}
	p.slot = slot
}

func (p *balance) voidOpen() {
	p.spent += p.open
	p.open = 0
	p.slots = [holdSlots]uint64{}
	p.generation++
}

func (p *balance) take(r *reservation, now time.Time) bool {
	if p.available() < r.tokens {
		return false
	}
	r.generation, r.slot = p.generation, p.slot
	if old := min(p.previous, r.tokens); old > 0 {
		// Tokens of an earlier term are not refundable under this one.
		p.previous -= old
		p.held -= r.tokens - old
		p.spent += r.tokens - old
		r.slot = -1
		return true
	}
	p.held -= r.tokens
	p.open += r.tokens
	p.slots[p.slot%holdSlots] += r.tokens
	return true
}

func (p *balance) settle(r *reservation, used uint64) {
	if used > r.tokens {
		p.debt += used - r.tokens
		p.payDebt()
		used = r.tokens
	}
	if r.generation != p.generation || r.slot < 0 || r.slot <= p.slot-holdSlots {
		return
	}
	p.slots[r.slot%holdSlots] -= r.tokens
	p.open -= r.tokens
	p.spent += used
	p.held += r.tokens - used
}

func (p *balance) payDebt() {
	paid := min(p.debt, p.held)
	p.held -= paid
	p.spent += paid
	p.debt -= paid
}

// changeTerm starts new counters. The tokens of the earlier lender stay usable
// until they expire, which the new lender waits for.
func (p *balance) changeTerm() {
	p.voidOpen()
	if p.held > 0 {
		p.previous, p.previousExpires = p.held, p.expires
	}
	p.held, p.spent, p.returned = 0, 0, 0
}

func (p *balance) apply(g *apiv1.TeamGrant, sent time.Time) {
	p.retryAt = sent.Add(time.Duration(g.GetRetryAfterMs()) * time.Millisecond)
	if g.GetValidMs() == 0 {
		p.voidOpen()
		p.held, p.spent, p.returned = 0, 0, 0
		return
	}
	p.expires = sent.Add(time.Duration(g.GetValidMs()) * time.Millisecond)
	p.held += g.GetGranted()
	p.payDebt()
}

// estimate updates the demand per second, with a time constant of 1 s. A single
// large request of a small team must not look like a high rate, or each host
// would hold a part of a burst that is worth a few requests only.
func (p *balance) estimate(interval time.Duration) {
	if interval <= 0 {
		return
	}
	now := float64(p.taken) / interval.Seconds()
	p.demand += (now - p.demand) * min(1, interval.Seconds())
	p.taken = 0
}

const (
	// targetSeconds of the mean demand are held in advance. Requests beyond it
	// wait for one Borrow; more would lie idle while another host lacks it.
	targetSeconds = 0.8
	// keepRatio is how much more than the target a host keeps.
	keepRatio = 1.25
)

// report returns the team's part of a request, or nil when there is nothing to say.
func (p *balance) report(team string) *apiv1.TeamBorrow {
	target := uint64(p.demand*targetSeconds) + p.queued + p.debt
	p.queued = 0
	if keep := uint64(keepRatio * float64(target)); p.held > keep {
		p.returned += p.held - keep
		p.held = keep
	}
	want := target - min(target, p.held)
	if want+p.held+p.open+p.spent+p.returned == 0 {
		return nil
	}
	return &apiv1.TeamBorrow{Team: team, Spent: p.spent, Unspent: p.held + p.open, Want: want, Returned: p.returned}
}
