package exchange

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/places"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

const (
	// exchangeTimeout limits one call. A leader responds within a few ms, and a silent one
	// must not take longer than an election.
	exchangeTimeout = 400 * time.Millisecond
	// minListViewAge is the age of the view from which the host reads the platform's list
	// itself, and listInterval the mean time between two reads. The election of a leader
	// takes up to about 2 s, and servers that leave must be known sooner.
	minListViewAge = 1200 * time.Millisecond
	listInterval   = time.Second
	// helperInterval is the time between two reads of the helpers by a host that needs none. A host
	// that loses its servers and the leader together uses the last ones.
	helperInterval = 2 * time.Second
)

// Coordination provides the RPCs of one control host.
type Coordination interface {
	Exchange(context.Context, *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error)
	Acquire(context.Context, *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error)
	PreviewAcquire(context.Context, *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error)
	Lend(context.Context, *apiv1.LendRequest) (*apiv1.LendResponse, error)
	RecordStreams(context.Context, *apiv1.RecordStreamsRequest) (*apiv1.RecordStreamsResponse, error)
	FindStream(context.Context, *apiv1.FindStreamRequest) (*apiv1.FindStreamResponse, error)
	BookPrompt(context.Context, *apiv1.BookPromptRequest) (*apiv1.BookPromptResponse, error)
}

// UsageReporter reports the requests that this host has in flight and its demand.
type UsageReporter interface {
	// Report adds the host's usage of the fleet to the request.
	Report(req *apiv1.ExchangeRequest)
	// Reported is called with whether the leader has received the last report.
	Reported(ok bool)
}

// Lister reads the platform's list of backend servers.
type Lister interface {
	List(ctx context.Context) ([]residency.ListedEngine, error)
}

// Options configures a Client.
type Options struct {
	Host        string
	Incarnation uint64
	// Address is this host's base URL for other processes, empty if it serves none.
	Address       string
	FailureDomain string
	// Seeds are the base URLs of control hosts.
	Seeds   []string
	Connect func(address string) Coordination
	Decode  func(*apiv1.PutDocument) (*catalog.Catalog, error)
	Rates   *quota.Limiter
	Usage   UsageReporter
	Lister  Lister
	// Keeper returns a client of another entry host by its address; nil where records of streams are not copied.
	Keeper func(address string) Keeper
	// Interval is the time between two exchanges with the leader.
	Interval time.Duration
	Logger   zerolog.Logger
	Meter    *meter.Set
	Now      func() time.Time
}

// Client exchanges reports and views with the leader. It is safe for concurrent use.
type Client struct {
	opts Options
	log  zerolog.Logger
	view atomic.Pointer[View]
	// tokensRequested holds a value when requests wait for tokens, reportWanted when the leader must hear from this host.
	tokensRequested chan struct{}
	reportWanted    chan struct{}
	duration        *meter.Histogram
	grantDuration   *meter.Histogram
	grants          *expvar.Map
	recordCalls     *expvar.Map
	// streams holds the records of the streams of this host, and recordsQueued a value when
	// requests wait for theirs to be sent.
	streams       *origin.Log
	recordsQueued chan struct{}
	// kept holds the copies of other hosts' records.
	kept *origin.Kept

	// tasks tracks the Acquire calls in progress.
	tasks sync.WaitGroup
	// update guards the replacement of the view.
	update sync.Mutex
	epochs epochs

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	peers   map[string]Coordination
	// leaderLost is true when no control host led in the last round.
	leaderLost   bool
	acquisitions map[acquireKey]*acquisition
	// measurements wait for the next booking with the control host at an address, and ownerPausedUntil
	// is when one that did not answer owns ledgers again.
	measurements     map[string][]*apiv1.MeasuredPrompt
	ownerPausedUntil map[string]time.Time
	// nextBatch holds the records of the next call, and resentTerm is the term of the leader that
	// has the records of all earlier streams.
	nextBatch  *streamBatch
	resentTerm uint64
	// unsent are the records of calls that the leader has not answered.
	unsent []origin.Record
	// lost are the hosts whose copies the leader of lostTerm wants, and keptSent holds the term of the leader that has
	// those of a host.
	lost     []*apiv1.KeptHost
	lostTerm uint64
	keptSent map[origin.Host]uint64
}

type epochs struct{ term, versions, fleet, paces uint64 }

