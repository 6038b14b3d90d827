package coordinator

import (
	"sync"
	"time"
)

// quietEngines holds until when engines want nothing of this host. It outlives the terms: an engine asks
// the host, whichever host leads.
type quietEngines struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// record notes that an engine wants nothing for a while.
func (q *quietEngines) record(instance string, quiet time.Duration, now time.Time) {
	if quiet <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, until := range q.until {
		if !now.Before(until) {
			delete(q.until, other)
		}
	}
	if until := now.Add(quiet); until.After(q.until[instance]) {
		q.until[instance] = until
	}
}

// left returns how long the engine still wants nothing, 0 if it takes requests.
func (q *quietEngines) left(instance string, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.until[instance].Sub(now))
}
