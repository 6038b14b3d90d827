package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
)

// A prompt must be sent when its turn has come, at an engine that reads it soon if there is one. It must be sent at once, as
// without bookings, if no engine reads it in time and if nobody answers.
func TestPromptsAwaitTheirTurn(t *testing.T) {
	ms := time.Millisecond
	later := func(wait time.Duration) func(prompts.Booking) (prompts.Slot, error) {
		return func(b prompts.Booking) (prompts.Slot, error) {
			return prompts.Slot{Booked: wait <= b.MaxWait, Wait: wait}, nil
		}
	}
	for name, tc := range map[string]struct {
		book     func(prompts.Booking) (prompts.Slot, error)
		unbooked bool // the service's prompts are not booked
		asked    int
		wait     time.Duration
	}{
		"at once":           {book: later(0), asked: 1},
		"soon":              {book: later(50 * ms), asked: 1, wait: 50 * ms},
		"all later":         {book: later(200 * ms), asked: 3, wait: 200 * ms},
		"all too late":      {book: later(time.Second), asked: 3},
		"nobody answers":    {book: func(prompts.Booking) (prompts.Slot, error) { return prompts.Slot{}, errReset }, asked: 1},
		"nothing is booked": {book: later(time.Second), unbooked: true},
		"another engine is idle": {book: func(b prompts.Booking) (prompts.Slot, error) {
			if b.Instance == "llm3" {
				return prompts.Slot{Booked: true}, nil
			}
			return later(300 * ms)(b)
		}, asked: -1},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.setGap(300 * ms)
				if !tc.unbooked {
					h.view.BookedServices = []string{llm}
				}
				asked := 0
				h.book = func(b prompts.Booking) (prompts.Slot, error) {
					asked++
					must.Eq(t, 50, b.Tokens)
					return tc.book(b)
				}
				h.respond = func(int, Attempt) reply {
					return reply{status: 200, body: &body{pieces: []string{event("1"), event("2")}}}
				}
				began := time.Now()
				_, err := h.ask("once", nil)
				if tc.asked >= 0 {
					must.Eq(t, tc.asked, asked)
				}
				must.NoError(t, err)
				must.Eq(t, tc.wait, time.Since(began))
				if name == "another engine is idle" {
					must.Eq(t, "llm3", h.sent[0].instance)
				}
				if asked > 0 && name != "nobody answers" && name != "all too late" {
					must.Len(t, 1, h.measured)
				}
			})
		})
	}
}

// setGap sets the acceptable pause of all streaming routes.
func (h *harness) setGap(gap time.Duration) {
	c := *h.view.Catalog
	for i := range c.Routes {
		if c.Routes[i].Streaming {
			c.Routes[i].Gap = gap
		}
	}
	next, err := catalog.New(c)
	must.NoError(h.t, err)
	h.view.Catalog = next
}

// A stream that goes on must not be refused for want of a turn.
func TestResumedStreamNeedsNoTurn(t *testing.T) {
	start(t, func(h *harness) {
		h.setGap(300 * time.Millisecond)
		h.view.BookedServices = []string{llm}
		bookings := 0
		h.book = func(prompts.Booking) (prompts.Slot, error) {
			bookings++
			return prompts.Slot{Booked: bookings == 1, Wait: time.Hour * time.Duration(bookings-1)}, nil
		}
		h.respond = func(n int, a Attempt) reply {
			if n == 0 {
				return reply{status: 200, body: &body{pieces: []string{event("1")}, end: errReset}}
			}
			return reply{status: 200, body: &body{pieces: []string{event("2")}}}
		}
		c, err := h.ask("stream", nil)
		must.NoError(t, err)
		must.False(t, c.aborted)
		must.Eq(t, event("1")+event("2"), c.String())
	})
}

// The leader must learn which streams paused for longer than their route accepts.
func TestPausesAreReported(t *testing.T) {
	start(t, func(h *harness) {
		h.setGap(300 * time.Millisecond)
		for _, gap := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 20 * time.Millisecond} {
			h.respond = func(int, Attempt) reply {
				return reply{status: 200, body: &body{pieces: []string{event("1"), event("2"), event("3")}, gap: gap}}
			}
			_, err := h.ask("once", nil)
			must.NoError(t, err)
		}
		pauses := h.g.usageReport().GetPauses()
		must.Len(t, 1, pauses)
		must.Eq(t, 3, pauses[0].GetStreams())
		must.Eq(t, 1, pauses[0].GetLate())
		must.SliceEmpty(t, h.g.usageReport().GetPauses())
	})
}
