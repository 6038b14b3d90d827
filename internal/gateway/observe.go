package gateway

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
)

const (
	// failureWeight is the weight of one outcome in a server's failure rate:
	// ten requests reveal a server that fails a fraction of its requests.
	failureWeight = 0.1
	// latencyWeight is the weight of one request in a server's mean service
	// time and latency factor.
	latencyWeight = 0.1
	// generationWeight is the weight of one generation in the mean time of those of its service.
	generationWeight = 0.05
	// maxLatencyFactor limits the effect of one slow response on a server's
	// latency factor.
	maxLatencyFactor = 8
	// minExpected is the minimum expected time to the first event in the
	// latency factor; below it, queueing elsewhere counts more than the
	// engine's speed.
	minExpected = 60 * time.Millisecond
)

// recordSuccess records a complete response.
func (u *usage) recordSuccess(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failureRate -= s.failureRate * failureWeight
	s.lastSeen = now
	s.gate.Reached()
}

// recordFailure records a response that was missing, incomplete or a server
// error.
func (u *usage) recordFailure(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failureRate += (1 - s.failureRate) * failureWeight
}

// recordUnreachable starts the backoff of a server that could not be reached.
func (u *usage) recordUnreachable(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.failureRate += (1 - s.failureRate) * failureWeight
	s.gate.Unreachable(now)
}

// isBrittle reports whether the server last said that it is brittle.
func (u *usage) isBrittle(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(instance).gate.Brittle()
}

// endBackoffs ends the backoff of all servers, after a time in which none could be reached.
func (u *usage) endBackoffs() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.servers {
		s.gate.Reached()
	}
}

// recordBytes records that bytes came from the server.
func (u *usage) recordBytes(instance string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server(instance).lastSeen = now
}

// lastSeen returns when the last byte came from the server.
func (u *usage) lastSeen(instance string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(instance).lastSeen
}

// recordResponse records the load that a server reported with its response, if any, and what it says of
// the requests that it takes. It reports whether the server has said only now that it leaves.
func (u *usage) recordResponse(server *exchange.Server, resp *Response, now time.Time) (leaves bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(server.Instance)
	s.lastSeen = now
	if resp.Load != nil {
		s.load, s.loadAt, s.inFlightAtLoad = *resp.Load, now, s.inFlight
		// A server that fails fast says nothing of the pace of work.
		if resp.Load.Pace > 0 && resp.FromBackend && resp.Status < 300 {
			s.paces.Total, s.paces.Count = s.paces.Total+resp.Load.Pace, s.paces.Count+1
		}
	}
	before := s.gate.Leaves(server.StartUnixMs, now)
	// What another instance at the address says is not of this one.
	other := resp.Misdirected && resp.ActualInstance != "" && resp.ActualInstance != server.Instance
	s.gate.Observe(server.Instance, server.StartUnixMs, intake.Statement{
		Limit: resp.Limit, Tolerated: resp.Tolerated, Leaving: resp.Leaving && !other, Quiet: resp.Quiet,
		Served: resp.FromBackend && !resp.NotRun && resp.Status < 300, TurnedAway: resp.NotRun && !resp.Misdirected,
	}, now)
	return !before && s.gate.Leaves(server.StartUnixMs, now)
}

// markLeaving records that a server of which another host passed on a response leaves.
func (u *usage) markLeaving(l LeavingServer, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(l.Instance)
	s.used = now
	s.gate.MarkLeaving(l.StartUnixMs, now)
}

// leaves reports whether the server has said that it leaves.
func (u *usage) leaves(server *exchange.Server, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(server.Instance).gate.Leaves(server.StartUnixMs, now)
}

// isSilent reports whether the server must get nothing from this host now.
func (u *usage) isSilent(server *exchange.Server, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(server.Instance).gate.Silent(server.StartUnixMs, now)
}

// takeTurn counts a request against this host's part of the server's limit, and reports whether
// the request may be sent.
func (u *usage) takeTurn(instance string, hosts int, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server(instance).gate.Take(hosts, now)
}

// recordServiceTime records the service time of a plain request.
func (u *usage) recordServiceTime(instance string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	if s.serviceTime == 0 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(latencyWeight * float64(took-s.serviceTime))
}

// recordGeneration records the time of a generation after its first event, at a server that works at the pace.
func (u *usage) recordGeneration(service string, took time.Duration, pace float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual := time.Duration(float64(took) / pace)
	if mean, ok := u.generations[service]; ok {
		usual = mean + time.Duration(generationWeight*float64(usual-mean))
	}
	u.generations[service] = usual
}

// generationTime returns the mean time of a generation of the service after its first event at the usual pace, and whether it
// was measured.
func (u *usage) generationTime(service string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, ok := u.generations[service]
	return mean, ok
}

// recordFirstEvent records the time to the first event relative to the
// expected one.
func (u *usage) recordFirstEvent(instance string, took, expected time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	ratio := min(float64(took)/float64(max(expected, minExpected)), maxLatencyFactor)
	s.latencyFactor += latencyWeight * (max(ratio, 0.5) - s.latencyFactor)
}

// meanServiceTime returns the mean service time of a plain request over all
// servers of a service.
func (u *usage) meanServiceTime(instances []string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, instance := range instances {
		if s := u.servers[instance]; s != nil && s.serviceTime > 0 {
			sum += s.serviceTime
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
