package prompts

import (
	"math"
	"slices"
	"time"
)

const (
	// countHalfLife is the half-life of the counts of streams.
	countHalfLife = 15 * time.Second
	// maxLateFraction is the fraction of streams that pause for too long from which the prompts of their service
	// are booked, and minStreams the number of streams that tell. Engines that fail or fill up make streams pause
	// for seconds, too, which booking does not help; a service whose engines read slowly shows it all the time.
	maxLateFraction = 0.06
	minStreams      = 100
	// bookedTime is how long prompts are booked after streams last paused for too long. While they are booked, few
	// do.
	bookedTime = time.Minute
)

// Pauses counts the streams of a service that have ended.
type Pauses struct {
	Service string
	// Streams is their number, and Late of those that paused for longer than is acceptable.
	Streams, Late uint32
}

// Watch decides of which services prompts are booked. It is not safe for concurrent use.
type Watch struct{ services map[string]*pauseCount }

type pauseCount struct {
	streams, late float64
	at            time.Time
	bookedUntil   time.Time
}

// NewWatch returns a watch of which nothing is booked.
func NewWatch() *Watch { return &Watch{services: map[string]*pauseCount{}} }

// Observe counts the streams that a host has reported.
func (w *Watch) Observe(p Pauses, now time.Time) {
	c := w.services[p.Service]
	if c == nil {
		c = &pauseCount{at: now}
		w.services[p.Service] = c
	}
	decay := math.Exp2(-float64(now.Sub(c.at)) / float64(countHalfLife))
	c.streams, c.late, c.at = c.streams*decay+float64(p.Streams), c.late*decay+float64(p.Late), now
	if c.streams >= minStreams && c.late > maxLateFraction*c.streams {
		c.bookedUntil = now.Add(bookedTime)
	}
}

// Booked returns the services whose prompts are booked, sorted.
func (w *Watch) Booked(now time.Time) []string {
	var out []string
	for service, c := range w.services {
		if now.Before(c.bookedUntil) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}
