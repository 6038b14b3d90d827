package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// fakeControl is a control host that serves Borrow from the lender.
type fakeControl struct {
	apiv1connect.FleetServiceClient
	apiv1connect.RateServiceClient
	apiv1connect.CallServiceClient
	delay   time.Duration
	lost    bool // the request arrives, but its response is lost
	lender  *rate.Lender
	reports []*apiv1.ReportRequest
	begun   map[string]string
}

func (f *fakeControl) respond(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(f.delay):
	}
	if f.lost || ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.KindDeadline, "no response", "try again")
	}
	return nil
}

func (f *fakeControl) Report(ctx context.Context, req *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	f.reports = append(f.reports, req)
	return &apiv1.ReportResponse{Term: 3}, f.respond(ctx)
}

func (f *fakeControl) Borrow(ctx context.Context, req *apiv1.BorrowRequest) (*apiv1.BorrowResponse, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err() // the request is not sent
	}
	resp := f.lender.Borrow(req, time.Now())
	return resp, f.respond(ctx)
}

func (f *fakeControl) Begin(ctx context.Context, req *apiv1.BeginCallRequest) (*apiv1.BeginCallResponse, error) {
	call := req.GetCall()
	owner, ok := f.begun[call.GetId().GetIdempotencyKey()]
	if !ok {
		owner = call.GetRequestId()
		f.begun[call.GetId().GetIdempotencyKey()] = owner
	}
	resp := &apiv1.BeginCallResponse{Begun: !ok, RequestId: owner, State: apiv1.CallState_CALL_STATE_STARTED}
	return resp, f.respond(ctx)
}

func controlOf(hosts ...*fakeControl) *client.Control {
	var endpoints []*client.Endpoint
	for _, h := range hosts {
		endpoints = append(endpoints, &client.Endpoint{Fleet: h, Rate: h, Call: h})
	}
	return client.NewControlFromEndpoints(endpoints, time.Second)
}

// fakeEntry reports a crash mark until a report gets a response. sent has the
// send time of each report that got one.
type fakeEntry struct{ sent []time.Time }

func (f *fakeEntry) Report() *apiv1.ReportRequest {
	req := &apiv1.ReportRequest{}
	if len(f.sent) == 0 {
		req.Crashes = []*apiv1.CrashMark{{Fingerprint: []byte("f")}}
	}
	return req
}
func (f *fakeEntry) ApplyFleet(_ *apiv1.ReportResponse, sent time.Time) {
	f.sent = append(f.sent, sent)
}
func (f *fakeEntry) Drain() {}

type fakeView struct{}

func (fakeView) Config() *config.Snapshot { return config.Empty("c") }

func newAgent(entry Entry, account *rate.Account, hosts ...*fakeControl) *Agent {
	return New(Options{
		Cluster: "c", Host: "h", Incarnation: 1, Control: controlOf(hosts...), Account: account, View: fakeView{}, Logger: zerolog.Nop(),
	}, entry)
}

// TestReportIsRetriedAndTableHasSendTime guards against a lost report that is not
// retried with its crash marks at another control host, and against a fleet table
// that is applied with a later time than the send time of its report: the entry
// host would then run requests on an adapter that is already unloaded.
func TestReportIsRetriedAndTableHasSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &fakeControl{lost: true}, &fakeControl{delay: 200 * time.Millisecond}
		first.delay = 300 * time.Millisecond
		entry := &fakeEntry{}
		a := newAgent(entry, nil, first, second)
		sent := time.Now()
		a.report(t.Context())
		must.Len(t, 1, entry.sent)
		must.True(t, entry.sent[0].Equal(sent))
		must.Len(t, 1, second.reports[0].GetCrashes())

		second.lost = true
		entry.sent = nil
		a.report(t.Context())
		must.SliceEmpty(t, entry.sent)
		a.report(t.Context())
		must.Len(t, 1, second.reports[2].GetCrashes())
	})
}

// TestTokensAreReturnedOnStop guards against a stopping host that does not return
// its tokens: its teams would lack them for 2.5 s.
func TestTokensAreReturnedOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := rate.NewLender(3, time.Now())
		lender.SetTeams([]*apiv1.Team{{Name: "t", Rate: &apiv1.Rate{TokensPerSecond: 100, BurstTokens: 1000}}}, time.Now())
		time.Sleep(time.Minute)
		lender.Tick(time.Now())
		account := rate.NewAccount("h", 1)
		account.SetDemand("t", 500)
		a := newAgent(&fakeEntry{}, account, &fakeControl{lender: lender})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		must.Positive(t, lender.Status(time.Now())[0].GetOutstanding())
		cancel()
		must.NoError(t, <-done)
		must.EqOp(t, 0, lender.Status(time.Now())[0].GetOutstanding())
	})
}

// TestLostResponseToBegin guards against a retried Begin that is taken for
// another request's: after a lost response, the retry at another control host
// finds the record of the same request.
func TestLostResponseToBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := map[string]string{}
		first, second := &fakeControl{lost: true, begun: begun}, &fakeControl{begun: begun}
		calls := Calls{Cluster: "c", Control: controlOf(first, second)}
		call := &apiv1.BeginCall{Id: &apiv1.CallId{IdempotencyKey: "k"}, RequestId: "r1"}
		resp, err := calls.Begin(t.Context(), call)
		must.NoError(t, err)
		must.False(t, resp.GetBegun())
		must.EqOp(t, "r1", resp.GetRequestId())
		second.lost = true
		_, err = calls.Begin(t.Context(), call)
		must.True(t, fault.Is(err, fault.KindDeadline) && !errors.Is(err, context.Canceled))
	})
}
