package peer

import (
	"context"
	"encoding/base64"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Metadata keys of an error that carries a fault.Error. Texts are encoded as
// base64, because metadata values must be ASCII.
const (
	metaKind       = "Jasmine-Error-Kind"
	metaField      = "Jasmine-Error-Field-Bin"
	metaRemedy     = "Jasmine-Error-Remedy-Bin"
	metaRun        = "Jasmine-Error-Run"
	metaRetryAfter = "Jasmine-Error-Retry-After-Ms"
	// maxMetaTextBytes limits each text, so that an error always fits the headers.
	maxMetaTextBytes = 2048
	// maxMessageTextBytes limits the text of an error's message.
	maxMessageTextBytes = 16 << 10
)

// codes maps an error kind to its connect code. A kind without an entry gets
// connect.CodeInternal.
var codes = map[fault.Kind]connect.Code{
	fault.KindInvalidRequest:      connect.CodeInvalidArgument,
	fault.KindInvalidManifest:     connect.CodeInvalidArgument,
	fault.KindInvalidMessage:      connect.CodeInvalidArgument,
	fault.KindRequestTooLarge:     connect.CodeResourceExhausted,
	fault.KindRateLimited:         connect.CodeResourceExhausted,
	fault.KindOverloaded:          connect.CodeResourceExhausted,
	fault.KindRecordsFull:         connect.CodeResourceExhausted,
	fault.KindUnauthorized:        connect.CodeUnauthenticated,
	fault.KindUntrustedPeer:       connect.CodeUnauthenticated,
	fault.KindForbidden:           connect.CodePermissionDenied,
	fault.KindWrongCluster:        connect.CodePermissionDenied,
	fault.KindChangeConflict:      connect.CodeAborted,
	fault.KindIdempotencyConflict: connect.CodeAborted,
	fault.KindNotLeader:           connect.CodeFailedPrecondition,
	fault.KindMembership:          connect.CodeFailedPrecondition,
	fault.KindStaleOrder:          connect.CodeFailedPrecondition,
	fault.KindUnavailable:         connect.CodeUnavailable,
	fault.KindDraining:            connect.CodeUnavailable,
	fault.KindStaleView:           connect.CodeUnavailable,
	fault.KindDeadline:            connect.CodeDeadlineExceeded,
	fault.KindOutcomeUnknown:      connect.CodeUnknown,
}

// ToConnect returns the connect error that carries a fault.Error. Other errors
// are returned unchanged.
func ToConnect(err error) error {
	e, ok := fault.As(err)
	if !ok {
		return err
	}
	code, ok := codes[e.Kind]
	if !ok {
		code = connect.CodeInternal
	}
	text := e.Message
	if cause := e.Unwrap(); cause != nil {
		text += ": " + cause.Error()
	}
	out := connect.NewError(code, errors.Newf("%s", truncate(text, maxMessageTextBytes)))
	setMeta(out.Meta(), e)
	return out
}

func setMeta(h http.Header, e *fault.Error) {
	h.Set(metaKind, string(e.Kind))
	for name, text := range map[string]string{metaField: e.Field, metaRemedy: e.Remedy} {
		if text != "" {
			h.Set(name, base64.RawStdEncoding.EncodeToString([]byte(truncate(text, maxMetaTextBytes))))
		}
	}
	if e.Run != "" {
		h.Set(metaRun, string(e.Run))
	}
	if e.RetryAfter > 0 {
		h.Set(metaRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
}

func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes]
}

// FromConnect returns the fault.Error that a connect error carries. A connect
// error without one is classified by its code; other errors and nil are returned
// unchanged.
func FromConnect(err error) error {
	var ce *connect.Error
	if err == nil || !errors.As(err, &ce) {
		return err
	}
	h := ce.Meta()
	kind := fault.Kind(h.Get(metaKind))
	if kind == "" {
		if e, ok := fault.As(err); ok {
			// The error occurred in this process, before the request was sent.
			return e
		}
		return fromCode(err, ce)
	}
	e := fault.New(kind, ce.Message(), decodeText(h, metaRemedy)).At(decodeText(h, metaField))
	e.Run = fault.Run(h.Get(metaRun))
	if ms, err := strconv.ParseInt(h.Get(metaRetryAfter), 10, 64); err == nil && ms > 0 {
		e.RetryAfter = time.Duration(min(ms, time.Hour.Milliseconds())) * time.Millisecond
	}
	return e
}

func decodeText(h http.Header, name string) string {
	text, err := base64.RawStdEncoding.DecodeString(h.Get(name))
	if err != nil {
		return ""
	}
	return string(text)
}

// fromCode returns a fault.Error for a failure of the connection or the protocol.
func fromCode(err error, ce *connect.Error) error {
	const remedy = "check that the other process runs and can be reached"
	switch {
	case errors.Is(err, context.Canceled):
		return err
	case ce.Code() == connect.CodeDeadlineExceeded:
		return fault.Wrap(err, fault.KindDeadline, "the other process did not answer in time", remedy)
	case ce.Code() == connect.CodeUnavailable:
		return fault.Wrap(err, fault.KindUnavailable, "the other process cannot be reached", remedy)
	case ce.Code() == connect.CodeResourceExhausted:
		return fault.Wrap(err, fault.KindRequestTooLarge, "a message exceeds the size limit", "send smaller messages")
	case ce.Code() == connect.CodeUnauthenticated:
		return fault.Wrap(err, fault.KindUntrustedPeer, "the other process does not accept this one", trustRemedy)
	}
	return fault.Wrap(err, fault.KindInternal, "the call to another process failed", "see the cause")
}

// authenticatedKey is the context key of requests that Peer.Handler has accepted.
type authenticatedKey struct{}

// handlerInterceptor converts the errors of handlers, and refuses requests that
// did not pass Peer.Handler, for example on a server that was built without it.
func handlerInterceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if ctx.Value(authenticatedKey{}) == nil {
				return nil, ToConnect(fault.New(fault.KindUntrustedPeer, "the request was not authenticated", "serve the handler through peer.Server"))
			}
			resp, err := next(ctx, req)
			if err != nil {
				return nil, ToConnect(err)
			}
			return resp, nil
		}
	}
}

func clientInterceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, req)
			if err != nil {
				return nil, FromConnect(err)
			}
			return resp, nil
		}
	}
}
