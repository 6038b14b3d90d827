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
	// probeTime bounds a probe: the connect bound of the pools plus the answer.
	probeTime = 2 * time.Second
	// maxMarks bounds the crash marks that wait for a report. Each engine's
	// crash marks at most the requests in flight there.
	maxMarks = 4096
	// localSuspectTime is how long the host treats its own crash marks as
	// suspects before the control leader's list must name them.
	localSuspectTime = 10 * time.Second
)

// crashes holds what the host knows about requests that were in flight when a
// backend server crashed.
type crashes struct {
	mu          sync.Mutex
	marks       []*apiv1.CrashMark
	reported    int
	local       map[string]time.Time
	suspects    map[string]struct{}
	quarantined map[string]time.Time
	// digest identifies the control leader's lists that the host holds.
	digest uint64
	probes map[probeKey]*probe
}

type probeKey struct {
	server     string
	generation uint64
}

// probe is one look at a backend server that all requests whose connection
// broke in the same run of the server share.
type probe struct {
	done  chan struct{}
	crash bool
}

func (c *crashes) init() {
	c.local = map[string]time.Time{}
	c.probes = map[probeKey]*probe{}
}

// check tells whether a fingerprint is a suspect, and refuses a quarantined one.
func (c *crashes) check(fp []byte, now time.Time) (suspect bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.quarantined[string(fp)]; ok && now.Before(until) {
		return false, fault.New(fault.KindQuarantined, "requests with this content crashed several backend servers",
			"change the request or ask the operator").WithRun(fault.NotRun)
	}
	return c.isSuspect(string(fp), now), nil
}

func (c *crashes) isSuspect(fp string, now time.Time) bool {
	if _, ok := c.suspects[fp]; ok {
		return true
	}
	until, ok := c.local[fp]
	return ok && now.Before(until)
}

// apply takes over the control leader's lists, and drops the marks that the
// answered report named.
func (c *crashes) apply(resp *apiv1.ReportResponse, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = c.marks[c.reported:]
	c.reported = 0
	for fp, until := range c.local {
		if !received.Before(until) {
			delete(c.local, fp)
		}
	}
	// A leader of the release before sends no digest and both lists each time.
	if resp.GetSuspectsDigest() != 0 && c.digest == resp.GetSuspectsDigest() {
		return
	}
	c.digest = resp.GetSuspectsDigest()
	c.suspects = make(map[string]struct{}, len(resp.GetSuspects()))
	for _, s := range resp.GetSuspects() {
		c.suspects[string(s.GetFingerprint())] = struct{}{}
	}
	c.quarantined = make(map[string]time.Time, len(resp.GetQuarantined()))
	for _, q := range resp.GetQuarantined() {
		c.quarantined[string(q.GetFingerprint())] = received.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond)
	}
}

// report adds the marks that no answered report has named yet, and which lists
// the host holds.
func (c *crashes) report(req *apiv1.ReportRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = len(c.marks)
	req.Crashes = append([]*apiv1.CrashMark(nil), c.marks...)
	req.SuspectsDigest = c.digest
}

// crashed tells whether the backend server of a request whose connection broke
// has crashed. A probe over a new connection decides; it runs once for all
// requests that were in flight there. The request keeps its share meanwhile, so
// that it is counted among those in flight at the crash.
func (s *Server) crashed(sh *share, client *engine.Client) bool {
	s.mu.Lock()
	sh.failed = true
	s.mu.Unlock()
	key := probeKey{sh.server, sh.generation}
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

	p.crash = s.probe(sh, client)
	s.crashes.mu.Lock()
	delete(s.crashes.probes, key)
	s.crashes.mu.Unlock()
	close(p.done)
	return p.crash
}

// probe runs on a context of its own: the caller whose request found the broken
// connection may have gone, while others still wait for the verdict.
func (s *Server) probe(sh *share, client *engine.Client) bool {
	failedAt := s.now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	startID, err := client.Probe(ctx)
	if err == nil && (sh.startID == "" || startID == sh.startID) {
		return false
	}
	s.metrics.crashes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.d.inFlight[sh.server]
	if load.generation != sh.generation {
		return true // marked by an earlier probe of the same crash
	}
	load.generation++
	s.crashes.mark(sh, load, failedAt, s.now())
	return true
}

// mark records a crash mark for each request that was in flight on the backend
// server. Requests that started after the connection broke did not cause it.
func (c *crashes) mark(sh *share, load *inFlight, failedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byFingerprint := map[string]*work{}
	known := 0
	for other := range load.shares {
		fp := string(other.w.fingerprint)
		if other.generation != sh.generation || other.started.After(failedAt) || byFingerprint[fp] != nil {
			continue
		}
		byFingerprint[fp] = other.w
		if c.isSuspect(fp, now) {
			known++
		}
	}
	for fp, w := range byFingerprint {
		if len(c.marks) >= maxMarks {
			break
		}
		// A request without a mark is the only suspect when it was alone: where
		// several were in flight, each of them may be the cause.
		sole := known == 0 && len(byFingerprint) == 1
		if c.isSuspect(fp, now) {
			sole = known == 1
		}
		c.marks = append(c.marks, &apiv1.CrashMark{
			Fingerprint: bytes.Clone(w.fingerprint), BackendServer: sh.server, StartId: sh.startID,
			SoleSuspect: sole, Team: w.x.team,
		})
	}
	for fp := range byFingerprint {
		c.local[fp] = now.Add(localSuspectTime)
	}
}
