package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// script is a server's side of one connection.
type script func(t *testing.T, c net.Conn, r *bufio.Reader)

// run tests exchanges with a server whose connections follow the scripts, one
// after the other.
func run(t *testing.T, scripts []script, test func(p *Pool, dials *int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		p := NewPool(Options{Echo: "Id", Dial: func(context.Context, string, string) (net.Conn, error) {
			if dials >= len(scripts) {
				return nil, errors.New("connection refused")
			}
			ours, theirs := net.Pipe()
			s := scripts[dials]
			dials++
			go func() {
				defer theirs.Close()
				s(t, theirs, bufio.NewReader(theirs))
			}()
			return ours, nil
		}})
		test(p, &dials)
		p.Forget("s")
		synctest.Wait()
	})
}

func readRequest(t *testing.T, r *bufio.Reader) (*http.Request, string) {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func send(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\nContent-Length: %d\n\n%s", id, len(body), body)
}

// do sends a request and reads the complete response.
func do(p *Pool, id, body string) (string, error) {
	resp, err := p.Do(context.Background(), "s", &Request{Method: "POST", Target: "/x", Host: "h", Body: []byte(body), ID: id})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

func sent(t *testing.T, err error) bool {
	t.Helper()
	var e *Error
	must.True(t, errors.As(err, &e), must.Sprint(err))
	return e.Sent
}

// A connection that is not reused would cost a new one for each request.
func TestConnectionIsReused(t *testing.T) {
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for {
			req, body := readRequest(t, r)
			if req == nil {
				return
			}
			send(c, response(req.Header.Get("Id"), body))
		}
	}}, func(p *Pool, dials *int) {
		for i := range 3 {
			resp, err := p.Do(context.Background(), "s", &Request{
				Method: "POST", Target: "/x", Host: "h", Body: []byte("b"), ID: fmt.Sprint(i), Fields: []Field{{"Id", fmt.Sprint(i)}},
			})
			must.NoError(t, err)
			_, err = io.ReadAll(resp)
			must.NoError(t, err)
			must.NoError(t, resp.Close())
		}
		must.Eq(t, 1, *dials)
	})
}

// A late second response arrives where the next response is expected. It must
// not be given to the next request, which must still get its own.
func TestLateAnswerIsSkipped(t *testing.T) {
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		send(c, response("1", "one"))
		readRequest(t, r)
		send(c, response("1", "late")+response("2", "two"))
		_, _ = r.ReadByte()
	}}, func(p *Pool, dials *int) {
		got, err := do(p, "1", "")
		must.NoError(t, err)
		must.Eq(t, "one", got)
		got, err = do(p, "2", "")
		must.NoError(t, err)
		must.Eq(t, "two", got)
		_, err = do(p, "3", "")
		must.False(t, sent(t, err), must.Sprint("a connection with an unexpected response was reused"))
	})
}

func refusal(id string) string {
	echo := ""
	if id != "" {
		echo = "Id: " + id + "\n"
	}
	return "HTTP/1.1 503 Service Unavailable\n" + echo + "Not-Run: 1\nContent-Length: 0\n\n"
}

// A faulty server writes an earlier refusal once more on a kept connection, with its identifier or without one. It
// must not be taken for the response to the next request, which the server runs.
func TestEarlierRefusalOnceMore(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second string // the identifiers of the requests
		again         string // the copy of the refusal
		status        int    // of the second response; 0 for an error
		dials         int
	}{
		"identifier of another request": {"1", "2", refusal("1"), 200, 1},
		"no identifier":                 {"1", "2", refusal(""), 0, 1},
		// A retry at the same server has the identifier of the attempt before.
		"identifier of the same request": {"1", "1", refusal("1"), 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			server := func(t *testing.T, c net.Conn, r *bufio.Reader) {
				refused := false
				for {
					if req, _ := readRequest(t, r); req == nil {
						return
					}
					switch {
					case !refused && tc.first == "1":
						refused = true
						send(c, refusal(tc.first))
					default:
						send(c, tc.again+response(tc.second, "ran"))
					}
				}
			}
			ran := func(t *testing.T, c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				send(c, response(tc.second, "ran"))
			}
			run(t, []script{server, ran}, func(p *Pool, dials *int) {
				resp, err := p.Do(context.Background(), "s", &Request{Method: "POST", Target: "/x", Host: "h", ID: tc.first})
				must.NoError(t, err)
				must.Eq(t, 503, resp.Status)
				_, err = io.ReadAll(resp)
				must.NoError(t, err)
				must.NoError(t, resp.Close())
				resp, err = p.Do(context.Background(), "s", &Request{Method: "POST", Target: "/x", Host: "h", ID: tc.second})
				must.Eq(t, tc.dials, *dials)
				if tc.status == 0 {
					must.True(t, sent(t, err), must.Sprint("the caller is told that the request has not run"))
					return
				}
				must.NoError(t, err)
				must.Eq(t, tc.status, resp.Status)
				must.NoError(t, resp.Close())
			})
		})
	}
}

// A refusal without an identifier on a new connection can only be that of the request.
func TestRefusalOnNewConnection(t *testing.T) {
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		send(c, refusal(""))
	}}, func(p *Pool, _ *int) {
		resp, err := p.Do(context.Background(), "s", &Request{Method: "POST", Target: "/x", Host: "h", ID: "1"})
		must.NoError(t, err)
		must.Eq(t, 503, resp.Status)
		must.NoError(t, resp.Close())
	})
}

