package entry

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// drainState is the state of the host's graceful shutdown: the health check
// fails at once, new requests are refused after the balancer delay, and the drain
// is finished when the last request has ended.
type drainState struct {
	mu           sync.Mutex
	since        time.Time
	openRequests int
	delay        time.Duration
}

func (d *drainState) enter(*exchange) {
	d.mu.Lock()
	d.openRequests++
	d.mu.Unlock()
}

func (d *drainState) leave(*exchange) {
	d.mu.Lock()
	d.openRequests--
	d.mu.Unlock()
}

// closing reports whether connections are closed after their next response.
func (d *drainState) closing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

// refusing reports whether new requests are refused.
func (d *drainState) refusing(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero() && !now.Before(d.since.Add(d.delay))
}

// Drain starts the graceful shutdown. Further calls have no effect.
func (s *Server) Drain() {
	s.drain.mu.Lock()
	started := s.drain.since.IsZero()
	if started {
		s.drain.since = s.now()
		s.drain.delay = s.limits.BalancerDelay
	}
	s.drain.mu.Unlock()
	if started {
		s.opts.Logger.Info().Dur("balancer_delay", s.limits.BalancerDelay).Msg("drain started")
	}
}

// WaitingFor lists what a drain still waits for. It is empty when the drain has
// finished.
func (s *Server) WaitingFor() []string {
	var out []string
	now := s.now()
	s.drain.mu.Lock()
	open := s.drain.openRequests
	if remaining := s.drain.since.Add(s.drain.delay).Sub(now); !s.drain.since.IsZero() && remaining > 0 {
		out = append(out, fmt.Sprintf("balancer delay, %s left", remaining.Round(100*time.Millisecond)))
	}
	s.drain.mu.Unlock()
	counts := s.running.countByRoute()
	for _, route := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("route %s: %d requests", route, counts[route]))
		open -= counts[route]
	}
	if open > 0 {
		out = append(out, fmt.Sprintf("%d requests before their route is known", open))
	}
	if n := s.background.runningCount(); n > 0 {
		out = append(out, fmt.Sprintf("%d cancellations and call records", n))
	}
	return out
}

// serveHealth serves the load balancer's health check. The check fails until the
// first configuration has arrived and from the start of a drain.
func (s *Server) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Cache-Control", "no-store")
	switch {
	case s.drain.closing():
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining\n"))
	case s.opts.View.Config().Revision == 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("no configuration yet\n"))
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
