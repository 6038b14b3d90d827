package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
	"github.com/jasminesaddle/jasminesaddle/internal/pace"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// usage holds what this host has in flight at each backend server, its
// measurements of them, and the adapter demand and crash marks since the last
// report.
type usage struct {
	mu       sync.Mutex
	servers  map[string]*serverUsage
	arrivals map[residency.Ref]*arrivalCount
	marks    quarantine.MarkLog
	// pauses counts the streams of each service that have ended since the last report.
	pauses map[string]*apiv1.StreamPauses
	// generations is the mean time of a generation after its first event at the usual pace, by service. Only servers that tell
	// their pace are measured.
	generations map[string]time.Duration
	// unconfirmed is the content of the report in transit.
	unconfirmed unconfirmed
}

type arrivalCount struct {
	requests int
	tokens   uint64
}

type unconfirmed struct {
	arrivals map[residency.Ref]*arrivalCount
}

// serverUsage is this host's state of one backend server.
type serverUsage struct {
	inFlight int
	pending  int
	adapters map[residency.Ref]int
	// failureRate is the exponentially weighted fraction of requests that
	// failed.
	failureRate float64
	// serviceTime is the mean time of a plain request; latencyFactor is the
	// time to the first event as a multiple of the expected one.
	serviceTime   time.Duration
	latencyFactor float64
	// lastSeen is when the last byte came from the server.
	lastSeen time.Time
	// load is the server's own count, as of loadAt; inFlightAtLoad is what
	// this host had in flight then.
	load           Load
	loadAt         time.Time
	inFlightAtLoad int
	// paces is the sum of what the server told of its pace since the last report.
	paces pace.Sum
	used  time.Time
	// gate decides whether the server takes requests of this host.
	gate intake.Gate
}

func newUsage() *usage {
	return &usage{servers: map[string]*serverUsage{}, arrivals: map[residency.Ref]*arrivalCount{}, pauses: map[string]*apiv1.StreamPauses{},
		generations: map[string]time.Duration{}}
}

// recordPauses counts a stream that has ended.
func (u *usage) recordPauses(service string, late bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pauses[service]
	if p == nil {
		p = &apiv1.StreamPauses{Service: service}
		u.pauses[service] = p
	}
	p.Streams++
	if late {
		p.Late++
	}
}

// server returns the state of an instance. The caller holds mu.
func (u *usage) server(instance string) *serverUsage {
	s := u.servers[instance]
	if s == nil {
		s = &serverUsage{adapters: map[residency.Ref]int{}, latencyFactor: 1}
		u.servers[instance] = s
	}
	return s
}

// inFlight is the contribution of one attempt to the counts.
type inFlight struct {
	u        *usage
	instance string
	ref      residency.Ref
	tokens   int
	pending  bool
	ended    bool
}

// startAttempt counts an attempt. end removes it from the counts.
func (u *usage) startAttempt(instance string, ref residency.Ref, tokens int, now time.Time) *inFlight {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.inFlight++
	s.pending += tokens
	s.used = now
	if ref != (residency.Ref{}) {
		s.adapters[ref]++
	}
	return &inFlight{u: u, instance: instance, ref: ref, tokens: tokens, pending: true}
}

// recordResponseStart records that the server has begun to respond: the prompt
// is processed.
func (f *inFlight) recordResponseStart() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	f.recordPromptRead()
}

// recordPromptRead subtracts the prompt from the pending tokens. The caller
// holds mu.
func (f *inFlight) recordPromptRead() {
	if f.pending {
		f.pending = false
		f.u.server(f.instance).pending -= f.tokens
	}
}

func (f *inFlight) end() {
	f.u.mu.Lock()
	defer f.u.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.recordPromptRead()
	s := f.u.server(f.instance)
	s.inFlight--
	if f.ref == (residency.Ref{}) {
		return
	}
	if s.adapters[f.ref]--; s.adapters[f.ref] <= 0 {
		delete(s.adapters, f.ref)
	}
}

