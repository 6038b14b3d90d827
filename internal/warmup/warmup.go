// Package warmup divides what cold backend servers take between the entry hosts. A server that has just started, or that
// became cold again, takes few requests a second from all hosts together. It answers the load of a failure domain that
// comes back with all its servers while the others are full. It does no I/O and takes the time as an argument.
//
// Invariant: in each second all hosts together send a cold server at most PerSecond requests and one for each sharer, which
// are no more than Allowance.
package warmup

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what a cold server takes from all hosts together.
type Limit struct {
	// PerSecond is the number of requests a second that it takes, and Allowance the number that its contract tolerates in one
	// second.
	PerSecond, Allowance float64
}

const (
	// usedFraction is the part of PerSecond that is given to the hosts: requests may bunch on their way.
	usedFraction = 0.8
	// bucketFraction is the part of what the allowance leaves above PerSecond that hosts' buckets may use.
	bucketFraction = 0.75
)

// sharers returns how many hosts may have a bucket of one request.
func (l Limit) sharers() int { return max(1, int((l.Allowance-l.PerSecond)*bucketFraction)) }

// Share is one host's part of what a cold server takes.
type Share struct {
	Until time.Time
	// PerSecond is 0 for a host that may send nothing.
	PerSecond float64
}

// server is a cold server.
type server struct {
	until time.Time
	limit Limit
	// sharers are the hosts that may send requests; nil until they are chosen.
	sharers map[string]bool
}

// Table holds the cold servers at the leader. It is not safe for concurrent use.
type Table struct {
	servers map[string]*server
	hosts   []string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*server{}} }

// Set records that a server is cold until a time, and reports whether it was warm before. An earlier time than the known one
// changes nothing.
func (t *Table) Set(instance string, l Limit, until, now time.Time) (begins bool) {
	s := t.servers[instance]
	if s == nil || !s.until.After(now) {
		t.servers[instance] = &server{until: until, limit: l}
		return true
	}
	if until.After(s.until) {
		s.until = until
	}
	return false
}

// Expire drops the servers that are warm or gone, and returns them in order.
func (t *Table) Expire(present func(instance string) bool, now time.Time) []string {
	var warm []string
	for instance, s := range t.servers {
		if !s.until.After(now) || !present(instance) {
			warm = append(warm, instance)
			delete(t.servers, instance)
		}
	}
	slices.Sort(warm)
	return warm
}

// Len returns the number of cold servers.
func (t *Table) Len() int { return len(t.servers) }

// Assign chooses the sharers of the servers that have none, or of all if the hosts have changed. Rendezvous hashing has few
// hosts change when one joins or leaves.
func (t *Table) Assign(hosts []string) {
	changed := !slices.Equal(hosts, t.hosts)
	t.hosts = slices.Clone(hosts)
	for instance, s := range t.servers {
		if changed || s.sharers == nil {
			s.assign(instance, hosts)
		}
	}
}

func (s *server) assign(instance string, hosts []string) {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(instance, a), rank(instance, b)), strings.Compare(a, b))
	})
	s.sharers = map[string]bool{}
	for _, host := range ranked[:min(len(ranked), s.limit.sharers())] {
		s.sharers[host] = true
	}
}

// HostShare is a host's share of one cold server.
type HostShare struct {
	Instance string
	Share
}

// For returns a host's shares of the cold servers, sorted by instance.
func (t *Table) For(host string) []HostShare {
	out := make([]HostShare, 0, len(t.servers))
	for instance, s := range t.servers {
		share := HostShare{Instance: instance, Share: Share{Until: s.until}}
		if s.sharers[host] {
			share.PerSecond = s.limit.PerSecond * usedFraction / float64(len(s.sharers))
		}
		out = append(out, share)
	}
	slices.SortFunc(out, func(a, b HostShare) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

func rank(instance, host string) uint64 { return xxhash.Sum64String(instance + "\x00" + host) }

// ownSharers is the mean number of hosts that take part without a leader, at the rate of one of twice as many.
const ownSharers = 8

// OwnShare returns the share of a host that knows of a cold server only from its own reading of the list: it takes part with
// a probability that makes ownSharers of all hosts in the mean.
func OwnShare(instance string, l Limit, until time.Time, host string, hosts int) Share {
	const whole = 1 << 32
	if n := min(ownSharers, l.sharers()); hosts > n && rank(instance, host)%whole >= uint64(n)*whole/uint64(hosts) {
		return Share{Until: until}
	}
	return Share{Until: until, PerSecond: l.PerSecond * usedFraction / (2 * ownSharers)}
}
