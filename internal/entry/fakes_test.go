package entry

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// fakeView is a View whose configuration and age the test sets.
type fakeView struct {
	mu      sync.Mutex
	cfg     *config.Snapshot
	synced  time.Time // zero: always fresh
	changed chan struct{}
}

func (v *fakeView) Config() *config.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

func (v *fakeView) Age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.synced.IsZero() {
		return 0
	}
	return now.Sub(v.synced)
}

// freeze makes the view age from now on.
func (v *fakeView) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.synced = time.Now()
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) change(ops ...*apiv1.Op) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cfg = v.cfg.Apply(v.cfg.Revision+1, ops)
	close(v.changed)
	v.changed = make(chan struct{})
}

// fakeCalls stores call records in memory and can lose messages.
type fakeCalls struct {
	mu      sync.Mutex
	records map[string]*apiv1.BeginCall
	done    map[string]*apiv1.FinishCall
	// lostBegins is the number of the next Begins that are recorded and whose
	// responses are lost; failed ones are not recorded. A negative number means
	// all.
	lostBegins, failedBegins, failedFinishes int
	full, ownerGone                          bool
}

var errLost = errors.New("no answer")

// consume decrements n and reports whether the next message is lost.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func (c *fakeCalls) Begin(_ context.Context, b *apiv1.BeginCall) (*apiv1.BeginCallResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if consume(&c.failedBegins) {
		return nil, errLost
	}
	key := b.GetId().String()
	have := c.records[key]
	if done := c.done[key]; done.GetState() == apiv1.CallState_CALL_STATE_NOT_RUN {
		delete(c.done, key)
		have = nil
	}
	resp := &apiv1.BeginCallResponse{}
	switch {
	case have == nil && c.full:
		resp.Full = true
	case have == nil:
		c.records[key] = b
		resp.Begun = true
	case !bytes.Equal(have.GetFingerprint(), b.GetFingerprint()):
		resp.FingerprintMismatch = true
	case c.done[key] != nil:
		resp.State, resp.Answer = c.done[key].GetState(), c.done[key].GetAnswer()
	case have.GetRequestId() == b.GetRequestId():
		resp.Begun = true
	default:
		resp.State, resp.OwnerLive = apiv1.CallState_CALL_STATE_STARTED, !c.ownerGone
	}
	if consume(&c.lostBegins) {
		return nil, errLost
	}
	return resp, nil
}

func (c *fakeCalls) Finish(_ context.Context, f *apiv1.FinishCall) (*apiv1.FinishCallResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if consume(&c.failedFinishes) {
		return nil, errLost
	}
	key := f.GetId().String()
	have := c.records[key]
	if have == nil || have.GetRequestId() != f.GetRequestId() || c.done[key] != nil {
		return &apiv1.FinishCallResponse{}, nil
	}
	c.done[key] = proto.Clone(f).(*apiv1.FinishCall)
	return &apiv1.FinishCallResponse{Applied: true}, nil
}
