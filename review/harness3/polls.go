package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// crash ends a backend server with all its connections. It is back after a time at its address, as another lifetime.
func (b *backend) crash(down time.Duration, next string) { b.crashAs(down, next, "v1") }

// crashAs is crash with the version of the software of the next lifetime.
func (b *backend) crashAs(down time.Duration, next, build string) {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", b.address)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.before, b.shownUntil = state{b.id, b.build, b.born}, time.Now().Add(listLag)
		b.id, b.build, b.born = next, build, time.Now().UnixMilli()
		b.mu.Unlock()
		b.serve(l)
	})
}

// tally counts the requests of one kind.
type tally struct{ asked, served int }

func (t *tally) add(status int) {
	t.asked++
	if status == http.StatusOK {
		t.served++
	}
}

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// polls has callers look up the same status again and again, on a route that was added later, beside other requests, and has the
// servers of the service crash at once. All are back after 4 s.
func polls(rec *record, trouble bool) (result, error) {
	const (
		length = 60 * time.Second
		crash  = 5 * time.Second
		down   = 4 * time.Second
	)
	f, fronts, servers, err := formed(rec, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return result{}, err
	}
	doc := plainDocument(8)
	doc.Routes = append(doc.Routes, route{
		Name: "r-status", Host: callerHost, PathPrefix: "/status/", Kind: "safe", TimeoutMS: 3000, TargetLatencyMS: 600, Priority: 2, Service: plainName, MaxAttempts: 2,
	})
	if status := newOperator(f).put(doc, 10*time.Second); status != http.StatusOK {
		return result{}, fmt.Errorf("%w: the desired state got %d", errCannotRun, status)
	}
	time.Sleep(3 * time.Second)
	for _, b := range servers {
		b.setWork(60*time.Millisecond, 400*time.Millisecond)
	}
	var mu sync.Mutex
	kinds, late := map[string]*tally{"lookup": {}, "booking": {}}, map[string]*tally{"lookup": {}, "booking": {}}
	var wg sync.WaitGroup
	began := time.Now()
	send := func(kind, method, path, body string, every time.Duration) {
		for i := 0; time.Since(began) < length; i++ {
			at := time.Since(began)
			text := body
			if body != "" {
				text = fmt.Sprintf("%s %d", body, i)
			}
			wg.Go(func() {
				m := fronts[i%len(fronts)]
				status, answer := f.request(m, method, path, text, 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				kinds[kind].add(status)
				if at > crash+down+recoverIn {
					late[kind].add(status)
				}
				if status != http.StatusOK && (i%20 == 0 || at < crash+down+time.Second) {
					rec.printf("%s sent at %.1f s to %s: %d %.120s", kind, at.Seconds(), m.name, status, answer)
				}
			})
			time.Sleep(every)
		}
	}
	go func() {
		time.Sleep(crash)
		if trouble {
			rec.printf("the %d servers of the service crash", len(servers))
			for i, b := range servers {
				b.crash(down, fmt.Sprintf("i-%d-again", i+1))
			}
		}
	}()
	var senders sync.WaitGroup
	senders.Go(func() { send("lookup", http.MethodGet, "/status/x", "", 33*time.Millisecond) })
	senders.Go(func() { send("booking", http.MethodPost, "/unsafe/book", "booking", 33*time.Millisecond) })
	senders.Wait()
	wg.Wait()
	all := tally{kinds["lookup"].asked + kinds["booking"].asked, kinds["lookup"].served + kinds["booking"].served}
	return result{
		broken: late["lookup"].asked >= 20 && late["lookup"].share() < late["booking"].share()/4 && kinds["lookup"].share() < all.share()/4,
		what: fmt.Sprintf("lookups served: %d of %d, bookings: %d of %d; from %.0f s on, lookups: %d of %d, bookings: %d of %d",
			kinds["lookup"].served, kinds["lookup"].asked, kinds["booking"].served, kinds["booking"].asked, (crash + down + recoverIn).Seconds(),
			late["lookup"].served, late["lookup"].asked, late["booking"].served, late["booking"].asked),
	}, nil
}
