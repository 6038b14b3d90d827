package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// usageFleet is a leader of 112 engines with reports of all hosts.
type usageFleet struct {
	c     *Coordinator
	hosts int
	next  int
}

const usageEngines = 112

func newUsageFleet(hosts int) *usageFleet {
	log := &fakeLog{machine: state.New(), term: 1, leading: true, silent: map[string]time.Duration{}}
	c := New(Options{Log: log, Decode: decode, Self: "self", Logger: zerolog.Nop(), Meter: meter.NewSet(""), Now: time.Now})
	l := newLeader(context.Background(), c, replica.Lease{Term: 1})
	c.leader, l.listed = l, true
	var list []residency.ListedEngine
	for i := range usageEngines {
		list = append(list, residency.ListedEngine{Instance: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Slots: 12})
	}
	l.table.ObserveList(list, time.Now())
	f := &usageFleet{c: c, hosts: hosts}
	for range hosts {
		f.exchange()
	}
	return f
}

// exchange sends the report of the next host.
func (f *usageFleet) exchange() *apiv1.ExchangeResponse {
	host := f.next % f.hosts
	f.next++
	req := &apiv1.ExchangeRequest{Host: fmt.Sprint("h", host), Term: 1, FleetEpoch: f.c.leader.table.Epoch()}
	for k := range 12 {
		req.Loads = append(req.Loads, hostLoad(fmt.Sprint("e", (host*12+k)%usageEngines), 2))
	}
	resp, err := f.c.Exchange(context.Background(), req)
	if err != nil {
		panic(err)
	}
	return resp
}

func hostLoad(instance string, inFlight int) *apiv1.HostLoad {
	return &apiv1.HostLoad{
		Instance: instance, InFlight: uint32(inFlight), PendingTokens: uint32(100 * inFlight),
		Adapters: []*apiv1.AdapterUse{{Model: "m", Adapter: fmt.Sprint("a", inFlight%3), InFlight: uint32(inFlight)}},
	}
}

// The cost of an exchange must not grow with the number of hosts, which multiplied by the
// exchanges of all hosts takes the leader's processor.
func TestExchangeCostIndependentOfHosts(t *testing.T) {
	cost := func(hosts int) uint64 {
		f := newUsageFleet(hosts)
		before := f.c.leader.hosts.examined
		f.exchange()
		return f.c.leader.hosts.examined - before
	}
	few, many := cost(10), cost(80)
	t.Log("loads examined in an exchange: ", few, " with 10 hosts, ", many, " with 80")
	must.LessEq(t, few, many)
}

// The totals must be the sums of the current reports, also when hosts report the same
// server twice, report nothing or are removed.
func TestUsageTotals(t *testing.T) {
	const seed = 7
	t.Log("seed ", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	u := newHostUsage()
	now := time.Unix(1000, 0)
	for range 2000 {
		host := fmt.Sprint("h", rng.IntN(6))
		if rng.IntN(5) == 0 {
			u.remove(host)
			continue
		}
		var loads []*apiv1.HostLoad
		for range rng.IntN(5) {
			loads = append(loads, hostLoad(fmt.Sprint("e", rng.IntN(4)), rng.IntN(5)))
		}
		u.record(host, loads, now)
		for i := range 4 {
			must.Eq(t, sumOfReports(u, fmt.Sprint("e", i)), u.total(fmt.Sprint("e", i)))
		}
	}
}

func sumOfReports(u *hostUsage, instance string) residency.EngineUsage {
	sum := residency.EngineUsage{}
	for _, report := range u.reports {
		load := report.loads[instance]
		sum.InFlight += int(load.GetInFlight())
		sum.PendingTokens += int(load.GetPendingTokens())
		for _, a := range load.GetAdapters() {
			if a.GetInFlight() == 0 {
				continue
			}
			if sum.Adapters == nil {
				sum.Adapters = map[residency.Ref]int{}
			}
			sum.Adapters[residency.Ref{Model: a.GetModel(), Adapter: a.GetAdapter()}] += int(a.GetInFlight())
		}
	}
	return sum
}

func BenchmarkExchange(b *testing.B) {
	for _, hosts := range []int{10, 80} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			f := newUsageFleet(hosts)
			for b.Loop() {
				f.exchange()
			}
		})
	}
}
