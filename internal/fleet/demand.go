package fleet

import (
	"math"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// demand is what all hosts ask of one adapter version.
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
	// oldestSince is when the oldest waiting request arrived.
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
	entry.arrive(float64(d.GetArrivals()), now)
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

// clearDemand removes the host's waiting requests from entries that its report
// does not name any more.
func (t *Table) clearDemand(host string, req *apiv1.ReportRequest) {
	named := make(map[Ref]bool, len(req.GetDemand()))
	for _, d := range req.GetDemand() {
		named[refOf(d.GetRef())] = true
	}
	for ref, d := range t.demand {
		if !named[ref] {
			delete(d.waiting, host)
		}
	}
}

// arrive adds arrivals to the decayed rate. A constant rate r converges to r.
func (d *demand) arrive(n float64, now time.Time) {
	d.rate = d.rateAt(now) + n*math.Ln2/demandHalfLife.Seconds()
	d.at = now
}

func (d *demand) rateAt(now time.Time) float64 {
	age := max(0, now.Sub(d.at).Seconds())
	return d.rate * math.Exp2(-age/demandHalfLife.Seconds())
}

// total returns the waiting requests of all hosts that were heard lately and
// the age of the oldest.
func (t *Table) total(d *demand, now time.Time) (int, time.Duration) {
	count := 0
	var oldest time.Duration
	for name, w := range d.waiting {
		h, ok := t.hosts[name]
		if !ok || now.Sub(h.lastHeard) > LiveBound {
			continue
		}
		count += w.waiting
		oldest = max(oldest, now.Sub(w.oldestSince))
	}
	return count, oldest
}

// expireDemand drops idle entries. An adapter that is resident keeps its entry,
// since the planner needs its team and its last demand to choose what to drain.
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
