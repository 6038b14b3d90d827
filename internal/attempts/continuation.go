package attempts

import "time"

// Continuation is a stream that has begun. It cannot be refused any more, since ending it loses the answer. It answers
// the load of days on which many servers leave or crash at once, and their streams find the others full, unreachable or
// without the adapter, and of servers that pause.
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
// allowed gap, whichever is longest, by the platform's protocol.
const (
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// moveTime is usually enough for a stream to go on at another server: a search, an adapter load and a long prompt.
const moveTime = 1200 * time.Millisecond

// patience returns how long the caller waits for the next event.
func (c Continuation) patience() time.Duration {
	return max(minPatience, patienceObjectives*c.Objective, patienceGaps*c.Gap)
}

// MaxSilence returns how long after LastEvent the server of the stream may send nothing before the stream moves. A sound
// server may pause, and moving may fail.
func (c Continuation) MaxSilence() time.Duration {
	return max(0, min(c.patience(), c.Deadline.Sub(c.LastEvent))-moveTime)
}

// TimeLeft returns how long the stream may still wait before it begins at another server.
func (c Continuation) TimeLeft(now time.Time) time.Duration {
	end := c.LastEvent.Add(c.patience())
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
	left := c.TimeLeft(now)
	pause := min(firstPause<<min(max(searches-1, 0), 8), maxPause, max(left/2, firstPause))
	return pause, pause < left
}
