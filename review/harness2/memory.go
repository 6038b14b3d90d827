package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// watchMemory has the platform kill a process that uses more than the memory of its machine. The returned function ends the
// watch.
func watchMemory(rec *record, hosts []*host, broken *atomic.Bool) (end func()) {
	return watchEnds(rec, hosts, func(*host) { broken.Store(true) })
}

// watchEnds is watchMemory with a function that is called after each end.
func watchEnds(rec *record, hosts []*host, ended func(*host)) (end func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			most := 0.0
			for {
				select {
				case <-stop:
					rec.logf("most memory of %s: %.0f MB of %d MB", h.name, most, h.memoryMB)
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := residentMB(h.pid())
				most = max(most, mb)
				if mb > float64(h.memoryMB) && h.running() {
					rec.logf("%s uses %.0f MB, its machine has %d MB: the platform kills it", h.name, mb, h.memoryMB)
					h.signal(syscall.SIGKILL)
					<-h.ended
					ended(h)
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// ordinaryCallers has a few callers send small requests to a host. The returned function ends them and records what they got.
func ordinaryCallers(rec *record, h *host, path string) (end func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[string]int{}
	for i := range 5 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				outcome := askOnce(h, path, fmt.Sprintf("ordinary-%d-%d", i, n))
				mu.Lock()
				got[outcome]++
				mu.Unlock()
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
		for outcome, n := range got {
			rec.logf("ordinary callers of %s: %d times %s", h.name, n, outcome)
		}
	}
}

// askOnce sends a small request and returns what came of it.
func askOnce(h *host, path, id string) string {
	c, err := dialHost(h)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: fair.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: %s\r\nContent-Length: 2\r\n\r\nhi", path, id, apiKey)
	a, err := c.read(4 * time.Second)
	if err != nil {
		return "closed without an answer"
	}
	return fmt.Sprintf("status %d", a.status)
}
