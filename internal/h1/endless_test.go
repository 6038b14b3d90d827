package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendEndlessly sends a beginning and then repeats a part until the connection is closed
// or most bytes were sent, and returns the number of bytes sent.
func sendEndlessly(c net.Conn, begin, part string, most int) int {
	n, err := io.WriteString(c, begin)
	part = strings.Repeat(part, 1+1024/len(part))
	for err == nil && n < most {
		var written int
		written, err = io.WriteString(c, part)
		n += written
	}
	return n
}

// A server that sends a header without end must cost no more than the header limit: the
// connection is closed, and the request is not sent again.
func TestEndlessHeader(t *testing.T) {
	const most = 100 * maxHeaderBytes
	for name, tc := range map[string]struct{ begin, part string }{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"no HTTP at all":        {"", "x"},
		"one field":             {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"fields":                {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan int, 1)
			run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				accepted <- sendEndlessly(c, tc.begin, tc.part, most)
			}}, func(p *Pool, dials *int) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				_, err := p.Do(ctx, "s", &Request{Method: "GET", Target: "/", Host: "h", ID: "1"})
				must.True(t, sent(t, err))
				must.LessEq(t, 2*maxHeaderBytes, <-accepted)
				must.Eq(t, 1, *dials)
				must.Less(t, time.Minute, time.Since(began))
			})
		})
	}
}

// A server that sends an answer to another request without end must cost no more than the
// limit of skipped bytes.
func TestEndlessAnswerToAnotherRequest(t *testing.T) {
	accepted := make(chan int, 1)
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		accepted <- sendEndlessly(c, "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", 10*maxSkippedBytes)
	}}, func(p *Pool, _ *int) {
		_, err := do(p, "1", "")
		must.True(t, sent(t, err))
		must.LessEq(t, 2*maxSkippedBytes, <-accepted)
	})
}
