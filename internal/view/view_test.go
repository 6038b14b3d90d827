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

// maxAge is the age beyond which a host refuses keyed routes, and the time within
// which an accepted configuration must be in force.
const maxAge = 4 * time.Second

// startView starts a view in the test's synctest bubble.
func startView(t *testing.T, sources ...Source) *View {
	v := New(Options{Cluster: "c", Host: "h", Sources: sources, Logger: zerolog.Nop()})
	go func() { _ = v.Run(t.Context()) }()
	return v
}

// checkFresh fails when a view understates its age: the view must contain every
// revision accepted before now minus its age.
func checkFresh(t *testing.T, c *control, views ...*View) {
	t.Helper()
	for i, v := range views {
		age := v.Age(time.Now())
		asOf := time.Now().Add(-age)
		for revision, at := range c.acceptedAt {
			if at.Before(asOf) {
				must.LessEq(t, v.Config().Revision, uint64(revision), must.Sprintf("view %d claims an age of %s", i, age))
			}
		}
	}
}

// checkFor runs checkFresh every 50 ms for the duration d, and checks that no
// view returns to an earlier revision.
func checkFor(t *testing.T, c *control, d time.Duration, views ...*View) {
	t.Helper()
	last := make([]uint64, len(views))
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		checkFresh(t, c, views...)
		for i, v := range views {
			must.LessEq(t, v.Config().Revision, last[i], must.Sprintf("view %d returned to an earlier revision", i))
			last[i] = v.Config().Revision
		}
	}
}

func hasKey(v *View) bool {
	_, ok := v.Config().KeyByHash(config.HashKey("secret"))
	return ok
}

// Under any network fault, every host that reaches a source must lose a withdrawn
// key within 4 s, and the view of any other host must report an age of more than
// 4 s.
func TestWithdrawnKeyReachesHosts(t *testing.T) {
	silent := faults{cut: true}
	for name, tc := range map[string]struct {
		links  []string // none means all
		faults faults
	}{
		"no fault":                  {nil, faults{}},
		"first source silent":       {[]string{"h1-a", "h2-a"}, silent},
		"relay partitioned":         {[]string{"r-a", "r-b"}, silent},
		"relay and host cut":        {[]string{"r-a", "r-b", "h3-r", "h3-b"}, silent},
		"slow network":              {nil, faults{delay: 150 * time.Millisecond}},
		"a third of responses lost": {nil, faults{lossRate: 0.33}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed = 11
				t.Logf("seed %d", seed)
				c := newControl(t)
				a, b := NewServer("c", c), NewServer("c", c)
				links := map[string]*link{}
				to := func(name string, s Source) Source {
					links[name] = &link{source: s, random: rand.New(rand.NewPCG(seed, uint64(len(links))))}
					return links[name]
				}
				relay := startView(t, to("r-a", a), to("r-b", b))
				rs := NewServer("c", relay)
				views := []*View{
					relay,
					startView(t, to("h1-a", a), to("h1-b", b)),
					startView(t, to("h2-a", a), to("h2-r", rs)),
					startView(t, to("h3-r", rs), to("h3-b", b)),
				}
				checkFor(t, c, 5*time.Second, views...)
				for _, v := range views {
					must.True(t, hasKey(v))
				}
				for name, l := range links {
					if tc.links == nil || slices.Contains(tc.links, name) {
						l.set(tc.faults)
					}
				}
				c.put(t, &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "k"}})
				checkFor(t, c, maxAge, views...)
				for i, v := range views {
					isolated := i == 0 && slices.Contains(tc.links, "r-a") || i == 3 && slices.Contains(tc.links, "h3-b")
					must.Eq(t, isolated, hasKey(v), must.Sprintf("view %d", i))
					if isolated {
						must.GreaterEq(t, maxAge, v.Age(time.Now()))
					}
				}
				for _, l := range links {
					l.set(faults{delay: tc.faults.delay})
				}
				checkFor(t, c, maxAge, views...)
				for i, v := range views {
					must.False(t, hasKey(v))
					must.Less(t, maxAge, v.Age(time.Now()), must.Sprintf("view %d has not recovered", i))
				}
			})
		})
	}
}

