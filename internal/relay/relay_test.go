package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/gateway"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// helperHost is a helper with one backend server, which it plays itself.
type helperHost struct {
	t        testing.TB
	view     *exchange.View
	stopping atomic.Bool
	// respond is the backend server's response; got is the request and the attempt that it received.
	respond func(ctx context.Context) (*gateway.Response, error)
	mu      sync.Mutex
	got     *gateway.Request
	attempt gateway.Attempt
	address string
	client  *Client
}

func (f *helperHost) View() *exchange.View { return f.view }
func (f *helperHost) RequestTokens()       {}

func (f *helperHost) ReportSoon() {}

func (f *helperHost) BookPrompt(context.Context, prompts.Booking) (prompts.Slot, error) {
	return prompts.Slot{Booked: true}, nil
}

func (f *helperHost) MeasurePrompt(prompts.Measurement) {}

func (f *helperHost) Acquire(context.Context, residency.Request) (exchange.Acquired, error) {
	return exchange.Acquired{}, fault.New(fault.KindNoBackend, "no", "again").WithRun(fault.NotRun)
}

func (f *helperHost) RecordStream(context.Context, origin.Record, bool) error { return nil }

func (f *helperHost) FindStream(context.Context, origin.Query) (origin.Answer, error) {
	return origin.Answer{}, fault.New(fault.KindUnavailable, "no leader", "again").WithRun(fault.NotRun)
}

func (f *helperHost) Send(ctx context.Context, r *gateway.Request, a gateway.Attempt) (*gateway.Response, error) {
	f.mu.Lock()
	f.got, f.attempt = r, a
	respond := f.respond
	f.mu.Unlock()
	return respond(ctx)
}

func (f *helperHost) Reachable(context.Context, string) bool { return true }

func startHelper(t testing.TB) *helperHost {
	t.Helper()
	cat, err := catalog.New(catalog.Catalog{
		Revision: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Timeout: 5 * time.Second, MaxAttempts: 1, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Timeout: 5 * time.Second, MaxAttempts: 1, Streaming: true, Repeatable: true, Resumable: true,
				Split: []catalog.WeightedService{{Service: "s", Weight: 1}}},
		},
		Teams: []catalog.Team{{Name: "red", Keys: []string{"k"}}},
	})
	must.NoError(t, err)
	srv := &exchange.Server{Instance: "i", Service: "s", Address: "x", Build: "v2"}
	f := &helperHost{t: t, view: &exchange.View{
		Catalog: cat, Confirmed: time.Now(), Servers: map[string]*exchange.Server{"i": srv}, ByService: map[string][]*exchange.Server{"s": {srv}},
	}}
	g := gateway.New(gateway.Options{
		Fleet: f, Rates: quota.NewLimiter(), Backend: f, DropConnections: func(string) {}, Logger: zerolog.Nop(), Meter: meter.NewSet(""), Now: time.Now,
	})
	p, err := peer.New(peer.Options{Cluster: "c", Unauthenticated: true})
	must.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewRelayServiceHandler(&Server{Gateway: g, Now: time.Now, Stopping: &f.stopping}, p.HandlerOptions()...))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := p.Server("", mux)
	go func() { _ = p.Serve(server, l) }()
	t.Cleanup(func() { _ = server.Close() })
	f.address = "http://" + l.Addr().String()
	f.client = NewClient("h9", func(address string) apiv1connect.RelayServiceClient {
		return apiv1connect.NewRelayServiceClient(p.StreamingClient(), address, p.ClientOptions()...)
	})
	return f
}

