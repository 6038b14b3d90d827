package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// usage holds what this host has in flight at each backend server, what it has
// observed of them, and what was asked of it since the last report.
type usage struct {
	mu       sync.Mutex
	servers  map[string]*serverUse
	arrivals map[residency.Ref]*arrived
	crashes  []*apiv1.CrashMark
	// reported is what the report on its way holds.
	reported reported
}

type arrived struct {
	requests int
	tokens   uint64
}

type reported struct {
	arrivals map[residency.Ref]*arrived
	crashes  []*apiv1.CrashMark
}

// serverUse is one backend server as this host sees it.
type serverUse struct {
	inFlight int
	pending  int
	adapters map[residency.Ref]int
	// avoidUntil is when a server that failed is tried again, and streak the
	// number of failures in a row.
	avoidUntil time.Time
	streak     int
	// failures is the decayed part of requests that failed.
	failures float64
	// work is the mean time of a plain request; slowness is the time to a first
	// event as a multiple of the expected.
	work     time.Duration
	slowness float64
	// heard is when the last byte came from the server.
	heard time.Time
	// load is the server's own count, as of loadAt; own is what this host had in
	// flight then.
	load   Load
	loadAt time.Time
	own    int
	used   time.Time
}

func newUsage() *usage {
	return &usage{servers: map[string]*serverUse{}, arrivals: map[residency.Ref]*arrived{}}
}

// server returns the row of an instance. The caller holds mu.
func (u *usage) server(instance string) *serverUse {
	s := u.servers[instance]
	if s == nil {
		s = &serverUse{adapters: map[residency.Ref]int{}, slowness: 1}
		u.servers[instance] = s
	}
	return s
}

// ticket is the part of one attempt in the counts.
type ticket struct {
	u        *usage
	instance string
	ref      residency.Ref
	tokens   int
	pending  bool
	returned bool
}

// begin counts an attempt. end returns it.
func (u *usage) begin(instance string, ref residency.Ref, tokens int, now time.Time) *ticket {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.server(instance)
	s.inFlight++
	s.pending += tokens
	s.used = now
	if ref != (residency.Ref{}) {
		s.adapters[ref]++
	}
	return &ticket{u: u, instance: instance, ref: ref, tokens: tokens, pending: true}
}

// begun notes that the server has begun to answer: the prompt is read.
func (t *ticket) begun() {
	t.u.mu.Lock()
	defer t.u.mu.Unlock()
	t.read()
}

// read takes the prompt out of the pending tokens. The caller holds mu.
func (t *ticket) read() {
	if t.pending {
		t.pending = false
		t.u.server(t.instance).pending -= t.tokens
	}
}

func (t *ticket) end() {
	t.u.mu.Lock()
	defer t.u.mu.Unlock()
	if t.returned {
		return
	}
	t.returned = true
	t.read()
	s := t.u.server(t.instance)
	s.inFlight--
	if t.ref == (residency.Ref{}) {
		return
	}
	if s.adapters[t.ref]--; s.adapters[t.ref] <= 0 {
		delete(s.adapters, t.ref)
	}
}

// arrive counts a request for an adapter.
func (u *usage) arrive(ref residency.Ref, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.arrivals[ref]
	if a == nil {
		a = &arrived{}
		u.arrivals[ref] = a
	}
	a.requests++
	a.tokens += uint64(tokens)
}

func (u *usage) crashed(m *apiv1.CrashMark) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashes = append(u.crashes, m)
}

// Report adds the host's use of the fleet to the request.
func (u *usage) Report(req *apiv1.ExchangeRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, s := range u.servers {
		if s.inFlight > 0 {
			req.Loads = append(req.Loads, s.report(instance))
		}
	}
	slices.SortFunc(req.Loads, func(a, b *apiv1.HostLoad) int { return strings.Compare(a.GetInstance(), b.GetInstance()) })
	u.reported = reported{arrivals: u.arrivals, crashes: u.crashes}
	u.arrivals, u.crashes = map[residency.Ref]*arrived{}, nil
	for ref, a := range u.reported.arrivals {
		req.Demand = append(req.Demand, &apiv1.AdapterArrivals{
			Model: ref.Model, Adapter: ref.Adapter, Arrivals: uint32(a.requests), Tokens: a.tokens,
		})
	}
	req.Crashes = u.reported.crashes
}

func (s *serverUse) report(instance string) *apiv1.HostLoad {
	load := &apiv1.HostLoad{Instance: instance, InFlight: uint32(s.inFlight), PendingTokens: uint32(max(0, s.pending))}
	for ref, n := range s.adapters {
		load.Adapters = append(load.Adapters, &apiv1.AdapterUse{Model: ref.Model, Adapter: ref.Adapter, InFlight: uint32(n)})
	}
	return load
}

// Reported drops what the last report held, or keeps it for the next one.
func (u *usage) Reported(ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.reported
	u.reported = reported{}
	if ok {
		return
	}
	u.crashes = append(last.crashes, u.crashes...)
	for ref, a := range last.arrivals {
		if have := u.arrivals[ref]; have != nil {
			have.requests += a.requests
			have.tokens += a.tokens
		} else {
			u.arrivals[ref] = a
		}
	}
}

// forget drops the rows of servers that are gone and out of use.
func (u *usage) forget(known func(instance string) bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for instance, s := range u.servers {
		if s.inFlight == 0 && !known(instance) && now.Sub(s.used) > time.Minute {
			delete(u.servers, instance)
		}
	}
}