// The ages of relays must add up along a chain. Otherwise a host would serve
// withdrawn keys when a relay further up the chain has lost the control hosts.
func TestRelayChainAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		first := &link{source: NewServer("c", c)}
		chain := []*View{startView(t, first)}
		for range 3 {
			chain = append(chain, startView(t, &link{source: NewServer("c", chain[len(chain)-1]), faults: faults{delay: 2 * time.Millisecond}}))
		}
		for i := range 40 {
			c.put(t, model(i))
			checkFor(t, c, 300*time.Millisecond, chain...)
			for i, v := range chain {
				// Each step adds one hold time and its network delays.
				limit := time.Duration(i+1) * (defaultMaxHold + 20*time.Millisecond)
				must.LessEq(t, limit, v.Age(time.Now()), must.Sprintf("relay %d of the chain", i))
			}
		}
		first.set(faults{cut: true})
		cut := time.Now()
		c.put(t, model(1000))
		checkFor(t, c, 6*time.Second, chain...)
		for _, v := range chain {
			must.GreaterEq(t, time.Since(cut), v.Age(time.Now()))
		}
		first.set(faults{})
		checkFor(t, c, maxAge, chain...)
		for _, v := range chain {
			must.Eq(t, c.Config().Digest(), v.Config().Digest())
		}
	})
}

// A host that is hundreds of changes behind must catch up in one exchange. A host
// that gets a corrupt or incomplete delta must request the whole configuration.
func TestCatchUp(t *testing.T) {
	for name, tc := range map[string]struct {
		behind    int
		corrupt   func(*apiv1.SyncResponse)
		delay     time.Duration
		op        func(int) *apiv1.Op
		full      bool
		responses int
	}{
		"500 behind":              {behind: 500, responses: 1},
		"8 MB behind":             {behind: 30, op: largeAdapter, full: true, responses: 1},
		"slow link":               {behind: 500, delay: 700 * time.Millisecond, responses: 1},
		"10,000 behind":           {behind: 10_000, full: true, responses: 1},
		"changed content":         {behind: 3, corrupt: func(r *apiv1.SyncResponse) { setName(r, 1, "wrong") }, full: true, responses: 2},
		"missing change":          {behind: 3, corrupt: func(r *apiv1.SyncResponse) { dropChange(r) }, full: true, responses: 2},
		"wrong digest":            {behind: 3, corrupt: func(r *apiv1.SyncResponse) { r.Digest[0]++ }, full: true, responses: 2},
		"wrong digest, no change": {behind: 0, corrupt: func(r *apiv1.SyncResponse) { r.Digest[0]++ }, full: true, responses: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newControl(t)
				l := &link{source: NewServer("c", c)}
				v := startView(t, l)
				checkFor(t, c, time.Second, v)
				must.Eq(t, c.Config().Revision, v.Config().Revision)
				l.set(faults{cut: true})
				if tc.op == nil {
					tc.op = model
				}
				for i := range tc.behind {
					c.put(t, tc.op(i))
				}
				time.Sleep(3 * time.Second)
				damaged := 0
				l.takeResponses()
				l.set(faults{delay: tc.delay, modify: func(r *apiv1.SyncResponse) {
					if tc.corrupt != nil && damaged == 0 {
						tc.corrupt(r)
						damaged++
					}
				}})
				// The age is at least the round-trip time.
				fresh := time.Second + 2*tc.delay
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					if v.Age(time.Now()) <= fresh {
						break
					}
					checkFresh(t, c, v)
				}
				must.LessEq(t, fresh, v.Age(time.Now()))
				must.Eq(t, c.Config().Digest(), v.Config().Digest())
				responses := l.takeResponses()
				must.Len(t, tc.responses, responses)
				last := responses[len(responses)-1]
				must.Eq(t, tc.full, last.GetFull() != nil)
				t.Logf("%d changes behind: %d bytes", tc.behind, proto.Size(last))
			})
		})
	}
}

// largeAdapter returns a change of about 280 KB.
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

// A view must never understate its age, also when a change is accepted while a
// response is in transit, or when a source reports a hold time longer than the
// exchange.
func TestAgeIsNotUnderstated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 5
		t.Logf("seed %d", seed)
		random := rand.New(rand.NewPCG(seed, 0))
		c := newControl(t)
		slow := faults{delay: 150 * time.Millisecond}
		first := &link{source: NewServer("c", c), faults: slow}
		relay := startView(t, first)
		views := []*View{relay, startView(t, &link{source: NewServer("c", relay), faults: slow})}
		for i := range 200 {
			time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			c.put(t, model(i))
			checkFor(t, c, 50*time.Millisecond, views...)
		}
		first.set(faults{modify: func(r *apiv1.SyncResponse) { r.HeldMs += 60_000 }})
		checkFor(t, c, 2*time.Second, views...)
		first.set(faults{cut: true})
		time.Sleep(maxAge)
		must.GreaterEq(t, maxAge, relay.Age(time.Now()), must.Sprint("a source's excessive hold time put the view's time into the future"))
	})
}

