package coordinator

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
)

// BookPrompt tells when a prompt may be sent to an engine. Hosts choose the owner of an engine's ledger, whichever host
// leads: a prompt that is booked with another one is spaced less well, and nothing else.
func (c *Coordinator) BookPrompt(_ context.Context, req *apiv1.BookPromptRequest) (*apiv1.BookPromptResponse, error) {
	now := c.opts.Now()
	c.promptsMu.Lock()
	defer c.promptsMu.Unlock()
	for _, m := range req.GetMeasured() {
		c.promptBook.Measure(prompts.Measurement{
			Instance: m.GetInstance(), Tokens: int(m.GetTokens()), Took: time.Duration(m.GetTookUs()) * time.Microsecond,
		}, now)
	}
	slot := c.promptBook.Reserve(prompts.Booking{
		Instance: req.GetInstance(), Tokens: int(req.GetTokens()),
		MaxWait: time.Duration(req.GetMaxWaitUs()) * time.Microsecond,
	}, now)
	c.metrics.bookings.Add(bookingOutcome(slot), 1)
	return &apiv1.BookPromptResponse{Booked: slot.Booked, WaitUs: uint32(slot.Wait.Microseconds())}, nil
}

func bookingOutcome(s prompts.Slot) string {
	switch {
	case !s.Booked:
		return "refused"
	case s.Wait > 0:
		return "later"
	}
	return "now"
}

// exchangePauses records the streams that a host reports, and returns the services whose prompts are booked.
func (l *leader) exchangePauses(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	for _, p := range req.GetPauses() {
		l.pauses.Observe(prompts.Pauses{Service: p.GetService(), Streams: p.GetStreams(), Late: p.GetLate()}, now)
	}
	resp.BookedServices = l.pauses.Booked(now)
}
