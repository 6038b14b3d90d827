package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

var (
	testStart = time.Unix(1000, 0)
	testRef   = Ref{Adapter: "a", Version: "1"}
)

const testAddress = "http://127.0.0.1:1"

func testConfig(versions ...string) *config.Snapshot {
	a := &apiv1.Adapter{Name: "a", BaseModel: "m", DefaultVersion: versions[0]}
	for _, v := range versions {
		a.Versions = append(a.Versions, &apiv1.AdapterVersion{Version: v, Weights: "w/" + v})
	}
	return config.FromManifest(&apiv1.Manifest{
		Adapters: []*apiv1.Adapter{a},
		BackendServers: []*apiv1.BackendServer{{
			Name: "e", Address: testAddress, Kind: apiv1.BackendKind_BACKEND_KIND_ENGINE, BaseModel: "m", Slots: 2,
		}},
	}, 1)
}

// fixture is a table with a scraped engine on which testRef is resident, past
// the first MaxSilence of the term.
type fixture struct {
	t   *Table
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{t: New(5, testStart, testConfig("1", "2")), now: testStart.Add(MaxSilence)}
	f.scrape("s1", testRef)
	return f
}

func (f *fixture) scrape(startID string, refs ...Ref) {
	f.t.RecordScrape("e", Scrape{Address: testAddress, StartID: startID, Resident: refs, SentAt: f.now}, f.now)
}

// report sends a heartbeat of a host that has applied the given fleet version.
func (f *fixture) report(host string, version uint64, inFlight uint32) *apiv1.ReportResponse {
	req := &apiv1.ReportRequest{Host: host, Incarnation: 1, FleetTerm: 5, FleetVersion: version}
	if inFlight > 0 {
		req.InFlight = []*apiv1.InFlight{{Engine: "e", Ref: testRef.Proto(), Count: inFlight}}
	}
	return f.t.Report(req, f.now)
}

// An unload order sent while a host may still start or run a request would evict
// an adapter in use.
func TestUnloadWaitsForEveryHost(t *testing.T) {
	f := newFixture()
	old := f.report("h1", 0, 0).GetFleetVersion()
	f.report("h2", old, 1)
	must.True(t, f.t.StartDrain("e", testRef, f.now))
	must.SliceEmpty(t, f.t.TakeUnloads(f.now), must.Sprint("hosts have not confirmed"))

	current := f.report("h1", old, 0).GetFleetVersion()
	f.report("h1", current, 0)
	must.SliceEmpty(t, f.t.TakeUnloads(f.now), must.Sprint("h2 has not confirmed"))
	f.report("h2", current, 1)
	must.SliceEmpty(t, f.t.TakeUnloads(f.now), must.Sprint("h2 still runs a request"))
	must.Eq(t, []string{"unload of a:1 on e waits for host h2"}, f.t.PendingDrains(f.now))

	f.now = f.now.Add(MaxSilence + time.Millisecond)
	f.report("h1", current, 0)
	orders := f.t.TakeUnloads(f.now)
	must.Len(t, 1, orders, must.Sprint("h2 is silent for longer than MaxSilence"))
	must.SliceEmpty(t, f.t.TakeUnloads(f.now), must.Sprint("the order was taken"))
}

// A new leader that unloads before every live host has had time to report would
// evict an adapter that such a host still uses.
func TestNoUnloadAtStartOfTerm(t *testing.T) {
	f := newFixture()
	f.now = testStart.Add(MaxSilence - time.Millisecond)
	f.t.StartDrain("e", testRef, f.now)
	must.SliceEmpty(t, f.t.TakeUnloads(f.now))
	f.now = testStart.Add(MaxSilence)
	must.Len(t, 1, f.t.TakeUnloads(f.now))
}

// A slot that becomes ready again after an unload order was sent could be evicted
// by the late order while it serves.
func TestNoUndrainAfterUnloadWasSent(t *testing.T) {
	f := newFixture()
	f.t.StartDrain("e", testRef, f.now)
	must.True(t, f.t.CancelDrain("e", testRef, f.now))
	f.t.StartDrain("e", testRef, f.now)
	orders := f.t.TakeUnloads(f.now)
	must.Len(t, 1, orders)
	f.t.RecordUnload(orders[0], true, f.now)
	must.False(t, f.t.CancelDrain("e", testRef, f.now))
	must.Len(t, 1, f.t.TakeUnloads(f.now), must.Sprint("the order is sent again"))
}

