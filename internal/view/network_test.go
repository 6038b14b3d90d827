package view

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// control is the Provider of a leading control host: a state machine whose age
// is 0.
type control struct {
	*state.Machine
	acceptedAt []time.Time // when each revision was accepted
}

func (*control) Age(time.Time) time.Duration { return 0 }

func newControl(t *testing.T) *control {
	c := &control{Machine: state.New(), acceptedAt: []time.Time{time.Now()}}
	c.Apply(1, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: "c"}}})
	c.put(t, &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: &apiv1.BaseModel{Name: "base"}}},
		&apiv1.Op{Op: &apiv1.Op_PutTeam{PutTeam: &apiv1.Team{Name: "t", Rate: &apiv1.Rate{TokensPerSecond: 1, BurstTokens: 1}}}},
		&apiv1.Op{Op: &apiv1.Op_PutKey{PutKey: &apiv1.Key{Id: "k", Team: "t", Sha256: fmt.Sprintf("%x", config.HashKey("secret"))}}})
	return c
}

func (c *control) put(t *testing.T, ops ...*apiv1.Op) {
	t.Helper()
	resp := c.Apply(1, &apiv1.Command{Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: c.Config().Revision + 1, Ops: ops}}}).(*apiv1.ApplyResponse)
	must.Eq(t, apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, resp.GetOutcome(), must.Sprint(resp.GetMessage()))
	c.acceptedAt = append(c.acceptedAt, time.Now())
}

// model returns a change whose content is unique to i.
func model(i int) *apiv1.Op {
	return &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: &apiv1.BaseModel{Name: fmt.Sprint("m", i)}}}
}

// faults are the faults that a link simulates.
type faults struct {
	cut      bool
	delay    time.Duration // of the request and of the response, each
	lossRate float64       // fraction of the responses that are lost
	modify   func(*apiv1.SyncResponse)
}

// link is a Source that is reached over a network with faults.
type link struct {
	source Source
	random *rand.Rand

	mu        sync.Mutex
	faults    faults
	responses []*apiv1.SyncResponse
}

func (l *link) set(f faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// currentFaults returns the faults, and whether the response is lost.
func (l *link) currentFaults() (f faults, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.faults.cut || l.faults.lossRate > 0 && l.random.Float64() < l.faults.lossRate
}

// takeResponses returns the responses since its last call.
func (l *link) takeResponses() []*apiv1.SyncResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.responses = nil }()
	return l.responses
}

func (l *link) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	if f, _ := l.currentFaults(); !sleep(ctx, f.delay) || f.cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	resp, err := l.source.Sync(ctx, proto.Clone(req).(*apiv1.SyncRequest))
	if err != nil {
		return nil, err
	}
	resp = proto.Clone(resp).(*apiv1.SyncResponse)
	f, lost := l.currentFaults()
	if f.modify != nil {
		f.modify(resp)
	}
	if !sleep(ctx, f.delay) || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, resp)
	return resp, nil
}
