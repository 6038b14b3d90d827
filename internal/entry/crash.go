package entry

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

const (
	// probeTimeout limits a probe: the connect timeout of the pools plus the
	// time for the response.
	probeTimeout = 2 * time.Second
	// localSuspectTTL is how long the host treats the requests that it marked as
	// suspects; after it, only those on the control leader's list.
	localSuspectTTL = 10 * time.Second
)

// crashes tracks the requests that were in flight when a backend server crashed:
// this host's crash marks and the control leader's lists of suspects and
// quarantined requests.
type crashes struct {
	mu            sync.Mutex
	marks         quarantine.MarkLog
	term          uint64 // of the control leader that last responded
	localSuspects map[string]time.Time
	suspects      map[string]struct{}
	quarantined   map[string]time.Time
	// suspectParts are the parts of prompts on which responses are to be reported,
	// answered those on which responses progressed.
	suspectParts [][]byte
	answered     *quarantine.Answered
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
	c.answered = quarantine.NewAnswered()
}

// check reports whether a request is a suspect. It returns an error for a request that is
// quarantined, or whose prompt has a part that is.
func (c *crashes) check(ar *admittedRequest, now time.Time) (suspect bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocked := func(fingerprint []byte) bool {
		until, ok := c.quarantined[string(fingerprint)]
		return ok && now.Before(until)
	}
	if blocked(ar.fingerprint) {
		return false, fault.New(fault.KindQuarantined, "requests with this content crashed several backend servers",
			"change the request or ask the operator").WithRun(fault.NotRun)
	}
	if slices.ContainsFunc(ar.parts, blocked) {
		return false, fault.New(fault.KindQuarantined, "requests with one of these messages crashed several backend servers",
			"change the messages or ask the operator").At("messages").WithRun(fault.NotRun)
	}
	return c.isSuspect(string(ar.fingerprint), now), nil
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
	c.marks.Confirm()
	c.term = resp.GetTerm()
	for fingerprint, until := range c.localSuspects {
		if !received.Before(until) {
			delete(c.localSuspects, fingerprint)
		}
	}
	// A leader of the previous release sends both lists each time and no digest.
	if resp.GetSuspectsDigest() != 0 && c.listsDigest == resp.GetSuspectsDigest() {
		return
	}
	c.listsDigest, c.suspectParts = resp.GetSuspectsDigest(), resp.GetSuspectParts()
	c.suspects = make(map[string]struct{}, len(resp.GetSuspects()))
	for _, s := range resp.GetSuspects() {
		c.suspects[string(s.GetFingerprint())] = struct{}{}
	}
	c.quarantined = make(map[string]time.Time, len(resp.GetQuarantined()))
	for _, q := range resp.GetQuarantined() {
		c.quarantined[string(q.GetFingerprint())] = received.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond)
	}
}

// fillReport adds to a report the marks that the leader lacks, the responses on suspect parts and
// the digest of the lists.
func (c *crashes) fillReport(req *apiv1.ReportRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.Crashes = c.marks.Report(c.term, now)
	req.AnsweredParts = c.answered.ReportFor(c.suspectParts, (*apiv1.CrashMark).GetPromptParts, req.Crashes, now)
	req.SuspectsDigest = c.listsDigest
}

// recordAnswer records how far the response to an attempt has come.
func (s *Server) recordAnswer(a *attempt, state quarantine.AnswerState) {
	s.mu.Lock()
	a.assignment.answer = state
	s.mu.Unlock()
	if state == quarantine.AnswerProgressed {
		s.crashes.answered.Record(a.request.parts, s.now())
	}
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
	domain := ""
	if b, ok := s.opts.View.Config().BackendServer(assigned.server); ok {
		domain = b.GetFailureDomain()
	}
	s.crashes.mark(assigned, domain, load, failedAt, s.now())
	return true
}

// mark adds a crash mark for each request that was in flight on the backend
// server in a failure domain. Requests that started after the connection broke did not cause the
// crash and get none.
func (c *crashes) mark(assigned *assignment, domain string, load *serverLoad, failedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byFingerprint := map[string]*assignment{}
	suspects := 0
	for other := range load.assignments {
		fingerprint := string(other.request.fingerprint)
		if other.generation != assigned.generation || other.started.After(failedAt) || byFingerprint[fingerprint] != nil {
			continue
		}
		byFingerprint[fingerprint] = other
		if c.isSuspect(fingerprint, now) {
			suspects++
		}
	}
	for fingerprint, other := range byFingerprint {
		// Without an earlier suspect in flight, a request is the sole suspect
		// only if it was alone; otherwise any of them may be the cause. An
		// earlier suspect is the sole one if no other was in flight.
		sole := suspects == 0 && len(byFingerprint) == 1
		if c.isSuspect(fingerprint, now) {
			sole = suspects == 1
		}
		m := &apiv1.CrashMark{
			Fingerprint: bytes.Clone(other.request.fingerprint), BackendServer: assigned.server, StartId: assigned.startID,
			SoleSuspect: sole, Team: other.request.x.team, AnswerStarted: other.answer == quarantine.AnswerStarted, FailureDomain: domain,
		}
		if other.answer != quarantine.AnswerProgressed {
			m.PromptParts = other.request.parts
		}
		c.marks.Record(m, now)
	}
	for fingerprint := range byFingerprint {
		c.localSuspects[fingerprint] = now.Add(localSuspectTTL)
	}
}