// Slots retained after an engine's restart would route requests to an engine
// that lost its adapters.
func TestResidencyFollowsScrapes(t *testing.T) {
	f := newFixture()
	second := Ref{Adapter: "a", Version: "2"}
	o, ok := f.t.StartLoad("e", second, f.now)
	must.True(t, ok)
	must.Eq(t, "w/2", o.Weights)
	f.scrape("s1", testRef)
	f.t.RecordLoad(o, false, f.now)
	must.Len(t, 2, f.t.Engines(f.now)[0].GetSlots())

	before := f.now.Add(-time.Millisecond)
	f.t.RecordScrape("e", Scrape{Address: testAddress, StartID: "s1", Resident: []Ref{testRef}, SentAt: before}, f.now)
	must.Len(t, 2, f.t.Engines(f.now)[0].GetSlots(), must.Sprint("a scrape from before the load removed the slot"))

	f.now = f.now.Add(time.Second)
	f.scrape("s2")
	must.Len(t, 0, f.t.Engines(f.now)[0].GetSlots())
}

// A version that the configuration no longer contains must get no new requests.
func TestDroppedVersionDrains(t *testing.T) {
	f := newFixture()
	f.t.SetConfig(testConfig("2"))
	must.Eq(t, apiv1.SlotState_SLOT_STATE_DRAINING, f.t.Engines(f.now)[0].GetSlots()[0].GetState())
}

// A response without a change would leave a host with outdated residency; a
// response that repeats every engine would exceed the traffic allowed per host.
func TestReportAnswersWithChangesOnly(t *testing.T) {
	f := newFixture()
	first := f.report("h", 0, 0)
	must.True(t, first.GetFull())
	again := f.report("h", first.GetFleetVersion(), 0)
	must.False(t, again.GetFull())
	must.SliceEmpty(t, again.GetEngines())

	f.t.RecordScrape("e", Scrape{Address: testAddress, StartID: "s1", Running: 3, Resident: []Ref{testRef}, SentAt: f.now}, f.now)
	loads := f.report("h", first.GetFleetVersion(), 0)
	must.Len(t, 1, loads.GetEngines())
	must.True(t, loads.GetEngines()[0].GetSlotsUnchanged())

	f.t.StartDrain("e", testRef, f.now)
	must.False(t, f.report("h", first.GetFleetVersion(), 0).GetEngines()[0].GetSlotsUnchanged())
}

// Counting the waiting requests of a dead host would cause loads that no request
// waits for.
func TestDemandOfSilentHostIsNotCounted(t *testing.T) {
	f := newFixture()
	req := &apiv1.ReportRequest{Host: "h", Incarnation: 1, Demand: []*apiv1.AdapterDemand{
		{Ref: testRef.Proto(), Waiting: 2, Arrivals: 1, OldestWaitMs: 100, Team: "t"},
	}}
	f.t.Report(req, f.now)
	waiting, oldest := f.t.sumWaiting(f.t.demand[testRef], f.now)
	must.Eq(t, 2, waiting)
	must.Eq(t, 100*time.Millisecond, oldest)
	waiting, _ = f.t.sumWaiting(f.t.demand[testRef], f.now.Add(LivenessTimeout+1))
	must.Eq(t, 0, waiting)
}

// A resident adapter without a demand entry would have no team in the plan, and
// the team's slot limit would not count it.
func TestResidentKeepsDemand(t *testing.T) {
	f := newFixture()
	f.t.Report(&apiv1.ReportRequest{Host: "h", Incarnation: 1, Demand: []*apiv1.AdapterDemand{
		{Ref: testRef.Proto(), Waiting: 1, Team: "t"},
		{Ref: (Ref{"a", "2"}).Proto(), Waiting: 1, Team: "t"},
	}}, f.now)
	f.report("h", 0, 0)
	f.now = f.now.Add(time.Hour)
	f.t.Tick(f.now)
	plan := f.t.Snapshot(f.now)
	must.Len(t, 1, plan.Demand)
	must.Eq(t, "t", plan.Demand[0].Team)
	must.Eq(t, "m", plan.Demand[0].BaseModel)
}

