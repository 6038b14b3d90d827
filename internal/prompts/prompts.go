// Package prompts spaces the prompts that an engine reads, so that the streams which it runs do not pause for too
// long. An engine reads prompts in pieces between the tokens of its streams: where each step has a piece, an event of a
// few tokens takes as many pieces. Hosts cannot see this, since others send prompts to the same engine at the same
// time. So they book each prompt with the owner of the engine's ledger, which tells them when to send it.
//
// It answers the load of engines that read prompts slowly compared with the pause that callers accept. Where streams
// do not pause for too long, nothing is booked. The package does no I/O and takes the time as an argument.
package prompts

import "time"

const (
	// readFraction is the fraction of its time that an engine may spend reading prompts. The rest is left for the
	// tokens of its streams, and for prompts that were not booked.
	readFraction = 0.8
	// initialRate is the assumed rate at which an engine reads prompts, in tokens per millisecond, before any was
	// measured; minRate and maxRate bound what is believed.
	initialRate, minRate, maxRate = 20.0, 2.0, 400.0
	// rateWeight is the weight of a measurement, and slowerWeight that of one below the rate: what a prompt waited for
	// at its engine does not make the engine slower.
	rateWeight, slowerWeight = 0.2, 0.05
	// minMeasuredTokens is the size of a prompt from which its time tells the rate.
	minMeasuredTokens = 200
	// firstEventTime is the part of the time to a first event that is not spent on the prompt.
	firstEventTime = 12 * time.Millisecond
	// retention is how long an unused ledger is kept.
	retention = time.Minute
)

// Booking asks when a prompt may be sent.
type Booking struct {
	Instance string
	// Tokens is the number of tokens to read.
	Tokens int
	// MaxWait is how long the prompt may wait; it is not booked if it would wait longer.
	MaxWait time.Duration
}

// Slot is the answer to a booking.
type Slot struct {
	Booked bool
	// Wait is when the prompt may be sent, or could have been.
	Wait time.Duration
}

// Measurement is the time to the first event of a prompt that an engine has read.
type Measurement struct {
	Instance string
	Tokens   int
	// Took is the time from its sending to the first event.
	Took time.Duration
}

// Book holds the ledgers of the engines that one host owns. It is not safe for concurrent use.
type Book struct {
	ledgers  map[string]*ledger
	prunedAt time.Time
}

// ledger holds the prompts of one engine.
type ledger struct {
	// freeAt is when the engine has read all prompts, and its streams have had their part of the time.
	freeAt time.Time
	// rate is the rate at which the engine reads prompts, in tokens per millisecond.
	rate float64
}

// NewBook returns a book without ledgers.
func NewBook() *Book { return &Book{ledgers: map[string]*ledger{}} }

func (b *Book) ledger(instance string, now time.Time) *ledger {
	l := b.ledgers[instance]
	if l == nil {
		l = &ledger{freeAt: now, rate: initialRate}
		b.ledgers[instance] = l
	}
	return l
}

// Reserve books a prompt if it need not wait too long.
func (b *Book) Reserve(r Booking, now time.Time) Slot {
	b.prune(now)
	l := b.ledger(r.Instance, now)
	prompt := time.Duration(float64(max(0, r.Tokens)) / l.rate * float64(time.Millisecond))
	// Streams go on between two prompts, so the engine reads one at a time.
	at := now
	if l.freeAt.After(at) {
		at = l.freeAt
	}
	s := Slot{Wait: at.Sub(now)}
	if s.Wait > r.MaxWait {
		return s
	}
	l.freeAt, s.Booked = at.Add(time.Duration(float64(prompt)/readFraction)), true
	return s
}

// Measure corrects the rate of an engine.
func (b *Book) Measure(m Measurement, now time.Time) {
	took := m.Took - firstEventTime
	if m.Tokens < minMeasuredTokens || took <= 0 {
		return
	}
	l := b.ledger(m.Instance, now)
	rate := min(max(float64(m.Tokens)/(float64(took)/float64(time.Millisecond)), minRate), maxRate)
	weight := rateWeight
	if rate < l.rate {
		weight = slowerWeight
	}
	l.rate += weight * (rate - l.rate)
}

func (b *Book) prune(now time.Time) {
	if now.Sub(b.prunedAt) < retention {
		return
	}
	b.prunedAt = now
	for instance, l := range b.ledgers {
		if now.Sub(l.freeAt) > retention {
			delete(b.ledgers, instance)
		}
	}
}
