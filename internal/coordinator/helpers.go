package coordinator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// maxHelpers limits the helpers of a host, half of them in its failure domain if there are enough.
const maxHelpers = 8

// recordHost records what a host says of itself, and logs when it loses or regains the backend servers.
func (l *leader) recordHost(req *apiv1.ExchangeRequest) {
	h := l.hosts.reports[req.GetHost()]
	h.incarnation = req.GetIncarnation()
	h.address, h.domain, h.running, h.cutOff = req.GetAddress(), req.GetFailureDomain(), req.GetRunning(), req.GetCutOff()
	if l.cutOff[req.GetHost()] == h.cutOff {
		return
	}
	event := "dependency_regained"
	if h.cutOff {
		event = "dependency_lost"
		l.cutOff[req.GetHost()] = true
	} else {
		delete(l.cutOff, req.GetHost())
	}
	l.log.Info().Str("event", event).Str("dependency", "backend_servers").Str("entry_host", req.GetHost()).
		Int("hosts_cut_off", len(l.cutOff)).Int("hosts", len(l.hosts.reports)).Msg("entry host reports whether it reaches backend servers")
}

// rankedHost is a host with its rank as a helper of another one.
type rankedHost struct {
	name string
	rank uint64
}

// helpers returns hosts that reach backend servers. Rendezvous hashing spreads the hosts that are cut off
// over all others.
func (l *leader) helpers(host, domain string) []*apiv1.Helper {
	var near, far []rankedHost
	for name, h := range l.hosts.reports {
		switch {
		case name == host || h.cutOff || h.address == "":
		case h.domain == domain:
			near = append(near, rankedHost{name, rank(host, name)})
		default:
			far = append(far, rankedHost{name, rank(host, name)})
		}
	}
	byRank := func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	}
	slices.SortFunc(near, byRank)
	slices.SortFunc(far, byRank)
	chosen := near[:min(len(near), max(maxHelpers/2, maxHelpers-len(far)))]
	chosen = append(slices.Clone(chosen), far[:min(len(far), maxHelpers-len(chosen))]...)
	out := make([]*apiv1.Helper, 0, len(chosen))
	for _, c := range chosen {
		h := l.hosts.reports[c.name]
		out = append(out, &apiv1.Helper{Host: c.name, Address: h.address, FailureDomain: h.domain, Running: h.running})
	}
	return out
}

func rank(host, helper string) uint64 { return xxhash.Sum64String(host + "\x00" + helper) }
