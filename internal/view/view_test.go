package view

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// freshness is the age from which a host refuses keyed routes, and the time in
// which an accepted configuration must be in force.
const freshness = 4 * time.Second

// host starts a view in the test's bubble.
func host(t *testing.T, sources ...Source) *View {
	v := New(Options{Cluster: "c", Host: "h", Sources: sources, Logger: zerolog.Nop()})
	go func() { _ = v.Run(t.Context()) }()
	return v
}

// checkFresh fails when a view claims to be newer than it is: everything
// accepted before now minus its age must be in it.
func checkFresh(t *testing.T, c *control, views ...*View) {
	t.Helper()
	for i, v := range views {
		age := v.Age(time.Now())
		asOf := time.Now().Add(-age)
		for revision, at := range c.times {
			if at.Before(asOf) {
				must.LessEq(t, v.Config().Revision, uint64(revision), must.Sprintf("view %d claims an age of %s", i, age))
			}
		}
	}
}

// watch checks the views every 50 ms, and that none goes back.
func watch(t *testing.T, c *control, d time.Duration, views ...*View) {
	t.Helper()
	last := make([]uint64, len(views))
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		checkFresh(t, c, views...)
		for i, v := range views {
			must.LessEq(t, v.Config().Revision, last[i], must.Sprint("a view went back"))
			last[i] = v.Config().Revision
		}
	}
}

func holdsKey(v *View) bool {
	_, ok := v.Config().KeyByHash(config.HashKey("secret"))
	return ok
}

// Whatever happens to the network, a withdrawn key must be gone within 4 s from
// every host that reaches a source, and any other host must know that its view
// is older than 4 s.
func TestWithdrawnKeyReachesHosts(t *testing.T) {
	silent := faults{cut: true}
	for name, row := range map[string]struct {
		links  []string // none means all
		faults faults
	}{
		"no fault":                {nil, faults{}},
		"first source silent":     {[]string{"h1-a", "h2-a"}, silent},
		"relay partitioned":       {[]string{"r-a", "r-b"}, silent},
		"relay and host cut":      {[]string{"r-a", "r-b", "h3-r", "h3-b"}, silent},
		"slow network":            {nil, faults{delay: 150 * time.Millisecond}},
		"a third of answers lost": {nil, faults{lose: 0.33}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed = 11
				t.Logf("seed %d", seed)
				c := newControl(t)
				a, b := NewServer("c", c), NewServer("c", c)
				links := map[string]*link{}
				to := func(name string, s Source) Source {
					links[name] = &link{to: s, random: rand.New(rand.NewPCG(seed, uint64(len(links))))}
					return links[name]
				}
				relay := host(t, to("r-a", a), to("r-b", b))
				rs := NewServer("c", relay)
				views := []*View{
					relay,
					host(t, to("h1-a", a), to("h1-b", b)),
					host(t, to("h2-a", a), to("h2-r", rs)),
					host(t, to("h3-r", rs), to("h3-b", b)),
				}
				watch(t, c, 5*time.Second, views...)
				for _, v := range views {
					must.True(t, holdsKey(v))
				}
				for name, l := range links {
					if row.links == nil || slices.Contains(row.links, name) {
						l.set(row.faults)
					}
				}
				c.put(t, &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "k"}})
				watch(t, c, freshness, views...)
				for i, v := range views {
					isolated := i == 0 && slices.Contains(row.links, "r-a") || i == 3 && slices.Contains(row.links, "h3-b")
					must.Eq(t, isolated, holdsKey(v), must.Sprintf("view %d", i))
					if isolated {
						must.GreaterEq(t, freshness, v.Age(time.Now()))
					}
				}
				for _, l := range links {
					l.set(faults{delay: row.faults.delay})
				}
				watch(t, c, freshness, views...)
				for i, v := range views {
					must.False(t, holdsKey(v))
					must.Less(t, freshness, v.Age(time.Now()), must.Sprintf("view %d has not recovered", i))
				}
			})
		})
	}
}

