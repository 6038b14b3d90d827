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

// control is a control leader: the state machine with a view age of 0.
type control struct {
	*state.Machine
	times []time.Time // when each revision was accepted
}

func (*control) Age(time.Time) time.Duration { return 0 }

func newControl(t *testing.T) *control {
	c := &control{Machine: state.New(), times: []time.Time{time.Now()}}
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
	c.times = append(c.times, time.Now())
}

// model is a change with a content of its own.
func model(i int) *apiv1.Op {
	return &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: &apiv1.BaseModel{Name: fmt.Sprint("m", i)}}}
}

// faults of a network.
type faults struct {
	cut    bool
	delay  time.Duration // of the request and of the answer, each
	lose   float64       // share of the answers that are lost
	change func(*apiv1.SyncResponse)
}

// link is a source behind a network with faults.
type link struct {
	to     Source
	random *rand.Rand

	mu      sync.Mutex
	faults  faults
	answers []*apiv1.SyncResponse
}

func (l *link) set(f faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// state returns the faults, and whether the answer is lost.
func (l *link) state() (f faults, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.faults.cut || l.faults.lose > 0 && l.random.Float64() < l.faults.lose
}

// take returns the answers since the last take.
func (l *link) take() []*apiv1.SyncResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.answers = nil }()
	return l.answers
}

func (l *link) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	if f, _ := l.state(); !sleep(ctx, f.delay) || f.cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	resp, err := l.to.Sync(ctx, proto.Clone(req).(*apiv1.SyncRequest))
	if err != nil {
		return nil, err
	}
	resp = proto.Clone(resp).(*apiv1.SyncResponse)
	f, lost := l.state()
	if f.change != nil {
		f.change(resp)
	}
	if !sleep(ctx, f.delay) || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, resp)
	return resp, nil
}
