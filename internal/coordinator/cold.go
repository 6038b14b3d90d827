package coordinator

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

// ColdTolerance is what the platform's contract tolerates of requests to a cold server: in one second ColdPerSecond x Over + Slack.
type ColdTolerance struct {
	Over, Slack float64
}

// listLagBound is how long the platform's list may lag behind what a server says of itself.
const listLagBound = 1500 * time.Millisecond

// observeCold records the servers that the list shows as cold, and those that may be without the list showing it: the servers
// of a failure domain whose evacuation has ended since the list was read. The caller holds mu.
func (l *leader) observeCold(list []residency.ListedEngine, now time.Time) {
	if l.catalog == nil {
		return
	}
	returned := l.returnedDomains()
	for _, e := range list {
		limit, ok := l.coldLimit(e.Service)
		if !ok {
			continue
		}
		cold := max(e.ColdFor, returned[e.Domain])
		if cold > 0 && l.cold.Set(e.Instance, limit, now.Add(cold), now) {
			l.log.Info().Str("event", "server_cold").Str("server", e.Instance).Dur("for", cold).Bool("listed", e.ColdFor > 0).
				Msg("backend server is cold; hosts send what it takes")
		}
	}
}

// returnedDomains returns the failure domains whose evacuation has ended and for how long the list may not show yet which
// of their servers are cold.
func (l *leader) returnedDomains() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, e := range l.c.machine().Evacuations() {
		if left := listLagBound - time.Since(time.UnixMilli(e.GetSinceUnixMs())); !e.GetEvacuated() && left > 0 {
			out[e.GetFailureDomain()] = min(left, listLagBound)
		}
	}
	return out
}

// holdReturned has the servers of a failure domain whose evacuation has ended count as cold until the list must show whether
// they are.
func (l *leader) holdReturned(domain string, now time.Time) {
	var list []residency.ListedEngine
	for _, e := range l.table.Engines() {
		if e.Domain == domain {
			list = append(list, residency.ListedEngine{Instance: e.Instance, Service: e.Service, Domain: domain, ColdFor: listLagBound})
		}
	}
	l.observeCold(list, now)
}

// coldLimit returns what a cold server of a service takes; false if the service has no such limit.
func (l *leader) coldLimit(service string) (warmup.Limit, bool) {
	s, ok := l.catalog.Service(service)
	if !ok || s.ColdPerSecond <= 0 {
		return warmup.Limit{}, false
	}
	tolerance := l.c.opts.ColdTolerance
	return warmup.Limit{
		PerSecond: s.ColdPerSecond, Allowance: s.ColdPerSecond*max(1, tolerance.Over) + tolerance.Slack,
	}, true
}

// assignCold drops the servers that are warm and chooses the hosts that may use the others. The caller holds mu.
func (l *leader) assignCold(now time.Time) {
	if l.cold.Len() == 0 {
		return
	}
	for _, instance := range l.cold.Expire(l.table.Has, now) {
		l.log.Info().Str("event", "server_warm").Str("server", instance).Msg("backend server is warm or gone")
	}
	l.cold.Assign(slices.Sorted(maps.Keys(l.hosts.reports)))
}

// exchangeCold tells a host its shares of the cold servers.
func (l *leader) exchangeCold(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	l.assignCold(now)
	for _, s := range l.cold.For(req.GetHost()) {
		resp.Cold = append(resp.Cold, &apiv1.ColdServer{
			Instance: s.Instance, RemainingMs: uint32(max(0, s.Until.Sub(now)).Milliseconds()), Share: s.PerSecond,
		})
	}
}
