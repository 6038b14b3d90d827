package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

// relayed is one request as a helper received it.
type relayed struct {
	helper   string
	request  Request
	handover Handover
}

// fakeRelay is a set of helpers.
type fakeRelay struct {
	sent    []relayed
	respond func(n int) (*Response, error)
}

func (f *fakeRelay) Send(ctx context.Context, helper exchange.Helper, r *Request, h Handover) (*Response, error) {
	f.sent = append(f.sent, relayed{helper.Host, *r, h})
	resp, err := f.respond(len(f.sent) - 1)
	if resp != nil && resp.Body != nil {
		resp.Body.(*body).ctx = ctx
	}
	return resp, err
}

func relayedStream(build string, end error, pieces ...string) *Response {
	return &Response{
		Status: 200, Header: http.Header{}, Length: -1, FromBackend: true, Origin: origin.Origin{Service: llm, Build: build},
		Body: &body{pieces: pieces, end: end},
	}
}

// cutOff has the host reach no backend server.
func (h *harness) cutOff(respond func(n int) (*Response, error)) *fakeRelay {
	f := &fakeRelay{respond: respond}
	h.g.opts.Relay = f
	h.view.Helpers = []exchange.Helper{{Host: "h1", Address: "http://h1"}, {Host: "h2", Address: "http://h2"}, {Host: "h3", Address: "http://h3"}}
	h.g.reach.Probed(8, 0, time.Now())
	h.respond = func(int, Attempt) reply { return reply{err: h1.NewError(false, false, errReset)} }
	return f
}

func refusal(kind fault.Kind, run fault.Run) *Response {
	return &Response{Refusal: fault.New(kind, "refused", "again").WithRun(run)}
}

// Guards against a second run of a request that a helper may have run, a false "not run", and a request that is given up
// although another helper could serve it.
func TestRelayOutcomes(t *testing.T) {
	ok := func() *Response {
		return &Response{Status: 200, Header: http.Header{}, Length: -1, FromBackend: true, Body: &body{pieces: []string{"ok"}}}
	}
	for name, tc := range map[string]struct {
		route string
		first func() (*Response, error)
		sends int
		run   fault.Run // of the refusal; empty when served
	}{
		"served":                       {"unsafe", func() (*Response, error) { return ok(), nil }, 1, ""},
		"helper not reached":           {"unsafe", func() (*Response, error) { return nil, h1.NewError(false, false, errReset) }, 2, ""},
		"helper takes none":            {"unsafe", func() (*Response, error) { return refusal(fault.KindUnavailable, fault.NotRun), nil }, 2, ""},
		"helper has another catalog":   {"unsafe", func() (*Response, error) { return refusal(fault.KindUnauthorized, fault.NotRun), nil }, 2, ""},
		"fleet is full":                {"unsafe", func() (*Response, error) { return refusal(fault.KindOverloaded, fault.NotRun), nil }, 1, fault.NotRun},
		"unsafe, helper lost":          {"unsafe", func() (*Response, error) { return nil, h1.NewError(true, false, errReset) }, 1, fault.OutcomeUnknown},
		"unsafe, outcome unknown":      {"unsafe", func() (*Response, error) { return refusal(fault.KindBackendFailed, fault.OutcomeUnknown), nil }, 1, fault.OutcomeUnknown},
		"unsafe, helper's claim of no": {"unsafe", func() (*Response, error) { return refusal(fault.KindUnavailable, fault.OutcomeUnknown), nil }, 1, fault.OutcomeUnknown},
		"safe, helper lost":            {"safe", func() (*Response, error) { return nil, h1.NewError(true, false, errReset) }, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				f := h.cutOff(func(n int) (*Response, error) {
					if n == 0 {
						return tc.first()
					}
					return ok(), nil
				})
				c, err := h.ask(tc.route, nil)
				must.Len(t, tc.sends, f.sent)
				must.SliceEmpty(t, h.sent, must.Sprint("a host that is cut off tried a server"))
				if tc.sends == 2 {
					must.NotEq(t, f.sent[0].helper, f.sent[1].helper)
				}
				if tc.run != "" {
					must.Eq(t, tc.run, runOf(t, err))
					return
				}
				must.NoError(t, err)
				must.Eq(t, "ok", c.String())
			})
		})
	}
}

