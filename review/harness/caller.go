package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is a streaming request of one caller with all its tries.
type stream struct {
	name     string
	host     string
	path     string
	key      string
	deadline time.Time
	total    int
	// part is the first part of the prompt, which the requests of a caller share.
	part string

	// first is the attempt that brought the first event, last the id of the last event.
	first string
	last  int
	// wrong says what is wrong with the events; empty if nothing is.
	wrong string
	by    []string
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// try makes one attempt at a machine on a new channel. It returns the status, how
// long to wait before the next try, and whether the stream is complete.
func (s *stream) try(ctx context.Context, rec *record, m *machine) (status int, retryAfter time.Duration, complete bool) {
	attempt := newAttempt()
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	body := strings.Repeat("x", 600)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, s.path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, 0, false
	}
	req.Host = s.host
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(s.deadline).Milliseconds(), 10))
	req.Header.Set("Credential", s.key)
	req.Header.Set("Model", "m0")
	req.Header.Set("Token-Count", "300,80")
	part := s.part
	if part == "" {
		part = "5c1e07a2"
	}
	req.Header.Set("Prompt-Prefix", part+":155,"+fmt.Sprintf("%08x", rand.Uint32())+":145")
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
	}
	rec.quiet("caller %s sends attempt %s to %s, last event %d, resumes %q", s.name, attempt, m.name, s.last, req.Header.Get("Resumes"))
	tr := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		rec.quiet("caller %s, attempt %s: no answer: %v", s.name, attempt, err)
		return 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Server-Seal") == "" {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		rec.quiet("caller %s, attempt %s: status %d, retry after %.3f s, %q", s.name, attempt, resp.StatusCode, seconds, text)
		return resp.StatusCode, time.Duration(seconds * float64(time.Second)), false
	}
	return resp.StatusCode, 0, s.read(rec, attempt, resp.Body)
}

// read reads events. It reports whether the stream ended as a complete one.
func (s *stream) read(rec *record, attempt string, body io.Reader) bool {
	r := bufio.NewReader(body)
	id := 0
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" {
			if s.last != s.total {
				s.wrong = fmt.Sprintf("ended as complete after event %d of %d", s.last, s.total)
			}
			rec.quiet("caller %s, attempt %s: complete after event %d", s.name, attempt, s.last)
			return true
		}
		if err != nil {
			rec.quiet("caller %s, attempt %s: broken off after event %d: %v", s.name, attempt, s.last, err)
			return false
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			by := line[strings.Index(line, " by ")+4:]
			if len(s.by) == 0 || s.by[len(s.by)-1] != by {
				s.by = append(s.by, by)
			}
		case line == "" && id > 0:
			if id != s.last+1 {
				s.wrong = fmt.Sprintf("event %d after event %d", id, s.last)
			}
			if s.first == "" {
				s.first = attempt
			}
			s.last, id = id, 0
		}
	}
}

// call is one plain request on a new channel.
type call struct {
	method, path, key, body string
	header                  map[string]string
	timeout                 time.Duration
}

// send sends the call to a machine. It returns the attempt, the status (0 without an answer) and the id of the
// server that answered.
func (c call) send(ctx context.Context, rec *record, name string, m *machine) (attempt string, status int, by string) {
	attempt = newAttempt()
	timeout := c.timeout
	if timeout == 0 {
		timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, c.path), strings.NewReader(c.body))
	if err != nil {
		return attempt, 0, ""
	}
	req.Host = hostName
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set("Credential", c.key)
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		rec.quiet("caller %s, attempt %s at %s, %s %s: no answer: %v", name, attempt, m.name, c.method, c.path, err)
		return attempt, 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		rec.quiet("caller %s, attempt %s at %s, %s %s: status %d, broken off: %v", name, attempt, m.name, c.method, c.path, resp.StatusCode, err)
		return attempt, 0, ""
	}
	by, _, _ = strings.Cut(resp.Header.Get("Server-Seal"), ".")
	rec.quiet("caller %s, attempt %s at %s, %s %s: status %d, seal %q, %.120q", name, attempt, m.name, c.method, c.path, resp.StatusCode,
		resp.Header.Get("Server-Seal"), text)
	return attempt, resp.StatusCode, by
}
