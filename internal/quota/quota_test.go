package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// day plays entry hosts that report to a leader every 250 ms.
type day struct {
	seed  uint64
	hosts int
	// demand is what each host is asked for, in tokens per second.
	demand func(host int, at time.Duration) float64
	// size draws the tokens of a request.
	size func(r *rand.Rand) uint64
	// leaderless is a time without a leader; a new one follows.
	from, to time.Duration
	// cut hosts have no contact from the beginning of that time on.
	cut int
	// restarted hosts lose what they hold at its end.
	restarted bool
	// blind hosts tell nothing of what is asked, so that the rate is divided evenly.
	blind bool
}

const perSecond, burst = 30_000, 30_000

// play returns the tokens asked for and let through in each second.
func (d day) play(t *testing.T) (asked, passed []float64) {
	t.Helper()
	t.Log("seed ", d.seed)
	rng := rand.New(rand.NewPCG(d.seed, 1))
	start := time.Unix(1000, 0)
	rates := map[string]Rate{"red": {perSecond, burst}}
	leader := NewAllocator(start)
	leader.SetRates(rates)
	holders := make([]*Limiter, d.hosts)
	for i := range holders {
		holders[i] = NewLimiter()
	}
	asked, passed = make([]float64, 24), make([]float64, 24)
	changed := d.to == 0
	queues := make([]queue, d.hosts)
	for ms := range 24_000 {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		if at >= d.to && !changed {
			changed = true
			leader = NewAllocator(now)
			leader.SetRates(rates)
			for i := range holders {
				if d.restarted {
					holders[i] = NewLimiter()
				}
			}
		}
		for i, h := range holders {
			away := at >= d.from && at < d.to || i < d.cut && at >= d.from
			if queues[i].borrows(ms) && !away {
				queues[i].borrowed = ms
				h.ApplyGrants(leader.Grant(h.Demands(), now), now)
			}
			if ms%250 == i*7%250 && !away {
				uses := h.Report(now)
				if d.blind {
					uses = nil
				}
				h.Reported(true)
				h.ApplyAllocations(leader.Report(fmt.Sprint(i), uses, now), now, now)
			}
			passed[ms/1000] += queues[i].poll(now)
			size := d.size(rng)
			mean := 1100.0
			if rng.Float64() > d.demand(i, at)/mean/1000 {
				continue
			}
			asked[ms/1000] += float64(size)
			if ok, retry := h.Take("red", size, now); ok {
				passed[ms/1000] += float64(size)
			} else if retry <= patience {
				queues[i].list = append(queues[i].list, waiting{h.Wait("red", size), size, now.Add(patience)})
			}
		}
	}
	for _, q := range queues {
		for _, r := range q.list {
			asked[len(asked)-1] -= float64(r.size) // neither passed nor refused yet
		}
	}
	return asked, passed
}

// patience is how long a request waits for tokens: a third of an objective of
// 600 ms, as in package gateway.
const patience = 200 * time.Millisecond

// queue holds the requests of one host that wait for tokens.
type queue struct {
	list     []waiting
	borrowed int
}

type waiting struct {
	w    *Waiter
	size uint64
	ends time.Time
}

// borrows tells whether the host asks the leader for a loan, 25 ms apart.
func (q *queue) borrows(ms int) bool { return len(q.list) > 0 && ms-q.borrowed >= 25 }

// poll returns the tokens of the requests that pass now.
func (q *queue) poll(now time.Time) float64 {
	passed := 0.0
	q.list = slices.DeleteFunc(q.list, func(r waiting) bool {
		ok, retry := r.w.Try(now)
		if ok {
			passed += float64(r.size)
		}
		if ok || retry > patience || now.After(r.ends) {
			r.w.End()
			return true
		}
		return false
	})
	return passed
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// mixed draws mostly small requests and one in twenty of many times the size.
func mixed(r *rand.Rand) uint64 {
	if r.IntN(20) == 0 {
		return uint64(4_000 + r.IntN(8_000))
	}
	return uint64(200 + r.IntN(1_000))
}

func even(total float64, hosts int) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return total / float64(hosts) }
}

// Under several times the rate, the division over hosts must not leave a part of
// the rate unused, and must not pass the contract's bound in any window of 8 s.
func TestOverload(t *testing.T) {
	for seed := range uint64(5) {
		_, passed := day{seed: seed, hosts: 9, demand: even(120_000, 9), size: mixed}.play(t)
		must.Greater(t, 0.9*perSecond*20, sum(passed[2:22]))
		mustKeepBound(t, passed)
	}
}

func mustKeepBound(t *testing.T, passed []float64) {
	t.Helper()
	for from := range len(passed) - 7 {
		// A tenth more than rate and burst, and a slack of 110,000 tokens.
		must.LessEq(t, 1.1*(8*perSecond+burst)+110_000, sum(passed[from:from+8]), must.Sprint("from ", from, passed))
	}
}