// New returns a client with an empty view. Run must be running while the client is used.
func New(opts Options) *Client {
	c := &Client{
		opts: opts, log: opts.Logger, seeds: opts.Seeds, tokensRequested: make(chan struct{}, 1), reportWanted: make(chan struct{}, 1),
		peers: map[string]Coordination{}, acquisitions: map[acquireKey]*acquisition{},
		measurements: map[string][]*apiv1.MeasuredPrompt{}, ownerPausedUntil: map[string]time.Time{},
		duration: opts.Meter.Histogram("exchange_ms"), grantDuration: opts.Meter.Histogram("grant_ms"),
		grants: opts.Meter.Counters("grant_calls", "outcome"), recordCalls: opts.Meter.Counters("stream_record_calls", "outcome"),
		streams: origin.NewLog(), kept: origin.NewKept(), keptSent: map[origin.Host]uint64{}, recordsQueued: make(chan struct{}, 1), nextBatch: newStreamBatch(),
	}
	c.view.Store(&View{})
	return c
}

// View returns the current view, which is never nil.
func (c *Client) View() *View { return c.view.Load() }

// SetSeeds replaces the addresses that are used besides those of the known members.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Run exchanges with the leader until the context is canceled.
func (c *Client) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return c.exchangeLoop(ctx) })
	eg.Go(func() error { return c.listLoop(ctx) })
	eg.Go(func() error { return c.grantLoop(ctx) })
	eg.Go(func() error { return c.recordLoop(ctx) })
	eg.Go(func() error { return c.copyLoop(ctx) })
	defer c.tasks.Wait()
	return eg.Wait()
}

func (c *Client) exchangeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		began := c.opts.Now()
		ok := c.exchangeOnce(ctx)
		c.awaitNext(ctx, exchangePause(ok, c.opts.Now().Sub(began), c.opts.Interval, c.View().Hosts))
	}
	return nil
}

// minReportPause is the minimum time between two exchanges, so that what happens together is reported together.
const minReportPause = 20 * time.Millisecond

// awaitNext waits until the next exchange is due, or until a report is wanted.
func (c *Client) awaitNext(ctx context.Context, pause time.Duration) {
	sleep(ctx, min(pause, minReportPause))
	t := time.NewTimer(pause - minReportPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.reportWanted:
	case <-t.C:
	}
}

// ReportSoon has the host exchange with the leader without waiting for the regular interval.
func (c *Client) ReportSoon() {
	select {
	case c.reportWanted <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// exchangeOnce makes one exchange with the leader and reports whether it succeeded. It
// searches for the leader on all known control hosts.
func (c *Client) exchangeOnce(ctx context.Context) bool {
	asked := map[string]bool{}
	queue := c.candidates()
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		lead, err := c.exchangeWith(ctx, address)
		if err != nil {
			c.log.Debug().Err(err).Str("control_host", address).Msg("exchange failed")
			continue
		}
		if lead.GetLeading() {
			c.setLeader(address, lead)
			return true
		}
		c.setMembers(lead)
		if lead.GetLeader() != "" {
			queue = slices.Insert(queue, 0, lead.GetLeader())
		}
	}
	c.setLeaderLost(ctx)
	return false
}

// candidates returns the addresses to try: the last leader, and then the members and
// the seeds in random order.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := append(slices.Clone(c.members), c.seeds...)
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	if c.leader == "" {
		return rest
	}
	return append([]string{c.leader}, rest...)
}

func (c *Client) peer(address string) Coordination {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = c.opts.Connect(address)
		c.peers[address] = p
	}
	return p
}

func (c *Client) setMembers(l *apiv1.Leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.GetMembers()) > 0 {
		c.members = l.GetMembers()
	}
}

