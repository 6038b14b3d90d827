// Package decisionlog stores the last decisions of a host in a ring buffer, from
// which an operator can see why a request was served or refused.
package decisionlog

import (
	"sync"
	"time"
)

// Decision is one step in the handling of a request.
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

// Ring is a ring buffer of decisions. It is safe for concurrent use.
type Ring struct {
	mu        sync.Mutex
	decisions []Decision
	next      int
	full      bool
}

// NewRing returns a ring that holds size decisions; a size below 1 counts as 1.
func NewRing(size int) *Ring {
	return &Ring{decisions: make([]Decision, max(size, 1))}
}

// Add stores the decision, overwriting the oldest one when the ring is full. It
// does not allocate.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
}

// Find returns the stored decisions of a request, oldest first. It scans the
// ring: there is no index, because Add is on the request path whereas only
// operators look up decisions, and rarely.
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
		scan(r.decisions[r.next:])
	}
	scan(r.decisions[:r.next])
	return found
}
