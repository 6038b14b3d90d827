package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rawAnswer is what a backend server sends over one connection, and how the connection then ends. {id} stands for the
// identifier of the request.
type rawAnswer struct {
	text string
	end  error
}

// rawAnswers are the answers to callers' requests, one after the other; the last one repeats.
type rawAnswers struct {
	mu   sync.Mutex
	list []rawAnswer
	sent int
}

func (a *rawAnswers) set(list ...rawAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list, a.sent = list, 0
}

func (a *rawAnswers) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// next returns the answer to a request, unless the stand-in answers it.
func (a *rawAnswers) next(head []byte) (rawAnswer, bool) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	path := ""
	if err == nil {
		path = r.Method + " " + r.URL.Path
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if path != "POST /v1/completions" && path != "POST /x" && !strings.HasPrefix(path, "GET /v1/streams/") || len(a.list) == 0 {
		return rawAnswer{}, false
	}
	out := a.list[min(a.sent, len(a.list)-1)]
	a.sent++
	out.text = strings.ReplaceAll(out.text, "{id}", r.Header.Get(headerRequestID))
	return out, true
}

// rawConn is a connection to a stand-in on which a raw answer may take its place.
type rawConn struct {
	net.Conn
	answers *rawAnswers

	mu     sync.Mutex
	taken  bool
	answer rawAnswer
}

func (c *rawConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.taken {
		if c.answer, c.taken = c.answers.next(p); c.taken {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the read
		}
	}
	taken := c.taken
	c.mu.Unlock()
	if taken {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.taken {
		return n, err
	}
	if c.answer.text == "" {
		return 0, c.answer.end
	}
	n = copy(p, c.answer.text)
	c.answer.text = c.answer.text[n:]
	return n, nil
}

// rawResponse returns the head and the body of a response as they are on the wire.
func rawResponse(status, contentType, framing, body string) (head, framed string) {
	fields := "X-Request-Id: {id}\nConnection: close\nContent-Type: " + contentType + "\n"
	framed = body
	switch framing {
	case "length":
		fields += fmt.Sprintf("Content-Length: %d\n", len(body))
	case "chunked":
		fields += "Transfer-Encoding: chunked\n"
		framed = "0\r\n\r\n"
		if body != "" {
			framed = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
	}
	return strings.ReplaceAll("HTTP/1.1 "+status+"\n"+fields+"\n", "\n", "\r\n"), framed
}

const (
	eventStream = "text/event-stream"
	endMarker   = "data: [DONE]\n\n"
)

// rawEvents returns events of a stream; the last one of a whole stream is event 5.
func rawEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		data := fmt.Sprintf(`{"choices":[{"text":"%d"}]}`, i)
		if i == 5 {
			data = "[DONE]"
		}
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, data)
	}
	return b.String()
}

func wholeRaw(contentType, body string) rawAnswer {
	head, framed := rawResponse("200 OK", contentType, "length", body)
	return rawAnswer{head + framed, io.EOF}
}

// begunRaw is a stream that is cut after two events.
func begunRaw(tail string) rawAnswer {
	head, framed := rawResponse("200 OK", eventStream, "chunked", rawEvents(1, 2)+tail)
	return rawAnswer{strings.TrimSuffix(head+framed, "0\r\n\r\n"), syscall.ECONNRESET}
}

// mustBeWholeEvents checks that a caller of a stream got whole events, and then either the end marker or the host's error.
func mustBeWholeEvents(t *testing.T, r reply, note string) (whole bool) {
	t.Helper()
	must.Eq(t, 200, r.status, must.Sprint(note, " ", r.body, r.err))
	must.StrNotContains(t, r.body, "boom", must.Sprint(note))
	if r.body == rawEvents(1, 5) {
		must.NoError(t, r.err)
		return true
	}
	passed, reason, failed := strings.Cut(r.body, "event: error\n")
	must.True(t, failed, must.Sprint(note, " a cut stream has no error event: ", r.body, r.err))
	must.Eq(t, rawEvents(1, strings.Count(passed, "id: ")), passed, must.Sprint(note))
	must.StrNotContains(t, r.body, "[DONE]", must.Sprint(note))
	must.Eq(t, 1, strings.Count(reason, "\n\n"), must.Sprint(note, reason))
	return false
}

