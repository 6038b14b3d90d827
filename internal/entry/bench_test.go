package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// bench is an entry host and a minimal reverse proxy in front of one stand-in
// engine, connected over loopback.
type bench struct {
	urls   map[string]string // by path: direct, bare, entry
	caller *http.Client
	engine *standin.Engine
}

func listen(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}

// bareHop is a minimal reverse proxy that uses only net/http.
func bareHop(target string, transport http.RoundTripper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		req.ContentLength = r.ContentLength
		resp, err := transport.RoundTrip(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		buf := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			if resp.ContentLength < 0 {
				_ = http.NewResponseController(w).Flush()
			}
			if err != nil {
				return
			}
		}
	})
}

func newBench(b *testing.B, o standin.EngineOptions, conns int) *bench {
	o.MaxBatch = conns
	e := standin.NewEngine(o)
	b.Cleanup(e.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = e.Serve(l) }()
	direct := "http://" + l.Addr().String()
	m := manifest(1, conns, 1_000_000_000)
	m.BackendServers[1].Address = direct
	view := &fakeView{cfg: config.FromManifest(m, 1), changed: make(chan struct{})}
	pools := pool.NewSet(pool.Options{MaxConns: 4 * conns, Gap: time.Minute})
	account := rate.NewAccount("h", 1)
	s := New(Options{
		Host: "h", Incarnation: 1, View: view, Account: account, Pools: pools, Decisions: decisionlog.NewRing(65536),
		Logger: zerolog.New(io.Discard), Limits: Limits{StreamGap: time.Minute},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	client := engine.New(m.BackendServers[1], pools)
	ref := &apiv1.AdapterRef{Adapter: "a", Version: "2"}
	if err := client.Load(ctx, engine.Order{Ref: ref, Weights: "w", FencingNumber: 1}); err != nil {
		b.Fatal(err)
	}
	heartbeat := func(version uint64) {
		now := time.Now()
		req := account.Request(now)
		account.Apply(req, &apiv1.BorrowResponse{Term: 1, Sequence: req.GetSequence(),
			Grants: []*apiv1.TeamGrant{{Team: "red", Granted: 100_000_000, ValidMs: 2000}}}, now)
		s.Report()
		s.ApplyFleet(&apiv1.ReportResponse{Term: 1, FleetVersion: version, Engines: []*apiv1.EngineStatus{{
			Name: "e0", Healthy: true, StartId: e.StartID(),
			Slots: []*apiv1.Slot{{Ref: ref, State: apiv1.SlotState_SLOT_STATE_READY}}}}}, now)
	}
	heartbeat(1)
	wg.Go(func() {
		for version := uint64(2); sleep(ctx, 50*time.Millisecond); version++ {
			heartbeat(version)
		}
	})
	b.Cleanup(func() { cancel(); wg.Wait(); pools.Close() })
	transport := &http.Transport{MaxIdleConnsPerHost: conns}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}
	b.Cleanup(func() { transport.CloseIdleConnections(); c.CloseIdleConnections() })
	return &bench{engine: e, caller: c, urls: map[string]string{
		"direct": direct, "bare": listen(b, bareHop(direct, transport)), "entry": listen(b, s.Handler()),
	}}
}

func (f *bench) send(path, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, f.urls[path]+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+keyRed)
	req.Header.Set("X-Request-Id", "x")
	return f.caller.Do(req)
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var paths = []string{"direct", "bare", "entry"}

// BenchmarkHop compares the paths to one stand-in engine. The cost of a hop is
// its cpu-us/op minus that of "direct".
func BenchmarkHop(b *testing.B) {
	f := newBench(b, standin.EngineOptions{TokenTime: time.Microsecond}, 256)
	prompt := string(bytes.Repeat([]byte("word "), 200))
	for _, stream := range []bool{false, true} {
		name, tokens := "whole", 1
		if stream {
			name, tokens = "stream50", 50
		}
		body := completion("a:2", prompt, tokens, stream)
		for _, path := range paths {
			b.Run(name+"/"+path, func(b *testing.B) {
				b.ReportAllocs()
				b.SetParallelism(4)
				start := cpu()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						resp, err := f.send(path, body)
						if err != nil {
							b.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						if resp.StatusCode != http.StatusOK {
							b.Error(resp.Status)
							return
						}
					}
				})
				b.ReportMetric(float64((cpu()-start).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// BenchmarkLatency measures the latency of one request at a time.
func BenchmarkLatency(b *testing.B) {
	f := newBench(b, standin.EngineOptions{TokenTime: time.Microsecond}, 256)
	body := completion("a:2", "hello", 1, false)
	for _, path := range paths {
		b.Run(path, func(b *testing.B) {
			for b.Loop() {
				resp, err := f.send(path, body)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams. It includes
// caller, hop and stand-in, which share the process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	f := newBench(b, standin.EngineOptions{TokenTime: 500 * time.Millisecond}, 2*streams)
	for _, path := range paths {
		b.Run(path, func(b *testing.B) {
			for b.Loop() {
				before := memory()
				var wg sync.WaitGroup
				open := make([]*http.Response, streams)
				for i := range open {
					wg.Go(func() {
						resp, err := f.send(path, completion("a:2", "hello", 16_000, true))
						if err != nil {
							b.Error(err)
							return
						}
						if resp.StatusCode != http.StatusOK {
							b.Error(resp.Status)
						}
						_, _ = resp.Body.Read(make([]byte, 1))
						open[i] = resp
					})
				}
				wg.Wait()
				b.ReportMetric(float64(memory()-before)/streams/1024, "KiB/stream")
				for _, resp := range open {
					if resp != nil {
						resp.Body.Close()
					}
				}
				f.caller.CloseIdleConnections()
				for f.engine.State().Running > 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
}

func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkDispatch starts and finishes one request while others wait for
// adapters that no engine has. "asked again" clears the blocked groups each time,
// so that all waiting groups are checked again.
func BenchmarkDispatch(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		for name, forget := range map[string]bool{"remembered": false, "asked again": true} {
			b.Run(fmt.Sprintf("%d waiting/%s", waiting, name), func(b *testing.B) {
				s, now := waitingServer(waiting)
				x := &exchange{id: "x", cfg: s.d.cfg}
				ref := &apiv1.AdapterRef{Adapter: "a", Version: "2"}
				b.ReportAllocs()
				for b.Loop() {
					ar := &admittedRequest{x: x, pool: "llm", model: "a:2", ref: ref, baseModel: "base", cost: 10, decided: make(chan struct{}, 1)}
					ar.deadline = now.Add(time.Hour)
					s.mu.Lock()
					if forget {
						s.d.blocked.clear()
					}
					_ = s.d.submit(ar, now)
					s.d.startReady(now)
					s.mu.Unlock()
					if ar.assignment == nil {
						b.Fatal("not started")
					}
					s.finish(ar)
				}
			})
		}
	}
}

// waitingServer returns a server without connections on which requests wait.
func waitingServer(waiting int) (*Server, time.Time) {
	now := time.Now()
	view := &fakeView{cfg: config.FromManifest(manifest(9, 64, 1_000_000), 1), changed: make(chan struct{})}
	s := New(Options{Host: "h", View: view, Account: rate.NewAccount("h", 1), Now: func() time.Time { return now }})
	resp := &apiv1.ReportResponse{Term: 1, FleetVersion: 1, Full: true}
	for i := range 9 {
		resp.Engines = append(resp.Engines, &apiv1.EngineStatus{Name: fmt.Sprint("e", i), Healthy: true, Slots: []*apiv1.Slot{
			{Ref: &apiv1.AdapterRef{Adapter: "a", Version: "2"}, State: apiv1.SlotState_SLOT_STATE_READY}}})
	}
	s.ApplyFleet(resp, now)
	for i := range waiting {
		ref := &apiv1.AdapterRef{Adapter: fmt.Sprint("cold", i), Version: "1"}
		ar := &admittedRequest{x: &exchange{cfg: s.d.cfg}, pool: "llm", model: modelName(ref), ref: ref, baseModel: "base", decided: make(chan struct{}, 1)}
		ar.deadline = now.Add(time.Hour)
		_ = s.d.submit(ar, now)
	}
	s.d.startReady(now)
	return s, now
}
