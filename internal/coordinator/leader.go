package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/pace"
	"github.com/jasminesaddle/jasminesaddle/internal/places"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

const (
	// planInterval is the time between two placement plans.
	planInterval = 200 * time.Millisecond
	// listTimeout limits one read of the list, and reportTimeout one read of an
	// engine's report.
	listTimeout   = time.Second
	reportTimeout = 300 * time.Millisecond
	// hostTimeout is how long the last report of an entry host is used.
	hostTimeout = 2 * time.Second
	// quarantineDuration is how long a fingerprint stays quarantined.
	quarantineDuration = time.Hour
)

// leader holds the volatile tables of one term.
type leader struct {
	c      *Coordinator
	term   uint64
	began  time.Time
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	marks  *quarantine.Table
	parts  *quarantine.PartTable

	mu        sync.Mutex
	stopped   bool
	starts    *quarantine.Starts
	table     *residency.Table
	allocator *quota.Allocator
	catalog   *catalog.Catalog
	document  *apiv1.PutDocument
	versions  uint64
	hosts     *hostUsage
	// cutOff holds the hosts that reach no backend server.
	cutOff  map[string]bool
	limits  *serverlimit.Table
	brittle *places.Table
	cold    *warmup.Table
	paces   *pace.Table
	// evacuated are the failure domains that are evacuated, and emptied those of them where nothing runs.
	evacuated, emptied map[string]bool
	pauses             *prompts.Watch
	streams            *origin.Table
	// routes are the routes of the catalog and those that it changed lately.
	routes routeHistory
	// buildHistory follows the builds in the list; recordingBuilds is true while a change of them is
	// being proposed.
	buildHistory    *origin.History
	recordingBuilds bool
	jobs            map[jobKey]*job
	// progress is closed and replaced after each order and report, to wake the jobs
	// that wait for an engine.
	progress    chan struct{}
	listing     bool
	listed      bool
	listFailing bool
	reporting   map[string]bool
	holders     *holderTable
	// changes are those of the table as entry hosts are told of them.
	changes  *fleetChanges
	nextList time.Time
	nextPlan time.Time
	// nextPaces is when hosts are next told of changed paces.
	nextPaces time.Time
	// onTrial holds the fingerprints of the parts of prompts on trial as of the last tick.
	onTrial map[string]bool
	// loadsWaiting is the number of engines that wait for the weight store's rate to load a model.
	loadsWaiting int
}

func newLeader(ctx context.Context, c *Coordinator, lease replica.Lease) *leader {
	now := c.opts.Now()
	ctx, cancel := context.WithCancel(ctx)
	l := &leader{
		c: c, term: lease.Term, began: now, log: c.log.With().Uint64("term", lease.Term).Logger(), ctx: ctx, cancel: cancel,
		marks: quarantine.NewTable(quarantine.Options{AnswersReported: true}), parts: quarantine.NewPartTable(quarantine.PartOptions{}),
		starts: quarantine.NewStarts(),
		table:  residency.New(residency.Options{}), allocator: quota.NewAllocator(now),
		hosts: newHostUsage(), cutOff: map[string]bool{}, limits: serverlimit.NewTable(), jobs: map[jobKey]*job{}, progress: make(chan struct{}),
		reporting: map[string]bool{}, holders: newHolderTable(), changes: newFleetChanges(),
		brittle: places.NewTable(now), cold: warmup.NewTable(), paces: pace.NewTable(), evacuated: map[string]bool{}, emptied: map[string]bool{}, pauses: prompts.NewWatch(), buildHistory: origin.NewHistory(),
		routes: c.inheritRoutes(now),
	}
	l.syncState(now)
	l.streams = origin.NewTable(c.builds(), l.routes.known, now)
	return l
}

// stop ends the term and cancels its background tasks.
func (l *leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.cancel()
}

// background runs fn in a goroutine, unless the term has ended. The caller holds mu.
func (l *leader) background(fn func()) {
	if !l.stopped {
		l.c.tasks.Go(fn)
	}
}

// tick does the periodic work that is due. The cost of each step depends only on
// what has changed or is due.
func (l *leader) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncStateLocked(now)
	l.expireHosts(now)
	// A part that is named explains crashes that would otherwise count against requests.
	l.quarantineParts(now)
	l.quarantineRequests(now)
	l.logSuspectParts()
	l.logTrials(now)
	l.assignLimits(now)
	l.assignCold(now)
	l.updatePaces(now)
	l.logEvacuationProgress()
	if !l.listing && !now.Before(l.nextList) {
		l.listing = true
		l.background(l.readList)
	}
	l.readReports(now)
	l.recordRoutes(now)
	l.logDepartures()
	l.assignHolders(now)
	if now.Before(l.nextPlan) || l.catalog == nil {
		return
	}
	l.nextPlan = now.Add(planInterval)
	l.plan(now)
}

func (l *leader) syncState(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncStateLocked(now)
}

