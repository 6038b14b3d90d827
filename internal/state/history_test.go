package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// The histories come from a simulated network with simulated time: each request
// reaches the machine after a random delay, and its response reaches the client
// after another delay or is lost. A client that lost a response may resend, so that
// two copies of a change or call are in transit.

// clientRequest is one request of a client with the response that the client got.
type clientRequest struct {
	cmd                *apiv1.Command
	client             int
	sentAt, answeredAt int64
	reply              any // nil if the response was lost
}

// simulate sends the clients' commands and returns the history. next returns the
// next command of a client, given its last request or nil.
func simulate(random *rand.Rand, m *Machine, clients, steps int, next func(client int, last *clientRequest) *apiv1.Command) []porcupine.Operation {
	var requests []*clientRequest
	pending := make([]*clientRequest, clients)
	freeAt := make([]int64, clients)
	type event struct {
		at int64
		c  *clientRequest
	}
	var queue []event
	index := uint64(10)
	for now := int64(0); len(requests) < steps || len(queue) > 0; now++ {
		for i := range clients {
			if freeAt[i] <= now && len(requests) < steps {
				c := &clientRequest{cmd: next(i, pending[i]), client: i, sentAt: now}
				requests = append(requests, c)
				pending[i] = c
				arrive := now + 1 + random.Int64N(20)
				if random.IntN(5) == 0 {
					arrive += random.Int64N(100)
				}
				queue = append(queue, event{arrive, c})
				c.answeredAt = arrive + 1 + random.Int64N(20)
				freeAt[i] = c.answeredAt + 1
				if random.IntN(4) == 0 {
					// The client times out while the request may still be in transit.
					freeAt[i] = now + 1 + random.Int64N(30)
					c.answeredAt = -1
				}
			}
		}
		queue = slices.DeleteFunc(queue, func(e event) bool {
			if e.at > now {
				return false
			}
			index++
			result := m.Apply(index, e.c.cmd)
			if e.c.answeredAt >= 0 {
				e.c.reply = result
			}
			return true
		})
	}
	return operations(requests)
}

// operations returns the history. A request whose response was lost may take effect
// at any later time, so its operation ends after all others, under a separate client.
func operations(requests []*clientRequest) []porcupine.Operation {
	end := int64(0)
	for _, c := range requests {
		end = max(end, c.answeredAt, c.sentAt)
	}
	ops := make([]porcupine.Operation, 0, len(requests))
	for i, c := range requests {
		op := porcupine.Operation{ClientId: c.client, Input: c.cmd, Call: c.sentAt, Output: c.reply, Return: c.answeredAt}
		if c.answeredAt < 0 {
			op.ClientId, op.Return = 1000+i, end+100
		}
		ops = append(ops, op)
	}
	return ops
}

// If two different changes got the same number, or one change was applied twice, the
// history would not be linearizable.
func TestChangeHistories(t *testing.T) {
	model := porcupine.Model{
		Init:  func() any { return []string(nil) },
		Step:  func(s, in, out any) (bool, any) { return stepChangeModel(s.([]string), in.(*apiv1.Command), out) },
		Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := initialized()
		seen := make([]uint64, 4)
		ops := simulate(random, m, 4, 60, func(client int, last *clientRequest) *apiv1.Command {
			if last != nil && last.answeredAt < 0 && random.IntN(2) == 0 {
				return last.cmd // resends after a lost response
			}
			if r, ok := replyOf[*apiv1.ApplyResponse](last); ok {
				seen[client] = r.GetRevision()
			}
			return changeOf(seen[client]+1, "", baseModel(fmt.Sprint("m", random.IntN(3))))
		})
		must.True(t, porcupine.CheckOperations(model, ops), must.Sprintf("seed %d", seed))
		must.Greater(t, uint64(3), m.Config().Revision, must.Sprintf("seed %d: too few changes were accepted", seed))
	}
}

