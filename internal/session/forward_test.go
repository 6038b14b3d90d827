package session

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/load"
)

const (
	healthInterval = 50 * time.Millisecond
	healthTimeout  = time.Second
	dialTimeout    = time.Second
)

// loadRun runs the load generator for the scripts.
func loadRun(ctx context.Context, args []string) error {
	return load.Command(ctx, args, os.Stdout)
}

// forwarder is a TCP proxy to one of several addresses. With a health path it
// simulates the platform's load balancer and forwards only to addresses whose
// health check succeeds. Requests to its control address inject network faults:
// /silent drops all further data on the open connections, for good; /refuse
// closes the open connections and refuses new ones; /pass accepts new connections
// again.
type forwarder struct {
	to      []string
	healthy []atomic.Bool
	next    atomic.Uint64

	mu     sync.Mutex
	refuse bool
	conns  map[*link]bool
}

// link is one forwarded connection. A silent link drops all data.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

func forward(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("forward", flag.ContinueOnError)
	listen := fs.String("listen", "", "address")
	to := fs.String("to", "", "addresses to forward to, separated by commas")
	health := fs.String("health", "", "path of the health check; none when empty")
	control := fs.String("control", "", "address of the control interface")
	if err := fs.Parse(args); err != nil {
		return err
	}
	f := &forwarder{to: strings.Split(*to, ","), conns: map[*link]bool{}}
	f.healthy = make([]atomic.Bool, len(f.to))
	for i := range f.to {
		f.healthy[i].Store(*health == "")
		if *health != "" {
			go f.check(ctx, i, "http://"+f.to[i]+*health)
		}
	}
	if *control != "" {
		srv := &http.Server{Addr: *control, Handler: http.HandlerFunc(f.serveControl)}
		go func() { _ = srv.ListenAndServe() }()
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		c, err := l.Accept()
		if err != nil {
			return nil
		}
		go f.serve(c)
	}
}

func (f *forwarder) check(ctx context.Context, i int, url string) {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get(url)
		f.healthy[i].Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(healthInterval)
	}
}

func (f *forwarder) serveControl(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/silent":
		for l := range f.conns {
			l.silent.Store(true)
		}
	case "/refuse":
		f.refuse = true
		for l := range f.conns {
			l.close()
		}
	case "/pass":
		f.refuse = false
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// target returns the next healthy address, round robin, or "" if there is none.
func (f *forwarder) target() string {
	first := f.next.Add(1)
	for i := range uint64(len(f.to)) {
		n := (first + i) % uint64(len(f.to))
		if f.healthy[n].Load() {
			return f.to[n]
		}
	}
	return ""
}

func (f *forwarder) serve(c net.Conn) {
	defer c.Close()
	to := f.target()
	if to == "" {
		return
	}
	s, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		return
	}
	l := &link{client: c, server: s}
	if !f.add(l) {
		l.close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pipe(s, c) })
	wg.Go(func() { l.pipe(c, s) })
	wg.Wait()
	f.mu.Lock()
	delete(f.conns, l)
	f.mu.Unlock()
}

func (f *forwarder) add(l *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return false
	}
	f.conns[l] = true
	return true
}

// pipe forwards data in one direction until either side closes its connection. A
// silent link reads the data and drops it.
func (l *link) pipe(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF && !l.silent.Load() {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
				return
			}
		}
		if err != nil {
			if !l.silent.Load() {
				l.close()
			}
			return
		}
	}
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
