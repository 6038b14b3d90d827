package pool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// respondRaw has a server respond with the bytes and then close the connection.
func respondRaw(response string) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	}
}

// mustRefuse checks that a response is refused as one to a request that may have run.
func mustRefuse(t *testing.T, response string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		set := NewSet(Options{Dial: dialTo(respondRaw(response))})
		defer set.Close()
		for _, rt := range []http.RoundTripper{set.Transport("s"), set.SingleUse("s")} {
			resp, err := post(t.Context(), rt)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			var e *Error
			must.True(t, errors.As(err, &e), must.Sprintf("accepted: %q", response))
			must.EqOp(t, fault.KindBackendFailed, fault.KindOf(err))
			must.True(t, e.MayHaveSent)
		}
	})
}

// Guards against a response whose status is none that is taken for an answer.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000 None", "000", "042 X", "099 X", "101 Switching Protocols", "600 X", "999 X"} {
		t.Run(status, func(t *testing.T) {
			mustRefuse(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nboom")
			mustRefuse(t, "HTTP/1.1 "+status+"\r\n\r\nboom")
		})
	}
}

// Guards against a response that is taken for an answer although a line of its head or of its trailers is no field: what the
// line says, its framing for instance, is not known then.
func TestResponseWithInvalidFieldIsRefused(t *testing.T) {
	for _, line := range []string{
		"X Odd: boom", "X-Odd : boom", "Content-Length : 2", " X-Odd: boom", "\tX-Odd: boom", " Content-Length: 2", "X\tOdd: boom", "X\x01Odd: boom", "X\x00Odd: boom", "X\x7fOdd: boom",
		"X(Odd): boom", "X\x80Odd: boom", ": boom", "boom",
	} {
		t.Run(line, func(t *testing.T) {
			for _, framing := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"} {
				mustRefuse(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+framing)
				mustRefuse(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n"+line+"\r\n"+framing)
			}
			mustRefuse(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+line+"\r\n\r\n")
		})
	}
}

// Guards against a response of another version of HTTP, whose framing is another, and against one in HTTP/1.0 with a transfer coding,
// which that version does not have: its body would be passed on with the chunks' sizes.
func TestResponseInOtherVersionIsRefused(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0"} {
		mustRefuse(t, version+" 200 OK\r\nContent-Length: 4\r\n\r\nboom")
	}
	mustRefuse(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboom\r\n0\r\n\r\n")
}

// Guards against strictness that refuses sound responses, on new and on kept connections.
func TestSoundHeadsArePassedOn(t *testing.T) {
	sound := []string{
		"HTTP/1.1 200 OK\r\nX-A:  b \r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: u\r\n\r\n",
		"HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody",
	}
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		set := NewSet(Options{Dial: dialTo(func(c net.Conn) {
			dials++
			defer c.Close()
			r := bufio.NewReader(c)
			for _, response := range sound {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = r.Discard(len("body"))
				_, _ = io.WriteString(c, response)
			}
		})})
		defer set.Close()
		for _, response := range sound {
			resp, err := post(t.Context(), set.Transport("s"))
			must.NoError(t, err, must.Sprintf("%q", response))
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err, must.Sprintf("%q", response))
			must.Eq(t, "body", string(body))
			must.NoError(t, resp.Body.Close())
			synctest.Wait()
		}
		must.Eq(t, 1, dials)
	})
}
