package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// earlyConn is a connection to a server that responds as soon as the head of a request has arrived. How the write of the
// rest ends is up to the test.
type earlyConn struct {
	net.Conn
	response string
	// write is called by the write of the rest, with channels that are closed at the end of the response and of the
	// connection.
	write func(ended, closed <-chan struct{}) error

	once                 [3]sync.Once
	begun, ended, closed chan struct{}
}

func (c *earlyConn) Write(p []byte) (int, error) {
	first := false
	c.once[0].Do(func() {
		first = true
		close(c.begun)
	})
	if !first {
		if err := c.write(c.ended, c.closed); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.response == "" {
		c.once[1].Do(func() { close(c.ended) })
		return 0, io.EOF
	}
	n := copy(p, c.response)
	c.response = c.response[n:]
	return n, nil
}

func (c *earlyConn) Close() error {
	c.once[2].Do(func() { close(c.closed) })
	return c.Conn.Close()
}

const longBodyBytes = 3 << 20

func sendLongBody(ctx context.Context, rt http.RoundTripper, address string) (body string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", strings.NewReader(strings.Repeat("u", longBodyBytes)))
	if err != nil {
		return "", err
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a response without a length that is reset during the upload and looks complete, because the write of the
// request has taken the error of the reset.
func TestResetDuringUploadNeverLooksComplete(t *testing.T) {
	reset := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	for name, tc := range map[string]struct {
		framing  string
		write    func(ended, closed <-chan struct{}) error
		complete bool
	}{
		"reset":            {"", func(ended, _ <-chan struct{}) error { <-ended; return reset }, false},
		"ended and unread": {"", func(_, closed <-chan struct{}) error { <-closed; return net.ErrClosed }, false},
		"ended and read on": {"", func(ended, closed <-chan struct{}) error {
			<-ended
			select {
			case <-time.After(10 * time.Millisecond):
				return nil
			case <-closed:
				return net.ErrClosed
			}
		}, true},
		"ended and read before": {"", func(_, _ <-chan struct{}) error { return nil }, true},
		"unread, with a length": {"Content-Length: 4\r\n", func(_, closed <-chan struct{}) error { <-closed; return net.ErrClosed }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := NewSet(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
					inner, _ := net.Pipe()
					return &earlyConn{
						Conn: inner, response: "HTTP/1.1 200 OK\r\n" + tc.framing + "\r\npart", write: tc.write,
						begun: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
					}, nil
				}})
				defer set.Close()
				for kind, rt := range map[string]http.RoundTripper{"kept": set.Transport("s"), "single use": set.SingleUse("s")} {
					body, err := sendLongBody(t.Context(), rt, "192.0.2.1")
					must.Eq(t, tc.complete, err == nil, must.Sprint(kind, " ", err))
					must.Eq(t, "part", body)
				}
			})
		})
	}
}

// Guards against the same over real connections: which call takes the error of a reset is up to the operating system.
func TestResetDuringUploadOverTCP(t *testing.T) {
	const exchanges = 24
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0) // resets at the close
				_ = c.Close()
			}()
		}
	}()
	set := NewSet(Options{})
	defer set.Close()
	complete := 0
	for range exchanges {
		if _, err := sendLongBody(t.Context(), set.SingleUse("s"), l.Addr().String()); err == nil {
			complete++
		}
	}
	must.Eq(t, 0, complete, must.Sprintf("of %d responses that were reset, %d look complete", exchanges, complete))
}
