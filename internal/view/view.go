// Package view keeps a host's copy of the configuration and knows how old it
// is. A view never returns to a lower revision.
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

// Times of the exchanges. A host that loses its source in silence has asked
// the next one after 1 s, and one that syncs from a relay that has lost its own
// source after 2.5 s. Both are within the 4 s in which an accepted configuration
// must be in force. Each relay adds up to one hold time to the age, so three
// relays in a row stay below the age from which a source is given up.
const (
	defaultHold    = 500 * time.Millisecond
	defaultMargin  = 500 * time.Millisecond
	defaultFull    = 3 * time.Second
	defaultPause   = 100 * time.Millisecond
	defaultMaxAge  = 2 * time.Second
	defaultReturn  = 30 * time.Second
	defaultSpacing = 250 * time.Millisecond
	// maxPauses limits the growth of the pause to 500 ms, a fraction of the 4 s
	// after which a host refuses keyed routes.
	maxPauses = 5
	// maxRelayed bounds the changes kept for hosts that sync from this one.
	maxRelayed      = 8192
	maxRelayedBytes = 8 << 20
)

// Source answers Sync, usually a connect client of a control host or a relay.
type Source interface {
	Sync(context.Context, *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
}

// The connect client of the service is a Source, and the Server its handler.
var (
	_ Source                            = apiv1connect.ConfigServiceClient(nil)
	_ apiv1connect.ConfigServiceHandler = (*Server)(nil)
	_ Provider                          = (*View)(nil)
)

// Options configure a View. Zero durations select the defaults.
type Options struct {
	Cluster string
	// Host names this host in Sync, where it confirms its revision.
	Host string
	// Sources are asked in order; the next one is used when one fails, is behind
	// or has an old view itself.
	Sources []Source
	Logger  zerolog.Logger
	// Hold is how long a source may hold a request while nothing is new.
	Hold time.Duration
	// Margin is how much longer than Hold an answer may take.
	Margin time.Duration
	// FullTimeout bounds an exchange that asks for the whole configuration.
	FullTimeout time.Duration
	// Pause is the first pause after all sources have failed. It grows five times.
	Pause time.Duration
	// MaxSourceAge is the age of a source's own view from which the next source is
	// asked. It detects relays that have lost their own sources, and loops of relays.
	MaxSourceAge time.Duration
	// ReturnAfter is when the first source is tried again after a failover, so
	// that a short fault does not move the load of a relay to the control hosts for good.
	ReturnAfter time.Duration
	// Spacing is the least time between two exchanges that brought nothing new.
	// It bounds the load when a source answers at once.
	Spacing time.Duration
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		value *time.Duration
		to    time.Duration
	}{
		{&o.Hold, defaultHold}, {&o.Margin, defaultMargin}, {&o.FullTimeout, defaultFull},
		{&o.Pause, defaultPause}, {&o.MaxSourceAge, defaultMaxAge}, {&o.ReturnAfter, defaultReturn},
		{&o.Spacing, defaultSpacing},
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
	// before the first answer.
	asOf    time.Time
	changes relayed
	changed chan struct{}

	// The fields below belong to Run.
	source   int
	movedAt  time.Time
	failures int
	needFull bool
}

// New returns a view without a configuration. Run fills it.
func New(opts Options) *View {
	opts.setDefaults()
	return &View{opts: opts, config: config.Empty(opts.Cluster), changed: make(chan struct{})}
}

// Config returns the configuration, config.Empty before the first answer.
func (v *View) Config() *config.Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Age returns how old the view may be, math.MaxInt64 before the first answer.
func (v *View) Age(now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.asOf.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(v.asOf), 0)
}

// Changed returns a channel that is closed at the next change of the
// configuration. A reader takes the channel before it reads.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// ChangesSince returns the changes after the revision, or false when they are
// not all kept here.
func (v *View) ChangesSince(revision uint64) ([]*apiv1.Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if revision == v.config.Revision {
		return nil, true
	}
	return v.changes.since(revision, v.config.Revision)
}

// Run syncs until the context ends.
func (v *View) Run(ctx context.Context) error {
	if len(v.opts.Sources) == 0 {
		return fault.New(fault.KindInvalidSetting, "there is no source of the configuration",
			"name at least one control host or relay").At("sources")
	}
	v.movedAt = time.Now()
	for ctx.Err() == nil {
		sent := time.Now()
		pause := v.exchange(ctx, sent)
		if !sleep(ctx, pause) {
			break
		}
	}
	return ctx.Err()
}

// sleep waits and returns false when the context ends first.
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
