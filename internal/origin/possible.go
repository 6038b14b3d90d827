package origin

import (
	"slices"
	"time"
)

// possible are the origins that a stream without a record may have. That there is no record proves only that the
// stream has none of the origins that would have been recorded at this leader.
type possible struct {
	origins []Origin
	// reason says how the origin is known if all of them go on at the same place, or none is possible, and
	// reasonUnknown why it is not if they do not.
	reason, reasonUnknown Reason
}

func (p *possible) add(o Origin) {
	if !slices.Contains(p.origins, o) {
		p.origins = append(p.origins, o)
	}
}

// addAll adds the builds of the services that are still known: a build is dropped once no stream of it can live.
func (p *possible) addAll(services []string, of, known Builds) {
	for _, service := range services {
		for _, build := range of.Of(service) {
			if o := (Origin{service, build}); known.Has(o) {
				p.add(o)
			}
		}
	}
}

// possible returns the origins that the stream of a query may have, of which this leader has no record.
func (t *Table) possible(q Query, others []Origin, builds Builds, routes Routes, now time.Time) possible {
	p := possible{reason: SplitRoute, reasonUnknown: RouteChanged}
	if len(q.Services) == 1 {
		p.reason = NoBuilds
	}
	for _, r := range append([]streamRoute{{q.Services, q.Resumable}}, routes.of(q.Host, q.Prefix, now)...) {
		switch of := builds.Of(r.first()); {
		case q.Attempt == nil || !r.resumable:
			p.addAll(r.services, builds, builds)
		case len(r.services) == 1 && len(of) > 0:
			p.add(Origin{r.services[0], of[0]})
		}
	}
	if len(p.origins) > 0 {
		p.reason = FirstBuild
		if len(builds.Of(p.origins[0].Service)) == 1 {
			p.reason = OnlyBuild
		}
	}
	if q.Attempt == nil {
		p.reasonUnknown = NoAttempt
	}
	for _, o := range others {
		// The caller may have begun the stream with a key and a team that it no longer has.
		p.add(o)
		p.reasonUnknown = OtherCaller
	}
	if routes.hasGap(now) {
		p.addAll(builds.Services(), builds, builds)
		p.reasonUnknown = t.lostReason(now)
	}
	t.addLost(&p, q, builds, now)
	return p
}

// lostReason returns why a record is missing that an earlier leader may have had.
func (t *Table) lostReason(now time.Time) Reason {
	if now.Sub(t.began) <= resendTime {
		return RecordsAwaited
	}
	return RecordsLost
}

// first returns the first service, empty where there is none.
func (r streamRoute) first() string {
	if len(r.services) == 0 {
		return ""
	}
	return r.services[0]
}

// addLost adds the origins of streams that began before the term and that an earlier leader may have had records of.
func (t *Table) addLost(p *possible, q Query, builds Builds, now time.Time) {
	if now.Sub(t.began) > Lifetime {
		return
	}
	earlier := t.inheritedRoutes.of(q.Host, q.Prefix, t.began)
	if len(p.origins) == 0 {
		if slices.ContainsFunc(earlier, func(r streamRoute) bool { return len(r.services) > 1 }) {
			p.reason = t.lostReason(now)
		}
		return
	}
	if q.Host == "" || t.inheritedRoutes.current == nil {
		earlier = append(earlier, streamRoute{services: q.Services})
	}
	before := len(p.origins)
	for _, r := range earlier {
		p.addAll(r.services, t.inherited, builds)
	}
	if len(p.origins) > before {
		p.reasonUnknown = t.lostReason(now)
	}
}
