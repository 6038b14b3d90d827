package prompts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simEngine is an engine that reads prompts in pieces between the tokens of its streams.
type simEngine struct {
	// slowness multiplies all times.
	slowness float64
	waiting  []*simStream
	running  []*simStream
	now      time.Duration
}

// simStream is a request at an engine. asked is when its caller sent it, sentAt when the engine got it.
type simStream struct {
	asked, sentAt  time.Duration
	prompt, unread int
	tokens, made   int
	first, lastAt  time.Duration
	longest        time.Duration
}

const (
	simPiece  = 2048 // tokens
	simRate   = 19.1 // tokens per ms
	simStep   = 9 * time.Millisecond
	simStride = 3
	simGap    = 300 * time.Millisecond
	simAim    = 800 * time.Millisecond
)

// step runs one step of the batch and calls read for each prompt that has been read.
func (e *simEngine) step(read func(*simStream)) {
	left, began := simPiece, []*simStream(nil)
	for left > 0 && len(e.waiting) > 0 && e.waiting[0].sentAt <= e.now {
		s := e.waiting[0]
		n := min(left, s.unread)
		s.unread, left = s.unread-n, left-n
		if s.unread == 0 {
			began, e.waiting = append(began, s), e.waiting[1:]
		}
	}
	took := float64(simStep) + float64(len(e.running))*float64(40*time.Microsecond) + float64(simPiece-left)/simRate*float64(time.Millisecond)
	e.now += time.Duration(took * e.slowness)
	for _, s := range e.running {
		if s.made++; s.made%simStride == 0 || s.made >= s.tokens {
			s.longest, s.lastAt = max(s.longest, e.now-s.lastAt), e.now
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *simStream) bool { return s.made >= s.tokens })
	for _, s := range began {
		s.first, s.lastAt = e.now, e.now
		e.running = append(e.running, s)
		read(s)
	}
}

// advance runs the engine up to the time.
func (e *simEngine) advance(to time.Duration, read func(*simStream)) {
	for e.now < to {
		if len(e.running) == 0 && (len(e.waiting) == 0 || e.waiting[0].sentAt > e.now) {
			e.now = to
			if len(e.waiting) > 0 {
				e.now = min(to, e.waiting[0].sentAt)
			}
			continue
		}
		e.step(read)
	}
}

// played counts how callers fared.
type played struct{ streams, inTime, pausedTooLong, begunLate int }

func (p played) String() string {
	return fmt.Sprintf("%d of %d in time, %d paused too long, %d begun late", p.inTime, p.streams, p.pausedTooLong, p.begunLate)
}

// play sends perSecond prompts at random to 18 engines, a third of which are slower, for 30 s; their homes are given, as
// those of adapters that one engine holds.
func play(perSecond float64, booked bool) played {
	rng := rand.New(rand.NewPCG(uint64(perSecond), 7))
	engines := make([]*simEngine, 18)
	for i := range engines {
		engines[i] = &simEngine{slowness: []float64{1, 1, 1.3}[i%3]}
	}
	book := NewBook()
	var streams []*simStream
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		s := &simStream{asked: at, sentAt: at}
		s.prompt = min(4100, 100+int(math.Exp(rng.NormFloat64()*0.85)*800))
		s.unread, s.tokens = s.prompt, min(600, 9+int(math.Exp(rng.NormFloat64()*0.8)*110))
		streams = append(streams, s)
		i := rng.IntN(len(engines))
		instance := fmt.Sprint("e", i)
		engines[i].advance(at, func(read *simStream) {
			if booked {
				book.Measure(Measurement{instance, read.prompt, read.first - read.sentAt}, epoch.Add(at))
			}
		})
		if booked {
			slot := book.Reserve(Booking{instance, s.prompt, simAim * 8 / 10}, epoch.Add(at))
			if slot.Booked {
				s.sentAt = at + slot.Wait
			}
		}
		engines[i].waiting = append(engines[i].waiting, s)
		slices.SortStableFunc(engines[i].waiting, func(a, b *simStream) int { return int(a.sentAt - b.sentAt) })
	}
	for _, e := range engines {
		e.advance(time.Minute, func(*simStream) {})
	}
	var p played
	for _, s := range streams {
		p.streams++
		switch {
		case s.longest > simGap:
			p.pausedTooLong++
		case s.first-s.asked > simAim:
			p.begunLate++
		default:
			p.inTime++
		}
	}
	return p
}