// syncStateLocked applies the committed catalog and adapter versions.
func (l *leader) syncStateLocked(now time.Time) {
	machine := l.c.machine()
	versions, epoch := machine.VersionsSince(l.versions)
	l.versions = epoch
	for _, v := range versions {
		l.table.SetNewest(residency.Ref{Model: v.GetModel(), Adapter: v.GetAdapter()}, v.GetVersion())
	}
	l.syncEvacuations(now)
	doc := machine.Document()
	if doc == nil || doc == l.document {
		return
	}
	l.document = doc
	cat, err := l.c.opts.Decode(doc)
	if err != nil {
		// Not expected, since documents are validated before they are proposed.
		l.log.Error().Err(err).Str("event", "catalog_unreadable").Uint64("revision", doc.GetRevision()).
			Msg("committed document cannot be read; the previous one stays in use")
		return
	}
	l.catalog = cat
	l.routes.observe(cat, now)
	l.table.SetCatalog(cat)
	l.allocator.SetRates(l.c.allocatableRates(cat))
	l.log.Info().Str("event", "catalog_in_force").Uint64("revision", cat.Revision).
		Int("routes", len(cat.Routes)).Int("teams", len(cat.Teams)).Msg("catalog applied")
}

// allocatableRates returns, by team, the rates that are divided between the hosts.
func (c *Coordinator) allocatableRates(cat *catalog.Catalog) map[string]quota.Rate {
	out := map[string]quota.Rate{}
	for _, t := range cat.Teams {
		if t.Limited() {
			out[t.Name] = c.opts.Tolerance.allocatable(t)
		}
	}
	return out
}

// readList reads the platform's list and updates the table.
func (l *leader) readList() {
	ctx, cancel := context.WithTimeout(l.ctx, listTimeout)
	defer cancel()
	list, err := l.c.opts.Lister.List(ctx)
	now := l.c.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listing = false
	l.nextList = now.Add(l.c.opts.ListInterval)
	l.c.metrics.lists.Add(1)
	if err != nil {
		l.c.metrics.listErrors.Add(1)
		if !l.listFailing && l.ctx.Err() == nil {
			l.log.Warn().Err(err).Str("event", "dependency_lost").Str("dependency", "platform_list").Msg("list not read; the last one stays in use")
		}
		l.listFailing = true
		l.buildHistory.ObserveFailure()
		return
	}
	if l.listFailing {
		l.log.Info().Str("event", "dependency_regained").Str("dependency", "platform_list").Msg("list read again")
	}
	l.listFailing, l.listed = false, true
	l.table.ObserveList(list, now)
	l.observeCold(list, now)
	l.observeBuilds(list)
}

// readReports starts reading the reports of engines whose order sequence is unknown.
func (l *leader) readReports(now time.Time) {
	for _, e := range l.table.Engines() {
		if l.reporting[e.Instance] || !l.table.NeedsReport(e.Instance, now) {
			continue
		}
		if left := l.c.quiet.left(e.Instance, now); left > 0 {
			l.table.SetQuiet(e.Instance, left, now)
			continue
		}
		l.reporting[e.Instance] = true
		l.background(func() { l.readReport(e.Instance, e.Address) })
	}
}

func (l *leader) readReport(instance, address string) {
	ctx, cancel := context.WithTimeout(l.ctx, reportTimeout)
	defer cancel()
	report, err := l.c.opts.Engines.Report(ctx, instance, address)
	now := l.c.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.metrics.reports.Add(1)
	if err != nil {
		if l.ctx.Err() == nil {
			l.log.Warn().Err(err).Str("event", "report_not_read").Str("engine", instance).Msg("report not read; the engine gets no orders until it is")
		}
		var quiet *residency.QuietError
		if errors.As(err, &quiet) {
			l.c.quiet.record(instance, quiet.For, now)
			l.table.SetQuiet(instance, quiet.For, now)
		}
		l.table.RecordReportFailure(instance, now)
		// The next attempt starts after reportTimeout.
		time.AfterFunc(reportTimeout, func() { l.clearReporting(instance) })
		return
	}
	delete(l.reporting, instance)
	l.log.Info().Str("event", "report").Str("engine", instance).Uint64("sequence", report.Sequence).Int("held", len(report.Residents)).
		Int("coming", len(report.Loading)).Bool("busy", report.Busy).Msg("engine's report read")
	l.table.ObserveReport(instance, report, now)
	l.signalProgress()
}

// logDepartures logs which adapters and models left their engines, and why.
func (l *leader) logDepartures() {
	for _, d := range l.table.TakeDepartures() {
		l.log.Info().Str("event", "resident_left").Str("engine", d.Instance).Str("copy", d.Ref.String()).Str("reason", d.Reason).
			Dur("age", d.Age).Msg("engine no longer holds it")
	}
}

// clearReporting allows the next read of the engine's report.
func (l *leader) clearReporting(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reporting, instance)
}

// signalProgress wakes the jobs that wait, since an engine may now take an order.
// The caller holds mu.
func (l *leader) signalProgress() {
	close(l.progress)
	l.progress = make(chan struct{})
}

// plan starts jobs that load models, newer versions and further replicas.
func (l *leader) plan(now time.Time) {
	l.table.Retire(now)
	var desired []residency.DesiredResident
	desired = append(desired, l.table.Models(now)...)
	l.logWaitingLoads()
	desired = append(desired, l.table.Outdated(now)...)
	desired = append(desired, l.table.Moves(now)...)
	for _, s := range l.catalog.Services {
		if s.Engine != nil {
			desired = append(desired, l.table.Replicas(s.Name, now)...)
		}
	}
	for _, d := range desired {
		l.startJob(jobKey{d.Instance, d.Ref}, d.Reason)
	}
}

// logWaitingLoads logs how many engines wait for the weight store's rate to load a model, when that changes.
func (l *leader) logWaitingLoads() {
	n := l.table.WaitingModelLoads()
	if n == l.loadsWaiting {
		return
	}
	l.loadsWaiting = n
	l.log.Info().Str("event", "model_loads_wait").Int("engines", n).Msg("engines without a model wait for the weight store's rate")
}
