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
func (p *throughput) setWaiting(now time.Time, waiting bool) {
	if p.waiting {
		p.busy += now.Sub(p.last)
	}
	p.last, p.waiting = now, waiting
	if p.busy > throughputWindow {
		p.busy, p.cost, p.count = p.busy/2, p.cost/2, p.count/2
	}
}

// recordStart counts a started request while others wait.
func (p *throughput) recordStart(cost uint64) {
	if p.waiting {
		p.cost += float64(cost)
		p.count++
	}
}

// tokensPerSecond returns the estimate, or 0 when there are too few samples.
func (p *throughput) tokensPerSecond() float64 {
	if p.count < minSampleCount || p.busy < minSampleTime {
		return 0
	}
	return p.cost / p.busy.Seconds()
}
