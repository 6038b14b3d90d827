package places

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	step             = 5 * time.Millisecond
	exchangeInterval = 250 * time.Millisecond
	serviceTime      = 60 * time.Millisecond
	tolerated        = 3
	// judgedFrom is contact_ms of the deployments.
	judgedFrom = 3 * time.Second
	playTime   = 20 * time.Second
)

// brittleFleet is one brittle server, which turns away what finds no place, and hosts that exchange with a leader.
type brittleFleet struct {
	rng      *rand.Rand
	slots    int
	gates    []Gate
	inFlight []int
	ends     [][]time.Duration
	table    *Table
	gated    bool
	refusals []time.Duration
	busy     time.Duration // the time of all places in use
	asked    int
	served   int
}

var epoch = time.Unix(1000, 0)

func (f *brittleFleet) running() int {
	n := 0
	for _, in := range f.inFlight {
		n += in
	}
	return n
}

// play lets a host end requests, exchange when its turn comes, and send a request to the server if it may.
func (f *brittleFleet) play(host int, at time.Duration, perSecond float64) {
	now, gate := epoch.Add(at), &f.gates[host]
	f.ends[host] = slices.DeleteFunc(f.ends[host], func(end time.Duration) bool { return end <= at })
	f.inFlight[host] = len(f.ends[host])
	if (at+time.Duration(host)*step)%exchangeInterval == 0 {
		f.exchange(host, now)
	}
	if f.rng.Float64() >= perSecond*step.Seconds()/float64(len(f.gates)) {
		return
	}
	f.asked++
	if f.gated && !gate.Open(f.inFlight[host], f.slots, len(f.gates), now) {
		return
	}
	if f.running() >= f.slots {
		f.refusals = append(f.refusals, at)
		gate.Name("s", tolerated, now)
		gate.Refused(now)
		return
	}
	f.served++
	f.inFlight[host]++
	f.ends[host] = append(f.ends[host], at+time.Duration(f.rng.ExpFloat64()*float64(serviceTime)))
	gate.Name("s", tolerated, now)
}

func (f *brittleFleet) exchange(host int, now time.Time) {
	name, gate := fmt.Sprint("h", host), &f.gates[host]
	fact, d, known := gate.Report(f.inFlight[host], now)
	if known {
		f.table.Observe(fact)
	}
	for _, fact := range f.table.Facts(func(string) bool { return true }, now) {
		gate.Assign(fact, f.table.Grant(name, fact.Instance, f.slots, d, now))
	}
}

// mostRefusals returns the highest number of refusals in a second from judgedFrom on.
func (f *brittleFleet) mostRefusals() int {
	most, first := 0, 0
	late := slices.DeleteFunc(slices.Clone(f.refusals), func(at time.Duration) bool { return at < judgedFrom })
	for i, at := range late {
		for at-late[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func playBrittle(seed uint64, slots, hosts int, load float64, gated bool, changeAt time.Duration) *brittleFleet {
	f := &brittleFleet{
		rng: rand.New(rand.NewPCG(seed, 5)), slots: slots, gates: make([]Gate, hosts), inFlight: make([]int, hosts),
		ends: make([][]time.Duration, hosts), table: NewTable(epoch.Add(-time.Hour)), gated: gated,
	}
	perSecond := load * float64(slots) / serviceTime.Seconds()
	for at := time.Duration(0); at < playTime; at += step {
		if at == changeAt {
			f.table = NewTable(epoch.Add(at))
		}
		for host := range hosts {
			f.play(host, at, perSecond)
		}
		if at >= judgedFrom {
			f.busy += time.Duration(f.running()) * step
		}
	}
	return f
}

// TestBrittleServerIsNotOverrun guards against hosts that together have a brittle server turn away more than it bears, and
// against places that stay empty while requests are held back.
func TestBrittleServerIsNotOverrun(t *testing.T) {
	for _, tc := range []struct {
		slots, hosts int
		load         float64
	}{{6, 1, 3}, {6, 6, 1}, {6, 6, 3}, {6, 75, 3}, {64, 6, 1}, {64, 6, 3}, {64, 75, 1}, {64, 75, 3}} {
		t.Run(fmt.Sprintf("%d slots, %d hosts, load %.0f", tc.slots, tc.hosts, tc.load), func(t *testing.T) {
			for seed := range uint64(3) {
				free := playBrittle(seed, tc.slots, tc.hosts, tc.load, false, 10*time.Second)
				f := playBrittle(seed, tc.slots, tc.hosts, tc.load, true, 10*time.Second)
				used := f.busy.Seconds() / (playTime - judgedFrom).Seconds() / float64(tc.slots)
				t.Logf("seed %d: at most %d refusals in a second (%d without places), %.2f of the places in use (%.2f), %d of %d asked served",
					seed, f.mostRefusals(), free.mostRefusals(), used, free.busy.Seconds()/(playTime-judgedFrom).Seconds()/float64(tc.slots), f.served, f.asked)
				must.LessEq(t, tolerated, f.mostRefusals(), must.Sprint("the server falls over"))
				must.GreaterEq(t, 0.5, used, must.Sprint("places stay empty"))
			}
		})
	}
}

// Guards against a server that stays closed after its last word, and against one whose word is forgotten.
func TestBrittleTimeEnds(t *testing.T) {
	var g Gate
	must.True(t, g.Open(99, 6, 6, epoch))
	g.Name("s", 3, epoch)
	must.False(t, g.Open(1, 6, 6, epoch))
	g.Assign(Fact{"s", 3, epoch.Add(time.Second)}, 2)
	must.True(t, g.Open(1, 6, 6, epoch.Add(time.Second)))
	must.False(t, g.Open(2, 6, 6, epoch.Add(time.Second)))
	g.Refused(epoch.Add(time.Second))
	must.False(t, g.Open(0, 6, 6, epoch.Add(time.Second)))
	must.True(t, g.Open(0, 6, 6, epoch.Add(2*time.Second)))
	g.Name("s", 0, epoch.Add(500*time.Millisecond))
	must.True(t, g.Brittle(), must.Sprint("an older word counts"))
	g.Assign(Fact{"s", 0, epoch.Add(3 * time.Second)}, 0)
	must.True(t, g.Open(99, 6, 6, epoch.Add(3*time.Second)))
}

// Guards against places that two leaders give away at the same time.
func TestNewLeaderGivesNoMorePlaces(t *testing.T) {
	table := NewTable(epoch)
	must.True(t, table.Observe(Fact{"s", 3, epoch}))
	must.Eq(t, 2, table.Grant("a", "s", 6, Demand{Held: 2, Wanted: 6}, epoch))
	must.Eq(t, 0, table.Grant("b", "s", 6, Demand{Wanted: 6}, epoch))
	later := epoch.Add(settleTime)
	must.Eq(t, 3, table.Grant("b", "s", 6, Demand{Wanted: 6}, later), must.Sprint("the other host wants an even share too"))
	must.Eq(t, 3, table.Grant("a", "s", 6, Demand{Held: 2, Wanted: 6}, later))
	must.Eq(t, 0, table.Grant("c", "s", 6, Demand{Wanted: 1}, later))
	must.Eq(t, 1, table.Grant("a", "s", 6, Demand{Held: 3, Wanted: 1}, later))
	must.Eq(t, 0, table.Grant("none", "unknown", 6, Demand{Wanted: 6}, later))
}
