package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/gateway"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

func cutQuery(target string) (path, query string, found bool) { return strings.Cut(target, "?") }

func originOf(s *apiv1.RelayStart) origin.Origin {
	return origin.Origin{Service: s.GetService(), Build: s.GetBuild()}
}

func leavingOf(s *apiv1.RelayStart) *gateway.LeavingServer {
	if l := s.GetLeaving(); l != nil {
		return &gateway.LeavingServer{Instance: l.GetInstance(), StartUnixMs: l.GetStartUnixMs()}
	}
	return nil
}

// Server serves the requests that other entry hosts relay.
type Server struct {
	Gateway *gateway.Gateway
	Now     func() time.Time
	// Stopping is true while the host is stopping; it then takes no more requests.
	Stopping *atomic.Bool
	// Streams keeps copies of other hosts' records of streams.
	Streams exchange.Keeper
	// Preview returns the leader's choice for Explain.
	Preview gateway.PreviewAcquire
}

// Explain returns where a request would go now, and why.
func (s *Server) Explain(ctx context.Context, req *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	r := &gateway.Request{
		ID: "explained", Method: http.MethodPost, Host: req.GetHost(), Target: req.GetPath(), Path: req.GetPath(),
		Generation: req.GetModel() != "", Weights: residency.Ref{Model: req.GetModel(), Adapter: req.GetAdapter()},
		PromptTokens: int(req.GetPromptTokens()), OutputTokens: int(req.GetOutputTokens()),
	}
	for _, p := range req.GetParts() {
		r.Parts = append(r.Parts, gateway.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return s.Gateway.Explain(ctx, r, req.GetTeam(), s.Preview), nil
}

// KeepStreams keeps copies of another host's records of streams.
func (s *Server) KeepStreams(ctx context.Context, req *apiv1.KeepStreamsRequest) (*apiv1.KeepStreamsResponse, error) {
	if s.Stopping.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
	return s.Streams.KeepStreams(ctx, req)
}

var errStopping = errors.New("this host is stopping")

// Relay serves one request.
func (s *Server) Relay(ctx context.Context, m *apiv1.RelayRequest, stream *connect.ServerStream[apiv1.RelayResponse]) error {
	if s.Stopping.Load() {
		return stream.Send(encodeEnd(fault.Wrap(gateway.ErrNotTaken, fault.KindUnavailable, "this host is stopping",
			"send the request to another host").WithRun(fault.NotRun)))
	}
	w := &responder{stream: stream}
	err := s.Gateway.ServeRelayed(ctx, decodeRequest(m, s.Now()), w)
	switch {
	case w.failed != nil:
		return w.failed
	case w.aborted:
		err = fault.New(fault.KindBackendFailed, "the response of the backend server is incomplete", "send the request again if it may be repeated").
			WithRun(fault.OutcomeUnknown)
	}
	return stream.Send(encodeEnd(err))
}

// responder sends a response to the host that relays it. A send blocks while the caller reads slowly.
type responder struct {
	stream  *connect.ServerStream[apiv1.RelayResponse]
	origin  origin.Origin
	leaving *apiv1.LeavingServer
	failed  error
	aborted bool
}

func (w *responder) send(m *apiv1.RelayResponse) error {
	if w.failed == nil {
		w.failed = w.stream.Send(m)
	}
	return w.failed
}

// SetOrigin is called before Start with the service and the build of the backend server.
func (w *responder) SetOrigin(o origin.Origin) { w.origin = o }

// SetLeaving is called before Start with the backend server if it leaves.
func (w *responder) SetLeaving(s gateway.LeavingServer) {
	w.leaving = &apiv1.LeavingServer{Instance: s.Instance, StartUnixMs: s.StartUnixMs}
}

// Start sends the status and header.
func (w *responder) Start(status int, header http.Header, length int64) {
	_ = w.send(&apiv1.RelayResponse{Part: &apiv1.RelayResponse_Start{Start: &apiv1.RelayStart{
		Status: uint32(status), Fields: encodeHeader(header), Length: length, Service: w.origin.Service, Build: w.origin.Build,
		Leaving: w.leaving,
	}}})
}

func (w *responder) Write(p []byte) (int, error) {
	if err := w.send(&apiv1.RelayResponse{Part: &apiv1.RelayResponse_Data{Data: p}}); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Flush does nothing: each message is sent at once.
func (w *responder) Flush() error { return w.failed }

// Abort has the sender told that the response is incomplete.
func (w *responder) Abort() { w.aborted = true }

var (
	_ gateway.OriginResponder  = (*responder)(nil)
	_ gateway.LeavingResponder = (*responder)(nil)
)
