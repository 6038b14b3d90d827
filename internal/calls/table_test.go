package calls

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	started  = apiv1.CallState_CALL_STATE_STARTED
	finished = apiv1.CallState_CALL_STATE_FINISHED
	unknown  = apiv1.CallState_CALL_STATE_UNKNOWN
	notRun   = apiv1.CallState_CALL_STATE_NOT_RUN
)

func begin(team, key, request string) *apiv1.BeginCall {
	return &apiv1.BeginCall{
		Id:          &apiv1.CallId{Team: team, Route: "booking", IdempotencyKey: key},
		Fingerprint: bytes.Repeat([]byte{1}, 32), Owner: "h1", OwnerIncarnation: 7, RequestId: request,
	}
}

func finish(b *apiv1.BeginCall, state apiv1.CallState, body int) *apiv1.FinishCall {
	return &apiv1.FinishCall{
		Id: b.GetId(), Owner: b.GetOwner(), OwnerIncarnation: b.GetOwnerIncarnation(), RequestId: b.GetRequestId(),
		State: state, Answer: &apiv1.Answer{Status: 201, Body: make([]byte, body)},
	}
}

// Each case is a Finish that must not change the record: otherwise a call could
// run twice, or a caller could get the answer to another request.
func TestFinishRefused(t *testing.T) {
	for name, change := range map[string]func(*apiv1.FinishCall){
		"another owner":       func(f *apiv1.FinishCall) { f.Owner = "h2" },
		"another incarnation": func(f *apiv1.FinishCall) { f.OwnerIncarnation = 8 },
		"an earlier request":  func(f *apiv1.FinishCall) { f.RequestId = "r0" },
		"another key":         func(f *apiv1.FinishCall) { f.Id = &apiv1.CallId{Team: "t"} },
		"no state":            func(f *apiv1.FinishCall) { f.State = 0 },
		"started":             func(f *apiv1.FinishCall) { f.State = started },
	} {
		for _, state := range []apiv1.CallState{notRun, finished, unknown} {
			table := New()
			b := begin("t", "k", "r1")
			must.True(t, table.Begin(b, 1).GetBegun())
			f := finish(b, state, 1)
			change(f)
			must.False(t, table.Finish(f).GetApplied(), must.Sprint(name))
			must.Eq(t, started, table.Begin(b, 2).GetState(), must.Sprint(name))
		}
	}
}

// A record must answer every retry until it is released, and only a release
// allows the call to begin again.
func TestTransitions(t *testing.T) {
	for name, c := range map[string]struct {
		state apiv1.CallState
		begun bool
	}{"not run": {notRun, true}, "finished": {finished, false}, "unknown": {unknown, false}} {
		table := New()
		b := begin("t", "k", "r1")
		must.True(t, table.Begin(b, 1).GetBegun())
		must.False(t, table.Begin(b, 1).GetBegun(), must.Sprint("a retry was allowed to send the call again"))
		must.True(t, table.Finish(finish(b, c.state, 3)).GetApplied())
		must.False(t, table.Finish(finish(b, notRun, 0)).GetApplied(), must.Sprint(name))
		resp := table.Begin(begin("t", "k", "r2"), 2)
		must.Eq(t, c.begun, resp.GetBegun(), must.Sprint(name))
		if !c.begun {
			must.Eq(t, c.state, resp.GetState())
			must.Eq(t, "r1", resp.GetRequestId())
			must.Eq(t, c.state == finished, resp.GetAnswer() != nil)
		}
		other := begin("t", "k", "r3")
		other.Fingerprint = bytes.Repeat([]byte{2}, 32)
		resp = table.Begin(other, 3)
		must.True(t, resp.GetFingerprintMismatch())
		must.Nil(t, resp.GetAnswer(), must.Sprint("the answer to another request was returned"))
	}
}

// Records beyond a limit must be refused. They must never displace a record that
// is younger than the retention.
func TestRecordLimits(t *testing.T) {
	table := New()
	for team := range MaxRecords / MaxRecordsPerTeam {
		for i := range MaxRecordsPerTeam {
			must.True(t, table.Begin(begin(fmt.Sprint(team), fmt.Sprint(i), "r"), int64(team)).GetBegun())
		}
		must.True(t, table.Begin(begin(fmt.Sprint(team), "more", "r"), 0).GetFull())
	}
	must.True(t, table.Begin(begin("new team", "k", "r"), 0).GetFull())
	must.Eq(t, started, table.Begin(begin("0", "0", "r"), 0).GetState(), must.Sprint("a retained record does not answer"))
	day := Retention.Milliseconds()
	must.Eq(t, 0, table.Expire(1<<60, day))
	must.Eq(t, MaxRecordsPerTeam, table.Expire(1<<60, day+1))
	must.Eq(t, 0, table.Expire(1, 1<<60))
	must.True(t, table.Begin(begin("0", "0", "r"), day).GetBegun())
	must.Eq(t, MaxRecords-MaxRecordsPerTeam+1, table.Len())
}

// Stored answers must stay within their limits, and an answer that is not stored
// must be marked as truncated instead of being cut.
func TestAnswerLimits(t *testing.T) {
	table := New()
	answer := func(team string, i, body int) *apiv1.Answer {
		b := begin(team, fmt.Sprint(i), "r")
		table.Begin(b, 0)
		must.True(t, table.Finish(finish(b, finished, body)).GetApplied())
		return table.Begin(b, 0).GetAnswer()
	}
	must.False(t, answer("t", 0, MaxAnswerBytes-64).GetTruncated())
	large := answer("t", 1, MaxAnswerBytes)
	must.True(t, large.GetTruncated())
	must.Eq(t, int32(201), large.GetStatus())
	must.SliceEmpty(t, large.GetBody())
	for team := range 6 {
		for i := range 2 * MaxAnswerBytesPerTeam / MaxAnswerBytes {
			answer(fmt.Sprint(team), i+2, MaxAnswerBytes-64)
			must.LessEq(t, MaxTotalAnswerBytes, table.AnswerBytes())
			must.LessEq(t, MaxAnswerBytesPerTeam, table.teams[fmt.Sprint(team)].answerBytes)
		}
	}
	must.Greater(t, MaxTotalAnswerBytes-2*MaxAnswerBytes, table.AnswerBytes())
	table.Expire(1<<60, 1<<60)
	must.Eq(t, 0, table.AnswerBytes())
	must.MapEmpty(t, table.teams)
	must.Eq(t, apiv1.CallState(0), table.Begin(begin("", "k", "r"), 0).GetState(), must.Sprint("an invalid call was begun"))
}
