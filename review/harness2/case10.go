package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partitionedHosts is the number of hosts of one zone, which all are partitioned from the servers. One host of another
	// zone is not.
	partitionedHosts = 3
	// bodiesPerHost is the number of callers that send large bodies to each host at the same time, and bodyRounds how often.
	bodiesPerHost = 13
	bodyRounds    = 3
)

// warm opens connections of a host to the servers by requests that run at the same time.
func warm(h *host, path string, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_ = askOnce(h, path, fmt.Sprintf("warm-%s-%d-%d", h.name, time.Now().UnixNano(), i))
		})
	}
	wg.Wait()
}

// relayedBodies has callers send large bodies to hosts that are partitioned from all servers.
func relayedBodies(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, partitionedHosts+1)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i, h := range f.entries() {
		h.zone = []string{"heredia", "cartago"}[i/partitionedHosts]
	}
	var work atomic.Int64
	work.Store(int64(100 * time.Millisecond))
	for i := range 3 {
		if _, err := f.platform.addServer(i, "registro", func(_ *server, c net.Conn, r *request) bool {
			time.Sleep(time.Duration(work.Load()))
			return success(c, r, "ok")
		}); err != nil {
			return false, err
		}
	}
	if err := f.startAll(plainDocument(7)); err != nil {
		return false, err
	}
	for range 3 {
		for _, h := range f.entries() {
			warm(h, "/estado/w", 60)
		}
	}
	zone := f.entries()[:partitionedHosts]
	if trouble {
		f.cutOff(zone...)
	}
	for range 20 { // the hosts find out that they are partitioned
		for _, h := range zone {
			warm(h, "/estado/w", 2)
		}
		time.Sleep(100 * time.Millisecond)
	}
	work.Store(int64(800 * time.Millisecond))
	var broken atomic.Bool
	endWatch := watchMemory(rec, f.entries(), &broken)
	body := strings.Repeat("b", maxBodyBytes)
	var mu sync.Mutex
	got := map[string]int{}
	var callers sync.WaitGroup
	for _, h := range f.entries() {
		rec.logf("%d callers of %s send %d bodies of %d bytes each (limit %d)", bodiesPerHost, h.name, bodyRounds, len(body), maxBodyBytes)
		for i := range bodiesPerHost {
			callers.Go(func() {
				for round := range bodyRounds {
					outcome := sendBody(h, fmt.Sprintf("big-%s-%d-%d", h.name, i, round), body)
					mu.Lock()
					got[h.name+" "+outcome]++
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	endWatch()
	for outcome, n := range got {
		rec.logf("callers with large bodies: %d times %s", n, outcome)
	}
	return broken.Load(), nil
}

// sendBody sends a request with a body and returns what came of it.
func sendBody(h *host, id, body string) string {
	c, err := dialHost(h)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /estado/x HTTP/1.1\r\nHost: fair.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, apiKey, len(body), body)
	a, err := c.read(4 * time.Second)
	if err != nil {
		return "closed without an answer"
	}
	return fmt.Sprintf("status %d", a.status)
}
