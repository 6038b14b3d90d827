package group

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// soakSeeds is the number of seeds of a normal run, and soakFirst the first seed.
// JASMINE_SOAK_SEEDS and JASMINE_SOAK_FIRST override them.
const (
	soakSeeds = 2
	soakFirst = 1
	// soakRounds is the number of faults injected for one seed.
	soakRounds = 8
)

func envInt(t *testing.T, name string, value int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return value
	}
	n, err := strconv.Atoi(text)
	must.NoError(t, err)
	return n
}

// soak injects faults into a group while changes are written to it.
type soak struct {
	*network
	rng *rand.Rand
	// addresses are the group's addresses, and added is the number of new hosts.
	addresses []string
	added     int

	mu sync.Mutex
	// proposed and acknowledged are the newest revisions that were proposed and
	// acknowledged.
	proposed, acknowledged uint64
	maxLeases              int
	stopped                bool
}

// writeRepeatedly proposes increasing revisions and records the largest number of
// leases that were held at once.
func (s *soak) writeRepeatedly() {
	for {
		s.network.mu.Lock()
		hosts := maps.Clone(s.hosts)
		s.network.mu.Unlock()
		var leader *controlHost
		held := 0
		for _, address := range slices.Sorted(maps.Keys(hosts)) {
			if hosts[address].Lease().Held {
				leader = hosts[address]
				held++
			}
		}
		s.mu.Lock()
		s.maxLeases = max(s.maxLeases, held)
		if s.stopped {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if leader != nil {
			s.writeTo(leader)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *soak) writeTo(leader *controlHost) {
	s.mu.Lock()
	s.proposed++
	revision := s.proposed
	s.mu.Unlock()
	if s.put(leader, revision) != nil {
		return // it may be committed already or later
	}
	s.mu.Lock()
	s.acknowledged = revision
	s.mu.Unlock()
}

// randomHosts returns n addresses in random order.
func (s *soak) randomHosts(n int) []string {
	list := slices.Clone(s.addresses)
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

func (s *soak) sleepRandomly(limit time.Duration) {
	time.Sleep(time.Duration(s.rng.Int64N(int64(limit))))
}

func (s *soak) restart(addresses []string, wiped bool) {
	for _, address := range addresses {
		s.kill(address)
		if wiped {
			s.wipe(address)
		}
	}
	s.sleepRandomly(1500 * time.Millisecond)
	for _, address := range addresses {
		s.sleepRandomly(300 * time.Millisecond)
		s.start(address, false)
	}
}

func (s *soak) isolate(addresses []string) {
	set := func(off bool) {
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		for _, address := range addresses {
			s.isolated[address] = off
		}
	}
	set(true)
	s.sleepRandomly(3 * time.Second)
	set(false)
}

// replace stops a host permanently and starts an empty one at a new address.
func (s *soak) replace() {
	removed := s.randomHosts(1)[0]
	s.kill(removed)
	s.sleepRandomly(time.Second)
	s.added++
	next := fmt.Sprint("new", s.added)
	s.start(next, false)
	s.addresses = append(slices.DeleteFunc(s.addresses, func(a string) bool { return a == removed }), next)
}

func (s *soak) injectFault() string {
	switch s.rng.IntN(6) {
	case 0:
		s.restart(s.randomHosts(1+s.rng.IntN(2)), false)
		return "restart"
	case 1:
		s.restart(s.randomHosts(1+s.rng.IntN(2)), true)
		return "wipe"
	case 2:
		s.isolate(s.randomHosts(1 + s.rng.IntN(2)))
		return "cut"
	case 3:
		s.restart(s.randomHosts(5), false)
		return "restart all"
	case 4:
		s.replace()
		return "replace"
	default:
		lost := s.randomHosts(2)
		s.restart(lost[:1], true)
		s.restart(lost, false)
		return "wipe, then restart"
	}
}

// check waits for the repair and checks that no acknowledged change is lost.
func (s *soak) check(history []string) {
	leader := s.leader(5)
	s.mu.Lock()
	acknowledged, leases := s.acknowledged, s.maxLeases
	s.mu.Unlock()
	got := leader.Machine().(*state.Machine).Document().GetRevision()
	must.GreaterEq(s.t, acknowledged, got, must.Sprint("an acknowledged change was lost after ", history))
	must.LessEq(s.t, 1, leases, must.Sprint("two hosts held a lease at once after ", history))
	// Further losses are tolerated only once the repair is complete.
	time.Sleep(4 * time.Second)
}

// Consecutive faults, each of which the group must tolerate, must not lose an
// acknowledged change, let two hosts hold leases at once, or leave the group without
// a leader or with fewer than five voters.
func TestSoak(t *testing.T) {
	first, seeds := envInt(t, "JASMINE_SOAK_FIRST", soakFirst), envInt(t, "JASMINE_SOAK_SEEDS", soakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFiveHosts(t, func(n *network) {
				s := &soak{
					network: n, rng: rand.New(rand.NewPCG(uint64(seed), 0x736f616b)),
					addresses: []string{"a", "b", "c", "d", "e"},
				}
				s.leader(5)
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.writeRepeatedly()
				}()
				var history []string
				for range soakRounds {
					history = append(history, s.injectFault())
					s.check(history)
				}
				s.mu.Lock()
				s.stopped = true
				s.mu.Unlock()
				<-done
				must.Positive(t, s.acknowledged)
			})
		})
	}
}