// A refusal that arrives before the request was written is not its response.
func TestRefusalBeforeRequest(t *testing.T) {
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		send(c, response("1", "one")+refusal("2"))
		readRequest(t, r)
	}, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		send(c, response("2", "two"))
	}}, func(p *Pool, _ *int) {
		_, err := do(p, "1", "")
		must.NoError(t, err)
		synctest.Wait()
		got, err := do(p, "2", "")
		if err != nil {
			must.True(t, sent(t, err))
			return
		}
		must.Eq(t, "two", got)
	})
}

// A response that echoes another identifier, or none, must not reach the
// caller.
func TestMismatch(t *testing.T) {
	for name, text := range map[string]string{
		"other": response("9", "x") + response("8", "x"),
		"none":  "HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
		"bytes": "garbage\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				send(c, text)
			}}, func(p *Pool, _ *int) {
				_, err := do(p, "1", "")
				must.True(t, sent(t, err))
			})
		})
	}
}

// A response that ends early must not look complete; one without a length that
// ends with its connection is complete.
func TestFraming(t *testing.T) {
	for name, tc := range map[string]struct {
		text     string
		complete bool
	}{
		"short":           {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\nab", false},
		"chunks cut":      {"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nab\n", false},
		"without framing": {"HTTP/1.1 200 OK\nId: 1\n\nab", true},
		"chunks":          {"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				send(c, tc.text)
			}}, func(p *Pool, _ *int) {
				got, err := do(p, "1", "")
				must.Eq(t, tc.complete, err == nil, must.Sprint(err))
				if tc.complete {
					must.Eq(t, "ab", got)
				}
			})
		})
	}
}

// Bytes after a complete response belong to no request; the next request must
// be sent on another connection.
func TestExtraBytes(t *testing.T) {
	var second bool
	run(t, []script{
		func(t *testing.T, c net.Conn, r *bufio.Reader) {
			readRequest(t, r)
			send(c, response("1", "one")+"extra")
			if req, _ := readRequest(t, r); req != nil {
				second = true
			}
		},
		func(t *testing.T, c net.Conn, r *bufio.Reader) {
			readRequest(t, r)
			send(c, response("2", "two"))
		},
	}, func(p *Pool, dials *int) {
		_, err := do(p, "1", "")
		must.NoError(t, err)
		got, err := do(p, "2", "")
		must.NoError(t, err)
		must.Eq(t, "two", got)
		must.Eq(t, 2, *dials)
	})
	must.False(t, second)
}

// The error must report whether a byte may have reached the server, which
// determines what the caller is told.
func TestSent(t *testing.T) {
	run(t, nil, func(p *Pool, _ *int) {
		_, err := do(p, "1", "")
		must.False(t, sent(t, err))
	})
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) { readRequest(t, r) }}, func(p *Pool, dials *int) {
		_, err := do(p, "1", "")
		must.True(t, sent(t, err))
		must.Eq(t, 1, *dials, must.Sprint("the request was sent again"))
	})
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, _ = r.ReadByte()
	}}, func(p *Pool, _ *int) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := p.Do(ctx, "s", &Request{Method: "GET", Target: "/", Host: "h", ID: "1"})
		must.True(t, sent(t, err))
		var e *Error
		must.True(t, errors.As(err, &e))
		must.True(t, e.Timeout)
	})
}

// A server that responds before it has read a long body must still receive
// that body, and nothing else in its place.
func TestEarlyAnswerToLongBody(t *testing.T) {
	long := strings.Repeat("x", 4*asyncBodyBytes)
	run(t, []script{func(t *testing.T, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		must.NoError(t, err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			send(c, "HTTP/1.1 413 Too Large\nId: 1\nContent-Length: 0\n\n")
		}()
		body, err := io.ReadAll(req.Body)
		<-sent // the connection closes with the script
		if err == nil {
			must.Eq(t, long, string(body))
		}
	}}, func(p *Pool, _ *int) {
		resp, err := p.Do(context.Background(), "s", &Request{Method: "POST", Target: "/", Host: "h", ID: "1", Body: []byte(long)})
		must.NoError(t, err)
		must.Eq(t, 413, resp.Status)
		must.NoError(t, resp.Close())
	})
}

// Idle connections must be closed before the server closes them, and the limit
// on connections must hold.
func TestIdleAndLimit(t *testing.T) {
	serve := func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(t, r)
			if req == nil {
				return
			}
			send(c, "HTTP/1.1 200 OK\nKeep-Alive: timeout=3\nContent-Length: 0\n\n")
		}
	}
	run(t, []script{serve, serve, serve}, func(p *Pool, dials *int) {
		p.SetLimit("s", 1)
		get := func(maxIdle time.Duration) (*Response, error) {
			return p.Do(context.Background(), "s", &Request{Method: "GET", Target: "/", Host: "h", MaxIdle: maxIdle})
		}
		first, err := get(0)
		must.NoError(t, err)
		_, err = get(0)
		var e *Error
		must.True(t, errors.As(err, &e))
		must.True(t, e.Busy())
		must.False(t, e.Sent)
		_, _ = io.ReadAll(first)
		must.NoError(t, first.Close())
		time.Sleep(time.Second)
		again, err := get(0)
		must.NoError(t, err)
		must.Eq(t, 1, *dials)
		_, _ = io.ReadAll(again)
		must.NoError(t, again.Close())
		time.Sleep(time.Second)
		fresh, err := get(500 * time.Millisecond)
		must.NoError(t, err)
		must.Eq(t, 2, *dials, must.Sprint("a connection that was idle longer than MaxIdle was used"))
		_, _ = io.ReadAll(fresh)
		must.NoError(t, fresh.Close())
		time.Sleep(2500 * time.Millisecond)
		last, err := get(0)
		must.NoError(t, err)
		must.Eq(t, 3, *dials, must.Sprint("a connection that the server was about to close was used"))
		_, _ = io.ReadAll(last)
		must.NoError(t, last.Close())
	})
}