// Ages of relays must add up along a chain: a host behind relays that have lost
// the control hosts would otherwise serve withdrawn keys.
func TestRelayChainAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		first := &link{to: NewServer("c", c)}
		chain := []*View{host(t, first)}
		for range 3 {
			chain = append(chain, host(t, &link{to: NewServer("c", chain[len(chain)-1]), faults: faults{delay: 2 * time.Millisecond}}))
		}
		for i := range 40 {
			c.put(t, model(i))
			watch(t, c, 300*time.Millisecond, chain...)
			for i, v := range chain {
				// Each step adds one hold time and its network delays.
				bound := time.Duration(i+1) * (defaultHold + 20*time.Millisecond)
				must.LessEq(t, bound, v.Age(time.Now()), must.Sprintf("step %d of the chain", i))
			}
		}
		first.set(faults{cut: true})
		cut := time.Now()
		c.put(t, model(1000))
		watch(t, c, 6*time.Second, chain...)
		for _, v := range chain {
			must.GreaterEq(t, time.Since(cut), v.Age(time.Now()))
		}
		first.set(faults{})
		watch(t, c, freshness, chain...)
		for _, v := range chain {
			must.Eq(t, c.Config().Digest(), v.Config().Digest())
		}
	})
}

// A host hundreds of changes behind must catch up in one exchange; a host
// behind a damaged or gapped delta must repair itself from the whole.
func TestCatchUp(t *testing.T) {
	for name, row := range map[string]struct {
		behind int
		damage func(*apiv1.SyncResponse)
		delay  time.Duration
		op     func(int) *apiv1.Op
		full   bool
		most   int
	}{
		"500 behind":       {behind: 500, most: 1},
		"8 MB behind":      {behind: 30, op: largeAdapter, full: true, most: 1},
		"slow link":        {behind: 500, delay: 700 * time.Millisecond, most: 1},
		"10,000 behind":    {behind: 10_000, full: true, most: 1},
		"changed content":  {behind: 3, damage: func(r *apiv1.SyncResponse) { setName(r, 1, "wrong") }, full: true, most: 2},
		"missing change":   {behind: 3, damage: func(r *apiv1.SyncResponse) { dropChange(r) }, full: true, most: 2},
		"wrong digest":     {behind: 3, damage: func(r *apiv1.SyncResponse) { r.Digest[0]++ }, full: true, most: 2},
		"wrong at no news": {behind: 0, damage: func(r *apiv1.SyncResponse) { r.Digest[0]++ }, full: true, most: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newControl(t)
				l := &link{to: NewServer("c", c)}
				v := host(t, l)
				watch(t, c, time.Second, v)
				must.Eq(t, c.Config().Revision, v.Config().Revision)
				l.set(faults{cut: true})
				if row.op == nil {
					row.op = model
				}
				for i := range row.behind {
					c.put(t, row.op(i))
				}
				time.Sleep(3 * time.Second)
				damaged := 0
				l.take()
				l.set(faults{delay: row.delay, change: func(r *apiv1.SyncResponse) {
					if row.damage != nil && damaged == 0 {
						row.damage(r)
						damaged++
					}
				}})
				// An answer is at least as old as the way there and back.
				fresh := time.Second + 2*row.delay
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					if v.Age(time.Now()) <= fresh {
						break
					}
					checkFresh(t, c, v)
				}
				must.LessEq(t, fresh, v.Age(time.Now()))
				must.Eq(t, c.Config().Digest(), v.Config().Digest())
				answers := l.take()
				must.Len(t, row.most, answers)
				last := answers[len(answers)-1]
				must.Eq(t, row.full, last.GetFull() != nil)
				t.Logf("%d changes behind: %d bytes", row.behind, proto.Size(last))
			})
		})
	}
}

// largeAdapter is a change of about 280 KB.
func largeAdapter(i int) *apiv1.Op {
	a := &apiv1.Adapter{Name: "large", BaseModel: "base", DefaultVersion: "0"}
	for v := range 256 {
		a.Versions = append(a.Versions, &apiv1.AdapterVersion{Version: fmt.Sprint(v), Weights: strings.Repeat("w", 1000) + fmt.Sprint(i)})
	}
	return &apiv1.Op{Op: &apiv1.Op_PutAdapter{PutAdapter: a}}
}

func setName(r *apiv1.SyncResponse, i int, name string) {
	r.Changes[i].Ops[0].GetPutBaseModel().Name = name
}

func dropChange(r *apiv1.SyncResponse) { r.Changes = r.Changes[1:] }

// An age must never be understated, also when answers are under way while a
// change is accepted, or a source claims to have held a request for too long.
func TestAgeIsNotUnderstated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 5
		t.Logf("seed %d", seed)
		random := rand.New(rand.NewPCG(seed, 0))
		c := newControl(t)
		slow := faults{delay: 150 * time.Millisecond}
		first := &link{to: NewServer("c", c), faults: slow}
		relay := host(t, first)
		views := []*View{relay, host(t, &link{to: NewServer("c", relay), faults: slow})}
		for i := range 200 {
			time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			c.put(t, model(i))
			watch(t, c, 50*time.Millisecond, views...)
		}
		first.set(faults{change: func(r *apiv1.SyncResponse) { r.HeldMs += 60_000 }})
		watch(t, c, 2*time.Second, views...)
		first.set(faults{cut: true})
		time.Sleep(freshness)
		must.GreaterEq(t, freshness, relay.Age(time.Now()), must.Sprint("the claim of a source dates the view into the future"))
	})
}

