// Package serverlimit divides the request rates that backend servers name between the entry
// hosts. A server that is short of capacity names a limit in its responses, which holds for
// all hosts together and as long as responses repeat it. It does no I/O and takes the time as
// an argument.
//
// Invariants:
//   - The shares of the hosts in one assignment add up to no more than the limit.
//   - Each host with a share has a burst of one request, and so few hosts have one that their
//     bursts stay within burstSeconds of the limit and minSharers requests.
package serverlimit

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what is known of a server's limit.
type Limit struct {
	Instance string
	// PerSecond is the number of requests a second that the server takes from all hosts
	// together; 0 when its last response named none.
	PerSecond float64
	// NamedAt is when a response last named the limit, or none.
	NamedAt time.Time
	// Share is the number of requests a second that one host may send.
	Share float64
}

const (
	// burstSeconds and minSharers limit the number of hosts that share a limit. A limit of less
	// than one request a second for each host cannot be divided between all of them.
	burstSeconds = 2
	minSharers   = 2
	// retention is how long a limit is retained after it was last named.
	retention = 10 * time.Minute
)

// Table holds the limits of all servers at the leader. It is not safe for concurrent use.
type Table struct {
	limits map[string]*entry
}

type entry struct {
	limit Limit
	// sharers are the hosts that may use the server.
	sharers map[string]bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[string]*entry{}} }

// Observe records what a response of a server said of its limit. Older observations change
// nothing. It reports whether the limit changed; Assign must follow then.
func (t *Table) Observe(l Limit) bool {
	e := t.limits[l.Instance]
	if e == nil {
		if l.PerSecond <= 0 {
			return false
		}
		e = &entry{sharers: map[string]bool{}}
		t.limits[l.Instance] = e
	}
	if !l.NamedAt.After(e.limit.NamedAt) {
		return false
	}
	changed := l.PerSecond != e.limit.PerSecond
	l.Share = e.limit.Share
	e.limit = l
	return changed
}

// Len returns the number of servers that have named a limit.
func (t *Table) Len() int { return len(t.limits) }

// Assign divides the limits between the hosts. It drops those of servers that are gone or have not been
// heard of for long, and returns their instances.
func (t *Table) Assign(hosts []string, present func(instance string) bool, now time.Time) (dropped []string) {
	for instance, e := range t.limits {
		if !present(instance) || now.Sub(e.limit.NamedAt) > retention {
			delete(t.limits, instance)
			dropped = append(dropped, instance)
			continue
		}
		e.assign(hosts)
	}
	return dropped
}

// assign gives the host shares by rendezvous hashing, so that few hosts change when one joins or
// leaves.
func (e *entry) assign(hosts []string) {
	ranked := slices.Clone(hosts)
	rank := func(host string) uint64 { return xxhash.Sum64String(e.limit.Instance + "\x00" + host) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), strings.Compare(a, b))
	})
	clear(e.sharers)
	for _, host := range ranked[:min(len(ranked), sharers(e.limit.PerSecond))] {
		e.sharers[host] = true
	}
	e.limit.Share = e.limit.PerSecond / float64(max(1, len(e.sharers)))
}

// sharers returns how many hosts may share a limit.
func sharers(perSecond float64) int {
	return int(math.Min(math.Floor(burstSeconds*perSecond), math.MaxInt32)) + minSharers
}

// For returns the limits with the host's shares, sorted by instance. It includes those that have
// ended, so that a host which last heard of them before learns of it.
func (t *Table) For(host string) []Limit {
	var out []Limit
	for _, e := range t.limits {
		l := e.limit
		if !e.sharers[host] {
			l.Share = 0
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Limit) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// InForce returns the number of servers with a limit.
func (t *Table) InForce() uint64 {
	var n uint64
	for _, e := range t.limits {
		if e.limit.PerSecond > 0 {
			n++
		}
	}
	return n
}
