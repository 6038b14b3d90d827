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
	// troubledServers is the number of servers of the service in trouble; all of them send heads without end.
	troubledServers = 9
	// askInterval is the time between two requests to that service at one host: two hosts then get what the site file's
	// zones send together.
	askInterval = 8 * time.Millisecond
	// The trouble comes troubles times, for troubleTime each, with calmTime behind it; restartDelay is the time after which the
	// platform starts a process that ended.
	troubles     = 4
	troubleTime  = 6 * time.Second
	calmTime     = 5 * time.Second
	restartDelay = 500 * time.Millisecond
	// endsOfFault and machinesOfFault are the bounds of the rule.
	endsOfFault     = 3
	machinesOfFault = 2
	// burstBytes are sent of an endless head at once, then one line at a time.
	burstBytes = 56 << 10
)

// endlessHeads has the servers of one service send heads without end, while another service is sound.
func endlessHeads(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	var inTrouble atomic.Bool
	var lines strings.Builder
	for i := 0; lines.Len() < burstBytes; i++ {
		fmt.Fprintf(&lines, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26)
	}
	for i := range troubledServers {
		if _, err := f.platform.addServer(i, "asistente", func(_ *server, c net.Conn, r *request) bool {
			if inTrouble.Load() {
				return sendEndlessHead(c, lines.String())
			}
			time.Sleep(20 * time.Millisecond)
			return success(c, r, "ok")
		}); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := f.platform.addServer(troubledServers+i, "registro", func(_ *server, c net.Conn, r *request) bool {
			time.Sleep(20 * time.Millisecond)
			return success(c, r, "ok")
		}); err != nil {
			return false, err
		}
	}
	document := documentOf(7, []any{
		routeOf("r-ask", "/consulta/", "unsafe", "asistente", 6000, 1),
		routeOf("r-unsafe", "/reserva/", "unsafe", "registro", 3000, 1),
	}, []any{serviceOf("asistente", 370), serviceOf("registro", 110)})
	if err := f.startAll(document); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ends := map[string]int{}
	endWatch := watchEnds(rec, f.entries(), func(h *host) {
		mu.Lock()
		ends[h.name]++
		mu.Unlock()
		time.Sleep(restartDelay)
		if err := f.start(h, false); err != nil {
			rec.logf("%s: %v", h.name, err)
		}
	})
	var endOrdinary []func()
	for _, h := range f.entries() {
		endOrdinary = append(endOrdinary, ordinaryCallers(rec, h, "/reserva/x"))
	}
	var callers sync.WaitGroup
	got := map[string]int{}
	began := time.Now()
	for i := 0; time.Since(began) < troubles*(troubleTime+calmTime); i++ {
		if now := trouble && time.Since(began)%(troubleTime+calmTime) < troubleTime; inTrouble.Swap(now) != now {
			rec.logf("all %d servers of the service asistente send heads without end: %v", troubledServers, now)
		}
		for _, h := range f.entries() {
			callers.Go(func() {
				outcome := askOnce(h, "/consulta/x", fmt.Sprintf("asked-%s-%d", h.name, i))
				mu.Lock()
				defer mu.Unlock()
				got[outcome]++
			})
		}
		time.Sleep(askInterval)
	}
	callers.Wait()
	for _, end := range endOrdinary {
		end()
	}
	endWatch()
	for outcome, n := range got {
		rec.logf("callers of the service asistente: %d times %s", n, outcome)
	}
	machines := 0
	for name, n := range ends {
		rec.logf("the process of %s ended %d times", name, n)
		if n >= endsOfFault {
			machines++
		}
	}
	return machines >= machinesOfFault, nil
}

// sendEndlessHead sends a head until the caller closes.
func sendEndlessHead(c net.Conn, lines string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s", lines)
	for i := 0; err == nil; i++ {
		time.Sleep(200 * time.Millisecond)
		_, err = fmt.Fprintf(c, "G%06d:\r\n", i)
	}
	return false
}