// A host must return to its first source after a failover. Otherwise one short
// fault of a relay would permanently move its load to the control hosts.
func TestReturnToFirstSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		first, second := &link{source: NewServer("c", c), faults: faults{cut: true}}, &link{source: NewServer("c", c)}
		v := startView(t, first, second)
		checkFor(t, c, 5*time.Second, v)
		must.SliceEmpty(t, first.takeResponses())
		first.set(faults{})
		checkFor(t, c, defaultReturnAfter, v)
		second.takeResponses()
		checkFor(t, c, 2*time.Second, v)
		must.SliceNotEmpty(t, first.takeResponses())
		must.SliceEmpty(t, second.takeResponses())
	})
}

// The changes stored for other hosts must stay within their limit in bytes.
func TestRecentChangesAreBounded(t *testing.T) {
	var r recentChanges
	for i := range uint64(100) {
		r.add([]*apiv1.Change{{Number: i + 1, Ops: []*apiv1.Op{largeAdapter(int(i))}}}, i)
		must.LessEq(t, maxRecentBytes, r.bytes)
	}
	_, ok := r.since(10, 100)
	must.False(t, ok)
	changes, ok := r.since(90, 100)
	must.True(t, ok)
	must.Len(t, 10, changes)
}

// A source that is behind must be skipped, even when it is the only one that
// responds: a view must never return to an earlier configuration.
func TestSourceBehindIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, c := newControl(t), newControl(t)
		c.put(t, model(1))
		behind, good := &link{source: NewServer("c", old)}, &link{source: NewServer("c", c)}
		v := startView(t, behind, good)
		checkFor(t, c, 200*time.Millisecond, v)
		must.Eq(t, uint64(1), v.Config().Revision)
		behind.set(faults{cut: true})
		checkFor(t, c, 2*time.Second, v)
		must.Eq(t, uint64(2), v.Config().Revision)
		behind.set(faults{})
		good.set(faults{cut: true})
		behind.takeResponses()
		checkFor(t, c, 6*time.Second, v)
		must.Eq(t, uint64(2), v.Config().Revision)
		must.GreaterEq(t, maxAge, v.Age(time.Now()), must.Sprint("a source that is behind lowered the view's age"))
		requests := len(behind.takeResponses())
		must.Greater(t, 0, requests)
		must.Less(t, 60, requests, must.Sprint("the host sends requests without a pause"))
	})
}

// Server and View must both refuse another cluster, and a relay without a
// configuration must return an error instead of an empty configuration.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		_, err := NewServer("other", c).Sync(t.Context(), &apiv1.SyncRequest{Cluster: "c"})
		must.True(t, fault.Is(err, fault.KindWrongCluster))
		empty := New(Options{Cluster: "c"})
		_, err = NewServer("c", empty).Sync(t.Context(), &apiv1.SyncRequest{Cluster: "c"})
		must.True(t, fault.Is(err, fault.KindUnavailable))
		must.True(t, fault.Is(empty.Run(t.Context()), fault.KindInvalidSetting))
		v := startView(t, &link{source: NewServer("c", c), faults: faults{modify: func(r *apiv1.SyncResponse) {
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

// Requests beyond the limit of held requests must get an immediate response, and
// a host must then space its requests.
func TestHeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		s := NewServer("c", c)
		s.held.Store(maxHeld)
		l := &link{source: s}
		v := startView(t, l)
		time.Sleep(5 * time.Second)
		must.Eq(t, uint64(1), v.Config().Revision)
		responses := len(l.takeResponses())
		must.Less(t, 25, responses, must.Sprint("the host sends requests without a pause"))
		must.Greater(t, 15, responses, must.Sprint("the requests were held"))
		s = NewServer("c", c)
		req := &apiv1.SyncRequest{Cluster: "c", Revision: 1, Digest: c.Config().Digest().Bytes(), MaxHoldMs: 1 << 30}
		resp, err := s.Sync(t.Context(), req)
		must.NoError(t, err)
		must.Eq(t, uint32(1000), resp.GetHeldMs())
		must.Eq(t, 0, s.HeldRequests())
	})
}