func (f *helperHost) relay(path string) (*gateway.Response, error) {
	r := &gateway.Request{
		ID: "id", Method: "POST", Target: path, Host: "h", APIKey: "k", Timeout: 3 * time.Second, Body: []byte("body"), AfterEvent: "",
		Fields: []h1.Field{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"}}, Parts: []gateway.PromptPart{{ID: "p", Tokens: 3}},
	}
	return f.client.Send(f.t.Context(), exchange.Helper{Address: f.address}, r, gateway.Handover{Remaining: 2 * time.Second, MaxRuns: 1, Recorded: true})
}

func response(text string, end error) func(context.Context) (*gateway.Response, error) {
	return func(context.Context) (*gateway.Response, error) {
		return &gateway.Response{
			Status: 200, Header: http.Header{"X-Mark": {"seal"}, "Via": {"a", "b"}}, Length: -1, FromBackend: true,
			Body: io.NopCloser(io.MultiReader(strings.NewReader(text), errorReader{end})),
		}, nil
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) {
	if r.err == nil {
		return 0, io.EOF
	}
	return 0, r.err
}

// Guards against a request or a response that changes on the extra hop.
func TestRelayChangesNothing(t *testing.T) {
	f := startHelper(t)
	for path, text := range map[string]string{"/plain/x?q=1": strings.Repeat("long ", 100_000), "/stream/x": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"} {
		f.respond = response(text, nil)
		resp, err := f.relay(path)
		must.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, text, string(data))
		must.Eq(t, 200, resp.Status)
		must.True(t, resp.FromBackend)
		must.Eq(t, http.Header{"X-Mark": {"seal"}, "Via": {"a", "b"}}, resp.Header)
		must.Eq(t, path, f.got.Target)
		must.Eq(t, "body", string(f.got.Body))
		must.Eq(t, []h1.Field{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"}}, f.got.Fields)
		must.Eq(t, "red", f.attempt.Team)
		must.True(t, f.got.Handover.Recorded)
		must.Between(t, time.Second, f.attempt.Remaining, 2*time.Second)
		must.NoError(t, resp.Body.Close())
	}
}

// Guards against a response that broke off at the helper and looks complete here.
func TestBrokenResponseStaysBroken(t *testing.T) {
	f := startHelper(t)
	f.respond = response("id: 1\ndata: a\n\n", io.ErrUnexpectedEOF)
	resp, err := f.relay("/stream/x")
	must.NoError(t, err)
	must.Eq(t, origin.Origin{Service: "s", Build: "v2"}, resp.Origin)
	data, err := io.ReadAll(resp.Body)
	must.Error(t, err)
	must.Eq(t, "id: 1\ndata: a\n\n", string(data))
	f.respond = response("half", io.ErrUnexpectedEOF)
	resp, err = f.relay("/plain/x")
	must.NoError(t, err)
	must.Eq(t, fault.OutcomeUnknown, resp.Refusal.Run)
}

// Guards against a response that no backend server can have sent, as a helper of a release that accepts it passes it on.
func TestMalformedResponseIsRefused(t *testing.T) {
	f := startHelper(t)
	refuse := func(status int, field string) {
		f.respond = func(ctx context.Context) (*gateway.Response, error) {
			resp, err := response("boom", nil)(ctx)
			resp.Status, resp.Header[field] = status, []string{"boom"}
			return resp, err
		}
		_, err := f.relay("/plain/x")
		var he *h1.Error
		must.True(t, errors.As(err, &he), must.Sprintf("accepted: status %d, field %q", status, field))
		must.True(t, he.Sent)
	}
	for _, status := range []int{0, 42, 100, 101, 600, 999} {
		refuse(status, "X-A")
	}
	for _, field := range []string{"X Odd", "X-Odd ", "", "X\tOdd", "X\x01Odd", "X:Odd", "X\r\nOdd"} {
		refuse(200, field)
	}
}

// Guards against a false "not run", and against one that is withheld.
func TestRelayTellsWhetherItRan(t *testing.T) {
	f := startHelper(t)
	f.respond = func(context.Context) (*gateway.Response, error) { return nil, h1.NewError(true, false, io.EOF) }
	resp, err := f.relay("/plain/x")
	must.NoError(t, err)
	must.Eq(t, fault.OutcomeUnknown, resp.Refusal.Run)
	f.respond = func(context.Context) (*gateway.Response, error) { return nil, h1.NewError(false, false, io.EOF) }
	resp, err = f.relay("/plain/x")
	must.NoError(t, err)
	must.Eq(t, fault.NotRun, resp.Refusal.Run)
	must.False(t, resp.NotTaken)
	f.stopping.Store(true)
	resp, err = f.relay("/plain/x")
	must.NoError(t, err)
	must.Eq(t, fault.NotRun, resp.Refusal.Run)
	must.Eq(t, fault.KindUnavailable, resp.Refusal.Kind)
	must.True(t, resp.NotTaken)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	f.address = "http://" + l.Addr().String()
	_, err = f.relay("/plain/x")
	var he *h1.Error
	must.True(t, errors.As(err, &he))
	must.False(t, he.Sent, must.Sprint("a helper that does not listen may have run the request"))
}

// Guards against a helper that works on for a caller who has left.
func TestHelperStopsWithItsSender(t *testing.T) {
	f := startHelper(t)
	ended := make(chan struct{})
	f.respond = func(ctx context.Context) (*gateway.Response, error) {
		resp, _ := response("id: 1\ndata: a\n\n", nil)(ctx)
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), waitReader{ctx, ended}))
		return resp, nil
	}
	resp, err := f.relay("/stream/x")
	must.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 64))
	must.NoError(t, err)
	_ = resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the helper still works")
	}
}

