package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a score that ignores one of its terms, and against the choice of an
// ineligible engine.
func TestChooseBetweenTwo(t *testing.T) {
	for name, c := range map[string]struct {
		req  Request
		a, b Candidate // a must be chosen
	}{
		"own requests":     {Request{}, Candidate{OwnInFlight: 1}, Candidate{OwnInFlight: 5}},
		"others' requests": {Request{}, Candidate{OthersInFlight: 1}, Candidate{OthersInFlight: 5}},
		"report":           {Request{}, Candidate{Running: 1}, Candidate{Running: 5}},
		"old report":       {Request{}, Candidate{Running: 8, ReportAge: time.Minute}, Candidate{Running: 5}},
		"engine queue":     {Request{}, Candidate{Running: 5}, Candidate{Running: 2, Queued: 3}},
		"full batch":       {Request{}, Candidate{OwnInFlight: 9, MaxBatch: 16}, Candidate{OwnInFlight: 8, MaxBatch: 7}},
		"failure domain":   {Request{FailureDomain: "x"}, Candidate{FailureDomain: "x"}, Candidate{FailureDomain: "y"}},
		"cached prefix":    {Request{PromptTokens: 100}, Candidate{PrefixTokens: 100, OwnInFlight: 2}, Candidate{OwnInFlight: 1}},
		"overloaded cache": {Request{PromptTokens: 100}, Candidate{OwnInFlight: 1}, Candidate{PrefixTokens: 100, OwnInFlight: 9}},
		"suspect":          {Request{Suspect: true}, Candidate{OwnInFlight: 9}, Candidate{Suspects: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c.a.Engine, c.b.Engine = "z", "b"
			d, ok := NewPlanner(1, Options{}).Choose(c.req, []Candidate{c.b, c.a})
			must.True(t, ok)
			must.Eq(t, "z", d.Engine)
		})
	}
	_, ok := NewPlanner(1, Options{}).Choose(Request{Suspect: true}, []Candidate{{Engine: "a", Suspects: 1}})
	must.False(t, ok)
	_, ok = NewPlanner(1, Options{}).Choose(Request{}, []Candidate{{Engine: "a", OwnInFlight: 6, MaxBatch: 4}})
	must.False(t, ok)
	_, ok = NewPlanner(1, Options{}).Choose(Request{}, nil)
	must.False(t, ok)
}

// Guards against hosts with the same outdated reports that all choose the same engine.
func TestStaleReportsDoNotHerd(t *testing.T) {
	counts := map[string]int{}
	for host := range 9 {
		p := NewPlanner(uint64(host), Options{})
		candidates := make([]Candidate, 12)
		for i := range candidates {
			candidates[i] = Candidate{Engine: fmt.Sprint("e", i), Running: 3 + i, ReportAge: 200 * time.Millisecond}
		}
		for range 10 {
			d, _ := p.Choose(Request{}, candidates)
			counts[d.Engine]++
			for i := range candidates {
				if candidates[i].Engine == d.Engine {
					candidates[i].OwnInFlight++
				}
			}
		}
	}
	for engine, n := range counts {
		must.LessEq(t, 90/4, n, must.Sprint(engine, " is chosen for more than a quarter of the requests"))
	}
}

// Guards against a prefix index that grows without limit, uses expired entries, mixes
// up adapters or retains the entries of a restarted engine.
func TestPrefixIndex(t *testing.T) {
	x := NewPrefixIndex(PrefixOptions{MaxEntries: 8, BlockBytes: 4, MaxAge: time.Minute})
	hashes := x.Hashes(nil, "m", []byte("aaaabbbbcccc"))
	x.Add("e1", hashes[:2], epoch)
	must.Eq(t, 2, x.CachedTokens("e1", hashes, epoch))
	must.Eq(t, 0, x.CachedTokens("e2", hashes, epoch))
	must.Eq(t, 0, x.CachedTokens("e1", x.Hashes(nil, "other", []byte("aaaabbbbcccc")), epoch))
	must.Eq(t, 1, x.CachedTokens("e1", x.Hashes(nil, "m", []byte("aaaaXXXXcccc")), epoch))
	must.Eq(t, 0, x.CachedTokens("e1", hashes, epoch.Add(2*time.Minute)))
	x.Forget("e1")
	must.Eq(t, 0, x.Len())
	for i := range 100 {
		x.Add("e1", []uint64{uint64(i)}, epoch)
	}
	must.Eq(t, 8, x.Len())
}

// BenchmarkChoose shows whether the cost of a decision grows with anything but the
// number of candidates. The adapter is ready on 1 engine in 100, but on at least 2 and
// at most 12.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 100, 1000} {
		for _, adapters := range []int{3000, 28_000} {
			b.Run(fmt.Sprintf("%d engines/%d adapters", engines, adapters), func(b *testing.B) {
				candidates := make([]Candidate, min(12, max(2, engines/100)))
				for i := range candidates {
					candidates[i] = Candidate{Engine: fmt.Sprint("e", i), Running: i, MaxBatch: 16}
				}
				x := NewPrefixIndex(PrefixOptions{})
				prompt := make([]byte, 4096)
				for a := range adapters {
					x.Add("e0", x.Hashes(nil, fmt.Sprint("adapter-", a), prompt[:512]), epoch)
				}
				p := NewPlanner(1, Options{})
				hashes := make([]uint64, 0, 32)
				b.ReportAllocs()
				for b.Loop() {
					hashes = x.Hashes(hashes[:0], "adapter-7", prompt)
					for i := range candidates {
						candidates[i].PrefixTokens = x.CachedTokens(candidates[i].Engine, hashes, epoch)
					}
					p.Choose(Request{PromptTokens: 1024}, candidates)
				}
			})
		}
	}
}
