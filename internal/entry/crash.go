package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const (
	// probeTimeout limits a probe: the connect timeout of the pools plus the
	// time for the response.
	probeTimeout = 2 * time.Second
	// maxCrashMarks limits the crash marks that are not yet reported. A crash
	// adds at most one mark per request in flight on the server.
	maxCrashMarks = 4096
	// localSuspectTTL is how long the host treats the requests that it marked as
	// suspects; after it, only those on the control leader's list.
	localSuspectTTL = 10 * time.Second
)

// crashes tracks the requests that were in flight when a backend server crashed:
// this host's crash marks and the control leader's lists of suspects and
// quarantined requests.
type crashes struct {
	mu            sync.Mutex
	marks         []*apiv1.CrashMark
	reportedMarks int
	localSuspects map[string]time.Time
	suspects      map[string]struct{}
	quarantined   map[string]time.Time
	// listsDigest identifies the lists that were last received from the control
	// leader.
	listsDigest uint64
	probes      map[probeKey]*probe
}

type probeKey struct {
	server     string
	generation uint64
}

// probe checks whether a backend server has crashed. All requests whose
// connection broke in the same generation of the server share one probe.
type probe struct {
	done  chan struct{}
	crash bool
}

func (c *crashes) init() {
	c.localSuspects = map[string]time.Time{}
	c.probes = map[probeKey]*probe{}
}

// check reports whether a fingerprint is a suspect. It returns an error for a
// quarantined one.
func (c *crashes) check(fp []byte, now time.Time) (suspect bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.quarantined[string(fp)]; ok && now.Before(until) {
		return false, fault.New(fault.KindQuarantined, "requests with this content crashed several backend servers",
			"change the request or ask the operator").WithRun(fault.NotRun)
	}
	return c.isSuspect(string(fp), now), nil
}

func (c *crashes) isSuspect(fingerprint string, now time.Time) bool {
	if _, ok := c.suspects[fingerprint]; ok {
		return true
	}
	until, ok := c.localSuspects[fingerprint]
	return ok && now.Before(until)
}

// apply applies the control leader's lists and removes the marks that the
// acknowledged report contained.
func (c *crashes) apply(resp *apiv1.ReportResponse, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = c.marks[c.reportedMarks:]
	c.reportedMarks = 0
	for fingerprint, until := range c.localSuspects {
		if !received.Before(until) {
			delete(c.localSuspects, fingerprint)
		}
	}
	// A leader of the previous release sends both lists each time and no digest.
	if resp.GetSuspectsDigest() != 0 && c.listsDigest == resp.GetSuspectsDigest() {
		return
	}
	c.listsDigest = resp.GetSuspectsDigest()
	c.suspects = make(map[string]struct{}, len(resp.GetSuspects()))
	for _, s := range resp.GetSuspects() {
		c.suspects[string(s.GetFingerprint())] = struct{}{}
	}
	c.quarantined = make(map[string]time.Time, len(resp.GetQuarantined()))
	for _, q := range resp.GetQuarantined() {
		c.quarantined[string(q.GetFingerprint())] = received.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond)
	}
}

// fillReport adds the marks that are not yet acknowledged and the digest of the
// lists to a report.
func (c *crashes) fillReport(req *apiv1.ReportRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedMarks = len(c.marks)
	req.Crashes = append([]*apiv1.CrashMark(nil), c.marks...)
	req.SuspectsDigest = c.listsDigest
}

// checkCrash reports whether the backend server of a request whose connection
// broke has crashed. It probes the server over a new connection, once for all
// requests that were in flight there. The request keeps its assignment during
// the probe, so that it counts as in flight at the crash.
func (s *Server) checkCrash(assigned *assignment, client *engine.Client) bool {
	s.mu.Lock()
	assigned.failed = true
	s.mu.Unlock()
	key := probeKey{assigned.server, assigned.generation}
	s.crashes.mu.Lock()
	p := s.crashes.probes[key]
	if p != nil {
		s.crashes.mu.Unlock()
		<-p.done
		return p.crash
	}
	p = &probe{done: make(chan struct{})}
	s.crashes.probes[key] = p
	s.crashes.mu.Unlock()

	p.crash = s.probe(assigned, client)
	s.crashes.mu.Lock()
	delete(s.crashes.probes, key)
	s.crashes.mu.Unlock()
	close(p.done)
	return p.crash
}

// probe reports whether the backend server has crashed, and marks the requests
// in flight if so. It does not depend on the request's context: that caller may
// disconnect while other requests wait for the result.
func (s *Server) probe(assigned *assignment, client *engine.Client) bool {
	failedAt := s.now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	startID, err := client.Probe(ctx)
	if err == nil && (assigned.startID == "" || startID == assigned.startID) {
		return false
	}
	s.metrics.crashes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.d.inFlight[assigned.server]
	if load.generation != assigned.generation {
		return true // marked by an earlier probe of the same crash
	}
	load.generation++
	s.crashes.mark(assigned, load, failedAt, s.now())
	return true
}

// mark adds a crash mark for each request that was in flight on the backend
// server. Requests that started after the connection broke did not cause the
// crash and get none.
func (c *crashes) mark(assigned *assignment, load *serverLoad, failedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byFingerprint := map[string]*admittedRequest{}
	suspects := 0
	for other := range load.assignments {
		fingerprint := string(other.request.fingerprint)
		if other.generation != assigned.generation || other.started.After(failedAt) || byFingerprint[fingerprint] != nil {
			continue
		}
		byFingerprint[fingerprint] = other.request
		if c.isSuspect(fingerprint, now) {
			suspects++
		}
	}
	for fingerprint, ar := range byFingerprint {
		if len(c.marks) >= maxCrashMarks {
			break
		}
		// Without an earlier suspect in flight, a request is the sole suspect
		// only if it was alone; otherwise any of them may be the cause. An
		// earlier suspect is the sole one if no other was in flight.
		sole := suspects == 0 && len(byFingerprint) == 1
		if c.isSuspect(fingerprint, now) {
			sole = suspects == 1
		}
		c.marks = append(c.marks, &apiv1.CrashMark{
			Fingerprint: bytes.Clone(ar.fingerprint), BackendServer: assigned.server, StartId: assigned.startID,
			SoleSuspect: sole, Team: ar.x.team,
		})
	}
	for fingerprint := range byFingerprint {
		c.localSuspects[fingerprint] = now.Add(localSuspectTTL)
	}
}
