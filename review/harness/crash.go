package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	unsafePath = "/puxa403/"
	// harmfulPath is the path of the request that crashes servers.
	harmfulPath = plainPath + "c9"
	// harmfulEvery is the pause between two arrivals of the harmful request, harmfulCount how often it comes.
	harmfulEvery = 4 * time.Second
	harmfulCount = 14
	// soundEvery is the pause between two sound requests.
	soundEvery = 25 * time.Millisecond
)

// crashState returns a desired state with a safe and an unsafe route to one service.
func crashState() map[string]any {
	state := modelHeaderState(1, "xano55a", false)
	state["routes"] = append(state["routes"].([]any), map[string]any{
		"name": "r-9wqk118", "host": hostName, "path_prefix": unsafePath, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 600,
		"priority": 2, "max_attempts": 1, "public": false, "sticky": false, "resumable": false, "service": "xano55a",
	})
	return state
}

// caseSameIDCrash: one request crashes each server that runs it, and comes again. The servers start again under the ids that they had.
func caseSameIDCrash(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	harmful := func(path string) bool { return trouble && path == harmfulPath }
	servers := make([]*server, 2)
	for i := range servers {
		servers[i] = &server{
			id: fmt.Sprintf("i-40f425e%d", i), service: "xano55a", version: "v1", slots: 64, work: 300 * time.Millisecond, crashes: harmful,
			newIDs: os.Getenv("NEW_IDS") != "",
		}
		if err := f.addServer(40+i, 8080, servers[i]); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	if err := o.replace(ctx, crashState()); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	soundCtx, stopSound := context.WithCancel(ctx)
	defer stopSound()
	sound := f.soundTraffic(soundCtx)
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	attempts := map[string]bool{}
	for n := range harmfulCount {
		m := f.front[n%len(f.front)]
		attempt, status, _ := call{method: "GET", path: harmfulPath, key: keptKey}.send(ctx, f.rec, "harmful", m)
		attempts[attempt] = true
		f.rec.add("the harmful request comes to %s and is answered %d", m.name, status)
		if err := sleep(ctx, harmfulEvery); err != nil {
			return err
		}
	}
	stopSound()
	sound.wait()
	return f.judgeCrashes(servers, attempts, sound)
}

// judgeCrashes counts the retries of the harmful request that reached servers later than contact_ms after its third crash.
func (f *fleet) judgeCrashes(servers []*server, attempts map[string]bool, sound *soundCounts) error {
	var crashes []time.Time
	runs := 0
	for _, s := range servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashedAt...)
		s.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := map[string]bool{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			if !attempts[r.attempt] {
				continue
			}
			runs++
			if len(crashes) >= 3 && r.at.Sub(crashes[2]) > contact {
				late[r.attempt] = true
			}
		}
	}
	f.rec.add("the request came %d times, ran %d times and crashed servers %d times; %d of its retries reached servers later than contact_ms after the third crash",
		len(attempts), runs, len(crashes), len(late))
	f.rec.add("sound requests meanwhile: %s", sound)
	if len(late) > 3 {
		return errBroken
	}
	return nil
}

// soundCounts counts the answers to sound requests by kind and status.
type soundCounts struct {
	mu     sync.Mutex
	wg     sync.WaitGroup
	counts map[string]int
}

func (s *soundCounts) add(kind string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[fmt.Sprintf("%s %d", kind, status)]++
}

func (s *soundCounts) wait() { s.wg.Wait() }

func (s *soundCounts) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.TrimPrefix(fmt.Sprint(s.counts), "map")
}

// soundTraffic sends sound requests of the unsafe route to all front machines until the context ends.
func (f *fleet) soundTraffic(ctx context.Context) *soundCounts {
	s := &soundCounts{counts: map[string]int{}}
	s.wg.Go(func() {
		ticker := time.NewTicker(soundEvery)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s.wg.Go(func() {
				c := call{method: "POST", path: unsafePath + fmt.Sprintf("%x", n), key: keptKey, body: fmt.Sprintf("booking %d", n)}
				_, status, _ := c.send(context.WithoutCancel(ctx), f.rec, "sound", f.front[n%len(f.front)])
				s.add("unsafe", status)
			})
		}
	})
	return s
}
