// Package standin implements a stand-in engine, weight store and plain service for
// development and tests. They are not for production: they run no model, do not
// authenticate callers, and inject faults on request.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 8 << 20

// server tracks the connections of a stand-in, so that it can drop or silence all
// of them.
type server struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
	http  *http.Server
	// downUntil is the time until which new connections are closed after a crash.
	downUntil time.Time
}

func newServer(h http.Handler) *server {
	s := &server{conns: map[*trackedConn]struct{}{}}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Serve serves the listener until Close or Shutdown.
func (s *server) Serve(l net.Listener) error {
	err := s.http.Serve(&trackedListener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// dropConns resets all connections and closes new ones for the duration down, as
// a crash does.
func (s *server) dropConns(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(down)
	for c := range s.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	clear(s.conns)
}

// silenceConns stops all traffic on the open connections without closing them.
// New connections are not affected.
func (s *server) silenceConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.setSilent()
	}
	return len(s.conns)
}

// openConns returns the number of open connections.
func (s *server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

type trackedListener struct {
	net.Listener
	server *server
}

func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t := l.server.track(c); t != nil {
			return t, nil
		}
		_ = c.Close()
	}
}

func (s *server) track(c net.Conn) *trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return nil
	}
	t := &trackedConn{Conn: c, server: s}
	s.conns[t] = struct{}{}
	return t
}

// trackedConn is a connection that can be silenced: it then discards what it
// receives and what it is told to send.
type trackedConn struct {
	net.Conn
	server *server
	mu     sync.Mutex
	silent bool
}

func (c *trackedConn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *trackedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: http.StatusText(status), Code: status}})
}

// waitFor waits for d, or returns the error of ctx when that ends first.
func waitFor(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
