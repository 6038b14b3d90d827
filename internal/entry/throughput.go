package entry

import "time"

// throughput estimates how many tokens per second the host can dispatch. It
// measures only while requests wait for a free backend server: the throughput
// under little traffic does not show the capacity.
type throughput struct {
	busy    time.Duration
	cost    float64
	count   float64
	last    time.Time
	waiting bool
}

const (
	// throughputWindow is the busy time after which the counts are halved.
	throughputWindow = 5 * time.Second
	// minSampleTime and minSampleCount are the busy time and the number of
	// started requests that an estimate requires.
	minSampleTime  = 200 * time.Millisecond
	minSampleCount = 20
)

// setWaiting sets whether requests wait for a free backend server from now on.
func (t *throughput) setWaiting(now time.Time, waiting bool) {
	if t.waiting {
		t.busy += now.Sub(t.last)
	}
	t.last, t.waiting = now, waiting
	if t.busy > throughputWindow {
		t.busy, t.cost, t.count = t.busy/2, t.cost/2, t.count/2
	}
}

// recordStart counts a started request if requests wait.
func (t *throughput) recordStart(cost uint64) {
	if t.waiting {
		t.cost += float64(cost)
		t.count++
	}
}

// tokensPerSecond returns the estimate, or 0 when there are too few samples.
func (t *throughput) tokensPerSecond() float64 {
	if t.count < minSampleCount || t.busy < minSampleTime {
		return 0
	}
	return t.cost / t.busy.Seconds()
}
