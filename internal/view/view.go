// Package view maintains a host's copy of the configuration and tracks its age.
// A view never returns to a lower revision.
package view

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Defaults of Options. A host whose source stops responding sends its request to
// the next source after 1 s, and a host whose relay has lost its own source after
// 2.5 s. Both are within the 4 s in which an accepted configuration must be in
// force. Each relay adds up to one hold time to the age, so a chain of three
// relays stays below the age at which a host leaves a source.
const (
	defaultMaxHold      = 500 * time.Millisecond
	defaultMargin       = 500 * time.Millisecond
	defaultFullTimeout  = 3 * time.Second
	defaultRetryPause   = 100 * time.Millisecond
	defaultMaxSourceAge = 2 * time.Second
	defaultReturnAfter  = 30 * time.Second
	defaultMinInterval  = 250 * time.Millisecond
	// maxPauseFactor limits the growth of the pause. With the default pause it
	// reaches 500 ms, a fraction of the 4 s after which a host refuses keyed routes.
	maxPauseFactor = 5
	// maxRecentChanges and maxRecentBytes limit the changes that are stored for
	// hosts that sync from this one.
	maxRecentChanges = 8192
	maxRecentBytes   = 8 << 20
)

// Source is where a View gets its configuration from, usually a connect client of
// a control host or a relay.
type Source interface {
	Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
}

var (
	_ Source                            = apiv1connect.ConfigServiceClient(nil)
	_ apiv1connect.ConfigServiceHandler = (*Server)(nil)
	_ Provider                          = (*View)(nil)
)

// Options configures a View. Zero durations select the defaults.
type Options struct {
	Cluster string
	// Host is this host's name. Its Sync requests confirm its revision under it.
	Host string
	// Sources are used in order; the next one is used when one fails, is behind or
	// has an old view itself.
	Sources []Source
	Logger  zerolog.Logger
	// MaxHold is how long a source may hold a request while there is no change.
	MaxHold time.Duration
	// Margin is how much longer than MaxHold a response may take.
	Margin time.Duration
	// FullTimeout limits an exchange that requests the whole configuration.
	FullTimeout time.Duration
	// RetryPause is the pause after the first round in which all sources failed. It
	// grows linearly with further rounds, up to five times this value.
	RetryPause time.Duration
	// MaxSourceAge is the largest accepted age of a source's view; beyond it the
	// next source is used. It detects relays that have lost their own sources, and
	// loops of relays.
	MaxSourceAge time.Duration
	// ReturnAfter is the time after a failover at which the first source is tried
	// again, so that a short fault does not permanently move the load of a relay to
	// the control hosts.
	ReturnAfter time.Duration
	// MinInterval is the minimum time between the starts of two exchanges when the
	// first of them brought no change. It limits the load when a source does not
	// hold requests.
	MinInterval time.Duration
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		value *time.Duration
		to    time.Duration
	}{
		{&o.MaxHold, defaultMaxHold}, {&o.Margin, defaultMargin}, {&o.FullTimeout, defaultFullTimeout},
		{&o.RetryPause, defaultRetryPause}, {&o.MaxSourceAge, defaultMaxSourceAge}, {&o.ReturnAfter, defaultReturnAfter},
		{&o.MinInterval, defaultMinInterval},
	} {
		if *d.value <= 0 {
			*d.value = d.to
		}
	}
}

// View is a host's copy of the configuration.
type View struct {
	opts Options

	mu     sync.RWMutex
	config *config.Snapshot
	// asOf is a time at which the configuration was known to be in force; zero
	// before the first response.
	asOf    time.Time
	recent  recentChanges
	changed chan struct{}

	// Only Run uses the fields below.
	source     int
	switchedAt time.Time
	failures   int
	needFull   bool
}

// New returns a view without a configuration. Run fills it.
func New(opts Options) *View {
	opts.setDefaults()
	return &View{opts: opts, config: config.Empty(opts.Cluster), changed: make(chan struct{})}
}

// Config returns the configuration, or config.Empty before the first response.
func (v *View) Config() *config.Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Age returns the maximum age of the view, or math.MaxInt64 before the first
// response.
func (v *View) Age(now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.asOf.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(v.asOf), 0)
}

// Changed returns a channel that is closed at the next change of the
// configuration. Call it before Config, so that no change is missed in between.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// ChangesSince returns the changes after the revision, or false when they are
// not all stored here.
func (v *View) ChangesSince(revision uint64) ([]*apiv1.Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if revision == v.config.Revision {
		return nil, true
	}
	return v.recent.since(revision, v.config.Revision)
}

// Run syncs with the sources until the context ends.
func (v *View) Run(ctx context.Context) error {
	if len(v.opts.Sources) == 0 {
		return fault.New(fault.KindInvalidSetting, "no source of the configuration is set",
			"name at least one control host or relay").At("sources")
	}
	v.switchedAt = time.Now()
	for ctx.Err() == nil {
		sent := time.Now()
		pause := v.exchange(ctx, sent)
		if !sleep(ctx, pause) {
			break
		}
	}
	return ctx.Err()
}

// sleep waits for the duration and reports whether it passed before the context
// ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
