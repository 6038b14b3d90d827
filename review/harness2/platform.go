package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform plays the users' infrastructure: the list of servers, and the servers themselves.
type platform struct {
	address  string
	serverIP func(n int) string

	listener net.Listener
	mu       sync.Mutex
	servers  []*server
	// rawEntries are entries of another writer, put into the list as they are.
	rawEntries []string
}

func (p *platform) start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go func() { _ = http.Serve(l, http.HandlerFunc(p.list)) }()
	return nil
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	var entries []string
	entries = append(entries, p.rawEntries...)
	for _, s := range p.servers {
		if s.listed {
			data, _ := json.Marshal(s.entry())
			entries = append(entries, string(data))
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"instances":[`+strings.Join(entries, ",")+`],"next":null}`)
}

func (p *platform) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.listener.Close()
	}
}

// refuseNew has all servers refuse new connections; those that are open live on.
func (p *platform) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.listener.Close()
	}
}

// server is a backend server. Its handler has the whole connection, so that it can send anything.
type server struct {
	id, service, address, zone, state string
	build                             string
	born                              int64
	slots                             int
	listed                            bool
	listener                          net.Listener
	handle                            func(c net.Conn, r *request) (keep bool)
	mu                                sync.Mutex
	conns                             map[net.Conn]bool
}

// request is a request as it arrived at a server.
type request struct {
	method, target string
	header         http.Header
	body           []byte
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": s.build, "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "born": s.born,
	}
}

// addServer starts a server of a service.
func (p *platform) addServer(n int, service string, handle func(s *server, c net.Conn, r *request) bool) (*server, error) {
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: []string{"heredia", "cartago", "alajuela"}[n%3], state: "ready",
		build: "v1", born: time.Now().UnixMilli(), slots: 64, listed: true,
		conns: map[net.Conn]bool{},
	}
	l, err := net.Listen("tcp", net.JoinHostPort(p.serverIP(n), strconv.Itoa(listPort)))
	if err != nil {
		return nil, err
	}
	s.listener, s.address = l, l.Addr().String()
	s.handle = func(c net.Conn, r *request) bool { return handle(s, c, r) }
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go s.accept(l)
	return s, nil
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// reset resets the connections of which the function says so.
func (s *server) reset(which func(c net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if which(c) {
			resetConn(c)
		}
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		if expected := r.header.Get("Expect-Instance"); expected != "" && expected != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.header.Get("Attempt-Id"))
			continue
		}
		if !s.handle(c, r) {
			return
		}
	}
}

func readRequest(br *bufio.Reader) (*request, error) {
	hr, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return nil, err
	}
	return &request{method: hr.Method, target: hr.RequestURI, header: hr.Header, body: body}, nil
}

// success writes a complete answer with a seal.
func success(c net.Conn, r *request, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n%s",
		r.header.Get("Attempt-Id"), r.header.Get("Attempt-Id"), len(body), body)
	return err == nil
}

var errNoAnswer = errors.New("the channel ended without an answer")

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// partial is true when the answer broke off.
	partial bool
}

// caller is one caller's connection.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func dialHost(h *host) (*caller, error) {
	c, err := net.DialTimeout("tcp", net.JoinHostPort(h.ip, strconv.Itoa(frontPort)), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{c, bufio.NewReader(c)}, nil
}

// read reads one answer.
func (c *caller) read(timeout time.Duration) (answer, error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return answer{}, errors.Join(errNoAnswer, err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{resp.StatusCode, resp.Header, string(body), err != nil}, nil
}
