// Package places divides the room of brittle backend servers between the entry hosts. A brittle server falls
// over when it has to turn away more than a few requests in a second, so that hosts must not race for its last
// places. It does no I/O and takes the time as an argument.
//
// Invariants:
//   - The places of all hosts at a server add up to no more than its capacity, apart from requests that were
//     in flight before.
//   - A leader whose term has just begun gives no host more places than the host has: others may have
//     places from the leader before.
package places

import (
	"slices"
	"strings"
	"time"
)

// Fact is what a server's responses say of it.
type Fact struct {
	Instance string
	// Tolerated is the number of requests that the server can turn away in a second; 0 when it does
	// not say that it is brittle.
	Tolerated int
	// NamedAt is when a response last said so, or did not.
	NamedAt time.Time
}

// Demand is what one host reports of a server.
type Demand struct {
	// InFlight is the number of the host's requests there, and Held the number of places that it has.
	InFlight, Held int
	// Wanted is the number of places that it could use.
	Wanted int
	// Refusals is the number of requests within Held that the server turned away since the last report.
	Refusals int
}

const (
	// settleTime is how long a new leader gives no further places.
	settleTime = 1500 * time.Millisecond
	// holdTime is how long the places of a silent host stay its own.
	holdTime = 2 * time.Second
	// retention is how long a server's word counts after it was last heard.
	retention = time.Minute
	// recovery is the fraction of its slots by which the capacity of a server grows in a second after
	// it turned requests away.
	recovery = 0.1
)

// Table holds the brittle servers at the leader. It is not safe for concurrent use.
type Table struct {
	began   time.Time
	servers map[string]*server
}

type server struct {
	fact Fact
	// capacity is the number of places at adjustedAt; 0 before the first report.
	capacity   float64
	adjustedAt time.Time
	hosts      map[string]holding
}

// holding is what one host has and wants.
type holding struct {
	granted, inFlight, wanted int
	at                        time.Time
}

// taken is the number of places that are not free because of the host.
func (h holding) taken() int { return max(h.granted, h.inFlight) }

// NewTable returns the table of a term.
func NewTable(now time.Time) *Table { return &Table{began: now, servers: map[string]*server{}} }

// Observe records what a response of a server said. Older facts change nothing. It reports whether the server became
// brittle, or is no longer.
func (t *Table) Observe(f Fact) bool {
	s := t.servers[f.Instance]
	if s == nil {
		if f.Tolerated <= 0 {
			return false
		}
		s = &server{hosts: map[string]holding{}}
		t.servers[f.Instance] = s
	}
	if !f.NamedAt.After(s.fact.NamedAt) {
		return false
	}
	changed := (f.Tolerated > 0) != (s.fact.Tolerated > 0)
	s.fact = f
	return changed
}

// Grant records a host's demand at a server with the slots, and returns its places there.
func (t *Table) Grant(host, instance string, slots int, d Demand, now time.Time) int {
	s := t.servers[instance]
	if s == nil || s.fact.Tolerated <= 0 || slots <= 0 {
		return 0
	}
	s.adjust(slots, d.Refusals, now)
	s.hosts[host] = holding{granted: d.Held, inFlight: d.InFlight, wanted: d.Wanted, at: now}
	granted := min(s.share(host, now), d.Wanted)
	if now.Sub(t.began) < settleTime {
		granted = min(granted, d.Held)
	}
	h := s.hosts[host]
	h.granted = granted
	s.hosts[host] = h
	return granted
}

// adjust lowers the capacity to what the server has shown that it takes, and lets it grow back.
func (s *server) adjust(slots, refusals int, now time.Time) {
	full := float64(slots)
	if s.capacity == 0 {
		s.capacity, s.adjustedAt = full, now
	}
	s.capacity = min(full, s.capacity+now.Sub(s.adjustedAt).Seconds()*recovery*full)
	s.adjustedAt = now
	if refusals > 0 {
		s.capacity = max(1, min(s.capacity, float64(s.taken(now)))-float64(refusals))
	}
}

// taken returns the number of places that are not free.
func (s *server) taken(now time.Time) int {
	n := 0
	for _, h := range s.hosts {
		if now.Sub(h.at) <= holdTime {
			n += h.taken()
		}
	}
	return n
}

// share returns the places that the host may have: what the others leave, where each of them keeps what it has
// and may still claim an even share.
func (s *server) share(host string, now time.Time) int {
	capacity, wanting, taken := int(s.capacity), 0, 0
	for name, h := range s.hosts {
		if now.Sub(h.at) > holdTime {
			delete(s.hosts, name)
			continue
		}
		if h.wanted > 0 {
			wanting++
		}
		if name != host {
			taken += h.taken()
		}
	}
	even := capacity / max(1, wanting)
	reserved := 0
	for name, h := range s.hosts {
		if name != host {
			reserved += max(h.taken(), min(h.wanted, even))
		}
	}
	return max(0, min(capacity-taken, max(even, capacity-reserved)))
}

// Facts returns what is known of the servers, sorted by instance. It includes those that are no longer brittle, so that a
// host which last heard of them before learns of it.
func (t *Table) Facts(present func(instance string) bool, now time.Time) []Fact {
	var out []Fact
	for instance, s := range t.servers {
		if !present(instance) || now.Sub(s.fact.NamedAt) > retention {
			delete(t.servers, instance)
			continue
		}
		out = append(out, s.fact)
	}
	slices.SortFunc(out, func(a, b Fact) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// Len returns the number of servers that have said that they are brittle.
func (t *Table) Len() int { return len(t.servers) }