// Sums that do not follow a host's restart, silence or new report would keep a
// slot from being drained that no host uses, or cause loads for requests that no
// longer wait.
func TestSumsFollowHosts(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"new report":      func(f *fixture) { f.report("h", 0, 0) },
		"new incarnation": func(f *fixture) { f.t.Report(&apiv1.ReportRequest{Host: "h", Incarnation: 2}, f.now) },
		"long silence": func(f *fixture) {
			f.now = f.now.Add(hostRetention + time.Second)
			f.t.Tick(f.now)
		},
	} {
		f := newFixture()
		f.t.Report(&apiv1.ReportRequest{
			Host: "h", Incarnation: 1,
			InFlight: []*apiv1.InFlight{{Engine: "e", Ref: testRef.Proto(), Count: 2}},
			Demand:   []*apiv1.AdapterDemand{{Ref: testRef.Proto(), Waiting: 3, Team: "t"}},
		}, f.now)
		before := f.t.Snapshot(f.now)
		must.Eq(t, 2, before.Engines[0].Residents[0].InFlight, must.Sprint(name))
		must.Eq(t, 3, before.Demand[0].Waiting, must.Sprint(name))
		end(f)
		after := f.t.Snapshot(f.now)
		must.Eq(t, 0, after.Engines[0].Residents[0].InFlight, must.Sprint(name))
		for _, d := range after.Demand {
			must.Eq(t, 0, d.Waiting, must.Sprint(name))
		}
		must.MapEmpty(t, f.t.inFlight, must.Sprint(name))
	}
}

// The outcome of an order or scrape of an earlier engine must not be applied to a
// new engine of the same name: the table would show adapters on it that are not
// resident there.
func TestAnswerOfEarlierEngineOfTheName(t *testing.T) {
	f := newFixture()
	o, ok := f.t.StartLoad("e", Ref{"a", "2"}, f.now)
	must.True(t, ok)
	m := testConfig("1", "2").Manifest()
	m.BackendServers[0].Address = "http://127.0.0.1:2"
	f.t.SetConfig(config.FromManifest(m, 2))
	f.scrape("s1", testRef)
	must.SliceEmpty(t, f.t.Engines(f.now)[0].GetSlots())
	f.t.RecordScrape("e", Scrape{Address: m.BackendServers[0].Address, StartID: "s2", SentAt: f.now}, f.now)
	_, ok = f.t.StartLoad("e", Ref{"a", "2"}, f.now)
	must.True(t, ok)
	f.t.RecordLoad(o, false, f.now)
	must.EqOp(t, apiv1.SlotState_SLOT_STATE_LOADING, f.t.Engines(f.now)[0].GetSlots()[0].GetState())
}

// The owner of a running call must not count as dead because it has not reported
// to a new leader yet: its caller would be told that the outcome is unknown.
func TestOwnerIsLiveUntilItHadTimeToReport(t *testing.T) {
	for _, tc := range []struct {
		host        string
		incarnation uint64
		after       time.Duration
		live        bool
	}{
		{"unreported", 1, LivenessTimeout, true},
		{"unreported", 1, LivenessTimeout + time.Millisecond, false},
		{"h", 1, LivenessTimeout, true},
		{"h", 2, time.Second, false},
		{"h", 1, LivenessTimeout + time.Millisecond, false},
	} {
		f := &fixture{t: New(5, testStart, testConfig("1")), now: testStart}
		f.report("h", 0, 0)
		must.EqOp(t, tc.live, f.t.HostLive(tc.host, tc.incarnation, testStart.Add(tc.after)), must.Sprint(tc))
	}
}

// A drain request must apply to the process that it was given for and to no later
// one of the same name, which would leave the fleet as soon as it starts.
func TestDrainHoldsForOneProcess(t *testing.T) {
	f := newFixture()
	must.False(t, f.t.SetDrain("h", true))
	f.report("h", 0, 0)
	must.True(t, f.t.SetDrain("h", true))
	must.True(t, f.report("h", 0, 0).GetDrain())
	restarted := f.t.Report(&apiv1.ReportRequest{Host: "h", Incarnation: 2}, f.now)
	must.False(t, restarted.GetDrain())
}
