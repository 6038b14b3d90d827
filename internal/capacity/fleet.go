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

const slots = 8

// load is the status of an engine whose load alone changed.
func load(i int) *apiv1.EngineStatus {
	return &apiv1.EngineStatus{
		Name: engineName(i), Healthy: true, StartId: "1800000000.25", Running: uint32(20 + i%30), Queued: uint32(i % 5),
		LoadAgeMs: uint32(100 + i%400), KvUsagePermille: uint32(500 + i%400), SlotsUnchanged: true, FailureDomain: domainName(i),
	}
}

func loads(n int) []*apiv1.EngineStatus {
	var out []*apiv1.EngineStatus
	for i := range n {
		out = append(out, load(i))
	}
	return out
}

func withSlots(i, adapters int) *apiv1.EngineStatus {
	st := load(i)
	st.SlotsUnchanged = false
	for s := range slots {
		st.Slots = append(st.Slots, &apiv1.Slot{Ref: refOf((i*slots + s) % adapters), State: apiv1.SlotState_SLOT_STATE_READY})
	}
	return st
}

// table returns the leader's fleet table with all engines scraped.
func table(engines, adapters int, now time.Time) *fleet.Table {
	t := fleet.New(1, now, config.FromManifest(manifest(adapters, engines, 4, 1), 1))
	scrapeAll(t, engines, adapters, 0, now)
	return t
}

// scrapeAll gives each engine a scrape whose load differs from the last round.
func scrapeAll(t *fleet.Table, engines, adapters, round int, now time.Time) {
	for i := range engines {
		scrapeOne(t, i, adapters, round, now)
	}
}

func scrapeOne(t *fleet.Table, i, adapters, round int, now time.Time) {
	s := fleet.Scrape{Address: engineAddress(i), StartID: "1800000000.25", Running: 20 + (i+round)%30, Queued: i % 5, KVUsage: 0.7, Begun: now}
	for k := range slots {
		s.Resident = append(s.Resident, fleet.Ref{Adapter: adapterName((i*slots + k) % adapters), Version: "v1"})
	}
	t.Scraped(engineName(i), s, now)
}

// report is a host's report with requests in flight and demand.
func report(host, inFlight, demand, engines, adapters int) *apiv1.ReportRequest {
	req := &apiv1.ReportRequest{
		Cluster: cluster, Host: hostName(host), Incarnation: 1, FailureDomain: domainName(host),
		Address: "http://10.9.0.1:7000", ConfigRevision: 54_000, FleetVersion: 1 << 40, FleetTerm: 1, SuspectsDigest: 1 << 60,
	}
	for i := range inFlight {
		e := (host*inFlight + i) % engines
		req.InFlight = append(req.InFlight, &apiv1.InFlight{Engine: engineName(e), Ref: refOf(e * slots % adapters), Count: 1})
	}
	for i := range demand {
		req.Demand = append(req.Demand, &apiv1.AdapterDemand{
			Ref: refOf((host*demand + i) % adapters), Arrivals: 3, Waiting: uint32(i % 2), OldestWaitMs: 40, Team: teamName(i % 4),
		})
	}
	return req
}

func (b *bench) measureFleet() error {
	engines := b.sizes(4000)
	b.sweep("report.load", "Report's answer with the load of engines", "engines named", "bytes", engines, func(n int) float64 {
		return float64(proto.Size(&apiv1.ReportResponse{Term: 1, FleetVersion: 1 << 20, Engines: loads(n), SuspectsDigest: 1 << 60}))
	})
	b.sweep("report.slots", "Report's answer with load and slots of engines", "engines named", "bytes", engines, func(n int) float64 {
		resp := &apiv1.ReportResponse{Term: 1, FleetVersion: 1 << 20, Full: true, SuspectsDigest: 1 << 60}
		for i := range n {
			resp.Engines = append(resp.Engines, withSlots(i, 28_000))
		}
		return float64(proto.Size(resp))
	})
	b.sweep("report.inflight", "Report's request with requests in flight", "engine and adapter pairs", "bytes", b.sizes(400), func(n int) float64 {
		return float64(proto.Size(report(1, n, 0, 10_000, 28_000)))
	})
	b.sweep("report.demand", "Report's request with demand", "adapters named", "bytes", b.sizes(400), func(n int) float64 {
		return float64(proto.Size(report(1, 0, n, 10_000, 28_000)))
	})
	b.reportHandling()
	b.entryFleet()
	return nil
}

