package control

import (
	"math"
	"sync"
	"time"
)

// lastSeen stores the time of each member's last message, for the status RPC.
type lastSeen struct {
	mu sync.Mutex
	at map[string]time.Time // by disk identity
}

func (h *lastSeen) record(diskID string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[string]time.Time{}
	}
	h.at[diskID] = now
}

// since returns the time since the member's last message, or math.MaxInt64 when
// there was none.
func (h *lastSeen) since(diskID string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.at[diskID]
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(at)
}
