package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// movedDocument returns a desired state whose route /estado/ goes to the service.
func movedDocument(version int, service string) map[string]any {
	return documentOf(version, []any{
		routeOf("r-moved", "/estado/", "safe", service, 3000, 2),
		routeOf("r-old", "/antiguo/", "safe", "antiguo", 3000, 2),
		routeOf("r-new", "/nuevo/", "safe", "nuevo", 3000, 2),
	}, []any{serviceOf("antiguo", 110), serviceOf("nuevo", 110)})
}

// run is one run of a request at a server.
type run struct {
	service string
	at      time.Time
}

// staleHelper has a host that is partitioned from the servers pass a request on to a host that was suspended while the
// configuration changed.
func staleHelper(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	// The host in the zone of the partitioned one serves single requests, and the other one helps when there are many.
	f.entries()[2].zone = f.entries()[0].zone
	var mu sync.Mutex
	runs := map[string][]run{}
	for i := range 4 {
		if _, err := f.platform.addServer(i, []string{"antiguo", "nuevo"}[i/2], func(s *server, c net.Conn, r *request) bool {
			id := r.header.Get("Attempt-Id")
			mu.Lock()
			runs[id] = append(runs[id], run{s.service, time.Now()})
			mu.Unlock()
			if strings.HasPrefix(id, "asked-") {
				rec.logf("run     %s at %s (%s)", id, s.id, s.service)
			}
			time.Sleep(100 * time.Millisecond)
			return success(c, r, s.service)
		}); err != nil {
			return false, err
		}
	}
	if err := f.startAll(movedDocument(7, "antiguo")); err != nil {
		return false, err
	}
	entry, suspended := f.entries()[0], f.entries()[1]
	for range 3 {
		for _, h := range f.entries() {
			warm(h, "/antiguo/w", 56)
			warm(h, "/nuevo/w", 56)
		}
	}
	if trouble {
		f.cutOff(entry)
	}
	for range 20 { // the host finds out that it is partitioned
		warm(entry, "/estado/w", 2)
		time.Sleep(100 * time.Millisecond)
	}
	for _, h := range f.entries()[1:] {
		warm(h, "/antiguo/w", 4)
		warm(h, "/nuevo/w", 4)
	}
	if trouble {
		for range 3 { // both hosts have served relayed requests just now
			warm(entry, "/antiguo/w", 12)
		}
		rec.logf("%s is suspended", suspended.name)
		suspended.signal(syscall.SIGSTOP)
	}
	thaw := time.Now().Add(1400 * time.Millisecond)
	if err := f.replaceConfig(movedDocument(8, "nuevo"), 2*time.Second); err != nil {
		return false, err
	}
	acked := time.Now()
	sent := map[string]time.Time{}
	var callers sync.WaitGroup
	burst, inBurst := 0, 0
	for i := 0; time.Now().Before(thaw); i++ {
		// A few callers come one by one, and then more and more at once.
		if time.Since(acked) < calm {
			time.Sleep(50 * time.Millisecond)
		} else if inBurst--; inBurst <= 0 {
			burst = min(burst+burstStep, maxBurst)
			inBurst = burst
			time.Sleep(150 * time.Millisecond)
		}
		id := fmt.Sprintf("asked-%03d", i)
		sent[id] = time.Now()
		callers.Go(func() {
			c, err := dialHost(entry)
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "GET /estado/%s HTTP/1.1\r\nHost: fair.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: %s\r\n\r\n", id, id, apiKey)
			a, err := c.read(4 * time.Second)
			rec.logf("answer  %s: status %d from %q, %v", id, a.status, a.body, err)
		})
	}
	if trouble {
		rec.logf("%s goes on", suspended.name)
		suspended.signal(syscall.SIGCONT)
	}
	callers.Wait()
	return judgeStale(rec, sent, runs, acked), nil
}

// calm is how long callers come one by one after the ack, and burstStep by how many callers a burst is larger than the one
// before.
const (
	calm      = 650 * time.Millisecond
	burstStep = 5
	maxBurst  = 25
)

// rollbackSlack is rollback_slack_ms.
const rollbackSlack = 250 * time.Millisecond

// judgeStale checks that no request sent to the host more than rollback_slack_ms after a server saw the effect of the newer
// version was run by the service of the older one.
func judgeStale(rec *record, sent map[string]time.Time, runs map[string][]run, acked time.Time) bool {
	var effect time.Time
	for id := range sent {
		for _, r := range runs[id] {
			if r.service == "nuevo" && (effect.IsZero() || r.at.Before(effect)) {
				effect = r.at
			}
		}
	}
	rec.logf("effect of the newer version seen %d ms after its ack", effect.Sub(acked).Milliseconds())
	broken := false
	for id, at := range sent {
		for _, r := range runs[id] {
			if r.service == "antiguo" && !effect.IsZero() && at.Sub(effect) > rollbackSlack {
				broken = true
				rec.logf("%s, sent %d ms after the effect was seen and %d ms after the ack, was run by the service of the older version %d ms after the ack",
					id, at.Sub(effect).Milliseconds(), at.Sub(acked).Milliseconds(), r.at.Sub(acked).Milliseconds())
			}
		}
	}
	return broken
}
