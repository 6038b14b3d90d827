package coordinator

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/meter"
)

// duty is a kind of call that other processes make to a control host.
type duty string

const (
	dutyExchange duty = "exchange"
	dutyAcquire  duty = "acquire"
	dutyGrant    duty = "grant"
	dutyRecord   duty = "record_streams"
	dutyFind     duty = "find_stream"
	dutyOrder    duty = "order"
)

// workLogInterval is the time between two log lines on the work of a leader.
const workLogInterval = time.Second

// work counts the calls that a control host answers, by duty. It is safe for concurrent use.
type work struct {
	now func() time.Time
	// calls and givenUp count the calls and those whose callers had gone before their answer; handlingUs is the time between
	// the begin and the end of their handling, waiting included, in microseconds.
	calls, givenUp, handlingUs *expvar.Map

	mu     sync.Mutex
	window workWindow
}

// workWindow is what has been counted since the last log line.
type workWindow struct {
	began     time.Time
	processor time.Duration
	duties    map[duty]*dutyWork
}

type dutyWork struct {
	calls, givenUp int
	handling       time.Duration
}

func newWork(m *meter.Set, now func() time.Time) *work {
	return &work{
		now: now, calls: m.Counters("calls_answered", "duty"), givenUp: m.Counters("calls_given_up", "duty"),
		handlingUs: m.Counters("calls_handling_us", "duty"), window: newWorkWindow(now()),
	}
}

func newWorkWindow(now time.Time) workWindow {
	return workWindow{began: now, processor: meter.ProcessorTime(), duties: map[duty]*dutyWork{}}
}

// begin counts a call. The returned function must be called at its end.
func (w *work) begin(ctx context.Context, d duty) func() {
	began := w.now()
	return func() {
		took := w.now().Sub(began)
		gone := ctx.Err() != nil
		w.calls.Add(string(d), 1)
		w.handlingUs.Add(string(d), took.Microseconds())
		if gone {
			w.givenUp.Add(string(d), 1)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		dw := w.window.duties[d]
		if dw == nil {
			dw = &dutyWork{}
			w.window.duties[d] = dw
		}
		dw.calls++
		dw.handling += took
		if gone {
			dw.givenUp++
		}
	}
}

// logDue logs the work since the last line once workLogInterval is over.
func (w *work) logDue(log zerolog.Logger, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := now.Sub(w.window.began)
	if elapsed < workLogInterval {
		return
	}
	old := w.window
	w.window = newWorkWindow(now)
	e := log.Info().Str("event", "leader_work").Dur("elapsed", elapsed).Dur("processor", w.window.processor-old.processor)
	for d, dw := range old.duties {
		e = e.Dict(string(d), zerolog.Dict().Int("calls", dw.calls).Int("given_up", dw.givenUp).Dur("handling", dw.handling))
	}
	e.Msg("calls answered since the last line, and the processor time of the process")
}
