// Package reach decides whether an entry host is cut off from all backend servers. Failures alone cannot
// tell that from servers that crashed; probes of a sample of all servers can.
//
// A new connection is the evidence: connections may live on while no new one can be opened. A connection that
// broke off or fell silent counts only as long as nothing has come from any server since.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// Failure is how a server failed.
type Failure int

const (
	// NotOpened: a connection could not be opened.
	NotOpened Failure = iota
	// BrokenOff: a connection was reset or fell silent.
	BrokenOff
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
	// failures holds the last failure of each server since a connection was last opened.
	failures map[string]failure
	// contactAt is when something last came from a server, in Unix nanoseconds.
	contactAt atomic.Int64
	cutOff    bool
	since     time.Time
	probedAt  time.Time
}

type failure struct {
	kind Failure
	at   time.Time
}

// NewWatch returns a watch of a host that reaches its servers.
func NewWatch() *Watch { return &Watch{failures: map[string]failure{}} }

// Contact records that something came from a server.
func (w *Watch) Contact(now time.Time) { w.contactAt.Store(now.UnixNano()) }

// Failed records a failure of a server. It reports whether probes are due, where servers is the number of
// known servers.
func (w *Watch) Failed(server string, kind Failure, servers int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[server] = failure{kind, now}
	contactAt := w.contactAt.Load()
	failed := 0
	for name, f := range w.failures {
		if now.Sub(f.at) > suspectWindow || f.kind == BrokenOff && f.at.UnixNano() < contactAt {
			delete(w.failures, name)
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
	clear(w.failures)
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
	clear(w.failures)
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
