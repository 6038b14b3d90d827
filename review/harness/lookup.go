package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// lookupPath is what all callers of a tenant ask for.
	lookupPath  = plainPath + "status"
	lookupEvery = 30 * time.Millisecond
	// judged is the number of requests on each route that are judged, judgedEvery the pause between two.
	judged      = 100
	judgedEvery = 50 * time.Millisecond
)

// lookupState returns a desired state with an unsafe route, and with a later one that is safe.
func lookupState(version int, later bool) map[string]any {
	state := crashState()
	state["version"] = version
	routes := state["routes"].([]any)
	safe := routes[1]
	state["routes"] = []any{routes[0], routes[2]}
	if later {
		state["routes"] = append(state["routes"].([]any), safe)
	}
	return state
}

// lookup counts the answers to requests on one route.
type lookup struct {
	mu     sync.Mutex
	counts map[int]int
}

func (l *lookup) add(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[status]++
}

// caseLookup: many callers ask for the same thing, by a safe request. Three servers of the service crash, one after the other, and are
// back after some seconds.
func caseLookup(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	servers := make([]*server, 3)
	for i := range servers {
		servers[i] = &server{
			id: fmt.Sprintf("i-40f425e%d", i), service: "xano55a", version: "v1", slots: 64, work: 100 * time.Millisecond, newIDs: true,
		}
		if err := f.addServer(40+i, 8080, servers[i]); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	if err := o.replace(ctx, lookupState(1, false)); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	if err := o.replace(ctx, lookupState(3, true)); err != nil {
		return err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	sound := f.soundTraffic(trafficCtx)
	lookups := &lookup{counts: map[int]int{}}
	var wg sync.WaitGroup
	wg.Go(func() { f.repeat(trafficCtx, lookupEvery, -1, func(n int) { f.lookUp(ctx, n, lookups) }) })
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	f.rec.add("before the crashes: %v on the later route", lookups)
	for _, s := range servers {
		if trouble {
			go s.crash("what it ran")
		}
		if err := sleep(ctx, downTime+contact); err != nil {
			return err
		}
	}
	stop()
	wg.Wait()
	sound.wait()
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	if os.Getenv("RESTART") != "" {
		f.rec.add("all processes of the system are killed")
		for _, m := range append(append([]*machine{}, f.cores...), f.front...) {
			m.signal(syscall.SIGKILL)
		}
		if err := sleep(ctx, restartDelay+2*contact); err != nil {
			return err
		}
		if err := f.awaitReady(ctx, f.front...); err != nil {
			return err
		}
	}
	f.rec.add("all servers are back, and for %v nothing was disturbed: steady state", 2*contact+contact)
	first, later := &lookup{counts: map[int]int{}}, &lookup{counts: map[int]int{}}
	f.repeat(ctx, judgedEvery, judged, func(n int) {
		c := call{method: "POST", path: unsafePath + fmt.Sprintf("j%x", n), key: keptKey, body: fmt.Sprintf("booking %d", n)}
		_, status, _ := c.send(ctx, f.rec, "first", f.front[n%len(f.front)])
		first.add(status)
		f.lookUp(ctx, n, later)
	})
	f.rec.add("of %d requests on the first route: %v; of %d on the route that was added later: %v", judged, first, judged, later)
	if first.counts[200] == 0 {
		return fmt.Errorf("nothing is served on the first route")
	}
	if float64(later.counts[200]) < float64(first.counts[200])/4 {
		return errBroken
	}
	return nil
}

func (l *lookup) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.counts)[3:]
}

func (f *fleet) lookUp(ctx context.Context, n int, l *lookup) {
	_, status, _ := call{method: "GET", path: lookupPath, key: keptKey}.send(context.WithoutCancel(ctx), f.rec, "lookup", f.front[n%len(f.front)])
	l.add(status)
}

// repeat calls do in its own goroutine again and again, count times or, if that is negative, until the context ends. It returns when all
// calls have.
func (f *fleet) repeat(ctx context.Context, every time.Duration, count int, do func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; n != count; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wg.Go(func() { do(n) })
	}
}
