package attempts

import "time"

// Continuation is a stream that has begun and broke off. It cannot be refused any more: ending it loses the answer, so
// that it may wait for a server for as long as its caller waits for the next event. It answers the load of days on
// which many servers leave or crash at once and their streams find the others full, unreachable or without the adapter.
type Continuation struct {
	// Deadline ends the request, LastEvent is when the caller got its last event.
	Deadline, LastEvent time.Time
	// Objective is the route's objective for the first event, Gap the longest pause between events that it
	// allows; 0 for none.
	Objective, Gap time.Duration
	// Begin is the time that an idle server needs to begin.
	Begin time.Duration
}

// Callers leave a stream after a pause of minPatience, patienceObjectives times the objective or patienceGaps times the
// allowed gap, whichever is longest.
const (
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// TimeLeft returns how long the stream may still wait before it begins at another server.
func (c Continuation) TimeLeft(now time.Time) time.Duration {
	patience := max(minPatience, patienceObjectives*c.Objective, patienceGaps*c.Gap)
	end := c.LastEvent.Add(patience)
	if c.Deadline.Before(end) {
		end = c.Deadline
	}
	return max(0, end.Sub(now)-c.Begin)
}

const (
	// firstPause is the time before the second search for a server. It doubles with each search, up to maxPause,
	// so that streams that find no server ask the leader and busy servers a few times only.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Pause returns how long to wait after a number of searches that found no server, or servers that declined. It reports
// false when there is no time for another one.
func (c Continuation) Pause(searches int, now time.Time) (time.Duration, bool) {
	pause := min(firstPause<<min(max(searches-1, 0), 8), maxPause)
	return pause, pause < c.TimeLeft(now)
}
