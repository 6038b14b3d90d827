// Package reach decides whether an entry host is cut off from all backend servers. Failures alone cannot
// tell that from servers that crashed; probes of a sample of all servers can.
//
// A new connection is the evidence: connections may live on while no new one can be opened.
package reach

import (
	"sync"
	"time"
)

const (
	// suspectWindow is how long a failure counts.
	suspectWindow = 2 * time.Second
	// suspectServers is the number of servers that must have failed before others are probed: one that
	// crashed is no reason.
	suspectServers = 2
	// retryInterval is the time between two rounds of probes while the host is cut off or under
	// suspicion.
	retryInterval = 500 * time.Millisecond
)

// Watch follows whether the host reaches backend servers. It is safe for concurrent use.
type Watch struct {
	mu sync.Mutex
	// failedAt holds the last failure of each server since a connection was last opened.
	failedAt map[string]time.Time
	cutOff   bool
	since    time.Time
	probedAt time.Time
}

// NewWatch returns a watch of a host that reaches its servers.
func NewWatch() *Watch { return &Watch{failedAt: map[string]time.Time{}} }

// Failed records that a server could not be reached or fell silent. It reports whether probes are due, where
// servers is the number of known servers.
func (w *Watch) Failed(server string, servers int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt[server] = now
	failed := 0
	for name, at := range w.failedAt {
		if now.Sub(at) > suspectWindow {
			delete(w.failedAt, name)
			continue
		}
		failed++
	}
	return !w.cutOff && failed >= min(suspectServers, servers) && now.Sub(w.probedAt) >= retryInterval
}

// Connected records that a connection to a server was opened.
func (w *Watch) Connected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.failedAt)
}

// Probed records a round of probes, and reports whether the host is cut off now and whether that changed.
func (w *Watch) Probed(tried, reached int, now time.Time) (cutOff, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probedAt = now
	if tried == 0 || (reached == 0) == w.cutOff {
		return w.cutOff, false
	}
	w.cutOff, w.since = !w.cutOff, now
	clear(w.failedAt)
	return w.cutOff, true
}

// CutOff reports whether the host reaches no backend server, and since when.
func (w *Watch) CutOff() (bool, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff, w.since
}

// RetryIn returns the time until the next round of probes of a host that is cut off.
func (w *Watch) RetryIn(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, retryInterval-now.Sub(w.probedAt))
}