// cutProxy forwards connections to an address, and closes each after a number of bytes from there.
type cutProxy struct {
	net.Listener
	to    string
	after atomic.Int64
	reset atomic.Bool
	// sent is the number of bytes forwarded to the last client.
	sent atomic.Int64
}

func startCutProxy(t *testing.T, to string) *cutProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &cutProxy{Listener: l, to: strings.TrimPrefix(to, "http://")}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *cutProxy) forward(c *net.TCPConn) {
	defer c.Close()
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, c) }()
	p.sent.Store(0)
	_, _ = io.Copy(io.MultiWriter(c, countWriter{&p.sent}), io.LimitReader(server, p.after.Load()))
	if p.reset.Load() {
		_ = c.SetLinger(0)
	}
}

type countWriter struct{ n *atomic.Int64 }

func (w countWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a relayed response that looks complete although its helper was lost, in its head above all.
func TestHelperLostAtAnyByte(t *testing.T) {
	f := startHelper(t)
	proxy := startCutProxy(t, f.address)
	for path, text := range map[string]string{"/plain/x": "the whole body", "/stream/x": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"} {
		f.mu.Lock()
		f.respond = response(text, nil)
		f.mu.Unlock()
		proxy.reset.Store(false)
		proxy.after.Store(1 << 30)
		whole, err := relayTo(t, proxy.Addr().String(), path)
		must.NoError(t, err)
		must.Eq(t, text, whole)
		bytes := proxy.sent.Load()
		must.Greater(t, int64(len(text)), bytes)
		complete := 0
		for cut := range bytes {
			proxy.after.Store(cut)
			proxy.reset.Store(cut%2 == 0)
			got, err := relayTo(t, proxy.Addr().String(), path)
			must.StrHasPrefix(t, got, text, must.Sprintf("cut at %d of %d", cut, bytes))
			if err == nil {
				complete++
				must.Eq(t, text, got, must.Sprintf("cut at %d of %d", cut, bytes))
			}
		}
		must.Less(t, bytes/2, int64(complete), must.Sprint("most cuts change nothing"))
	}
}

// scriptedHelper sends messages and ends its response with an error or none.
type scriptedHelper struct {
	apiv1connect.UnimplementedRelayServiceHandler
	messages []*apiv1.RelayResponse
	err      error
}

func (h scriptedHelper) Relay(_ context.Context, _ *apiv1.RelayRequest, stream *connect.ServerStream[apiv1.RelayResponse]) error {
	for _, m := range h.messages {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return h.err
}

// Guards against a relayed response that looks complete although the helper has not said so.
func TestOnlyDeclaredEndCompletesResponse(t *testing.T) {
	begin := &apiv1.RelayResponse{Part: &apiv1.RelayResponse_Start{Start: &apiv1.RelayStart{Status: 200, Length: -1}}}
	data := &apiv1.RelayResponse{Part: &apiv1.RelayResponse_Data{Data: []byte("id: 1\ndata: a\n\n")}}
	end, failed, empty := encodeEnd(nil), encodeEnd(errors.New("boom")), &apiv1.RelayResponse{}
	p, err := peer.New(peer.Options{Cluster: "c", Unauthenticated: true})
	must.NoError(t, err)
	for name, tc := range map[string]struct {
		messages []*apiv1.RelayResponse
		err      error
		complete bool
	}{
		"complete":           {[]*apiv1.RelayResponse{begin, data, end}, nil, true},
		"nothing":            {nil, nil, false},
		"error only":         {nil, errors.New("boom"), false},
		"empty message":      {[]*apiv1.RelayResponse{empty, end}, nil, false},
		"end without head":   {[]*apiv1.RelayResponse{end}, nil, false},
		"data without head":  {[]*apiv1.RelayResponse{data, end}, nil, false},
		"head only":          {[]*apiv1.RelayResponse{begin}, nil, false},
		"no end":             {[]*apiv1.RelayResponse{begin, data}, nil, false},
		"error for an end":   {[]*apiv1.RelayResponse{begin, data}, errors.New("boom"), false},
		"failed end":         {[]*apiv1.RelayResponse{begin, data, failed}, nil, false},
		"second head":        {[]*apiv1.RelayResponse{begin, data, begin, end}, nil, false},
		"message in between": {[]*apiv1.RelayResponse{begin, data, empty, end}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(apiv1connect.NewRelayServiceHandler(scriptedHelper{messages: tc.messages, err: tc.err}, p.HandlerOptions()...))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			server := p.Server("", mux)
			go func() { _ = p.Serve(server, l) }()
			defer server.Close()
			got, err := relayTo(t, l.Addr().String(), "/stream/x")
			must.Eq(t, tc.complete, err == nil, must.Sprint(got, err))
			must.StrNotContains(t, got, "boom")
		})
	}
}

// relayTo relays a request to the address over a new connection, and returns the body.
func relayTo(t *testing.T, address, path string) (string, error) {
	t.Helper()
	p, err := peer.New(peer.Options{Cluster: "c", Unauthenticated: true})
	must.NoError(t, err)
	connections := p.StreamingClient()
	if c, ok := connections.(*http.Client); ok {
		defer c.CloseIdleConnections()
	}
	client := NewClient("h9", func(address string) apiv1connect.RelayServiceClient {
		return apiv1connect.NewRelayServiceClient(connections, address, p.ClientOptions()...)
	})
	r := &gateway.Request{ID: "id", Method: "POST", Target: path, Host: "h", APIKey: "k", Timeout: 3 * time.Second, Body: []byte("body")}
	resp, err := client.Send(t.Context(), exchange.Helper{Address: "http://" + address}, r, gateway.Handover{Remaining: 2 * time.Second, MaxRuns: 1})
	if err != nil {
		return "", err
	}
	must.Nil(t, resp.Refusal)
	must.Eq(t, 200, resp.Status)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// waitReader blocks until its context ends.
type waitReader struct {
	ctx   context.Context
	ended chan struct{}
}

func (r waitReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	close(r.ended)
	return 0, r.ctx.Err()
}

// BenchmarkHop measures what the extra hop costs for a stream of 14 events, sender and helper together.
func BenchmarkHop(b *testing.B) {
	f := startHelper(b)
	events := strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 200)+"\n\n", 14)
	f.respond = response(events, nil)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := f.relay("/stream/x")
		must.NoError(b, err)
		n, err := io.Copy(io.Discard, resp.Body)
		must.NoError(b, err)
		must.Eq(b, int64(len(events)), n)
		_ = resp.Body.Close()
	}
}

// Guards against a helper that takes the rest of a begun stream for a new request, or runs it without its limits.
func TestHandoverArrivesWhole(t *testing.T) {
	want := gateway.Handover{
		From: "h9", Remaining: 2 * time.Second, Origin: origin.Origin{Service: "s", Build: "v2"}, MaxRuns: 3, Begun: true, Recorded: true, SinceEvent: time.Second,
	}
	got := decodeRequest(encodeRequest("h9", &gateway.Request{}, want), time.Now())
	must.Eq(t, want, *got.Handover)
}