// A host must return to its first source after a failover; otherwise one short
// fault of a relay would move its load to the control hosts for good.
func TestReturnToFirstSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		first, second := &link{to: NewServer("c", c), faults: faults{cut: true}}, &link{to: NewServer("c", c)}
		v := host(t, first, second)
		watch(t, c, 5*time.Second, v)
		must.SliceEmpty(t, first.take())
		first.set(faults{})
		watch(t, c, defaultReturn, v)
		second.take()
		watch(t, c, 2*time.Second, v)
		must.SliceNotEmpty(t, first.take())
		must.SliceEmpty(t, second.take())
	})
}

// The changes kept for other hosts must stay within their bound in bytes.
func TestRelayedIsBounded(t *testing.T) {
	var r relayed
	for i := range uint64(100) {
		r.add([]*apiv1.Change{{Number: i + 1, Ops: []*apiv1.Op{largeAdapter(int(i))}}}, i)
		must.LessEq(t, maxRelayedBytes, r.bytes)
	}
	_, ok := r.since(10, 100)
	must.False(t, ok)
	changes, ok := r.since(90, 100)
	must.True(t, ok)
	must.Len(t, 10, changes)
}

// A source that is behind must be skipped, even when it is the only one left:
// an accepted configuration never reverts.
func TestSourceBehindIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, c := newControl(t), newControl(t)
		c.put(t, model(1))
		behind, good := &link{to: NewServer("c", old)}, &link{to: NewServer("c", c)}
		v := host(t, behind, good)
		watch(t, c, 200*time.Millisecond, v)
		must.Eq(t, uint64(1), v.Config().Revision)
		behind.set(faults{cut: true})
		watch(t, c, 2*time.Second, v)
		must.Eq(t, uint64(2), v.Config().Revision)
		behind.set(faults{})
		good.set(faults{cut: true})
		behind.take()
		watch(t, c, 6*time.Second, v)
		must.Eq(t, uint64(2), v.Config().Revision)
		must.GreaterEq(t, freshness, v.Age(time.Now()), must.Sprint("a source that is behind refreshed the view"))
		asked := len(behind.take())
		must.Greater(t, 0, asked)
		must.Less(t, 60, asked, must.Sprint("the host asks without a pause"))
	})
}

// A wrong cluster must be refused by both ends, and a relay without a view
// must say so instead of serving an empty configuration.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		_, err := NewServer("other", c).Sync(t.Context(), &apiv1.SyncRequest{Cluster: "c"})
		must.True(t, fault.Is(err, fault.KindWrongCluster))
		empty := New(Options{Cluster: "c"})
		_, err = NewServer("c", empty).Sync(t.Context(), &apiv1.SyncRequest{Cluster: "c"})
		must.True(t, fault.Is(err, fault.KindUnavailable))
		must.True(t, fault.Is(empty.Run(t.Context()), fault.KindInvalidSetting))
		v := host(t, &link{to: NewServer("c", c), faults: faults{change: func(r *apiv1.SyncResponse) {
			if r.GetFull() != nil {
				r.Full.Cluster = "other"
			}
		}}})
		time.Sleep(time.Second)
		must.Eq(t, uint64(0), v.Config().Revision)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		must.True(t, errors.Is(New(Options{Sources: []Source{NewServer("c", c)}}).Run(ctx), context.Canceled))
	})
}

// Requests beyond the bound of held ones must be answered at once, and a host
// must then space its requests.
func TestHeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		s := NewServer("c", c)
		s.held.Store(maxHeld)
		l := &link{to: s}
		v := host(t, l)
		time.Sleep(5 * time.Second)
		must.Eq(t, uint64(1), v.Config().Revision)
		answers := len(l.take())
		must.Less(t, 25, answers, must.Sprint("the host asks without a pause"))
		must.Greater(t, 15, answers, must.Sprint("the requests were held"))
		s = NewServer("c", c)
		req := &apiv1.SyncRequest{Cluster: "c", Revision: 1, Digest: c.Config().Digest().Bytes(), MaxHoldMs: 1 << 30}
		resp, err := s.Sync(t.Context(), req)
		must.NoError(t, err)
		must.Eq(t, uint32(1000), resp.GetHeldMs())
		must.Eq(t, 0, s.Held())
	})
}
