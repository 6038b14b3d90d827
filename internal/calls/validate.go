package calls

import (
	"crypto/sha256"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const (
	maxNameBytes = 128
	// maxKeyBytes limits an Idempotency-Key; a UUID takes 36 bytes.
	maxKeyBytes = 255
)

// Validate checks a call before the command that begins it is proposed.
func Validate(call *apiv1.BeginCall) error {
	id := call.GetId()
	for _, f := range []struct {
		field, value string
		maxBytes     int
	}{
		{"id.team", id.GetTeam(), maxNameBytes},
		{"id.route", id.GetRoute(), maxNameBytes},
		{"id.idempotency_key", id.GetIdempotencyKey(), maxKeyBytes},
		{"owner", call.GetOwner(), maxNameBytes},
		{"request_id", call.GetRequestId(), maxNameBytes},
	} {
		if f.value == "" || len(f.value) > f.maxBytes {
			return fault.Newf(fault.KindInvalidMessage, "shorten or set the value",
				"the value has %d bytes, not 1 to %d", len(f.value), f.maxBytes).At(f.field)
		}
	}
	if len(call.GetFingerprint()) != sha256.Size {
		return fault.Newf(fault.KindInvalidMessage, "send a SHA-256",
			"the fingerprint has %d bytes", len(call.GetFingerprint())).At("fingerprint")
	}
	return nil
}

// Restore returns a table with the records of a snapshot. It returns an error for
// records that Begin and Finish could not have created.
func Restore(records []*apiv1.CallRecord) (*Table, error) {
	t := New()
	for _, r := range records {
		_, duplicate := t.records[keyOf(r.GetId())]
		ordered := t.order.Len() == 0 || record(t.order.Back()).GetBegunUnixMs() <= r.GetBegunUnixMs()
		valid := Validate(&apiv1.BeginCall{
			Id: r.GetId(), Fingerprint: r.GetFingerprint(), Owner: r.GetOwner(), RequestId: r.GetRequestId(),
		}) == nil
		if duplicate || !ordered || !valid || !validState(r) {
			return nil, fault.New(fault.KindStorageDamaged, "the snapshot holds an invalid call record",
				"fetch the snapshot from another control host").At("calls")
		}
		t.add(r)
	}
	return t, nil
}

func validState(r *apiv1.CallRecord) bool {
	switch r.GetState() {
	case apiv1.CallState_CALL_STATE_STARTED, apiv1.CallState_CALL_STATE_UNKNOWN:
		return r.GetAnswer() == nil
	case apiv1.CallState_CALL_STATE_FINISHED:
		return r.GetAnswer() != nil
	}
	return false
}
