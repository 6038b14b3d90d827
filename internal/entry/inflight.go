package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// serverLoad counts this host's requests in flight on one backend server.
type serverLoad struct {
	total       int
	suspects    int
	models      map[string]int
	assignments map[*assignment]struct{}
	// generation counts the detected crashes of the backend server.
	generation uint64
}

func (d *dispatch) loadOf(server string) *serverLoad {
	load := d.inFlight[server]
	if load == nil {
		load = &serverLoad{models: map[string]int{}, assignments: map[*assignment]struct{}{}}
		d.inFlight[server] = load
	}
	return load
}

func (l *serverLoad) add(assigned *assignment) {
	l.total++
	l.assignments[assigned] = struct{}{}
	l.models[assigned.request.model]++
	if assigned.request.suspect {
		l.suspects++
	}
}

func (l *serverLoad) remove(assigned *assignment) {
	l.total--
	delete(l.assignments, assigned)
	if l.models[assigned.request.model]--; l.models[assigned.request.model] == 0 {
		delete(l.models, assigned.request.model)
	}
	if assigned.request.suspect {
		l.suspects--
	}
}

// demand holds the requests for one adapter version that are reported to the
// control leader.
type demand struct {
	ref *apiv1.AdapterRef
	// arrivals counts the requests since the last acknowledged report. reported
	// is the number of them in the last report.
	arrivals, reported uint32
	waiting            map[*admittedRequest]struct{}
}

// recordArrival counts a request for an adapter version.
func (d *dispatch) recordArrival(ar *admittedRequest) {
	if ar.ref == nil {
		return
	}
	d.demandOf(ar).arrivals++
}

func (d *dispatch) demandOf(ar *admittedRequest) *demand {
	entry := d.demand[ar.model]
	if entry == nil {
		entry = &demand{ref: ar.ref, waiting: map[*admittedRequest]struct{}{}}
		d.demand[ar.model] = entry
	}
	return entry
}

// setWaiting updates the counts when a request enters or leaves the fair queue.
func (d *dispatch) setWaiting(ar *admittedRequest, waiting bool) {
	if ar.waiting == waiting {
		return
	}
	ar.waiting = waiting
	switch {
	case ar.cold && waiting:
		d.coldCost += ar.cost
	case ar.cold:
		d.coldCost -= ar.cost
	case waiting:
		d.warmCount++
	default:
		d.warmCount--
	}
	if ar.ref == nil {
		return
	}
	entry := d.demandOf(ar)
	if waiting {
		entry.waiting[ar] = struct{}{}
	} else {
		delete(entry.waiting, ar)
	}
}

// acknowledge subtracts the arrivals in the last report, which the control
// leader has acknowledged. Without it they are reported again.
func (d *dispatch) acknowledge() {
	for model, entry := range d.demand {
		entry.arrivals -= entry.reported
		entry.reported = 0
		if entry.arrivals == 0 && len(entry.waiting) == 0 {
			delete(d.demand, model)
		}
	}
}

// Report returns the host's report to the control leader. The fleet version, the
// in-flight counts and the queues are read under one lock: every request that
// starts after the report is dispatched by the reported version or a later one.
func (s *Server) Report() *apiv1.ReportRequest {
	now := s.now()
	cfg := s.opts.View.Config()
	waiting := s.WaitingFor()
	req := &apiv1.ReportRequest{
		Host:           s.opts.Host,
		Incarnation:    s.opts.Incarnation,
		FailureDomain:  s.opts.FailureDomain,
		ConfigRevision: cfg.Revision,
		Leaving:        s.drain.closing(),
	}
	s.crashes.fillReport(req, now)
	if req.Leaving {
		req.WaitingFor = waiting
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	req.FleetTerm, req.FleetVersion = s.d.table.term, s.d.table.version
	req.Demand = s.d.reportDemand(now)
	req.InFlight = s.d.reportInFlight()
	return req
}

func (d *dispatch) reportDemand(now time.Time) []*apiv1.AdapterDemand {
	var out []*apiv1.AdapterDemand
	for _, model := range slices.Sorted(maps.Keys(d.demand)) {
		entry := d.demand[model]
		entry.reported = entry.arrivals
		msg := &apiv1.AdapterDemand{Ref: entry.ref, Waiting: uint32(len(entry.waiting)), Arrivals: entry.arrivals}
		teams := map[string]int{}
		for ar := range entry.waiting {
			msg.OldestWaitMs = max(msg.OldestWaitMs, uint32(now.Sub(ar.enqueued).Milliseconds()))
			teams[ar.x.team]++
		}
		for _, team := range slices.Sorted(maps.Keys(teams)) {
			if teams[team] > teams[msg.Team] {
				msg.Team = team
			}
		}
		out = append(out, msg)
	}
	return out
}

func (d *dispatch) reportInFlight() []*apiv1.InFlight {
	var out []*apiv1.InFlight
	for name, load := range d.inFlight {
		refs := map[string]*apiv1.InFlight{}
		for assigned := range load.assignments {
			if assigned.request.model == "" {
				continue // a plain service has no adapters
			}
			msg := refs[assigned.request.model]
			if msg == nil {
				msg = &apiv1.InFlight{Engine: name, Ref: assigned.request.ref}
				refs[assigned.request.model] = msg
				out = append(out, msg)
			}
			msg.Count++
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.InFlight) int {
		return cmp.Or(cmp.Compare(a.GetEngine(), b.GetEngine()),
			cmp.Compare(a.GetRef().GetAdapter(), b.GetRef().GetAdapter()),
			cmp.Compare(a.GetRef().GetVersion(), b.GetRef().GetVersion()))
	})
	return out
}
