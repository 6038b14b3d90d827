// Package fault defines the typed errors of jasminesaddle. Each error has a
// kind, names the field and the remedy, and states whether the request ran.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Its text is the machine-readable reason that
// callers and operators see.
type Kind string

// Kinds of errors that answer a caller's request.
const (
	KindInvalidRequest      Kind = "invalid_request"
	KindRequestTooLarge     Kind = "request_too_large"
	KindUnauthorized        Kind = "unauthorized"
	KindForbidden           Kind = "forbidden"
	KindUnknownRoute        Kind = "unknown_route"
	KindUnknownAdapter      Kind = "unknown_adapter"
	KindRateLimited         Kind = "rate_limited"
	KindOverloaded          Kind = "overloaded"
	KindDeadline            Kind = "deadline_exceeded"
	KindStaleView           Kind = "stale_view"
	KindDraining            Kind = "draining"
	KindQuarantined         Kind = "quarantined"
	KindNoBackend           Kind = "no_backend_server"
	KindBackendFailed       Kind = "backend_server_failed"
	KindBackendSilent       Kind = "backend_server_silent"
	KindAnswerMismatch      Kind = "answer_mismatch"
	KindStreamCut           Kind = "stream_cut"
	KindKeyWithdrawn        Kind = "key_withdrawn"
	KindIdempotencyConflict Kind = "idempotency_conflict"
	KindStillRunning        Kind = "still_running"
	KindOutcomeUnknown      Kind = "outcome_unknown"
	KindRecordsFull         Kind = "call_records_full"
	KindAnswerNotKept       Kind = "answer_not_kept"
)

// Kinds of errors for operators and between the fleet's processes.
const (
	KindInvalidManifest   Kind = "invalid_manifest"
	KindInvalidSetting    Kind = "invalid_setting"
	KindChangeConflict    Kind = "change_conflict"
	KindNotLeader         Kind = "not_leader"
	KindUnavailable       Kind = "unavailable"
	KindWrongCluster      Kind = "wrong_cluster"
	KindUntrustedPeer     Kind = "untrusted_peer"
	KindInvalidMessage    Kind = "invalid_message"
	KindStaleOrder        Kind = "stale_order"
	KindStorageDamaged    Kind = "storage_damaged"
	KindStorageRolledBack Kind = "storage_rolled_back"
	KindStorageVersion    Kind = "storage_version"
	KindMembership        Kind = "membership"
	KindInternal          Kind = "internal"
)

// Run states whether the request that an error answers has run on a backend
// server.
type Run string

const (
	// NotRun means that no byte of the request was sent to a backend server that
	// could have run it.
	NotRun Run = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Run = "outcome_unknown"
	// Ran means that a backend server ran the request but its response is
	// unavailable or incomplete.
	Ran Run = "run"
)

// Error is a typed error. Run is empty if the error answers no request.
type Error struct {
	Kind Kind
	// Field names the input that is wrong, for example "routes[3].pool".
	Field string
	// Message describes what is wrong.
	Message string
	// Remedy describes what the reader can do about it.
	Remedy string
	// Run states whether the request ran.
	Run Run
	// RetryAfter is the time to wait before a retry; 0 means unknown.
	RetryAfter time.Duration

	cause error
}

// New returns an error of the kind. The message describes what is wrong, the
// remedy what to do about it.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...), remedy)
}

// Wrap returns an error of the kind with a cause.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	e := New(kind, message, remedy)
	e.cause = cause
	return e
}

// At sets the name of the wrong input and returns e.
func (e *Error) At(field string) *Error {
	e.Field = field
	return e
}

// WithRun sets whether the request ran and returns e.
func (e *Error) WithRun(run Run) *Error {
	e.Run = run
	return e
}

// After sets the time to wait before a retry and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the kind, field, message, remedy and cause as one line.
func (e *Error) Error() string {
	text := string(e.Kind) + ": "
	if e.Field != "" {
		text += e.Field + ": "
	}
	text += e.Message
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// As returns the first *Error in err's chain and reports whether there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// KindOf returns the kind of the first *Error in err's chain, or KindInternal.
func KindOf(err error) Kind {
	if e, ok := As(err); ok {
		return e.Kind
	}
	return KindInternal
}

// Is reports whether the first *Error in err's chain is of the kind.
func Is(err error, kind Kind) bool {
	e, ok := As(err)
	return ok && e.Kind == kind
}

// statuses maps each kind that is returned to callers to its HTTP status.
var statuses = map[Kind]int{
	KindInvalidRequest:      http.StatusBadRequest,
	KindRequestTooLarge:     http.StatusRequestEntityTooLarge,
	KindUnauthorized:        http.StatusUnauthorized,
	KindKeyWithdrawn:        http.StatusUnauthorized,
	KindForbidden:           http.StatusForbidden,
	KindUnknownRoute:        http.StatusNotFound,
	KindUnknownAdapter:      http.StatusNotFound,
	KindRateLimited:         http.StatusTooManyRequests,
	KindOverloaded:          http.StatusServiceUnavailable,
	KindDeadline:            http.StatusServiceUnavailable,
	KindStaleView:           http.StatusServiceUnavailable,
	KindDraining:            http.StatusServiceUnavailable,
	KindNoBackend:           http.StatusServiceUnavailable,
	KindRecordsFull:         http.StatusServiceUnavailable,
	KindUnavailable:         http.StatusServiceUnavailable,
	KindQuarantined:         http.StatusUnprocessableEntity,
	KindBackendFailed:       http.StatusBadGateway,
	KindAnswerMismatch:      http.StatusBadGateway,
	KindStreamCut:           http.StatusBadGateway,
	KindBackendSilent:       http.StatusGatewayTimeout,
	KindOutcomeUnknown:      http.StatusConflict,
	KindStillRunning:        http.StatusConflict,
	KindIdempotencyConflict: http.StatusUnprocessableEntity,
	KindAnswerNotKept:       http.StatusConflict,
}

// HTTPStatus returns the status of an HTTP response with this error.
func (e *Error) HTTPStatus() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
