package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is max_body_bytes of the desired state.
	bodyBytes = 4 << 20
	// usualCallers send bodies of that size to one front machine all the while; while many users come at once, they are burstFactor
	// times as many.
	usualCallers = 36
	burstFactor  = 2.4
	burstTime    = 4500 * time.Millisecond
	bodyTime     = 12 * time.Second
	bodyWork     = 1500 * time.Millisecond
)

// memory returns the resident memory of a process that this test started, in MB.
func (m *machine) memory() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the process of a machine that uses more than its memory, as the platform does, until the context ends.
func (f *fleet) limitMemory(ctx context.Context, m *machine) (peak, kills *atomic.Int64) {
	peak, kills = &atomic.Int64{}, &atomic.Int64{}
	go func() {
		for sleep(ctx, 10*time.Millisecond) == nil {
			mb := m.memory()
			peak.Store(max(peak.Load(), int64(mb)))
			if mb > m.memoryMB() {
				f.rec.add("platform: %s uses %d MB of its %d MB and is killed", m.name, mb, m.memoryMB())
				m.signal(syscall.SIGKILL)
				kills.Add(1)
				_ = sleep(ctx, restartDelay+time.Second)
			}
		}
	}()
	return peak, kills
}

// caseBodies: many callers send bodies of the largest allowed size to one front machine at once.
func caseBodies(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	servers := make([]*server, 3)
	for i := range servers {
		servers[i] = &server{id: fmt.Sprintf("i-40f425e%d", i), service: "xano55a", version: "v1", slots: 64, work: bodyWork}
		if err := f.addServer(40+i, 8080, servers[i]); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	state := crashState()
	state["routes"].([]any)[2].(map[string]any)["timeout_ms"] = 6000
	if err := o.replace(ctx, state); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	m := f.front[0]
	memCtx, stop := context.WithCancel(ctx)
	defer stop()
	peak, kills := f.limitMemory(memCtx, m)
	b := &bodies{f: f, m: m, body: strings.Repeat("x", bodyBytes), counts: map[string]int{}}
	until := time.Now().Add(bodyTime)
	for i := range usualCallers {
		b.wg.Go(func() { b.caller(ctx, fmt.Sprintf("u%d", i), until) })
	}
	if trouble {
		if err := sleep(ctx, 4*time.Second); err != nil {
			return err
		}
		factor := burstFactor
		n := int(usualCallers*factor) - usualCallers
		f.rec.add("disruption: %d more callers come for %v", n, burstTime)
		end := time.Now().Add(burstTime)
		for i := range n {
			b.wg.Go(func() { b.caller(ctx, fmt.Sprintf("b%d", i), end) })
		}
	}
	b.wg.Wait()
	ran := map[string]bool{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			ran[r.attempt] = true
		}
	}
	cut := 0
	for _, attempt := range b.cut {
		if ran[attempt] {
			cut++
		}
	}
	f.rec.add("%s: peak %d MB, killed %d times; requests: %v; %d requests of kept channels were passed on to a sound server and their channel closed without an answer",
		m.name, peak.Load(), kills.Load(), b.counts, cut)
	if cut > 3 {
		return errBroken
	}
	return nil
}

// bodies counts what the callers see.
type bodies struct {
	f    *fleet
	m    *machine
	body string

	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
	cut    []string
}

// caller sends requests on a kept channel, one after the other.
func (b *bodies) caller(ctx context.Context, name string, until time.Time) {
	var tr *http.Transport
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		if tr == nil {
			tr = &http.Transport{MaxConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			// The first request on the channel is a small one.
			if _, ok := b.send(ctx, tr, name, "hello"); !ok {
				tr.CloseIdleConnections()
				tr = nil
				_ = sleep(ctx, 300*time.Millisecond)
				continue
			}
		}
		if _, ok := b.send(ctx, tr, name, b.body); !ok {
			tr.CloseIdleConnections()
			tr = nil
			_ = sleep(ctx, 300*time.Millisecond)
		}
	}
	if tr != nil {
		tr.CloseIdleConnections()
	}
}

func (b *bodies) send(ctx context.Context, tr *http.Transport, name, body string) (int, bool) {
	attempt := newAttempt()
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", b.m.ip, frontPort, unsafePath, attempt), strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.GetBody = nil // the transport must not send it again
	req.Host = hostName
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", "6000")
	req.Header.Set("Credential", key)
	resp, err := tr.RoundTrip(req)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.counts["no answer"]++
		if len(body) == bodyBytes {
			b.cut = append(b.cut, attempt)
		}
		b.f.rec.quiet("caller %s, attempt %s, %d bytes: no answer: %v", name, attempt, len(body), err)
		return 0, false
	}
	b.counts[strconv.Itoa(status)]++
	b.f.rec.quiet("caller %s, attempt %s, %d bytes: status %d", name, attempt, len(body), status)
	return status, status == http.StatusOK
}
