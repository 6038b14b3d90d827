package origin

import (
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// maxBuilds limits the builds of one service. Servers of further ones get no streams that may be
// taken up.
const maxBuilds = 32

// History follows the builds in the platform's list during one term.
type History struct {
	// absentSince holds when a build was first missing in a list, with no failed read since.
	absentSince map[Origin]time.Time
}

// NewHistory returns the history of a term.
func NewHistory() *History { return &History{absentSince: map[Origin]time.Time{}} }

// ObserveFailure records that the list could not be read: what was missing may have been back.
func (h *History) ObserveFailure() { clear(h.absentSince) }

// Observe compares a list with the recorded builds, and returns what to change in these, nil for
// nothing.
func (h *History) Observe(listed []Origin, recorded Builds, now time.Time) *apiv1.PutBuilds {
	seen := map[Origin]bool{}
	added, removed := map[string][]string{}, map[string][]string{}
	for _, o := range listed {
		if !seen[o] && !recorded.Has(o) && len(recorded.Of(o.Service))+len(added[o.Service]) < maxBuilds {
			added[o.Service] = append(added[o.Service], o.Build)
		}
		seen[o] = true
	}
	for _, s := range recorded.services {
		for _, build := range s.GetBuilds() {
			o := Origin{s.GetService(), build}
			if h.isGone(o, seen[o], now) {
				removed[o.Service] = append(removed[o.Service], build)
			}
		}
	}
	if len(added) == 0 && len(removed) == 0 {
		return nil
	}
	return &apiv1.PutBuilds{Added: sorted(added), Removed: sorted(removed)}
}

// isGone reports whether no list has had the build for Lifetime.
func (h *History) isGone(o Origin, listed bool, now time.Time) bool {
	if listed {
		delete(h.absentSince, o)
		return false
	}
	since, ok := h.absentSince[o]
	if !ok {
		h.absentSince[o] = now
		return false
	}
	return now.Sub(since) > Lifetime
}

func sorted(builds map[string][]string) []*apiv1.ServiceBuilds {
	var out []*apiv1.ServiceBuilds
	for _, service := range slices.SortedFunc(maps.Keys(builds), strings.Compare) {
		slices.Sort(builds[service])
		out = append(out, &apiv1.ServiceBuilds{Service: service, Builds: builds[service]})
	}
	return out
}