// Guards against a circle of hosts, and against a helper that counts a request twice against its team's rate.
func TestRelayedRequestGoesNoFurther(t *testing.T) {
	start(t, func(h *harness) {
		relayed := func(r *Request) {
			r.Handover = &Handover{From: "h9", Remaining: time.Second, MaxRuns: 2}
			r.PromptTokens, r.OutputTokens = 5000, 5000 // beyond the rate
		}
		h.respond = func(int, Attempt) reply { return reply{status: 200, body: &body{pieces: []string{"ok"}}} }
		c, err := h.ask("safe", relayed)
		must.NoError(t, err, must.Sprint("the tokens were taken by the host that relayed the request"))
		must.Eq(t, "ok", c.String())
		must.LessEq(t, time.Second, h.sent[0].attempt.Remaining)

		f := h.cutOff(func(int) (*Response, error) { return refusal(fault.KindUnavailable, fault.NotRun), nil })
		r := &Request{ID: "id", Method: "GET", Target: "/safe/x", Path: "/safe/x", Host: "h", APIKey: "k", Received: time.Now()}
		relayed(r)
		err = h.g.ServeRelayed(t.Context(), r, &caller{})
		must.Eq(t, fault.NotRun, runOf(t, err))
		must.True(t, fault.Is(err, fault.KindUnavailable))
		must.SliceEmpty(t, f.sent)
		_, err = h.ask("safe", func(r *Request) { relayed(r); r.APIKey = "forged" })
		must.True(t, fault.Is(err, fault.KindUnauthorized), must.Sprint("a helper trusts the caller's identity"))
	})
}

// Guards against a relayed stream that has a gap, a repeat or a second build after its helper was lost.
func TestRelayedStreamGoesOnAtBuild(t *testing.T) {
	start(t, func(h *harness) {
		f := h.cutOff(func(n int) (*Response, error) {
			if n == 0 {
				return relayedStream("v2", errReset, event("1")+event("2")+"id: 3\nda"), nil
			}
			return relayedStream("v2", nil, event("3")), nil
		})
		c, err := h.ask("stream", nil)
		must.NoError(t, err)
		must.False(t, c.aborted)
		must.Eq(t, event("1")+event("2")+event("3"), c.String())
		must.Eq(t, "2", f.sent[1].request.AfterEvent)
		must.Eq(t, origin.Origin{Service: llm, Build: "v2"}, f.sent[1].handover.Origin)
		must.Eq(t, 1, f.sent[1].handover.MaxRuns)
		must.NotEq(t, f.sent[0].helper, f.sent[1].helper)
	})
}

// Guards against a take-up that a host joins by itself although only a helper could find its build.
func TestTakeUpAtCutOffHost(t *testing.T) {
	start(t, func(h *harness) {
		h.setBuilds("v1", "v2", "v2")
		h.setRecordedBuilds("v1", "v2")
		h.findErr = errUnavailable()
		f := h.cutOff(func(int) (*Response, error) {
			h.g.reach.Probed(8, 8, time.Now()) // the cut ends meanwhile
			return refusal(fault.KindUnavailable, fault.NotRun), nil
		})
		_, err := h.ask("stream", func(r *Request) { r.AfterEvent, r.Resumes = "2", "known" })
		must.Eq(t, fault.NotRun, runOf(t, err))
		must.SliceEmpty(t, h.sent)
		must.Eq(t, origin.Origin{}, f.sent[0].handover.Origin)
	})
}

