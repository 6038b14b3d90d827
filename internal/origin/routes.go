package origin

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
)

// routeRetention is how long a former route matters: a host that is out of touch uses an old catalog for up to
// Lifetime, and the streams that it begins last as long again.
const routeRetention = 2 * Lifetime

// streamRoute is what a route says of the streams that it begins.
type streamRoute struct {
	services []string
	// resumable is true when each stream at another than the first build of the only service is recorded.
	resumable bool
}

// Former is a route as it was until a change of the catalog.
type Former struct {
	// Host and Prefix are those of the route that the same requests have now.
	Host, Prefix string
	Services     []string
	Resumable    bool
	Until        time.Time
}

// Proto returns the former route as a protobuf message, at the time of a clock that counts Unix milliseconds.
func (f Former) Proto(now time.Time, nowUnixMs int64) *apiv1.FormerRoute {
	return &apiv1.FormerRoute{
		Host: f.Host, Prefix: f.Prefix, Services: f.Services, Resumable: f.Resumable, UntilUnixMs: nowUnixMs - now.Sub(f.Until).Milliseconds(),
	}
}

// Routes are the routes of the catalog in force, and those that it or its predecessors changed lately. It is immutable.
type Routes struct {
	current *catalog.Catalog
	former  []Former
	// gapAt is the time before which changes are not known, zero for none.
	gapAt time.Time
}

// DecodeRoutes returns the routes that the replicated state holds, without a catalog.
func DecodeRoutes(former []*apiv1.FormerRoute, gapUnixMs int64, now time.Time, nowUnixMs int64) Routes {
	at := func(unixMs int64) time.Time {
		return now.Add(-time.Duration(max(0, nowUnixMs-unixMs)) * time.Millisecond)
	}
	r := Routes{}
	for _, f := range former {
		r.former = append(r.former, Former{f.GetHost(), f.GetPrefix(), f.GetServices(), f.GetResumable(), at(f.GetUntilUnixMs())})
	}
	if gapUnixMs > 0 {
		r.gapAt = at(gapUnixMs)
	}
	return r
}

// WithGap returns the routes without knowledge of the changes before the time.
func (r Routes) WithGap(now time.Time) Routes {
	r.gapAt = now
	return r
}

// With returns the routes with the next catalog in force, and what it changed.
func (r Routes) With(next *catalog.Catalog, now time.Time) (Routes, []Former) {
	changed := r.changes(next, now)
	out := Routes{current: next, gapAt: r.gapAt}
	for _, f := range r.former {
		if now.Sub(f.Until) <= routeRetention {
			out.former = append(out.former, f)
		}
	}
	out.former = append(out.former, changed...)
	return out, changed
}

// changes returns, for each route of streams in the next catalog, the routes that its requests had and that begin streams
// elsewhere.
func (r Routes) changes(next *catalog.Catalog, now time.Time) []Former {
	if r.current == nil {
		return nil
	}
	var out []Former
	add := func(to *catalog.Route, old *catalog.Route) {
		if !to.Streaming || !old.Streaming {
			return
		}
		out = append(out, Former{to.Host, to.Prefix, servicesOf(old), old.Resumable, now})
		if old.Prefix == to.Prefix {
			return
		}
		for _, f := range r.formerOf(old.Host, old.Prefix, now) {
			f.Prefix = to.Prefix
			out = append(out, f)
		}
	}
	for i := range next.Routes {
		to := &next.Routes[i]
		old, ok := r.current.Route(to.Host, to.Prefix)
		if ok && (old.Prefix != to.Prefix || old.Resumable != to.Resumable || !slices.Equal(servicesOf(old), servicesOf(to))) {
			add(to, old)
		}
	}
	for i := range r.current.Routes {
		old := &r.current.Routes[i]
		// The requests of a route that is gone have the next shorter one.
		if to, ok := next.Route(old.Host, old.Prefix); ok && to.Prefix != old.Prefix {
			add(to, old)
		}
	}
	return out
}

// servicesOf returns the services of a route in order.
func servicesOf(r *catalog.Route) []string {
	out := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// formerOf returns the former routes of a route that still matter.
func (r Routes) formerOf(host, prefix string, now time.Time) []Former {
	var out []Former
	for _, f := range r.former {
		if f.Host == host && f.Prefix == prefix && now.Sub(f.Until) <= routeRetention {
			out = append(out, f)
		}
	}
	return out
}

// hasGap reports whether a change that still matters is not known.
func (r Routes) hasGap(now time.Time) bool {
	return !r.gapAt.IsZero() && now.Sub(r.gapAt) <= routeRetention
}

// of returns what the route says, and said lately, of its streams.
func (r Routes) of(host, prefix string, now time.Time) []streamRoute {
	var out []streamRoute
	if r.current != nil {
		if route, ok := r.current.Route(host, prefix); ok && route.Streaming {
			out = append(out, streamRoute{servicesOf(route), route.Resumable})
		}
	}
	for _, f := range r.formerOf(host, prefix, now) {
		out = append(out, streamRoute{f.Services, f.Resumable})
	}
	return out
}

// AnySplit reports whether any route has, or lately had, several services for streams that may be taken up.
func (r Routes) AnySplit(now time.Time) bool {
	if r.current != nil && slices.ContainsFunc(r.current.Routes, func(route catalog.Route) bool {
		return route.Streaming && route.Resumable && len(route.Split) > 1
	}) {
		return true
	}
	return slices.ContainsFunc(r.former, func(f Former) bool {
		return f.Resumable && len(f.Services) > 1 && now.Sub(f.Until) <= routeRetention
	})
}
