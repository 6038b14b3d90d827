// Package calls stores the records of non-repeatable calls. The record of a call
// decides whether the call may be sent, so that each call runs at most once. The
// table is part of the replicated state and therefore deterministic: it reads no
// clock, and its order never depends on map iteration.
package calls

import (
	"bytes"
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Limits of the table. The records must fit in a control host's 256 MB together
// with the configuration: 100,000 records take about 50 MB without their answers.
const (
	MaxRecords        = 100_000
	MaxRecordsPerTeam = 20_000
	// MaxAnswerBytes limits one stored answer, including its headers.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes limits the stored answers of all records together.
	MaxTotalAnswerBytes = 32 << 20
	// MaxAnswerBytesPerTeam limits the stored answers of one team, so that no team
	// uses all the space for answers.
	MaxAnswerBytesPerTeam = 8 << 20
	// Retention is the minimum time for which a record is retained.
	Retention = 24 * time.Hour
)

// key identifies a record.
type key struct {
	team, route, idempotencyKey string
}

func keyOf(id *apiv1.CallId) key {
	return key{id.GetTeam(), id.GetRoute(), id.GetIdempotencyKey()}
}

// usage is the usage of the limits by one team.
type usage struct {
	records     int
	answerBytes int
}

// Table stores the call records. It is not safe for concurrent use.
type Table struct {
	records map[key]*list.Element
	// order contains *apiv1.CallRecord values by begin time, the oldest first.
	order       *list.List
	teams       map[string]usage
	answerBytes int
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[key]*list.Element{}, order: list.New(), teams: map[string]usage{}}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the total size of the stored answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Begin creates the record of a call, or returns the contents of an existing
// record. Only the request that created the record gets a response with Begun
// set. A retry of that request gets the record with its own request id: the table
// cannot determine whether the requester has sent the call since, so the requester
// decides. For an invalid call, Begun is false and the state is unspecified. The
// answer in the response is shared and must not be modified.
func (t *Table) Begin(call *apiv1.BeginCall, nowUnixMs int64) *apiv1.BeginCallResponse {
	if Validate(call) != nil {
		return &apiv1.BeginCallResponse{}
	}
	k := keyOf(call.GetId())
	if e, ok := t.records[k]; ok {
		return responseForRecord(record(e), call)
	}
	if len(t.records) >= MaxRecords || t.teams[k.team].records >= MaxRecordsPerTeam {
		return &apiv1.BeginCallResponse{Full: true}
	}
	t.add(&apiv1.CallRecord{
		Id:               proto.Clone(call.GetId()).(*apiv1.CallId),
		Fingerprint:      bytes.Clone(call.GetFingerprint()),
		Owner:            call.GetOwner(),
		OwnerIncarnation: call.GetOwnerIncarnation(),
		RequestId:        call.GetRequestId(),
		State:            apiv1.CallState_CALL_STATE_STARTED,
		BegunUnixMs:      nowUnixMs,
	})
	return &apiv1.BeginCallResponse{Begun: true, State: apiv1.CallState_CALL_STATE_STARTED, RequestId: call.GetRequestId()}
}

// responseForRecord returns the response to a Begin whose record exists. It does
// not reveal the answer to a different request under the same key.
func responseForRecord(r *apiv1.CallRecord, call *apiv1.BeginCall) *apiv1.BeginCallResponse {
	if !bytes.Equal(r.GetFingerprint(), call.GetFingerprint()) {
		return &apiv1.BeginCallResponse{FingerprintMismatch: true, State: r.GetState()}
	}
	return &apiv1.BeginCallResponse{
		State: r.GetState(), Answer: r.GetAnswer(), RequestId: r.GetRequestId(),
		Owner: r.GetOwner(), OwnerIncarnation: r.GetOwnerIncarnation(),
	}
}

// Finish records the outcome of a started call. The request, owner and
// incarnation must be those that began the record: otherwise a late Finish of an
// earlier call under the same key would record an answer to another request.
func (t *Table) Finish(f *apiv1.FinishCall) *apiv1.FinishCallResponse {
	e, ok := t.records[keyOf(f.GetId())]
	if !ok {
		return &apiv1.FinishCallResponse{}
	}
	r := record(e)
	if r.GetState() != apiv1.CallState_CALL_STATE_STARTED || r.GetOwner() != f.GetOwner() ||
		r.GetOwnerIncarnation() != f.GetOwnerIncarnation() || r.GetRequestId() != f.GetRequestId() {
		return &apiv1.FinishCallResponse{}
	}
	switch f.GetState() {
	case apiv1.CallState_CALL_STATE_NOT_RUN:
		t.remove(e)
	case apiv1.CallState_CALL_STATE_UNKNOWN:
		t.replace(e, apiv1.CallState_CALL_STATE_UNKNOWN, nil)
	case apiv1.CallState_CALL_STATE_FINISHED:
		t.replace(e, apiv1.CallState_CALL_STATE_FINISHED, t.storedAnswer(r.GetId().GetTeam(), f.GetAnswer()))
	default:
		return &apiv1.FinishCallResponse{}
	}
	return &apiv1.FinishCallResponse{Applied: true}
}

// storedAnswer returns the answer to store: complete, or without headers and body
// when a limit would be exceeded.
func (t *Table) storedAnswer(team string, a *apiv1.Answer) *apiv1.Answer {
	if a == nil {
		a = &apiv1.Answer{Truncated: true}
	}
	size := proto.Size(a)
	fits := size <= MaxAnswerBytes && t.answerBytes+size <= MaxTotalAnswerBytes &&
		t.teams[team].answerBytes+size <= MaxAnswerBytesPerTeam
	if fits && !a.GetTruncated() {
		return proto.Clone(a).(*apiv1.Answer)
	}
	return &apiv1.Answer{Status: a.GetStatus(), Truncated: true}
}

// Expire removes the records that began before the given time, but none that is
// younger than Retention at the time of the command. It returns the number of
// removed records.
func (t *Table) Expire(beforeUnixMs, nowUnixMs int64) int {
	cutoff := min(beforeUnixMs, nowUnixMs-Retention.Milliseconds())
	removed := 0
	for e := t.order.Front(); e != nil && record(e).GetBegunUnixMs() < cutoff; e = t.order.Front() {
		t.remove(e)
		removed++
	}
	return removed
}

// Snapshot returns the records, the oldest first. They must not be modified.
func (t *Table) Snapshot() []*apiv1.CallRecord {
	out := make([]*apiv1.CallRecord, 0, len(t.records))
	for e := t.order.Front(); e != nil; e = e.Next() {
		out = append(out, record(e))
	}
	return out
}

func record(e *list.Element) *apiv1.CallRecord { return e.Value.(*apiv1.CallRecord) }

func (t *Table) add(r *apiv1.CallRecord) {
	t.records[keyOf(r.GetId())] = t.order.PushBack(r)
	t.updateUsage(r, 1)
}

func (t *Table) remove(e *list.Element) {
	r := record(e)
	t.updateUsage(r, -1)
	t.order.Remove(e)
	delete(t.records, keyOf(r.GetId()))
}

// replace stores a new record instead of modifying the old one, which responses
// and snapshots share.
func (t *Table) replace(e *list.Element, state apiv1.CallState, answer *apiv1.Answer) {
	old := record(e)
	t.updateUsage(old, -1)
	e.Value = &apiv1.CallRecord{
		Id: old.GetId(), Fingerprint: old.GetFingerprint(), Owner: old.GetOwner(),
		OwnerIncarnation: old.GetOwnerIncarnation(), RequestId: old.GetRequestId(),
		State: state, Answer: answer, BegunUnixMs: old.GetBegunUnixMs(),
	}
	t.updateUsage(record(e), 1)
}

// updateUsage adds the record to the usage (sign 1) or subtracts it (sign -1).
func (t *Table) updateUsage(r *apiv1.CallRecord, sign int) {
	size := 0
	if a := r.GetAnswer(); a != nil && !a.GetTruncated() {
		size = proto.Size(a)
	}
	team := r.GetId().GetTeam()
	u := t.teams[team]
	u.records += sign
	u.answerBytes += sign * size
	t.answerBytes += sign * size
	if u.records == 0 {
		delete(t.teams, team)
		return
	}
	t.teams[team] = u
}
