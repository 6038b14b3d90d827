package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

var errBroken = errors.New("broken pipe")

// brokenConn accepts a number of bytes and then fails.
type brokenConn struct {
	net.Conn
	accepts int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(c.accepts, len(p))
	c.accepts -= n
	return n, errBroken
}

// dialTo returns a dialer of in-memory connections whose peer runs serve.
func dialTo(serve func(c net.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go serve(server)
		return client, nil
	}
}

func post(ctx context.Context, rt http.RoundTripper) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://192.0.2.1/x", strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	return rt.RoundTrip(req)
}

// TestFailedCalls guards against a wrong "not run" and against requests without
// a timeout.
func TestFailedCalls(t *testing.T) {
	blocked := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	broken := func(accepts int) func(context.Context, string, string) (net.Conn, error) {
		return func(context.Context, string, string) (net.Conn, error) {
			client, _ := net.Pipe()
			return &brokenConn{Conn: client, accepts: accepts}, nil
		}
	}
	hang := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	reset := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		c.Close()
	}
	for _, tc := range []struct {
		name   string
		dial   func(context.Context, string, string) (net.Conn, error)
		cancel time.Duration
		kind   fault.Kind
		sent   bool
		silent bool
		after  time.Duration
	}{
		{name: "connect timeout", dial: blocked, kind: fault.KindNoBackend, after: time.Second},
		{name: "cancelled while connecting", dial: blocked, cancel: time.Second / 2, kind: fault.KindDeadline, after: time.Second / 2},
		{name: "no byte accepted", dial: broken(0), kind: fault.KindNoBackend},
		{name: "one byte accepted", dial: broken(1), kind: fault.KindBackendFailed, sent: true},
		{name: "reset after a byte", dial: dialTo(reset), kind: fault.KindBackendFailed, sent: true},
		// net.Pipe accepts no byte that is not read, so the closed write sent none.
		{name: "never read", dial: dialTo(func(net.Conn) {}), kind: fault.KindBackendSilent, silent: true, after: 3 * time.Second},
		{name: "silent", dial: dialTo(hang), kind: fault.KindBackendSilent, sent: true, silent: true, after: 3 * time.Second},
		{name: "cancelled while waiting", dial: dialTo(hang), cancel: time.Second, kind: fault.KindDeadline, sent: true, after: time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := NewSet(Options{Dial: tc.dial, FirstByte: 3 * time.Second})
				defer set.Close()
				for _, rt := range []http.RoundTripper{set.Transport("b"), set.SingleUse("b")} {
					ctx, cancel := context.WithTimeout(t.Context(), orDefault(tc.cancel, time.Hour))
					ctx, attempt := WithAttempt(ctx)
					began := time.Now()
					_, err := post(ctx, rt)
					cancel()
					var e *Error
					must.True(t, errors.As(err, &e))
					must.EqOp(t, tc.kind, fault.KindOf(err))
					must.EqOp(t, tc.sent, e.MayHaveSent)
					must.EqOp(t, tc.sent, attempt.MayHaveSent())
					must.EqOp(t, tc.silent, e.Silent)
					must.EqOp(t, tc.after, time.Since(began))
					f, _ := fault.As(err)
					must.EqOp(t, map[bool]fault.Run{false: fault.NotRun, true: fault.OutcomeUnknown}[tc.sent], f.Run)
				}
			})
		})
	}
}

// countingConn counts the bytes that the peer received.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.received.Add(int64(n))
	return n, err
}

// TestNotSentIsExact guards against a byte that is sent after a cancelled
// request was reported as not sent.
func TestNotSentIsExact(t *testing.T) {
	notSent := 0
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			var received atomic.Int64
			dial := dialTo(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
			set := NewSet(Options{Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
				c, err := dial(ctx, n, a)
				return &countingConn{Conn: c, received: &received}, err
			}})
			defer set.Close()
			ctx, cancel := context.WithCancel(t.Context())
			ctx, attempt := WithAttempt(ctx)
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
			_, err := post(ctx, set.Transport("b"))
			must.Error(t, err)
			sent := attempt.MayHaveSent()
			synctest.Wait()
			if !sent {
				notSent++
				must.EqOp(t, 0, received.Load(), must.Sprint("bytes were sent after the request was reported as not sent"))
			}
		})
	}
	t.Logf("%d of 300 cancelled requests were not sent", notSent)
}

