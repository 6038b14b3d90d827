package origin

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxKept limits the copies that one entry host keeps, about 200 bytes each. Those that do not fit are not kept.
const maxKept = 100_000

// Kept holds copies of other hosts' records. It is safe for concurrent use.
type Kept struct {
	mu    sync.Mutex
	hosts map[Host]map[Key]Record
	size  int
}

// NewKept returns an empty store.
func NewKept() *Kept { return &Kept{hosts: map[Host]map[Key]Record{}} }

// Put keeps copies of a host's records.
func (k *Kept) Put(host Host, records []Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	of := k.hosts[host]
	if of == nil {
		of = map[Key]Record{}
		k.hosts[host] = of
	}
	for _, r := range records {
		if _, ok := of[r.Key]; !ok {
			if k.size >= maxKept {
				continue
			}
			k.size++
		}
		of[r.Key] = r
	}
}

// Hosts returns the hosts of which copies are kept, in order.
func (k *Kept) Hosts() []Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Host, 0, len(k.hosts))
	for host := range k.hosts {
		out = append(out, host)
	}
	slices.SortFunc(out, func(a, b Host) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Of returns the copies of a host's records that are still needed.
func (k *Kept) Of(host Host, now time.Time) []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []Record
	for _, r := range k.hosts[host] {
		if r.Until.After(now) {
			out = append(out, r)
		}
	}
	return out
}

// Prune drops the copies that are no longer needed.
func (k *Kept) Prune(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for host, of := range k.hosts {
		for key, r := range of {
			if !r.Until.After(now) {
				delete(of, key)
				k.size--
			}
		}
		if len(of) == 0 {
			delete(k.hosts, host)
		}
	}
}

// keepers is the number of hosts that keep copies of a host's records.
const keepers = 2

// Neighbor is another entry host.
type Neighbor struct{ Host, Address, Domain string }

// ChooseKeepers returns which of the neighbors keep a host's records: the first ones, of other failure domains than the
// host's and each other's where there are any.
func ChooseKeepers(neighbors []Neighbor, domain string) []Neighbor {
	var chosen []Neighbor
	used := map[string]bool{domain: true}
	for _, distinct := range []bool{true, false} {
		for _, n := range neighbors {
			if len(chosen) < keepers && !slices.Contains(chosen, n) && (!distinct || !used[n.Domain]) {
				chosen = append(chosen, n)
				used[n.Domain] = true
			}
		}
	}
	return chosen
}
