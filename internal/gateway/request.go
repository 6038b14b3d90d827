// Package gateway serves callers' requests on an entry host whose backend
// servers come from the platform's list: it admits a request, places it, sends
// it, retries it and relays the response. It knows requests, attempts,
// responses and outcomes; the names on the wire belong to the front and the
// Backend.
//
// Invariants:
//   - A non-repeatable request is sent again only after the backend server
//     has declared that it did not run it, or when no byte of it was sent.
//   - An error says "not run" only when that holds for every attempt.
//   - Each in-flight count is decremented in one place, on every return
//     path.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the caller's identifier of this attempt; backend servers echo it.
	ID string
	// Method and Target are passed on unchanged. Path is the target's path.
	Method, Target, Path string
	Host                 string
	// APIKey is the caller's API key. It is never passed on.
	APIKey string
	// Weights names the model and adapter of a generation.
	Weights    residency.Ref
	Generation bool
	// PromptTokens and OutputTokens are the counts that the caller declared; 0
	// when it declared none.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt, in order. The last one is specific to
	// the request.
	Parts []PromptPart
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// AfterEvent is the last event that the caller has of an earlier response.
	AfterEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream that the
	// caller takes up; empty when it names none.
	Resumes string
	Fields  []h1.Field
	Body    []byte
	// Received is when the header of the request had been read.
	Received time.Time
	// Handover is set when another host passed the request on.
	Handover *Handover
}

// Tokens returns the number of tokens that the request counts against a rate,
// 0 when the caller declared none.
func (r *Request) Tokens() uint64 { return uint64(r.PromptTokens + r.OutputTokens) }

// sharedTokens returns the number of tokens of all parts but the last.
func (r *Request) sharedTokens() int {
	n := 0
	for _, p := range r.Parts[:max(0, len(r.Parts)-1)] {
		n += p.Tokens
	}
	return n
}

// sharedPart returns the ID of the last part that other requests share. It
// determines which engine is likely to have the prompt cached.
func (r *Request) sharedPart() string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}

// Attempt is one attempt at one backend server.
type Attempt struct {
	Address, Instance string
	// Team is the name of the caller's team; empty on public routes.
	Team string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// AfterEvent is the last event that was passed on; a resumed stream starts
	// after it.
	AfterEvent string
	// Version is the adapter version that the response must be made with; 0
	// for any.
	Version uint64
	// Priority is the priority of the request at the engine, 0 to 9; lower
	// values are served first.
	Priority int
	// MaxIdle limits the idle time of a reused connection; 0 means no limit.
	MaxIdle time.Duration
}

// Response is a backend server's response whose body has not been read yet.
type Response struct {
	Status int
	// Header holds the end-to-end header fields.
	Header http.Header
	Length int64
	// Body returns io.EOF only when it is complete.
	Body io.ReadCloser
	// EndsWithConnection is true when only the end of the connection marks the end of Body, as a
	// crash of the server does too.
	EndsWithConnection bool
	// NotRun is true when the server declares that it has not run the request
	// and never will. Misdirected is true when it declined because it is
	// another instance or lacks the adapter.
	NotRun, Misdirected bool
	// FromBackend is true when the response bears the mark of a backend
	// server.
	FromBackend bool
	// Load is the load that the server reports; nil when it reports none.
	Load *Load
	// Limit is the number of requests a second that the server takes from all hosts together; 0
	// when it names none.
	Limit float64
	// Refusal is the error of another host that served the request for this one.
	Refusal *fault.Error
	// NotTaken is true when that host did nothing with the request.
	NotTaken bool
	// Origin is the service and the build of the backend server, set by such a host.
	Origin origin.Origin
	// Tolerated is the number of requests that a brittle server can turn away in a second; 0 when it
	// does not say that it is brittle.
	Tolerated int
	// Leaving is true when the server says that it leaves, and Quiet how long it wants nothing of this
	// host.
	Leaving bool
	Quiet   time.Duration
	// LeavingServer is the backend server behind a host that relayed the response, if it leaves.
	LeavingServer *LeavingServer
	// ActualInstance is the instance that responded instead of the expected
	// one.
	ActualInstance string
}

// LeavingServer is one start of a backend server that has said that it leaves.
type LeavingServer struct {
	Instance string
	// StartUnixMs is its start, 0 if unknown.
	StartUnixMs int64
}

// Load is a backend server's own count of requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the server now as a multiple of usual; 0 when it does not tell.
	Pace float64
}

// Backend sends attempts to backend servers. Errors are of type *h1.Error.
type Backend interface {
	Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
	// Reachable reports whether the server accepts new connections.
	Reachable(ctx context.Context, address string) bool
}

// Responder relays a response to the caller.
type Responder interface {
	// Start sends the status and header; length is -1 for a stream.
	Start(status int, header http.Header, length int64)
	Write(p []byte) (int, error)
	Flush() error
	// Abort closes the connection, so that a partial response does not look
	// complete.
	Abort()
}

// LeavingResponder is a Responder that also takes which leaving server responds, before its Start.
type LeavingResponder interface {
	Responder
	SetLeaving(s LeavingServer)
}

// OriginResponder is a Responder that also takes what began the response, before its Start.
type OriginResponder interface {
	Responder
	SetOrigin(o origin.Origin)
}
