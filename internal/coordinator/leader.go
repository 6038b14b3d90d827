package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// planInterval is the time between two placement plans.
	planInterval = 200 * time.Millisecond
	// listTimeout bounds one read of the list, and reportTimeout one of an
	// engine's report.
	listTimeout   = time.Second
	reportTimeout = 300 * time.Millisecond
	// hostSilent is how long a host's last report counts.
	hostSilent = 2 * time.Second
	// quarantineDuration is how long a fingerprint stays quarantined.
	quarantineDuration = time.Hour
)

// leader holds the volatile tables of one term.
type leader struct {
	c      *Coordinator
	term   uint64
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	marks  *quarantine.Table

	mu       sync.Mutex
	stopped  bool
	table    *residency.Table
	divider  *quota.Allocator
	catalog  *catalog.Catalog
	document *apiv1.PutDocument
	versions uint64
	hosts    map[string]*hostUse
	jobs     map[jobKey]*job
	// answered is closed and replaced after each order and report.
	answered  chan struct{}
	listing   bool
	listed    bool
	listLost  bool
	reporting map[string]bool
	holding   *holding
	nextList  time.Time
	nextPlan  time.Time
}

func newLeader(ctx context.Context, c *Coordinator, lease replica.Lease) *leader {
	now := c.opts.Now()
	ctx, cancel := context.WithCancel(ctx)
	l := &leader{
		c: c, term: lease.Term, log: c.log.With().Uint64("term", lease.Term).Logger(), ctx: ctx, cancel: cancel,
		marks: quarantine.NewTable(quarantine.Options{}), table: residency.New(residency.Options{}), divider: quota.NewAllocator(now),
		hosts: map[string]*hostUse{}, jobs: map[jobKey]*job{}, answered: make(chan struct{}),
		reporting: map[string]bool{}, holding: newHolding(),
	}
	l.followState(now)
	return l
}

// stop ends the term. What is under way ends with its context.
func (l *leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.cancel()
}

// background runs fn, unless the term has ended. The caller holds mu.
func (l *leader) background(fn func()) {
	if !l.stopped {
		l.c.tasks.Go(fn)
	}
}

// tick runs the systems. Each costs what changed or what is due.
func (l *leader) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followStateLocked(now)
	l.expireHosts(now)
	if !l.listing && !now.Before(l.nextList) {
		l.listing = true
		l.background(l.readList)
	}
	l.readReports(now)
	l.assignHolders(now)
	if now.Before(l.nextPlan) || l.catalog == nil {
		return
	}
	l.nextPlan = now.Add(planInterval)
	l.plan(now)
}

func (l *leader) followState(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followStateLocked(now)
}

// followStateLocked takes over the committed catalog and adapter versions.
func (l *leader) followStateLocked(now time.Time) {
	machine := l.c.machine()
	versions, epoch := machine.VersionsSince(l.versions)
	l.versions = epoch
	for _, v := range versions {
		l.table.SetNewest(residency.Ref{Model: v.GetModel(), Adapter: v.GetAdapter()}, v.GetVersion())
	}
	doc := machine.Document()
	if doc == nil || doc == l.document {
		return
	}
	l.document = doc
	cat, err := l.c.opts.Decode(doc)
	if err != nil {
		// Documents are checked before they are proposed.
		l.log.Error().Err(err).Str("event", "catalog_unreadable").Uint64("revision", doc.GetRevision()).
			Msg("committed document cannot be read, the earlier one stays in use")
		return
	}
	l.catalog = cat
	l.table.SetCatalog(cat)
	l.divider.SetRates(l.c.lentRates(cat))
	l.log.Info().Str("event", "catalog_in_force").Uint64("revision", cat.Revision).
		Int("routes", len(cat.Routes)).Int("teams", len(cat.Teams)).Msg("catalog taken over")
}

// lentRates returns the rates that are divided between the hosts.
func (c *Coordinator) lentRates(cat *catalog.Catalog) map[string]quota.Rate {
	out := map[string]quota.Rate{}
	for _, t := range cat.Teams {
		if t.Limited() {
			out[t.Name] = c.opts.Tolerance.lent(t)
		}
	}
	return out
}

// readList reads the platform's list and brings the table up to date.
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
		if !l.listLost && l.ctx.Err() == nil {
			l.log.Warn().Err(err).Str("event", "dependency_lost").Str("dependency", "platform_list").Msg("list not read, the last one stays in use")
		}
		l.listLost = true
		return
	}
	if l.listLost {
		l.log.Info().Str("event", "dependency_regained").Str("dependency", "platform_list").Msg("list read again")
	}
	l.listLost, l.listed = false, true
	l.table.ObserveList(list, now)
}

// readReports reads the reports of engines whose sequence is not known.
func (l *leader) readReports(now time.Time) {
	for _, e := range l.table.Engines() {
		if l.reporting[e.Instance] || !l.table.NeedsReport(e.Instance, now) {
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
			l.log.Warn().Err(err).Str("event", "report_not_read").Str("engine", instance).Msg("engine gets no orders until its report is read")
		}
		l.table.RecordReportFailure(instance, now)
		// The next try waits as long as one report may take.
		time.AfterFunc(reportTimeout, func() { l.reported(instance) })
		return
	}
	delete(l.reporting, instance)
	l.log.Info().Str("event", "report").Str("engine", instance).Uint64("sequence", report.Sequence).Int("held", len(report.Held)).
		Int("coming", len(report.Loading)).Bool("busy", report.Busy).Msg("engine's report read")
	l.table.ObserveReport(instance, report, now)
	l.wake()
}

func (l *leader) reported(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reporting, instance)
}

// wake tells the jobs that an engine may take an order. The caller holds mu.
func (l *leader) wake() {
	close(l.answered)
	l.answered = make(chan struct{})
}

// plan has models, newer versions and further copies loaded.
func (l *leader) plan(now time.Time) {
	l.table.Retire(now)
	var wanted []residency.DesiredResident
	wanted = append(wanted, l.table.Models(now)...)
	wanted = append(wanted, l.table.Outdated(now)...)
	for _, s := range l.catalog.Services {
		if s.Engine != nil {
			wanted = append(wanted, l.table.Replicas(s.Name, now)...)
		}
	}
	for _, w := range wanted {
		l.startJob(jobKey{w.Instance, w.Ref}, w.Reason)
	}
}