// TestPendingWrite guards against "not sent" while a write has begun and not
// returned, since it may still send bytes.
func TestPendingWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		c := &conn{Conn: client, release: func() {}}
		go func() { _, _ = c.Write([]byte("x")) }()
		synctest.Wait()
		must.True(t, c.mayHaveSent(0, true), must.Sprint("a pending write counts as not sent"))
		_, err := c.Write([]byte("y"))
		must.ErrorIs(t, err, errSealed)
		server.Close()
	})
}

// testServer is an HTTP server over in-memory connections that counts dials and
// requests.
type testServer struct {
	*standin.PipeListener
	dials     atomic.Int64
	probes    atomic.Int64
	requests  atomic.Int64
	failProbe atomic.Bool
	release   chan struct{}
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{PipeListener: standin.NewPipeListener(), release: make(chan struct{})}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(s) }()
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *testServer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	s.dials.Add(1)
	return s.PipeListener.DialContext(ctx, network, address)
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.probes.Add(1)
		if s.failProbe.Load() {
			panic(http.ErrAbortHandler)
		}
		return
	}
	s.requests.Add(1)
	switch r.URL.Path {
	case "/drop":
		panic(http.ErrAbortHandler)
	case "/move":
		http.Redirect(w, r, "/x", http.StatusTemporaryRedirect)
	case "/stream":
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-s.release
		_, _ = io.WriteString(w, " last")
	}
}

func (s *testServer) get(t *testing.T, rt http.RoundTripper, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://192.0.2.1"+path, nil)
	must.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	return rt.RoundTrip(req)
}

func (s *testServer) mustGet(t *testing.T, rt http.RoundTripper, path string) {
	t.Helper()
	resp, err := s.get(t, rt, path)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	synctest.Wait()
}

// TestReplacement guards against connections that stay silent forever, against
// streams that end when their transport is replaced, and against requests on a
// connection that was not probed.
func TestReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		set := NewSet(Options{Dial: s.DialContext})
		defer set.Close()
		rt := set.Transport("b")
		stream, err := s.get(t, rt, "/stream")
		must.NoError(t, err)
		s.mustGet(t, rt, "/x")
		must.EqOp(t, 2, s.dials.Load())

		set.ReportSilent("b")
		s.mustGet(t, rt, "/x")
		must.EqOp(t, 2, s.dials.Load(), must.Sprint("one silent failure replaced the transport"))
		set.ReportSilent("b")
		s.failProbe.Store(true)
		requests := s.requests.Load()
		_, err = s.get(t, rt, "/x")
		f, _ := fault.As(err)
		must.EqOp(t, fault.NotRun, f.Run)
		must.EqOp(t, requests, s.requests.Load(), must.Sprint("a request used a connection that failed its probe"))

		s.failProbe.Store(false)
		s.mustGet(t, rt, "/x")
		must.EqOp(t, 4, s.dials.Load(), must.Sprint("the request did not reuse the probed connection"))
		s.mustGet(t, rt, "/x")
		must.EqOp(t, 2, s.probes.Load())
		must.EqOp(t, 4, s.dials.Load())

		close(s.release)
		whole, err := io.ReadAll(stream.Body)
		must.NoError(t, err)
		must.EqOp(t, "first last", string(whole))
		stream.Body.Close()
		time.Sleep(5 * time.Second) // the idle timeout is 4 s
		must.EqOp(t, 0, set.server("b").conns.Load(), must.Sprint("connections of a replaced transport stay open"))
	})
}

// TestSilentWindow guards against replacing a transport because of failures that
// are further apart than the window or happened on a transport already replaced.
func TestSilentWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := NewSet(Options{})
		v := set.server("b")
		first := v.current()
		set.ReportSilent("b")
		time.Sleep(time.Minute)
		set.ReportSilent("b")
		must.EqOp(t, first, v.current())
		set.ReportSilent("b")
		second := v.current()
		must.NotEqOp(t, first, second)
		for range 10 {
			v.reportSilent(first)
		}
		must.EqOp(t, second, v.current())
	})
}

