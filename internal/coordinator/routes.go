package coordinator

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

// routeHistory holds the routes as a leader knows them. Changes are known at once in its term, and recorded for the
// leaders after it.
//
// Invariant: a change that is not recorded is in unrecorded, or the recorded revision is below that of the catalog, so that
// the next leader knows that it lacks one.
type routeHistory struct {
	known      origin.Routes
	unrecorded []origin.Former
	// revision is that of the catalog, and recorded that up to which changes are recorded.
	revision, recorded uint64
	// gap is true until it is recorded that an earlier leader's changes are not known.
	gap       bool
	recording bool
}

// inheritRoutes returns the routes that earlier leaders have recorded. If these lack the last change of the catalog, what
// they do not hold may have been in force.
func (c *Coordinator) inheritRoutes(now time.Time) routeHistory {
	former, revision, gapUnixMs := c.machine().FormerRoutes()
	h := routeHistory{known: origin.DecodeRoutes(former, gapUnixMs, now, time.Now().UnixMilli()), revision: revision, recorded: revision}
	if doc := c.machine().Document(); doc != nil && doc.GetRevision() != revision {
		h.known, h.gap = h.known.WithGap(now), true
	}
	return h
}

// observe puts a catalog in force.
func (h *routeHistory) observe(cat *catalog.Catalog, now time.Time) {
	var changed []origin.Former
	h.known, changed = h.known.With(cat, now)
	h.unrecorded = append(h.unrecorded, changed...)
	h.revision = cat.Revision
}

// recordRoutes records the changes of routes in the background. The caller holds mu.
func (l *leader) recordRoutes(now time.Time) {
	h := &l.routes
	if h.recording || h.revision == h.recorded && !h.gap {
		return
	}
	h.recording = true
	put := &apiv1.PutFormerRoutes{Revision: h.revision, Gap: h.gap}
	unixMs := time.Now().UnixMilli()
	for _, f := range h.unrecorded {
		put.Routes = append(put.Routes, f.Proto(now, unixMs))
	}
	l.background(func() { l.proposeRoutes(put, unixMs) })
}

func (l *leader) proposeRoutes(put *apiv1.PutFormerRoutes, unixMs int64) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	_, err := l.c.opts.Log.Propose(ctx, &apiv1.Command{UnixMs: unixMs, Command: &apiv1.Command_PutFormerRoutes{PutFormerRoutes: put}})
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.routes
	h.recording = false
	if err != nil {
		l.log.Warn().Err(err).Str("event", "routes_not_recorded").Uint64("revision", put.GetRevision()).Msg("changed routes not recorded; retried")
		return
	}
	h.unrecorded, h.recorded, h.gap = h.unrecorded[len(put.GetRoutes()):], put.GetRevision(), false
	if len(put.GetRoutes()) > 0 || put.GetGap() {
		l.log.Info().Str("event", "routes_recorded").Uint64("revision", put.GetRevision()).Int("routes", len(put.GetRoutes())).
			Bool("gap", put.GetGap()).Msg("routes that the catalog changed are recorded")
	}
}
