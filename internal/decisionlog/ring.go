// Package decisionlog keeps the last decisions of a host in a bounded ring, so that
// an operator can ask why a request was served or refused as it was.
package decisionlog

import (
	"sync"
	"time"
)

// Decision is one step of a request's handling.
type Decision struct {
	RequestID     string    `json:"request_id"`
	Step          string    `json:"step"`
	Team          string    `json:"team,omitempty"`
	Route         string    `json:"route,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	BackendServer string    `json:"backend_server,omitempty"`
	Reason        string    `json:"reason"`
	Considered    int       `json:"considered,omitempty"`
	At            time.Time `json:"at"`
}

// Ring holds the last decisions. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	slots []Decision
	next  int
	full  bool
}

// NewRing returns a ring of size decisions; a size below 1 means 1.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]Decision, max(size, 1))}
}

// Add stores the decision in place of the oldest one. It allocates nothing.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	r.slots[r.next] = d
	r.next++
	if r.next == len(r.slots) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
}

// Find returns the stored decisions of a request, the oldest first. It scans
// the ring: lookups are rare and operator-driven, additions are on the request
// path, so the ring keeps no index.
func (r *Ring) Find(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	scan := func(part []Decision) {
		for _, d := range part {
			if d.RequestID == requestID {
				found = append(found, d)
			}
		}
	}
	if r.full {
		scan(r.slots[r.next:])
	}
	scan(r.slots[:r.next])
	return found
}