// A team within its rate, most of whose requests reach a few hosts, must not be
// refused as an even division of its rate would refuse it.
func TestSkewedWithinRate(t *testing.T) {
	for seed := range uint64(5) {
		d := day{seed: seed, hosts: 9, size: mixed, demand: func(host int, _ time.Duration) float64 {
			if host < 2 {
				return 0.35 * 0.75 * perSecond
			}
			return 0.3 / 7 * 0.75 * perSecond
		}}
		asked, passed := d.play(t)
		refused := 1 - sum(passed)/sum(asked)
		d.blind = true
		asked, passed = d.play(t)
		must.Less(t, (1-sum(passed)/sum(asked))/3, refused)
	}
}

// While no host leads, the hosts go on, and a new leader must neither stop them
// nor give the whole rate to the hosts that it hears first.
func TestLeaderless(t *testing.T) {
	for seed := range uint64(5) {
		for _, cut := range []int{0, 2} {
			_, passed := day{
				seed: seed, hosts: 9, size: mixed, demand: even(90_000, 9), from: 6 * time.Second, to: 9 * time.Second, cut: cut,
			}.play(t)
			must.Greater(t, 0.5*perSecond*3, sum(passed[6:9]), must.Sprint(passed))
			must.Greater(t, 0.5*perSecond*3, sum(passed[9:12]), must.Sprint(passed))
			mustKeepBound(t, passed)
		}
	}
}

// After a restart of everything nobody holds a part, and the new leader must not
// wait for parts that do not exist.
func TestRestart(t *testing.T) {
	_, passed := day{
		seed: 1, hosts: 9, size: mixed, demand: even(90_000, 9), from: 6 * time.Second, to: 8 * time.Second, restarted: true,
	}.play(t)
	must.Greater(t, 0.5*perSecond*2, sum(passed[8:10]), must.Sprint(passed))
	mustKeepBound(t, passed)
}

// Large requests must not starve behind small ones that take each token as it
// comes.
func TestLargeRequestsInOverload(t *testing.T) {
	h := NewLimiter()
	now := time.Unix(1000, 0)
	h.ApplyAllocations([]Allocation{{Team: "red", PerSecond: 3_000, Burst: 3_000, Fraction: 0.1, Valid: time.Hour}}, now, now)
	large, small := 0, 0
	for i := range 100_000 {
		now = now.Add(time.Millisecond)
		if i%2 == 0 {
			if ok, _ := h.Take("red", 9_000, now); ok {
				large++
			}
			continue
		}
		if ok, _ := h.Take("red", 500, now); ok {
			small++
		}
	}
	must.Greater(t, 10, large)
	must.Positive(t, small)
}