// reportHandling measures the leader's side of Report, with the encoding.
func (b *bench) reportHandling() {
	now := time.Unix(1_800_000_000, 0)
	b.sweep("fleet.report.engines", "handle and encode a Report when half of the engines have a new load", "engines", "s", b.sizes(4000), func(n int) float64 {
		t := table(n, n*slots, now)
		first := t.Report(report(1, 0, 0, n, n*slots), now)
		return b.perOp(5, func(i int) {
			for e := i % 2; e < n; e += 2 {
				scrapeOne(t, e, n*slots, i+1, now)
			}
			req := report(1, 0, 0, n, n*slots)
			req.FleetVersion = first.GetFleetVersion()
			encode(t.Report(req, now))
		})
	})
	b.sweep("fleet.scraped", "take in scrapes of engines with 8 adapters", "engines", "s", b.sizes(4000), func(n int) float64 {
		t := table(n, n*slots, now)
		return b.perOp(5, func(i int) { scrapeAll(t, n, n*slots, i+1, now) })
	})
	b.sweep("fleet.report.inflight", "handle a Report with requests in flight", "engine and adapter pairs", "s", b.sizes(400), func(n int) float64 {
		t := table(400, 3200, now)
		req := report(1, n, 0, 400, 3200)
		first := t.Report(req, now)
		req.FleetVersion = first.GetFleetVersion()
		return b.perOp(200, func(int) { t.Report(req, now) })
	})
	b.sweep("fleet.report.demand", "handle a Report, by adapters with demand anywhere", "adapters in demand", "s", b.sizes(4000), func(n int) float64 {
		t := table(8, n, now)
		version := t.Report(report(0, 0, n, 8, n), now).GetFleetVersion()
		req := report(1, 0, 0, 8, n)
		req.FleetVersion = version
		return b.perOp(100, func(int) { t.Report(req, now) })
	})
	b.sweep("fleet.memory", "leader's fleet table, live heap", "engines", "bytes", b.sizes(4000), func(n int) float64 {
		conf := config.FromManifest(manifest(n, n, 4, 1), 1)
		return heap(func() any {
			t := fleet.New(1, now, conf)
			scrapeAll(t, n, n, 0, now)
			return t
		})
	})
	b.sweep("fleet.memory.hosts", "leader's host table with 150 pairs in flight each, live heap", "hosts", "bytes", b.sizes(400), func(n int) float64 {
		t := table(1000, 8000, now)
		return heap(func() any {
			for h := range n {
				t.Report(report(h, 150, 0, 1000, 8000), now)
			}
			return t
		})
	})
}

// fixedView is a view that never changes.
type fixedView struct{ conf *config.Snapshot }

func (v fixedView) Config() *config.Snapshot    { return v.conf }
func (v fixedView) Age(time.Time) time.Duration { return 0 }
func (v fixedView) Changed() <-chan struct{}    { return nil }

// entryServer returns an entry host's request path without listeners.
func entryServer(conf *config.Snapshot, pools *pool.Set, account *rate.Account) *entry.Server {
	return entry.New(entry.Options{
		Host: hostName(0), Incarnation: 1, View: fixedView{conf}, Account: account, Pools: pools,
		Decisions: decisionlog.NewRing(4096), Logger: zerolog.New(io.Discard), Seed: 1,
	})
}

// decodedAnswer returns an answer as it comes from the connection.
func decodedAnswer(resp *apiv1.ReportResponse) *apiv1.ReportResponse {
	out := &apiv1.ReportResponse{}
	if err := proto.Unmarshal(encode(resp), out); err != nil {
		panic(err)
	}
	return out
}

// entryFleet measures the entry host's side of Report's answer.
func (b *bench) entryFleet() {
	now := time.Now()
	conf := config.FromManifest(manifest(10, 1, 1, 1), 1)
	full := func(n int) *apiv1.ReportResponse {
		resp := &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Full: true}
		for i := range n {
			resp.Engines = append(resp.Engines, withSlots(i, n*slots))
		}
		return decodedAnswer(resp)
	}
	b.sweep("entry.fleet.memory", "entry host's fleet table, live heap", "engines known", "bytes", b.sizes(4000), func(n int) float64 {
		s := entryServer(conf, nil, nil)
		return heap(func() any { s.ApplyFleet(full(n), now); return s })
	})
	b.sweep("entry.fleet.apply", "decode and apply an answer with the load of engines", "engines named", "s", b.sizes(4000), func(n int) float64 {
		s := entryServer(conf, nil, nil)
		s.ApplyFleet(full(n), now)
		msg := &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Engines: loads(n)}
		encoded := encode(msg)
		return b.perOp(10, func(int) {
			resp := &apiv1.ReportResponse{}
			_ = proto.Unmarshal(encoded, resp)
			s.ApplyFleet(resp, now)
		})
	})
}