// Guards against a response that breaks off, in its head above all, and looks complete to the caller.
func TestBrokenOffResponseNeverLooksComplete(t *testing.T) {
	const answer, informational = `{"choices":[{"text":"whole"}]}`, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	ask := func(f *fleet, kind, note string) reply {
		switch kind {
		case "files":
			return f.post("/files/x", keyRed, "body")
		case "pay":
			req := f.request(f.t.Context(), http.MethodPost, "/pay/x", keyRed, "body")
			req.Header.Set("Idempotency-Key", note)
			return f.do(req)
		}
		return f.post("/v1/completions", keyRed, completion("a:1", "x", 5, kind == "stream"))
	}
	for i, tc := range []struct{ kind, framing, before string }{
		{"whole", "length", ""}, {"whole", "chunked", ""}, {"whole", "until close", ""}, {"whole", "length", informational},
		{"stream", "length", ""}, {"stream", "chunked", ""}, {"stream", "until close", ""},
		{"files", "length", ""}, {"files", "chunked", ""}, {"files", "until close", ""}, {"pay", "length", ""},
	} {
		contentType, body := "application/json", answer
		if tc.kind == "stream" {
			contentType, body = eventStream, rawEvents(1, 5)
		}
		head, framed := rawResponse("200 OK", contentType, tc.framing, body)
		head = tc.before + head
		t.Run(fmt.Sprint(tc.kind, " ", tc.framing, " ", len(tc.before)), func(t *testing.T) {
			raw, retried := &rawAnswers{}, 0
			run(t, options{engines: 2, raw: raw}, func(f *fleet) {
				for cut := range len(head) + len(framed) {
					end := []error{io.EOF, syscall.ECONNRESET}[(cut+i)%2]
					if cut >= len(head) && (cut%4 > 1 || end == io.EOF && tc.kind == "files" && tc.framing == "until close") {
						continue // a clean end in such a body is the whole body
					}
					note := fmt.Sprintf("cut-%d-of-%d", cut, len(head))
					broken := rawAnswer{(head + framed)[:cut], end}
					raw.set(broken)
					got := ask(f, tc.kind, note)
					must.Positive(t, raw.count(), must.Sprint(note, " ", got.body, got.err))
					switch {
					case tc.kind == "stream" && got.status == 200:
						must.Eq(t, strings.Contains(broken.text, endMarker), mustBeWholeEvents(t, got, note))
					case got.status == 200 || got.status == 0:
						must.Error(t, got.err, must.Sprint(note, " ", got.body))
					default:
						must.GreaterEq(t, 409, got.status, must.Sprint(note))
					}
					switch {
					case cut > len(head):
					case tc.kind == "whole":
						raw.set(broken, wholeRaw(contentType, body))
						if got = ask(f, tc.kind, note); got.status == 200 && got.err == nil {
							retried++
							must.Eq(t, body, got.body, must.Sprint(note))
						}
					case tc.kind == "stream":
						raw.set(begunRaw("id: 3\nda"), broken)
						must.False(t, mustBeWholeEvents(t, ask(f, tc.kind, note), note))
						raw.set(begunRaw(""), broken, wholeRaw(eventStream, rawEvents(3, 5)))
						must.True(t, mustBeWholeEvents(t, ask(f, tc.kind, note), note))
					}
				}
			})
			must.Eq(t, tc.kind == "whole", retried > 0, must.Sprint("no retry was served"))
		})
	}
}

// Guards against an error of an engine that a caller finds in its stream, or that ends the stream as if complete.
func TestErrorAfterBegunStreamStaysOut(t *testing.T) {
	const text = "boom\n\nid: 3\ndata: boom\n\ndata: [DONE]\n\n"
	for name, tc := range map[string]struct{ status, contentType, body string }{
		"500":                    {"500 Internal Server Error", eventStream, text},
		"503":                    {"503 Service Unavailable", "text/plain", text},
		"421":                    {"421 Misdirected Request", "text/plain", text},
		"404":                    {"404 Not Found", "application/json", text},
		"302":                    {"302 Found", eventStream, text},
		"201":                    {"201 Created", eventStream, text},
		"204":                    {"204 No Content", eventStream, ""},
		"200 text":               {"200 OK", "text/plain", text},
		"200 json":               {"200 OK", "application/json", "{\"error\":\"boom\"}\n\n"},
		"200 without type":       {"200 OK", "", text},
		"200 empty":              {"200 OK", eventStream, ""},
		"200 text in a stream":   {"200 OK", eventStream, "boom\n\ndata: boom\n\n"},
		"200 event without id":   {"200 OK", eventStream, "data: {\"error\":\"boom\"}\n\n"},
		"200 head in a stream":   {"200 OK", eventStream, "HTTP/1.1 500 boom\r\nServer: boom\r\n\r\ndata: boom\n\n"},
		"200 of another request": {"200 OK", eventStream + "\nX-Request-Id: other", rawEvents(3, 5)},
	} {
		for _, framing := range []string{"length", "chunked", "until close"} {
			t.Run(name+" "+framing, func(t *testing.T) {
				raw := &rawAnswers{}
				run(t, options{engines: 2, raw: raw}, func(f *fleet) {
					head, framed := rawResponse(tc.status, tc.contentType, framing, tc.body)
					useless := rawAnswer{head + framed, io.EOF}
					begunHead, begun := rawResponse("200 OK", eventStream, "chunked", rawEvents(1, 4))
					first := strings.Index(begun, rawEvents(1, 1)) + len(rawEvents(1, 1))
					for cut := first; cut <= first+len(rawEvents(2, 2)); cut += 5 {
						note := fmt.Sprint("cut at ", cut)
						stream := rawAnswer{begunHead + begun[:cut], []error{io.EOF, syscall.ECONNRESET}[cut%2]}
						raw.set(stream, useless)
						got := f.post("/v1/completions", keyRed, completion("a:1", "x", 5, true))
						must.False(t, mustBeWholeEvents(t, got, note))
						after := strings.Count(got.body, "id: ")
						raw.set(stream, useless, wholeRaw(eventStream, rawEvents(after+1, 5)))
						must.True(t, mustBeWholeEvents(t, f.post("/v1/completions", keyRed, completion("a:1", "x", 5, true)), note))
					}
				})
			})
		}
	}
}
