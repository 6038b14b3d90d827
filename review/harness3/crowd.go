package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// formed starts a small deployment with the backend servers and waits until it serves.
func formed(rec *record, servers int) (*fleet, []*machine, []*backend, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, nil, nil, err
	}
	var list []*backend
	for i := range servers {
		b, err := f.startBackend(fmt.Sprintf("i-%d", i+1), plainName, zones[i%3], 200+i)
		if err != nil {
			return f, nil, nil, err
		}
		list = append(list, b)
	}
	if err := f.startList(list...); err != nil {
		return f, nil, nil, err
	}
	var core []*machine
	for i, zone := range []string{zones[0], zones[0], zones[1], zones[1], zones[2]} {
		core = append(core, f.add(fmt.Sprintf("core-%s-%d", zone, i+1), "core", zone, 10+i))
	}
	fronts := []*machine{f.add("front-heredia-1", "front", zones[0], 30), f.add("front-cartago-1", "front", zones[1], 31)}
	f.setSeeds(core[0], core[2], core[4])
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return f, nil, nil, err
		}
	}
	if status := newOperator(f).put(plainDocument(7), 20*time.Second); status != http.StatusOK {
		return f, nil, nil, fmt.Errorf("%w: the desired state got %d", errCannotRun, status)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range fronts {
			if status, _ := f.request(m, http.MethodGet, "/safe/x", "", 2*time.Second); status == http.StatusOK && f.isReady(m) {
				ready++
			}
		}
		if ready == len(fronts) {
			return f, fronts, list, nil
		}
		if time.Now().After(end) {
			return f, nil, nil, fmt.Errorf("%w: the machines do not get ready", errCannotRun)
		}
	}
}

// anonymousMB returns the resident memory of a process that this one started, without the pages of its file.
func anonymousMB(m *machine) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

const (
	// crowdSize is below the number of callers' connections that a machine of the small deployments keeps.
	crowdSize = 2300
	// crowdHead is the size of a head, below max_header_bytes, and crowdBody that of a body, far below max_body_bytes.
	crowdHead = 15_800
	crowdBody = 20_000
	crowdTime = 20 * time.Second
)

// crowdHeadText returns a head of legal size with many short fields.
func crowdHeadText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 9000\r\nContent-Length: %d\r\n",
		callerHost, nextID(), callerKey, crowdBody)
	for i := 0; b.Len() < crowdHead; i++ {
		fmt.Fprintf(&b, "x-%x: 1\r\n", i)
	}
	b.WriteString("\r\n")
	return b.String()
}

// stall sends a request whose body stops one byte short of its end, and stays open. It comes again when it is closed.
func stall(address string, stop <-chan struct{}, open *atomic.Int64) {
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			open.Add(1)
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if _, err = c.Write([]byte(crowdHeadText())); err == nil {
				_, err = c.Write([]byte(strings.Repeat("y", crowdBody-1)))
			}
			if err == nil {
				done := make(chan struct{})
				go func() {
					select {
					case <-stop:
						_ = c.Close()
					case <-done:
					}
				}()
				_, _ = c.Read(make([]byte, 1024))
				close(done)
			}
			_ = c.Close()
			open.Add(-1)
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// heads has many callers send bodies of legal size that stop just short of their end, behind heads of legal size that have many
// short fields.
func heads(rec *record, trouble bool) (result, error) {
	f, fronts, _, err := formed(rec, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return result{}, err
	}
	target, stop := fronts[0], make(chan struct{})
	var open atomic.Int64
	var wg sync.WaitGroup
	rec.printf("each head has %d bytes, max_header_bytes is %d; each body has %d bytes, max_body_bytes is %d", len(crowdHeadText()),
		plainDocument(1).Limits.MaxHeaderBytes, crowdBody, plainDocument(1).Limits.MaxBodyBytes)
	if trouble {
		for range crowdSize {
			wg.Go(func() { stall(f.addr(target.ip, f.front), stop, &open) })
		}
	}
	worst, above, served, refused := 0, 0, 0, 0
	for began := time.Now(); time.Since(began) < crowdTime && target.running(); time.Sleep(500 * time.Millisecond) {
		mb := anonymousMB(target)
		worst = max(worst, mb)
		if mb > f.memoryMB {
			above++
		}
		status, text := f.request(target, http.MethodGet, "/safe/x", "", 3*time.Second)
		if status == http.StatusOK {
			served++
		} else {
			refused++
		}
		rec.printf("%d callers stay open; memory of %s: %d MB; an ordinary request gets %d %.60s", open.Load(), target.name, mb, status, text)
	}
	ended := !target.running()
	close(stop)
	wg.Wait()
	return result{broken: ended || above >= 2, what: fmt.Sprintf("memory up to %d MB, above the limit of %d MB at %d of the readings; the process ended: %v; %d ordinary requests served, %d not",
		worst, f.memoryMB, above, ended, served, refused)}, nil
}