func (c *Client) setLeader(address string, l *apiv1.Leadership) {
	c.setMembers(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != address || c.leaderLost {
		c.log.Info().Str("event", "dependency_regained").Str("dependency", "leader").Str("control_host", address).
			Uint64("term", l.GetTerm()).Msg("exchanging with the leader")
	}
	c.leader, c.leaderLost = address, false
}

func (c *Client) setLeaderLost(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leaderLost && ctx.Err() == nil {
		c.log.Warn().Str("event", "dependency_lost").Str("dependency", "leader").Str("control_host", c.leader).
			Dur("view_age", c.View().Age(c.opts.Now())).Msg("no control host leads")
	}
	c.leaderLost = true
}

func (c *Client) exchangeWith(ctx context.Context, address string) (*apiv1.Leadership, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := c.opts.Now()
	req := c.request(sent)
	resp, err := c.peer(address).Exchange(ctx, req)
	ok := err == nil && resp.GetLeadership().GetLeading()
	c.opts.Usage.Reported(ok)
	c.opts.Rates.Reported(ok)
	if err != nil {
		return nil, err
	}
	if ok {
		c.duration.Observe(c.opts.Now().Sub(sent))
		c.opts.Rates.ApplyAllocations(decodeAllocations(resp.GetParts()), sent, c.opts.Now())
		c.apply(resp, sent)
		if resp.GetWantsStreams() {
			c.resendStreams(resp.GetLeadership().GetTerm())
		}
		c.setLost(resp)
		c.sendUnsent()
	}
	return resp.GetLeadership(), nil
}

func (c *Client) request(now time.Time) *apiv1.ExchangeRequest {
	v := c.View()
	c.update.Lock()
	e := c.epochs
	c.update.Unlock()
	req := &apiv1.ExchangeRequest{
		Host: c.opts.Host, Incarnation: c.opts.Incarnation, Term: e.term,
		VersionsEpoch: e.versions, FleetEpoch: e.fleet, PaceEpoch: e.paces, TakesChanges: true, Address: c.opts.Address, FailureDomain: c.opts.FailureDomain,
	}
	for _, u := range c.opts.Rates.Report(now) {
		req.Uses = append(req.Uses, &apiv1.TeamUse{Team: u.Team, Asked: u.Asked, Debt: u.Debt, Fraction: u.Fraction})
	}
	if v.Catalog != nil {
		req.HasDocument, req.DocumentRevision = true, v.Catalog.Revision
	}
	if v.WantsStreams {
		req.Kept = c.keptHosts(v.Term)
	}
	c.opts.Usage.Report(req)
	req.WantsHelpers = c.opts.Address != "" && (req.GetCutOff() || now.Sub(v.HelpersAt) >= helperInterval)
	return req
}

// apply replaces the view by one with the leader's response applied.
func (c *Client) apply(resp *apiv1.ExchangeResponse, sent time.Time) {
	now := c.opts.Now()
	c.update.Lock()
	defer c.update.Unlock()
	term := resp.GetLeadership().GetTerm()
	if term < c.epochs.term {
		return
	}
	v := c.view.Load().clone()
	c.applyDocument(v, resp)
	if len(resp.GetVersions()) > 0 {
		v.Newest = mergeVersions(v.Newest, resp.GetVersions(), now)
	}
	if term != c.epochs.term {
		c.epochs, v.Paces = epochs{term: term}, nil
	}
	c.epochs.versions = resp.GetVersionsEpoch()
	c.applyPaces(v, resp)
	if resp.GetFleetFull() || c.epochs.fleet > 0 {
		c.epochs.fleet = resp.GetFleetEpoch()
		if err := v.applyFleet(resp, now); err != nil {
			// With epoch 0, the leader sends the whole fleet.
			c.epochs.fleet = 0
			c.log.Error().Err(err).Str("event", "fleet_change_unusable").Uint64("term", term).Msg("change of the fleet not applied; the whole fleet is requested")
		}
	}
	v.Quarantined, v.Suspects = decodeQuarantine(resp, now)
	v.Trials, v.Evacuated, v.Cold = decodeTrials(resp, now), decodeDomains(resp.GetEvacuatedDomains()), decodeCold(resp, now)
	v.SuspectParts, v.Limits, v.Brittle = resp.GetSuspectParts(), decodeLimits(resp, now), decodeBrittle(resp, now)
	v.Builds, v.BuildsKnown, v.WantsStreams = origin.NewBuilds(resp.GetBuilds()), resp.GetBuildsKnown(), resp.GetWantsStreams()
	if helpers := resp.GetHelpers(); len(helpers) > 0 {
		v.Helpers, v.HelpersAt = decodeHelpers(helpers), now
	}
	v.BookedServices = resp.GetBookedServices()
	v.Confirmed, v.Hosts, v.Term = sent, int(resp.GetHosts()), term
	c.view.Store(v)
}

func (c *Client) applyDocument(v *View, resp *apiv1.ExchangeResponse) {
	doc := resp.GetDocument()
	if doc == nil || v.Catalog != nil && doc.GetRevision() <= v.Catalog.Revision {
		return
	}
	cat, err := c.opts.Decode(doc)
	if err != nil {
		c.log.Error().Err(err).Str("event", "catalog_unreadable").Uint64("revision", doc.GetRevision()).
			Msg("document cannot be read; the earlier one stays in force")
		return
	}
	v.Catalog = cat
	c.log.Info().Str("event", "catalog_in_force").Uint64("revision", cat.Revision).Int("routes", len(cat.Routes)).
		Int("teams", len(cat.Teams)).Msg("catalog put in force")
}

func mergeVersions(old map[residency.Ref]NewestVersion, changed []*apiv1.PutAdapterVersion, now time.Time) map[residency.Ref]NewestVersion {
	next := map[residency.Ref]NewestVersion{}
	for ref, n := range old {
		next[ref] = n
	}
	for _, v := range changed {
		ref := residency.Ref{Model: v.GetModel(), Adapter: v.GetAdapter()}
		if v.GetVersion() > next[ref].Version {
			next[ref] = NewestVersion{v.GetVersion(), now}
		}
	}
	return next
}

func decodeQuarantine(resp *apiv1.ExchangeResponse, now time.Time) (quarantined map[string]time.Time, suspects [][]byte) {
	quarantined = map[string]time.Time{}
	for _, q := range resp.GetQuarantined() {
		quarantined[string(q.GetFingerprint())] = now.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond)
	}
	for _, s := range resp.GetSuspects() {
		suspects = append(suspects, s.GetFingerprint())
	}
	return quarantined, suspects
}