func replyOf[T any](c *clientRequest) (T, bool) {
	var none T
	if c == nil {
		return none, false
	}
	r, ok := c.reply.(T)
	return r, ok
}

// stepChangeModel is the sequential specification of a numbered change. log holds the
// contents of the accepted changes.
func stepChangeModel(log []string, cmd *apiv1.Command, output any) (bool, []string) {
	c := cmd.GetChange()
	content := fmt.Sprint(c.GetOps())
	want, next := conflict, log
	switch n := c.GetNumber(); {
	case n == uint64(len(log))+1:
		want, next = accepted, append(slices.Clone(log), content)
	case n >= 1 && n <= uint64(len(log)) && log[n-1] == content:
		want = already
	}
	r, ok := output.(*apiv1.ApplyResponse)
	if !ok {
		return true, next
	}
	return r.GetOutcome() == want && r.GetRevision() == uint64(len(next)), next
}

// callState is the state of one call record in the sequential specification.
type callState struct {
	state   apiv1.CallState
	request string
	body    string
}

// If two requests could both begin a call, or one got the answer of another, the
// history would not be linearizable.
func TestCallHistories(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return callState{} },
		Step: func(s, in, out any) (bool, any) { return stepCallModel(s.(callState), in.(*apiv1.Command), out) },
	}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		m := initialized()
		begins := 0
		ops := simulate(random, m, 4, 60, func(client int, last *clientRequest) *apiv1.Command {
			if last != nil && last.answeredAt < 0 && random.IntN(2) == 0 {
				return last.cmd
			}
			if r, ok := replyOf[*apiv1.BeginCallResponse](last); ok && r.GetBegun() {
				state := apiv1.CallState_CALL_STATE_NOT_RUN
				if random.IntN(8) == 0 {
					state = apiv1.CallState(2 + random.IntN(2))
				}
				return finishOf(last.cmd.GetBeginCall(), state)
			}
			begins++
			return beginOf(client, fmt.Sprint("r", begins))
		})
		must.True(t, porcupine.CheckOperations(model, ops), must.Sprintf("seed %d", seed))
	}
}

func beginOf(client int, request string) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_BeginCall{BeginCall: &apiv1.BeginCall{
		Id:          &apiv1.CallId{Team: "t", Route: "r", IdempotencyKey: "k"},
		Fingerprint: bytes.Repeat([]byte{1}, 32), Owner: fmt.Sprint("h", client), OwnerIncarnation: 1, RequestId: request,
	}}}
}

func finishOf(b *apiv1.BeginCall, state apiv1.CallState) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_FinishCall{FinishCall: &apiv1.FinishCall{
		Id: b.GetId(), Owner: b.GetOwner(), OwnerIncarnation: 1, RequestId: b.GetRequestId(), State: state,
		Answer: &apiv1.Answer{Status: 200, Body: []byte(b.GetRequestId())},
	}}}
}

func stepCallModel(s callState, cmd *apiv1.Command, output any) (bool, callState) {
	if b := cmd.GetBeginCall(); b != nil {
		r, seen := output.(*apiv1.BeginCallResponse)
		if s.state != 0 {
			return !seen || !r.GetBegun() && r.GetState() == s.state && r.GetRequestId() == s.request &&
				string(r.GetAnswer().GetBody()) == s.body, s
		}
		return !seen || r.GetBegun(), callState{state: apiv1.CallState_CALL_STATE_STARTED, request: b.GetRequestId()}
	}
	f := cmd.GetFinishCall()
	r, seen := output.(*apiv1.FinishCallResponse)
	if s.state != apiv1.CallState_CALL_STATE_STARTED || s.request != f.GetRequestId() {
		return !seen || !r.GetApplied(), s
	}
	next := callState{state: f.GetState(), request: s.request}
	switch f.GetState() {
	case apiv1.CallState_CALL_STATE_NOT_RUN:
		next = callState{}
	case apiv1.CallState_CALL_STATE_FINISHED:
		next.body = s.request
	}
	return !seen || r.GetApplied(), next
}
