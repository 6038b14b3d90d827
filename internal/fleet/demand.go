package fleet

import (
	"math"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// demand is the demand of all hosts for one adapter version.
type demand struct {
	// waiting holds the queued requests by host.
	waiting map[string]hostDemand
	// rate is the decayed number of arrivals per second at the time at.
	rate float64
	at   time.Time
	team string
}

type hostDemand struct {
	waiting int
	// oldestSince is the arrival time of the oldest waiting request.
	oldestSince time.Time
}

func (t *Table) addDemand(host string, d *apiv1.AdapterDemand, now time.Time) {
	ref := refOf(d.GetRef())
	if ref.Adapter == "" || !t.published(ref) {
		return
	}
	entry, ok := t.demand[ref]
	if !ok {
		entry = &demand{waiting: map[string]hostDemand{}, at: now}
		t.demand[ref] = entry
	}
	entry.addArrivals(float64(d.GetArrivals()), now)
	if d.GetTeam() != "" {
		entry.team = d.GetTeam()
	}
	delete(entry.waiting, host)
	if d.GetWaiting() > 0 {
		entry.waiting[host] = hostDemand{
			waiting:     int(d.GetWaiting()),
			oldestSince: now.Add(-time.Duration(d.GetOldestWaitMs()) * time.Millisecond),
		}
	}
}

// updateDemand applies the demand of a host's report. Versions that the host
// waited for and no longer reports are dropped. The cost is proportional to the
// size of the report.
func (t *Table) updateDemand(h *host, req *apiv1.ReportRequest, now time.Time) {
	before := h.waitingRefs
	h.waitingRefs = map[Ref]bool{}
	for _, d := range req.GetDemand() {
		t.addDemand(h.name, d, now)
		if d.GetWaiting() > 0 {
			h.waitingRefs[refOf(d.GetRef())] = true
		}
	}
	for ref := range before {
		if !h.waitingRefs[ref] {
			t.dropWaiting(h.name, ref)
		}
	}
}

func (t *Table) dropWaiting(host string, ref Ref) {
	if d, ok := t.demand[ref]; ok {
		delete(d.waiting, host)
	}
}

// addArrivals adds n arrivals to the decayed rate. At a constant arrival rate r
// the decayed rate converges to r.
func (d *demand) addArrivals(n float64, now time.Time) {
	d.rate = d.rateAt(now) + n*math.Ln2/demandHalfLife.Seconds()
	d.at = now
}

func (d *demand) rateAt(now time.Time) float64 {
	age := max(0, now.Sub(d.at).Seconds())
	return d.rate * math.Exp2(-age/demandHalfLife.Seconds())
}

// sumWaiting returns the number of waiting requests of all live hosts and the
// age of the oldest one.
func (t *Table) sumWaiting(d *demand, now time.Time) (int, time.Duration) {
	count := 0
	var oldest time.Duration
	for name, w := range d.waiting {
		h, ok := t.hosts[name]
		if !ok || now.Sub(h.lastSeen) > LivenessTimeout {
			continue
		}
		count += w.waiting
		oldest = max(oldest, now.Sub(w.oldestSince))
	}
	return count, oldest
}

// expireDemand drops idle entries. A resident adapter keeps its entry, since the
// planner needs its team and its last demand to choose which adapter to drain.
func (t *Table) expireDemand(now time.Time) {
	resident := map[Ref]bool{}
	for _, e := range t.engines {
		for ref := range e.slots {
			resident[ref] = true
		}
	}
	for ref, d := range t.demand {
		if d.idle(now) && !resident[ref] {
			delete(t.demand, ref)
		}
	}
	for ref := range resident {
		if t.demand[ref] == nil && t.published(ref) {
			t.demand[ref] = &demand{waiting: map[string]hostDemand{}, at: now}
		}
	}
}

func (d *demand) idle(now time.Time) bool {
	return len(d.waiting) == 0 && d.rateAt(now) < minArrivals
}
