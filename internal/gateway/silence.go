package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// silence is how long an engine may say nothing to any request of this host
	// before a request that may be repeated is sent elsewhere. It is far above
	// the time of one piece of a prompt and below the time after which callers
	// leave.
	silence = 1200 * time.Millisecond
	// silenceAlone is the same for a request that no other server can take at
	// once: moving it costs a load, which may be refused, and an engine that is
	// short of memory lets single requests wait that long.
	silenceAlone = 2 * silence
	// silenceLook is the time between two looks while a silent request cannot move.
	silenceLook = silence / 4
)

// silenceWatch cancels an attempt whose server is silent, once the request can go
// on elsewhere: an answer that cannot go on must not be ended for silence. It
// takes the repeat from the budget before it cancels.
type silenceWatch struct {
	f        *flight
	cancel   context.CancelFunc
	instance string
	began    time.Time

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watch starts the watch of an attempt.
func (f *flight) watch(cancel context.CancelFunc, instance string, began time.Time) *silenceWatch {
	w := &silenceWatch{f: f, cancel: cancel, instance: instance, began: began}
	if !f.route.Repeatable || f.tries.LastRun() {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silence, w.look)
	return w
}

func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := w.f.g.opts.Now()
	silent := now.Sub(w.lastHeard())
	if silent < silence {
		w.timer.Reset(silence - silent)
		return
	}
	if w.f.pinned.Load() || !w.hasOther(silent, now) || !w.f.g.budget(w.f.service.Name).Take(now) {
		w.timer.Reset(silenceLook)
		return
	}
	w.f.repeatPaid.Store(true)
	w.cancel()
}

func (w *silenceWatch) lastHeard() time.Time {
	heard := w.f.g.use.lastHeard(w.instance)
	if heard.Before(w.began) {
		return w.began
	}
	return heard
}

// hasOther tells whether another server can take the request now, or the request
// has waited long enough to ask for a load.
func (w *silenceWatch) hasOther(silent time.Duration, now time.Time) bool {
	_, d, _ := w.f.among(w.f.g.opts.Fleet.View(), now)
	if d.Instance != "" {
		return true
	}
	return w.f.r.Generation && w.f.r.Weights.Adapter != "" && silent >= silenceAlone
}

// end ends the watch. Afterwards it reads nothing of the request.
func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