// The parts of all hosts must never add up to more than the rate and the headroom,
// also while they move between hosts whose reports are lost now and then.
func TestPartsNeverAddUpToMore(t *testing.T) {
	for seed := range uint64(5) {
		t.Log("seed ", seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(1000, 0)
		leader := NewAllocator(now)
		leader.SetRates(map[string]Rate{"red": {perSecond, burst}})
		type held struct {
			fraction float64
			ends     time.Time
		}
		hosts := make([]held, 6)
		for range 4_000 {
			now = now.Add(10 * time.Millisecond)
			i := rng.IntN(len(hosts))
			if rng.IntN(4) != 0 || i == 0 && rng.IntN(20) != 0 {
				continue
			}
			h := &hosts[i]
			if !now.Before(h.ends) {
				h.fraction = 0
			}
			use := Usage{Team: "red", Asked: rng.Float64() * 50_000 * float64(rng.IntN(3)), Fraction: h.fraction}
			parts := leader.Report(fmt.Sprint(i), []Usage{use}, now)
			if rng.IntN(10) == 0 {
				continue // the answer is lost
			}
			for _, p := range parts {
				*h = held{p.Fraction, now.Add(p.Valid)}
			}
			total := 0.0
			for _, h := range hosts {
				if now.Before(h.ends) {
					total += h.fraction
				}
			}
			must.LessEq(t, 1+headroom+1e-6, total)
		}
	}
}

// After a restart of everything a host begins with a small part. When it grows, its
// burst must come with it, but not again and again while parts move.
func TestBurstComesWithGrowingPart(t *testing.T) {
	h := NewLimiter()
	now := time.Unix(1000, 0)
	part := func(f float64) []Allocation {
		return []Allocation{{Team: "red", PerSecond: f * perSecond, Burst: f * burst, Fraction: f, Valid: time.Hour}}
	}
	spend := func() float64 {
		sum := 0.0
		for {
			if ok, _ := h.Take("red", 100, now); !ok {
				return sum
			}
			sum += 100
		}
	}
	h.ApplyAllocations(part(0.1), now, now)
	must.Eq(t, 0.1*burst, spend())
	h.ApplyAllocations(part(0.3), now, now)
	must.Eq(t, 0.2*burst, spend())
	h.ApplyAllocations(part(0.1), now, now)
	h.ApplyAllocations(part(0.3), now, now)
	must.Eq(t, 0, spend())
	now = now.Add(time.Minute)
	spend()
	h.ApplyAllocations(part(0.9), now, now)
	must.Eq(t, 0, spend())
}

// mostRefused is the part of the requests of a team within its rate that may be
// refused: one in 500, which the contract allows for other wrong refusals.
const mostRefused = 1.0 / 500

// A team at half its rate must not be refused because its rate is divided: with a
// large request now and then a host's part is overdrawn for seconds, and with 70
// hosts a part is worth less than a request a second.
func TestWithinRate(t *testing.T) {
	for _, hosts := range []int{9, 70} {
		for seed := range uint64(3) {
			asked, passed := day{seed: seed, hosts: hosts, demand: even(perSecond/2, hosts), size: mixed}.play(t)
			refused := 1 - sum(passed[2:])/sum(asked[2:])
			must.LessEq(t, mostRefused, refused, must.Sprint(hosts, " hosts"))
		}
	}
}

// Tokens of the pool must be lent once, and only as far as they are there.
func TestPool(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewAllocator(now)
	d.SetRates(map[string]Rate{"red": {perSecond, burst}})
	d.Report("a", nil, now)
	now = now.Add(settle)
	ask := func(tokens ...float64) Grant { return d.Grant([]Demand{{Team: "red", Waiting: tokens}}, now)[0] }
	must.Eq(t, 8_000, ask(6_000, 2_000).Tokens)
	l := ask(4_000, 500)
	must.Eq(t, 4_000, l.Tokens, must.Sprint("the last request may overdraw the pool"))
	must.Eq(t, time.Second/3, l.Wait, must.Sprint("a debt of 3,000 at 9,000 a second"))
	must.Eq(t, 0, ask(100).Tokens)
	d.SetRates(nil)
	must.SliceEmpty(t, d.Grant([]Demand{{Team: "red", Waiting: []float64{1}}}, now))
	must.MapEmpty(t, d.pools)
}

// The pool of a new leader must be empty, as the earlier one may have lent it.
func TestPoolOfNewLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewAllocator(now)
	d.SetRates(map[string]Rate{"red": {perSecond, burst}})
	d.Report("a", []Usage{{Team: "red", Fraction: 0.5}}, now)
	want := []Demand{{Team: "red", Waiting: []float64{100}}}
	must.SliceEmpty(t, d.Grant(want, now))
	loans := d.Grant(want, now.Add(settle))
	must.Len(t, 1, loans)
	must.Eq(t, 0, loans[0].Tokens)
}

// Lent tokens must reach the request that waits, although the host's part is
// overdrawn, and must not be kept for others.
func TestLentTokensAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewLimiter()
	part := Allocation{Team: "red", PerSecond: 100, Burst: 100, Fraction: 0.1, Valid: time.Hour}
	h.ApplyAllocations([]Allocation{part}, now, now)
	ok, _ := h.Take("red", 5_000, now)
	must.True(t, ok)
	ok, _ = h.Take("red", 2_000, now)
	must.False(t, ok)
	w := h.Wait("red", 2_000)
	must.Eq(t, []Demand{{"red", []float64{2_000}}}, h.Demands())
	h.ApplyGrants([]Grant{{Team: "red", Tokens: 3_000}}, now)
	now = now.Add(time.Millisecond)
	ok, _ = w.Try(now)
	must.True(t, ok)
	w.End()
	must.SliceEmpty(t, h.Demands())
	w = h.Wait("red", 500)
	ok, _ = w.Try(now)
	must.False(t, ok)
}

// A caller that is refused must be told to come back when its host has worked off
// its debt, and not when the pool, for which others wait, may have a few tokens.
func TestComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewLimiter()
	h.ApplyAllocations([]Allocation{{Team: "red", PerSecond: 1_000, Burst: 100, Fraction: 0.1, Valid: time.Hour}}, now, now)
	ok, _ := h.Take("red", 800, now)
	must.True(t, ok)
	_, retry := h.Take("red", 100, now)
	must.Eq(t, leastRetry, retry, must.Sprint("the pool may have tokens at once"))
	must.Eq(t, 700*time.Millisecond, h.RetryAfter("red", now))
	must.Eq(t, mostRetry, h.RetryAfter("unknown", now))
}