// applyPaces applies the paces that changed. The caller holds update.
func (c *Client) applyPaces(v *View, resp *apiv1.ExchangeResponse) {
	c.epochs.paces = resp.GetPaceEpoch()
	if len(resp.GetPaces()) == 0 {
		return
	}
	next := make(map[string]float64, len(v.Paces)+len(resp.GetPaces()))
	for instance, factor := range v.Paces {
		if v.Servers[instance] != nil {
			next[instance] = factor
		}
	}
	for _, p := range resp.GetPaces() {
		next[p.GetInstance()] = float64(p.GetFactor())
	}
	v.Paces = next
}

func decodeDomains(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, domain := range list {
		out[domain] = true
	}
	return out
}

func decodeCold(resp *apiv1.ExchangeResponse, now time.Time) map[string]warmup.Share {
	out := make(map[string]warmup.Share, len(resp.GetCold()))
	for _, c := range resp.GetCold() {
		out[c.GetInstance()] = warmup.Share{
			Until: now.Add(time.Duration(c.GetRemainingMs()) * time.Millisecond), PerSecond: c.GetShare(),
		}
	}
	return out
}

func decodeTrials(resp *apiv1.ExchangeResponse, now time.Time) map[string]PartTrial {
	out := make(map[string]PartTrial, len(resp.GetTrials()))
	for _, tr := range resp.GetTrials() {
		out[string(tr.GetFingerprint())] = PartTrial{
			SoundSince: now.Add(-time.Duration(tr.GetClearanceMs()) * time.Millisecond), OurTurn: tr.GetYourTurn(),
		}
	}
	return out
}

func decodeBrittle(resp *apiv1.ExchangeResponse, now time.Time) map[string]BrittleServer {
	out := make(map[string]BrittleServer, len(resp.GetBrittle()))
	for _, b := range resp.GetBrittle() {
		out[b.GetInstance()] = BrittleServer{Places: int(b.GetPlaces()), Fact: places.Fact{
			Instance: b.GetInstance(), Tolerated: int(b.GetTolerated()), NamedAt: now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond),
		}}
	}
	return out
}

func decodeHelpers(list []*apiv1.Helper) []Helper {
	out := make([]Helper, 0, len(list))
	for _, h := range list {
		out = append(out, Helper{Host: h.GetHost(), Address: h.GetAddress(), Domain: h.GetFailureDomain(), Running: int(h.GetRunning())})
	}
	return out
}

func decodeLimits(resp *apiv1.ExchangeResponse, now time.Time) map[string]serverlimit.Limit {
	out := make(map[string]serverlimit.Limit, len(resp.GetLimits()))
	for _, l := range resp.GetLimits() {
		out[l.GetInstance()] = serverlimit.Limit{
			Instance: l.GetInstance(), PerSecond: l.GetPerSecond(), Share: l.GetShare(),
			NamedAt: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
		}
	}
	return out
}

// listLoop reads the platform's list while the view is older than minListViewAge.
func (c *Client) listLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		// A random delay spreads the reads of hosts that lost the leader at the same time.
		sleep(ctx, listInterval/2+rand.N(listInterval))
		v := c.View()
		if ctx.Err() != nil || v.Catalog == nil || v.Age(c.opts.Now()) < minListViewAge {
			continue
		}
		c.readList(ctx)
	}
	return nil
}

func (c *Client) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	list, err := c.opts.Lister.List(ctx)
	if err != nil {
		c.log.Warn().Err(err).Str("event", "list_not_read").Dur("view_age", c.View().Age(c.opts.Now())).
			Msg("platform list not read while no host leads")
		return
	}
	c.update.Lock()
	defer c.update.Unlock()
	v := c.view.Load()
	if v.Age(c.opts.Now()) < minListViewAge {
		return
	}
	v = v.clone()
	v.applyList(list, c.opts.Now())
	// With epoch 0, the next leader sends the whole fleet.
	c.epochs.fleet = 0
	c.view.Store(v)
}

// errNoLeader returns the error for calls without a known leader.
func errNoLeader() error {
	return fault.New(fault.KindUnavailable, "no control host leads", "retry later").WithRun(fault.NotRun).After(time.Second)
}

func decodeAllocations(list []*apiv1.TeamPart) []quota.Allocation {
	out := make([]quota.Allocation, 0, len(list))
	for _, p := range list {
		out = append(out, quota.Allocation{
			Team: p.GetTeam(), PerSecond: p.GetTokensPerSecond(), Burst: p.GetBurstTokens(), Fraction: p.GetFraction(),
			Validity: time.Duration(p.GetValidMs()) * time.Millisecond,
		})
	}
	return out
}
