package capacity

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/entry"
	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// adapterSlots is the number of adapter slots of each measured engine.
const adapterSlots = 8

// loadStatus returns the status of an engine of which only the load changed.
func loadStatus(i int) *apiv1.EngineStatus {
	return &apiv1.EngineStatus{
		Name: engineName(i), Healthy: true, StartId: "1800000000.25", Running: uint32(20 + i%30), Queued: uint32(i % 5),
		LoadAgeMs: uint32(100 + i%400), KvUsagePermille: uint32(500 + i%400), SlotsUnchanged: true, FailureDomain: domainName(i),
	}
}

func loadStatuses(n int) []*apiv1.EngineStatus {
	var out []*apiv1.EngineStatus
	for i := range n {
		out = append(out, loadStatus(i))
	}
	return out
}

// slotStatus returns the status of an engine with its load and all its adapter
// slots.
func slotStatus(i, adapters int) *apiv1.EngineStatus {
	st := loadStatus(i)
	st.SlotsUnchanged = false
	for s := range adapterSlots {
		st.Slots = append(st.Slots, &apiv1.Slot{Ref: adapterRef((i*adapterSlots + s) % adapters), State: apiv1.SlotState_SLOT_STATE_READY})
	}
	return st
}

// fleetTable returns a leader's fleet table after one scrape of each engine.
func fleetTable(engines, adapters int, now time.Time) *fleet.Table {
	t := fleet.New(1, now, config.FromManifest(manifest(adapters, engines, 4, 1), 1))
	scrapeAll(t, engines, adapters, 0, now)
	return t
}

// scrapeAll records a scrape of each engine whose load differs from that of the
// previous round.
func scrapeAll(t *fleet.Table, engines, adapters, round int, now time.Time) {
	for i := range engines {
		scrapeOne(t, i, adapters, round, now)
	}
}

func scrapeOne(t *fleet.Table, i, adapters, round int, now time.Time) {
	s := fleet.Scrape{Address: engineAddress(i), StartID: "1800000000.25", Running: 20 + (i+round)%30, Queued: i % 5, KVUsage: 0.7, SentAt: now}
	for k := range adapterSlots {
		s.Resident = append(s.Resident, fleet.Ref{Adapter: adapterName((i*adapterSlots + k) % adapters), Version: "v1"})
	}
	t.RecordScrape(engineName(i), s, now)
}

// reportRequest returns a host's Report with the given numbers of requests in
// flight and of adapters in demand.
func reportRequest(host, inFlight, demand, engines, adapters int) *apiv1.ReportRequest {
	req := &apiv1.ReportRequest{
		Cluster: cluster, Host: hostName(host), Incarnation: 1, FailureDomain: domainName(host),
		Address: "http://10.9.0.1:7000", ConfigRevision: 54_000, FleetVersion: 1 << 40, FleetTerm: 1, SuspectsDigest: 1 << 60,
	}
	for i := range inFlight {
		e := (host*inFlight + i) % engines
		req.InFlight = append(req.InFlight, &apiv1.InFlight{Engine: engineName(e), Ref: adapterRef(e * adapterSlots % adapters), Count: 1})
	}
	for i := range demand {
		req.Demand = append(req.Demand, &apiv1.AdapterDemand{
			Ref: adapterRef((host*demand + i) % adapters), Arrivals: 3, Waiting: uint32(i % 2), OldestWaitMs: 40, Team: teamName(i % 4),
		})
	}
	return req
}

func (b *bench) measureFleet() error {
	engines := b.sizes(4000)
	b.sweep("report.load", "Report's answer with the load of engines", "engines named", "bytes", engines, func(n int) float64 {
		return float64(proto.Size(&apiv1.ReportResponse{Term: 1, FleetVersion: 1 << 20, Engines: loadStatuses(n), SuspectsDigest: 1 << 60}))
	})
	b.sweep("report.slots", "Report's answer with load and slots of engines", "engines named", "bytes", engines, func(n int) float64 {
		resp := &apiv1.ReportResponse{Term: 1, FleetVersion: 1 << 20, Full: true, SuspectsDigest: 1 << 60}
		for i := range n {
			resp.Engines = append(resp.Engines, slotStatus(i, 28_000))
		}
		return float64(proto.Size(resp))
	})
	b.sweep("report.inflight", "Report's request with requests in flight", "engine and adapter pairs", "bytes", b.sizes(400), func(n int) float64 {
		return float64(proto.Size(reportRequest(1, n, 0, 10_000, 28_000)))
	})
	b.sweep("report.demand", "Report's request with demand", "adapters named", "bytes", b.sizes(400), func(n int) float64 {
		return float64(proto.Size(reportRequest(1, 0, n, 10_000, 28_000)))
	})
	b.measureReportHandling()
	b.measureEntryFleet()
	return nil
}

