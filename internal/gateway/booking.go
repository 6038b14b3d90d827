package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
)

// alternativeWait is how long a prompt waits for its turn at an engine while another engine could take it.
const alternativeWait = 60 * time.Millisecond

// turn is the result of a booking.
type turn int

const (
	// turnNow: the prompt may be sent.
	turnNow turn = iota
	// turnElsewhere: another engine is to be asked.
	turnElsewhere
)

// booksPrompts reports whether the request's prompt is booked before it is sent.
func (ar *activeRequest) booksPrompts(v *exchange.View) bool {
	return ar.r.Generation && ar.route.Gap > 0 && slices.Contains(v.BookedServices, ar.service.Name)
}

// awaitTurn books the prompt at the engine, and waits until it may be sent. others is the number of engines that could
// take it instead. Without an answer, and for a stream that goes on, the prompt is sent at once.
func (ar *activeRequest) awaitTurn(ctx context.Context, v *exchange.View, p *placement, others int) (turn, error) {
	if !ar.booksPrompts(v) {
		return turnNow, nil
	}
	now := ar.g.opts.Now()
	b := prompts.Booking{Instance: p.server.Instance, Tokens: p.tokens, MaxWait: ar.usefulWait(now)}
	askedAll := ar.askedAll || others == 0
	if !askedAll {
		b.MaxWait = min(b.MaxWait, alternativeWait)
	}
	slot, err := ar.g.opts.Fleet.BookPrompt(ctx, b)
	if err != nil {
		ar.g.metrics.bookings.Add("not_answered", 1)
		return turnNow, nil
	}
	if slot.Booked {
		ar.g.metrics.bookings.Add("booked", 1)
		ar.promptWait += slot.Wait
		p.booked = true
		if !sleep(ctx, slot.Wait) {
			return turnNow, context.Cause(ctx)
		}
		return turnNow, nil
	}
	ar.g.metrics.bookings.Add("too_late", 1)
	if askedAll || ar.begun() {
		// The ledger spaces prompts and does not know the engine's room: what has no turn in time is sent, as it
		// would be without ledgers. Whether the engine is overloaded is decided by its load.
		return turnNow, nil
	}
	ar.crowded[p.server.Instance] = true
	return turnElsewhere, nil
}

// askAgain has all engines asked again that could not read the prompt soon, now for as long as the request may wait.
func (ar *activeRequest) askAgain() bool {
	if len(ar.crowded) == 0 || ar.askedAll {
		return false
	}
	ar.askedAll = true
	clear(ar.crowded)
	return true
}

// measurePrompt has the engine's ledger corrected by the time to the first event.
func (ar *activeRequest) measurePrompt(p placement, took time.Duration) {
	if p.booked {
		ar.g.opts.Fleet.MeasurePrompt(prompts.Measurement{Instance: p.server.Instance, Tokens: p.tokens, Took: took})
	}
}

// recordPauses counts the stream if its pauses tell how busy its engine was with prompts.
func (ar *activeRequest) recordPauses() {
	if ar.longestPause > 0 && ar.r.Generation && ar.route.Gap > 0 && len(ar.attemptLog) == 1 && !ar.attemptLog[0].relayed {
		ar.g.usage.recordPauses(ar.service.Name, ar.longestPause > ar.route.Gap)
	}
}
