package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long an engine may send nothing to any request of
	// this host before a repeatable request is sent elsewhere. A response that
	// has begun stays longer, by Continuation.MaxSilence. It is far above
	// the time of one chunk of a prompt and below the time after which callers
	// give up.
	silenceTimeout = 1200 * time.Millisecond
	// soleServerSilenceTimeout is the same for a request that no other server
	// can serve at once: moving it costs an adapter load, which may be
	// refused, and an engine that is short of memory lets single requests wait
	// that long.
	soleServerSilenceTimeout = 2 * silenceTimeout
	// silencePollInterval is the time between two checks while the request of
	// a silent server cannot move.
	silencePollInterval = silenceTimeout / 4
)

// silenceWatch cancels an attempt whose server is silent, once the request can
// be sent elsewhere: a response that cannot be resumed must not be ended for
// silence. It takes the retry from the budget before it cancels.
type silenceWatch struct {
	ar       *activeRequest
	cancel   context.CancelFunc
	instance string
	began    time.Time

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watch starts the silence watch of an attempt.
func (ar *activeRequest) watch(cancel context.CancelFunc, instance string, began time.Time) *silenceWatch {
	w := &silenceWatch{ar: ar, cancel: cancel, instance: instance, began: began}
	if !ar.route.Repeatable || ar.tries.LastRun() {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, w.check)
	return w
}

func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := w.ar.g.opts.Now()
	silent := now.Sub(w.lastSeen())
	if limit := w.limit(); silent < limit {
		w.timer.Reset(limit - silent)
		return
	}
	if w.ar.pinned.Load() || !w.canMove(silent, now) || !w.takeRetry(now) {
		w.timer.Reset(silencePollInterval)
		return
	}
	w.ar.retryPrepaid.Store(true)
	w.ar.g.log.Info().Str("event", "server_silent").Str("request", w.ar.r.ID).Str("server", w.instance).Dur("silent", silent).
		Bool("begun", w.ar.begun()).Msg("the request leaves a backend server that sends nothing")
	w.cancel()
}

// limit returns how long the server may be silent. A response that has begun is lost if no other server takes it.
func (w *silenceWatch) limit() time.Duration {
	if w.ar.begun() {
		return max(silenceTimeout, w.ar.continuation(w.lastSeen()).MaxSilence())
	}
	return silenceTimeout
}

func (w *silenceWatch) takeRetry(now time.Time) bool {
	budget := w.ar.g.budget(w.ar.service.Name)
	if w.ar.begun() {
		return budget.TakeReserved(now)
	}
	return budget.Take(now)
}

func (w *silenceWatch) lastSeen() time.Time {
	seen := w.ar.g.usage.lastSeen(w.instance)
	if seen.Before(w.began) {
		return w.began
	}
	return seen
}

// canMove reports whether another server can serve the request now, or the
// server has been silent long enough to ask for an adapter load.
func (w *silenceWatch) canMove(silent time.Duration, now time.Time) bool {
	v := w.ar.g.opts.Fleet.View()
	_, d, _ := w.ar.chooseServer(v, now, w.ar.usefulWait(now))
	if d.Instance != "" {
		return true
	}
	return w.ar.hasUsableServer(v) && w.ar.r.Generation && w.ar.r.Weights.Adapter != "" && silent >= soleServerSilenceTimeout
}

// end stops the watch. It does not access the request after end has returned.
func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