// TestNeverTwice guards against requests that net/http retries after the
// connection closed, against reuse of connections by single-use requests, and
// against followed redirects.
func TestNeverTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Setenv("HTTP_PROXY", "http://192.0.2.9:1")
		s := newTestServer(t)
		set := NewSet(Options{Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
			must.EqOp(t, "192.0.2.1:80", a)
			return s.DialContext(ctx, n, a)
		}})
		defer set.Close()
		for i, rt := range []http.RoundTripper{set.Transport("b"), set.SingleUse("b")} {
			s.mustGet(t, rt, "/x")
			dials := s.dials.Load()
			s.mustGet(t, rt, "/x")
			must.EqOp(t, dials+int64(i), s.dials.Load(), must.Sprint("only a single-use request may dial again"))
			before := s.requests.Load()
			_, err := s.get(t, rt, "/drop")
			must.Error(t, err)
			must.EqOp(t, fault.KindBackendFailed, fault.KindOf(err))
			must.EqOp(t, before+1, s.requests.Load())
			resp, err := s.get(t, rt, "/move")
			must.NoError(t, err)
			resp.Body.Close()
			must.EqOp(t, http.StatusTemporaryRedirect, resp.StatusCode)
			must.EqOp(t, before+2, s.requests.Load())
		}
	})
}

// TestConnectionLimit guards against an unlimited number of connections and
// against closed connections that stay counted.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		set := NewSet(Options{Dial: s.DialContext, MaxConns: 4, FirstByte: time.Second})
		defer set.Close()
		rt := set.Transport("b")
		for range 3 {
			var open []*http.Response
			for range 2 {
				resp, err := s.get(t, rt, "/stream")
				must.NoError(t, err)
				open = append(open, resp)
			}
			_, err := s.get(t, rt, "/x")
			f, _ := fault.As(err)
			must.EqOp(t, fault.NotRun, f.Run)
			for _, resp := range open {
				resp.Body.Close()
			}
			synctest.Wait()
			must.EqOp(t, 0, set.server("b").conns.Load())
		}
		// Streams of replaced transports count against the limit as well.
		for range 3 {
			for range 2 {
				_, _ = s.get(t, rt, "/stream")
			}
			set.ReportSilent("b")
			set.ReportSilent("b")
		}
		_, err := s.get(t, rt, "/x")
		must.EqOp(t, fault.KindOverloaded, fault.KindOf(err))
		must.EqOp(t, 4, set.server("b").conns.Load())
		close(s.release)
	})
}

// TestGap guards against responses that stop after they began, and against a
// slow reader that makes the backend server appear silent.
func TestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		set := NewSet(Options{Dial: s.DialContext, Gap: 2 * time.Second})
		defer set.Close()
		resp, err := s.get(t, set.Transport("b"), "/stream")
		must.NoError(t, err)
		part := make([]byte, 5)
		_, err = io.ReadFull(resp.Body, part)
		must.NoError(t, err)
		time.Sleep(time.Hour)
		began := time.Now()
		_, err = resp.Body.Read(part)
		must.EqOp(t, fault.KindBackendSilent, fault.KindOf(err))
		must.EqOp(t, 2*time.Second, time.Since(began))
		resp.Body.Close()
		must.Len(t, 1, set.server("b").silentAt)

		// A response that is closed by its reader is not a silent failure.
		resp, err = s.get(t, set.Transport("b"), "/stream")
		must.NoError(t, err)
		began = time.Now()
		resp.Body.(*body).Drain(1024, 50*time.Millisecond)
		must.EqOp(t, 50*time.Millisecond, time.Since(began))
		resp.Body.Close()
		resp, err = s.get(t, set.Transport("b"), "/stream")
		must.NoError(t, err)
		time.AfterFunc(time.Second, func() { resp.Body.Close() })
		_, err = io.ReadAll(resp.Body)
		must.EqOp(t, fault.KindDeadline, fault.KindOf(err))
		must.Len(t, 1, set.server("b").silentAt)
		close(s.release)
	})
}
