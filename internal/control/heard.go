package control

import (
	"math"
	"sync"
	"time"
)

// heard remembers when each member's last message came, for status.
type heard struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (h *heard) note(diskID string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[string]time.Time{}
	}
	h.at[diskID] = now
}

// since returns the time since the member's last message, or the longest
// duration when there was none.
func (h *heard) since(diskID string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.at[diskID]
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(at)
}
