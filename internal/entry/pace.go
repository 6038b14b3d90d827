package entry

import "time"

// pace estimates how many tokens per second the host can dispatch. It counts
// only while requests wait for a free engine: the throughput of a host with
// little traffic says nothing about what it could serve.
type pace struct {
	busy    time.Duration
	cost    float64
	count   float64
	last    time.Time
	waiting bool
}

const (
	// paceWindow is the busy time after which older figures count half.
	paceWindow = 5 * time.Second
	// minPaceTime and minPaceCount are what an estimate needs before requests
	// are refused because of it.
	minPaceTime  = 200 * time.Millisecond
	minPaceCount = 20
)

// observe tells whether requests wait from now on.
func (p *pace) observe(now time.Time, waiting bool) {
	if p.waiting {
		p.busy += now.Sub(p.last)
	}
	p.last, p.waiting = now, waiting
	if p.busy > paceWindow {
		p.busy, p.cost, p.count = p.busy/2, p.cost/2, p.count/2
	}
}

// served counts a started request.
func (p *pace) served(cost uint64) {
	if p.waiting {
		p.cost += float64(cost)
		p.count++
	}
}

// perSecond returns the estimate, or 0 when it rests on too little.
func (p *pace) perSecond() float64 {
	if p.count < minPaceCount || p.busy < minPaceTime {
		return 0
	}
	return p.cost / p.busy.Seconds()
}