// Guards against hosts that are cut off together and all turn to the same helper, and one that overloads
// a helper while others are idle.
func TestRelaysSpread(t *testing.T) {
	r := newRelays()
	now := time.Unix(1000, 0)
	helpers := []exchange.Helper{{Host: "near", Domain: "a", Running: 4}, {Host: "far", Domain: "b", Running: 2}, {Host: "busy", Domain: "a", Running: 40}}
	chosen, _ := r.choose(helpers, "a", nil, now)
	must.Eq(t, "near", chosen.Host)
	r.pause("near", now)
	chosen, _ = r.choose(helpers, "a", nil, now)
	must.Eq(t, "far", chosen.Host, must.Sprint("a helper that took no request is chosen again at once"))
	now = now.Add(helperPause)
	count := map[string]int{}
	for range 60 {
		h, ok := r.choose(helpers, "a", nil, now)
		must.True(t, ok)
		count[h.Host]++
		r.add(h.Host, 1)
	}
	must.Positive(t, count["far"])
	must.Positive(t, count["busy"])
	must.Greater(t, count["busy"], count["near"])
	_, ok := r.choose(helpers, "a", map[string]bool{"near": true, "far": true, "busy": true}, now)
	must.False(t, ok)
}

// Guards against a helper whose own callers starve under the requests of others.
func TestReceivedRequestsAreBounded(t *testing.T) {
	r := newRelays()
	for range maxRelayed {
		must.True(t, r.receive())
	}
	must.False(t, r.receive())
	r.endReceived()
	must.True(t, r.receive())
}

// Guards against a helper's refusal or error that a caller finds in a stream that another helper began, or that ends it as if complete.
func TestHelperFailsAfterBegunStream(t *testing.T) {
	typed := func(status int, contentType, text string, end error) *Response {
		resp := relayedStream("v2", end, text)
		resp.Status = status
		resp.Header.Set("Content-Type", contentType)
		return resp
	}
	const stream, text = "text/event-stream", "boom\n\nid: 3\ndata: boom\n\n"
	for name, tc := range map[string]struct {
		second func() (*Response, error)
		// goesOn is true when the route's limit of two runs allows another helper.
		goesOn bool
	}{
		"takes none":           {func() (*Response, error) { return refusal(fault.KindUnavailable, fault.NotRun), nil }, true},
		"another catalog":      {func() (*Response, error) { return refusal(fault.KindUnknownRoute, fault.NotRun), nil }, true},
		"fleet is full":        {func() (*Response, error) { return refusal(fault.KindOverloaded, fault.NotRun), nil }, true},
		"outcome unknown":      {func() (*Response, error) { return refusal(fault.KindBackendFailed, fault.OutcomeUnknown), nil }, false},
		"not reached":          {func() (*Response, error) { return nil, h1.NewError(false, false, errReset) }, true},
		"lost before its head": {func() (*Response, error) { return nil, h1.NewError(true, false, errReset) }, false},
		"lost after its head":  {func() (*Response, error) { return typed(200, stream, "", errReset), nil }, false},
		"lost in an event":     {func() (*Response, error) { return typed(200, stream, "id: 3\nda", errReset), nil }, false},
		"server's 500":         {func() (*Response, error) { return typed(500, stream, text, nil), nil }, false},
		"server's 404":         {func() (*Response, error) { return typed(404, "text/plain", text, nil), nil }, false},
		"500 cut":              {func() (*Response, error) { return typed(500, "text/plain", text, errReset), nil }, false},
		"200 text":             {func() (*Response, error) { return typed(200, "text/plain", text, nil), nil }, false},
		"200 json":             {func() (*Response, error) { return typed(200, "application/json", "{\"error\":\"boom\"}\n\n", nil), nil }, false},
		"200 text, empty":      {func() (*Response, error) { return typed(200, "text/plain", "", nil), nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				f := h.cutOff(func(n int) (*Response, error) {
					switch n {
					case 0:
						return typed(200, stream, event("1")+event("2")+"id: 3\nda", errReset), nil
					case 1:
						return tc.second()
					}
					return typed(200, stream, event("3"), nil), nil
				})
				c, err := h.ask("stream", nil)
				must.NoError(t, err)
				must.GreaterEq(t, 2, len(f.sent), must.Sprint("the stream was not resumed"))
				must.Eq(t, tc.goesOn, !c.aborted)
				want := event("1") + event("2")
				if tc.goesOn {
					want += event("3")
				}
				must.Eq(t, want, c.String())
			})
		})
	}
}
