package gateway

import (
	"time"
)

const (
	// failureWeight is the weight of one outcome in a server's failure rate.
	// Ten requests show a server that fails a part of its requests.
	failureWeight = 0.1
	// avoidBase and avoidMost bound how long a server that cannot be reached is
	// left alone; the time doubles with each failure in a row.
	avoidBase = 300 * time.Millisecond
	avoidMost = 3 * time.Second
	// workWeight is the weight of one request in a server's mean time.
	workWeight = 0.1
	// mostSlowness bounds what one slow answer can say of a server.
	mostSlowness = 8
	// expectedFloor is the least time to a first event that slowness is measured
	// against; below it, queueing elsewhere counts more than the engine's speed.
	expectedFloor = 60 * time.Millisecond
)

// succeeded books a whole answer.
func (u *usage) succeeded(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failures -= s.failures * failureWeight
	s.streak, s.avoidUntil, s.heard = 0, time.Time{}, now
}

// failed books an answer that was missing, broken or an error of the server.
func (u *usage) failed(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failures += (1 - s.failures) * failureWeight
}

// unreachable leaves a server alone for a while.
func (u *usage) unreachable(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failures += (1 - s.failures) * failureWeight
	if now.Before(s.avoidUntil) {
		return
	}
	s.avoidUntil = now.Add(min(avoidBase<<min(s.streak, 8), avoidMost))
	s.streak++
}

// heard notes that bytes came from the server.
func (u *usage) heard(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server(instance).heard = now
}

// lastHeard returns when the last byte came from the server.
func (u *usage) lastHeard(instance string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(instance).heard
}

// told books what a server says of its load.
func (u *usage) told(instance string, l *Load, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.heard = now
	if l != nil {
		s.load, s.loadAt, s.own = *l, now, s.inFlight
	}
}

// worked books the time of a plain request.
func (u *usage) worked(instance string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	if s.work == 0 {
		s.work = took
		return
	}
	s.work += time.Duration(workWeight * float64(took-s.work))
}

// firstEvent books the time to the first event against the expected one.
func (u *usage) firstEvent(instance string, took, expected time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	ratio := min(float64(took)/float64(max(expected, expectedFloor)), mostSlowness)
	s.slowness += workWeight * (max(ratio, 0.5) - s.slowness)
}

// workOf returns the mean time of a plain request at all servers of a service.
func (u *usage) workOf(instances []string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, instance := range instances {
		if s := u.servers[instance]; s != nil && s.work > 0 {
			sum += s.work
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
