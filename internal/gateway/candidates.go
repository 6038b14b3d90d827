package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

// eligibleServers returns the servers that could serve the request now, the
// preferred engine first: all hosts send prompts with the same shared part to
// the same engine, where it is cached.
func (ar *activeRequest) eligibleServers(v *exchange.View, now time.Time) []*exchange.Server {
	var out []*exchange.Server
	for _, s := range v.ByService[ar.service.Name] {
		if ar.exclusion(v, s, now) == "" {
			out = append(out, s)
		}
	}
	if ar.r.Generation {
		part := ar.r.sharedPart()
		slices.SortFunc(out, func(a, b *exchange.Server) int {
			return strings.Compare(rendezvousKey(b.Instance, part), rendezvousKey(a.Instance, part))
		})
		return out
	}
	return out
}

// exclusion returns why a server cannot get the request, "" if it can.
func (ar *activeRequest) exclusion(v *exchange.View, s *exchange.Server, now time.Time) string {
	if why := ar.whyUnusable(s); why != "" {
		return why
	}
	if !ar.isTraceable(v, s, now) {
		return "its build cannot be recorded"
	}
	return ar.lacks(v, s, now)
}

// isUsable reports whether the request may be sent to the server.
func (ar *activeRequest) isUsable(s *exchange.Server) bool { return ar.whyUnusable(s) == "" }

// whyUnusable returns why the request may not be sent to the server, "" if it may.
func (ar *activeRequest) whyUnusable(s *exchange.Server) string {
	switch {
	case s.Draining || ar.g.usage.leaves(s, ar.g.opts.Now()):
		return "leaves"
	case ar.g.opts.Fleet.View().Evacuated[s.Domain]:
		return "its failure domain is evacuated"
	case ar.excluded[s.Instance]:
		return "has had the request"
	case !ar.mayGoOnAt(s):
		return "runs another build than the stream's"
	}
	return ""
}

// mayGoOnAt reports whether the stream may go on at the server. What two builds write does not fit
// together, and servers do not check it.
func (ar *activeRequest) mayGoOnAt(s *exchange.Server) bool {
	build := ar.build.Load()
	return build == nil || s.Build == *build
}

// hasUsableServer reports whether any server may get the request, with or without the adapter.
func (ar *activeRequest) hasUsableServer(v *exchange.View) bool {
	return slices.ContainsFunc(v.ByService[ar.service.Name], ar.isUsable)
}

// rendezvousKey returns the rank of an engine for a shared part of a prompt,
// by rendezvous hashing.
func rendezvousKey(instance, part string) string {
	h := xxhash.Sum64String(instance + "\x00" + part)
	var b [8]byte
	for i := range b {
		b[i] = byte(h >> (56 - 8*i))
	}
	return string(b[:])
}

// lacks returns what an engine lacks for the request, "" if nothing.
func (ar *activeRequest) lacks(v *exchange.View, s *exchange.Server, now time.Time) string {
	if !ar.r.Generation {
		return ""
	}
	model, ok := s.Residents[residency.Ref{Model: ar.r.Weights.Model}]
	if !ok || model.ReadyAt.After(now) {
		return "lacks the model"
	}
	if ar.r.Weights.Adapter == "" {
		return ""
	}
	resident, ok := s.Residents[ar.r.Weights]
	if !ok || ar.missing[s.Instance] {
		return "lacks the adapter"
	}
	if newest := v.Newest[ar.r.Weights]; resident.Version < newest.Version && now.Sub(newest.Since) >= versionGrace {
		return "has an old version of the adapter"
	}
	return ""
}

// gateCheck is intake.Gate's Check, or its Preview where nothing may be counted.
type gateCheck func(g *intake.Gate, start int64, l intake.Load, now time.Time) intake.State

// candidates returns those of the servers that take a request, and the states of the others' gates by instance.
func (ar *activeRequest) candidates(v *exchange.View, servers []*exchange.Server, now time.Time, check gateCheck) ([]balance.Candidate, closedGates) {
	u := ar.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	shared := ar.r.sharedTokens()
	out := make([]balance.Candidate, 0, len(servers))
	var closed closedGates
	for i, s := range servers {
		if ar.crowded[s.Instance] {
			continue
		}
		su := u.server(s.Instance)
		su.gate.Assign(v.Limits[s.Instance], now)
		su.gate.AssignCold(ar.coldShare(v, s, now), now)
		if places, ok := v.Brittle[s.Instance]; ok {
			su.gate.AssignPlaces(places.Fact, places.Places)
		}
		if state := check(&su.gate, s.StartUnixMs, intake.Load{InFlight: su.inFlight, Slots: s.Slots, Hosts: ar.hosts(v)}, now); state != intake.Open {
			closed = closed.with(s.Instance, state)
			continue
		}
		c := balance.Candidate{
			Instance: s.Instance, Local: s.Domain == ar.g.opts.FailureDomain, Slots: s.Slots,
			InFlight: su.inFlight + s.OthersInFlight, PendingTokens: su.pending + s.OthersPendingTokens,
			LatencyFactor: su.latencyFactor, FailureRate: su.failureRate, Pace: v.Paces[s.Instance],
		}
		if now.Sub(su.loadAt) < loadMaxAge && su.loadAt.After(v.Confirmed) {
			c.InFlight = max(su.inFlight, su.load.Running+su.load.Waiting+su.inFlight-su.inFlightAtLoad)
		}
		if ar.r.Generation {
			c.ReadyIn = max(0, s.Residents[ar.r.Weights].ReadyAt.Sub(now))
			if i == 0 {
				c.CachedTokens = shared
			}
		}
		out = append(out, c)
	}
	return out, closed
}

// closedGates holds the states of the gates that let no request of this host through, by instance.
type closedGates map[string]intake.State

func (c closedGates) with(instance string, state intake.State) closedGates {
	if c == nil {
		c = closedGates{}
	}
	c[instance] = state
	return c
}

// coldShare returns this host's share of a server that is cold; a zero Share for one that is warm.
func (ar *activeRequest) coldShare(v *exchange.View, s *exchange.Server, now time.Time) warmup.Share {
	if !s.ColdUntil.After(now) {
		return v.Cold[s.Instance]
	}
	service, ok := v.Catalog.Service(s.Service)
	if !ok || service.ColdPerSecond <= 0 {
		return warmup.Share{}
	}
	limit := warmup.Limit{PerSecond: service.ColdPerSecond, Allowance: service.ColdPerSecond}
	return warmup.OwnShare(s.Instance, limit, s.ColdUntil, ar.g.opts.Host, ar.hosts(v))
}
