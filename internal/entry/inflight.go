package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// inFlight is what runs on one backend server for this host.
type inFlight struct {
	total    int
	suspects int
	models   map[string]int
	shares   map[*share]struct{}
	// generation counts the crashes seen of the backend server.
	generation uint64
}

func (d *dispatch) loadOf(server string) *inFlight {
	load := d.inFlight[server]
	if load == nil {
		load = &inFlight{models: map[string]int{}, shares: map[*share]struct{}{}}
		d.inFlight[server] = load
	}
	return load
}

func (l *inFlight) add(sh *share) {
	l.total++
	l.shares[sh] = struct{}{}
	l.models[sh.w.model]++
	if sh.w.suspect {
		l.suspects++
	}
}

func (l *inFlight) remove(sh *share) {
	l.total--
	delete(l.shares, sh)
	if l.models[sh.w.model]--; l.models[sh.w.model] == 0 {
		delete(l.models, sh.w.model)
	}
	if sh.w.suspect {
		l.suspects--
	}
}

// demand is what callers ask of one adapter version.
type demand struct {
	ref *apiv1.AdapterRef
	// arrivals counts since the last acknowledged report, and reported is the
	// part of them that the last report named.
	arrivals, reported uint32
	waiting            map[*work]struct{}
}

// arrived counts a request for an adapter version.
func (d *dispatch) arrived(w *work) {
	if w.ref == nil {
		return
	}
	d.demandOf(w).arrivals++
}

func (d *dispatch) demandOf(w *work) *demand {
	row := d.demand[w.model]
	if row == nil {
		row = &demand{ref: w.ref, waiting: map[*work]struct{}{}}
		d.demand[w.model] = row
	}
	return row
}

// setWaiting counts a request that enters or leaves the queue.
func (d *dispatch) setWaiting(w *work, waiting bool) {
	if w.waiting == waiting {
		return
	}
	w.waiting = waiting
	switch {
	case w.cold && waiting:
		d.coldCost += w.cost
	case w.cold:
		d.coldCost -= w.cost
	case waiting:
		d.hot++
	default:
		d.hot--
	}
	if w.ref == nil {
		return
	}
	row := d.demandOf(w)
	if waiting {
		row.waiting[w] = struct{}{}
	} else {
		delete(row.waiting, w)
	}
}

// acknowledge takes the arrivals of the last report as known to the control
// leader. Until then they are reported again.
func (d *dispatch) acknowledge() {
	for model, row := range d.demand {
		row.arrivals -= row.reported
		row.reported = 0
		if row.arrivals == 0 && len(row.waiting) == 0 {
			delete(d.demand, model)
		}
	}
}

// Report returns what the control leader is told. The fleet version, the
// in-flight counts and the queues are read under one lock: the report names a
// version only when every later start already acts on it.
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
	s.crashes.report(req)
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
		row := d.demand[model]
		row.reported = row.arrivals
		msg := &apiv1.AdapterDemand{Ref: row.ref, Waiting: uint32(len(row.waiting)), Arrivals: row.arrivals}
		teams := map[string]int{}
		for w := range row.waiting {
			msg.OldestWaitMs = max(msg.OldestWaitMs, uint32(now.Sub(w.enqueued).Milliseconds()))
			teams[w.x.team]++
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
		for sh := range load.shares {
			if sh.w.model == "" {
				continue // a plain service holds no adapters
			}
			row := refs[sh.w.model]
			if row == nil {
				row = &apiv1.InFlight{Engine: name, Ref: sh.w.ref}
				refs[sh.w.model] = row
				out = append(out, row)
			}
			row.Count++
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.InFlight) int {
		return cmp.Or(cmp.Compare(a.GetEngine(), b.GetEngine()),
			cmp.Compare(a.GetRef().GetAdapter(), b.GetRef().GetAdapter()),
			cmp.Compare(a.GetRef().GetVersion(), b.GetRef().GetVersion()))
	})
	return out
}