// measureReportHandling measures how the leader handles Report, encoding
// included.
func (b *bench) measureReportHandling() {
	now := time.Unix(1_800_000_000, 0)
	b.sweep("fleet.report.engines", "handle and encode a Report when half of the engines have a new load", "engines", "s", b.sizes(4000), func(n int) float64 {
		t := fleetTable(n, n*adapterSlots, now)
		first := t.Report(reportRequest(1, 0, 0, n, n*adapterSlots), now)
		return b.cpuPerOp(5, func(i int) {
			for e := i % 2; e < n; e += 2 {
				scrapeOne(t, e, n*adapterSlots, i+1, now)
			}
			req := reportRequest(1, 0, 0, n, n*adapterSlots)
			req.FleetVersion = first.GetFleetVersion()
			encode(t.Report(req, now))
		})
	})
	b.sweep("fleet.scraped", "take in scrapes of engines with 8 adapters", "engines", "s", b.sizes(4000), func(n int) float64 {
		t := fleetTable(n, n*adapterSlots, now)
		return b.cpuPerOp(5, func(i int) { scrapeAll(t, n, n*adapterSlots, i+1, now) })
	})
	b.sweep("fleet.report.inflight", "handle a Report with requests in flight", "engine and adapter pairs", "s", b.sizes(400), func(n int) float64 {
		t := fleetTable(400, 3200, now)
		req := reportRequest(1, n, 0, 400, 3200)
		first := t.Report(req, now)
		req.FleetVersion = first.GetFleetVersion()
		return b.cpuPerOp(200, func(int) { t.Report(req, now) })
	})
	b.sweep("fleet.report.demand", "handle a Report, by adapters with demand anywhere", "adapters in demand", "s", b.sizes(4000), func(n int) float64 {
		t := fleetTable(8, n, now)
		version := t.Report(reportRequest(0, 0, n, 8, n), now).GetFleetVersion()
		req := reportRequest(1, 0, 0, 8, n)
		req.FleetVersion = version
		return b.cpuPerOp(100, func(int) { t.Report(req, now) })
	})
	b.sweep("fleet.memory", "leader's fleet table, live heap", "engines", "bytes", b.sizes(4000), func(n int) float64 {
		conf := config.FromManifest(manifest(n, n, 4, 1), 1)
		return heapBytes(func() any {
			t := fleet.New(1, now, conf)
			scrapeAll(t, n, n, 0, now)
			return t
		})
	})
	b.sweep("fleet.memory.hosts", "leader's host table with 150 pairs in flight each, live heap", "hosts", "bytes", b.sizes(400), func(n int) float64 {
		t := fleetTable(1000, 8000, now)
		return heapBytes(func() any {
			for h := range n {
				t.Report(reportRequest(h, 150, 0, 1000, 8000), now)
			}
			return t
		})
	})
}

// staticView is a view whose configuration never changes.
type staticView struct{ conf *config.Snapshot }

func (v staticView) Config() *config.Snapshot    { return v.conf }
func (v staticView) Age(time.Time) time.Duration { return 0 }
func (v staticView) Changed() <-chan struct{}    { return nil }

// newEntryServer returns the request handling of an entry host without listeners.
func newEntryServer(conf *config.Snapshot, pools *pool.Set, account *rate.Account) *entry.Server {
	return entry.New(entry.Options{
		Host: hostName(0), Incarnation: 1, View: staticView{conf}, Account: account, Pools: pools,
		Decisions: decisionlog.NewRing(4096), Logger: zerolog.New(io.Discard), Seed: 1,
	})
}

// decodeResponse encodes and decodes resp, so that the copy shares no memory with
// the original.
func decodeResponse(resp *apiv1.ReportResponse) *apiv1.ReportResponse {
	out := &apiv1.ReportResponse{}
	if err := proto.Unmarshal(encode(resp), out); err != nil {
		panic(err)
	}
	return out
}

// measureEntryFleet measures how an entry host handles the response to Report.
func (b *bench) measureEntryFleet() {
	now := time.Now()
	conf := config.FromManifest(manifest(10, 1, 1, 1), 1)
	full := func(n int) *apiv1.ReportResponse {
		resp := &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Full: true}
		for i := range n {
			resp.Engines = append(resp.Engines, slotStatus(i, n*adapterSlots))
		}
		return decodeResponse(resp)
	}
	b.sweep("entry.fleet.memory", "entry host's fleet table, live heap", "engines known", "bytes", b.sizes(4000), func(n int) float64 {
		s := newEntryServer(conf, nil, nil)
		return heapBytes(func() any { s.ApplyFleet(full(n), now); return s })
	})
	b.sweep("entry.fleet.apply", "decode and apply an answer with the load of engines", "engines named", "s", b.sizes(4000), func(n int) float64 {
		s := newEntryServer(conf, nil, nil)
		s.ApplyFleet(full(n), now)
		msg := &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Engines: loadStatuses(n)}
		encoded := encode(msg)
		return b.cpuPerOp(10, func(int) {
			resp := &apiv1.ReportResponse{}
			_ = proto.Unmarshal(encoded, resp)
			s.ApplyFleet(resp, now)
		})
	})
}