// recordArrival counts a request for an adapter.
func (u *usage) recordArrival(ref residency.Ref, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.arrivals[ref]
	if a == nil {
		a = &arrivalCount{}
		u.arrivals[ref] = a
	}
	a.requests++
	a.tokens += uint64(tokens)
}

func (u *usage) recordCrash(m *apiv1.CrashMark, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.marks.Record(m, now)
}

// Report adds this host's usage of the fleet to the request.
func (u *usage) Report(req *apiv1.ExchangeRequest, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, s := range u.servers {
		if s.paces.Count > 0 {
			req.Paces = append(req.Paces, &apiv1.PaceSum{Instance: instance, Total: float32(s.paces.Total), Count: uint32(s.paces.Count)})
			s.paces = pace.Sum{}
		}
		if s.inFlight > 0 {
			req.Loads = append(req.Loads, s.report(instance))
		}
		if l, ok := s.gate.KnownLimit(); ok {
			req.Limits = append(req.Limits, &apiv1.ServerLimit{
				Instance: instance, PerSecond: l.PerSecond, AgeMs: uint32(max(0, now.Sub(l.NamedAt)).Milliseconds()),
			})
		}
		if start, ok := s.gate.LeavingStart(); ok {
			req.Leaving = append(req.Leaving, &apiv1.LeavingServer{Instance: instance, StartUnixMs: start})
		}
		if f, d, ok := s.gate.ReportPlaces(s.inFlight, now); ok {
			req.Brittle = append(req.Brittle, &apiv1.BrittleServer{
				Instance: instance, Tolerated: uint32(f.Tolerated), AgeMs: uint32(max(0, now.Sub(f.NamedAt)).Milliseconds()),
				Places: uint32(d.Held), InFlight: uint32(d.InFlight), Wanted: uint32(d.Wanted), Refusals: uint32(d.Refusals),
			})
		}
	}
	slices.SortFunc(req.Loads, func(a, b *apiv1.HostLoad) int { return strings.Compare(a.GetInstance(), b.GetInstance()) })
	u.unconfirmed = unconfirmed{arrivals: u.arrivals}
	u.arrivals = map[residency.Ref]*arrivalCount{}
	for ref, a := range u.unconfirmed.arrivals {
		req.Demand = append(req.Demand, &apiv1.AdapterArrivals{
			Model: ref.Model, Adapter: ref.Adapter, Arrivals: uint32(a.requests), Tokens: a.tokens,
		})
	}
	for _, p := range u.pauses {
		req.Pauses = append(req.Pauses, p)
	}
	clear(u.pauses)
	req.Crashes = u.marks.Report(req.GetTerm(), now)
}

func (s *serverUsage) report(instance string) *apiv1.HostLoad {
	load := &apiv1.HostLoad{Instance: instance, InFlight: uint32(s.inFlight), PendingTokens: uint32(max(0, s.pending))}
	for ref, n := range s.adapters {
		load.Adapters = append(load.Adapters, &apiv1.AdapterUse{Model: ref.Model, Adapter: ref.Adapter, InFlight: uint32(n)})
	}
	return load
}

// Reported drops the content of the last report, or retains it for the next
// one if it was lost.
func (u *usage) Reported(ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.unconfirmed
	u.unconfirmed = unconfirmed{}
	if ok {
		u.marks.Confirm()
		return
	}
	for ref, a := range last.arrivals {
		if have := u.arrivals[ref]; have != nil {
			have.requests += a.requests
			have.tokens += a.tokens
		} else {
			u.arrivals[ref] = a
		}
	}
}

// leavingRetention is how long a host remembers that a server leaves which is no longer listed.
const leavingRetention = 15 * time.Minute

// prune drops the state of servers that are unknown and have not been used for
// a minute.
func (u *usage) prune(known func(instance string) bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, s := range u.servers {
		retention := time.Minute
		if _, leaves := s.gate.LeavingStart(); leaves {
			retention = leavingRetention
		}
		if s.inFlight == 0 && !known(instance) && now.Sub(s.used) > retention {
			delete(u.servers, instance)
		}
	}
}
