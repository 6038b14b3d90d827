package coordinator

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
)

// exchangeLimits records the limits of backend servers that a host knows, and returns those in force
// with the host's shares.
func (l *leader) exchangeLimits(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	changed := false
	for _, m := range req.GetLimits() {
		limit := serverlimit.Limit{
			Instance: m.GetInstance(), PerSecond: m.GetPerSecond(), NamedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
		if !l.limits.Observe(limit) {
			continue
		}
		changed = true
		l.log.Info().Str("event", "server_limit").Str("server", limit.Instance).Float64("per_second", limit.PerSecond).
			Str("entry_host", req.GetHost()).Msg("backend server named another limit")
	}
	if changed {
		l.assignLimits(now)
	}
	for _, limit := range l.limits.For(req.GetHost()) {
		resp.Limits = append(resp.Limits, &apiv1.ServerLimit{
			Instance: limit.Instance, PerSecond: limit.PerSecond, Share: limit.Share, AgeMs: uint32(now.Sub(limit.NamedAt).Milliseconds()),
		})
	}
}

// assignLimits divides the limits between the hosts that exchange with this leader, and has placement
// count them as capacity.
func (l *leader) assignLimits(now time.Time) {
	if l.limits.Len() == 0 {
		return
	}
	dropped := l.limits.Assign(slices.Sorted(maps.Keys(l.hosts.reports)), func(instance string) bool {
		return !l.listed || l.table.Has(instance)
	}, now)
	for _, instance := range dropped {
		l.table.SetLimit(instance, 0)
	}
	for _, limit := range l.limits.For("") {
		l.table.SetLimit(limit.Instance, limit.PerSecond)
	}
}