// Prompts that hosts send to engines which read slowly must not make the streams there pause for too long, on calm days
// and under a load at which the engines read for half of their time. Spacing them must not delay others so that fewer are
// served in time. A prompt without a turn in time is sent at once.
func TestPromptsAreSpaced(t *testing.T) {
	for _, perSecond := range []float64{60, 110, 160} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			before, after := play(perSecond, false), play(perSecond, true)
			t.Log("sent at once: ", before)
			t.Log("booked:       ", after)
			must.LessEq(t, before.pausedTooLong/2, after.pausedTooLong)
			must.Greater(t, before.inTime, after.inTime)
		})
	}
}

// A prompt waits for those before it only, and a large one is not held back for good.
func TestReserve(t *testing.T) {
	b := NewBook()
	ask := func(tokens int, at, maxWait time.Duration) Slot {
		return b.Reserve(Booking{"e", tokens, maxWait}, epoch.Add(at))
	}
	must.Eq(t, Slot{Booked: true}, ask(100_000, 0, 0), must.Sprint("an idle engine reads any prompt at once"))
	second := ask(1000, 0, 0)
	must.False(t, second.Booked)
	must.Greater(t, 5*time.Second, second.Wait)
	must.Eq(t, second, ask(1000, 0, 0), must.Sprint("a prompt that is not booked takes no time"))
	must.True(t, ask(1000, second.Wait, time.Second).Booked)
	must.Eq(t, Slot{Booked: true}, b.Reserve(Booking{"other", 1000, 0}, epoch))
	must.Eq(t, Slot{Booked: true}, b.Reserve(Booking{"empty", -5, 0}, epoch))
}

// The measured rate must follow the engine, and no odd measurement may make it unusable.
func TestMeasure(t *testing.T) {
	b := NewBook()
	for range 60 {
		b.Measure(Measurement{"e", 1000, 112 * time.Millisecond}, epoch)
	}
	must.Between(t, 9.5, b.ledgers["e"].rate, 10.5)
	for _, odd := range []Measurement{{"e", 1000, 0}, {"e", 1000, -time.Hour}, {"e", 10, time.Hour}, {"e", 1 << 40, 13 * time.Millisecond}, {"e", 300, time.Hour}} {
		b.Measure(odd, epoch)
		must.Between(t, minRate, b.ledgers["e"].rate, maxRate)
	}
}

// Prompts must be booked only where streams pause for too long, and not at once given up when booking helps.
func TestWatch(t *testing.T) {
	w := NewWatch()
	w.Observe(Pauses{"fast", 1000, 10}, epoch)
	w.Observe(Pauses{"few", 10, 10}, epoch)
	w.Observe(Pauses{"slow", 200, 20}, epoch)
	w.Observe(Pauses{"slow", 200, 0}, epoch.Add(30*time.Second))
	must.Eq(t, []string{"slow"}, w.Booked(epoch.Add(bookedTime-time.Second)))
	must.SliceEmpty(t, w.Booked(epoch.Add(bookedTime)))
}

// A loss of control hosts made 11 of 252 and 44 of 522 streams pause for too long, two seconds each, after 20 s without any. Booking
// the prompts of engines that read fast then refused and delayed their callers for the rest of the day.
func TestOutageBooksNothing(t *testing.T) {
	w, at := NewWatch(), epoch
	observe := func(streams, late uint32) {
		at = at.Add(2 * time.Second)
		w.Observe(Pauses{"fast", streams, late}, at)
		must.SliceEmpty(t, w.Booked(at))
	}
	for range 10 {
		observe(400, 0)
	}
	observe(252, 11)
	observe(522, 44)
	for range 10 {
		observe(400, 2)
	}
}
