// Package gateway serves callers' requests on an entry host whose backend
// servers come from the platform's list: it admits, places, sends and repeats
// them, and passes answers on. It knows requests, attempts, answers and
// outcomes; the names on the wire are the business of the front and the Backend.
//
// Invariants:
//   - A request that may not be repeated is sent again only after the backend
//     server has said that it did not run it, or when no byte of it was sent.
//   - A refusal that says "not run" is given only when that holds for every attempt.
//   - Each count of what is in flight is returned in one place, on every way out.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is a caller's request with its whole body.
type Request struct {
	// ID is the caller's identifier of this attempt; backend servers echo it.
	ID string
	// Method and Target are passed on as they came. Path is the target's path.
	Method, Target, Path string
	Host                 string
	// Key is the caller's key. It is never passed on.
	Key string
	// Weights names the model and adapter of a generation.
	Weights    residency.Ref
	Generation bool
	// PromptTokens and OutputTokens are the caller's counts; 0 when not given.
	PromptTokens, OutputTokens int
	// Parts of the prompt, in order. The last one belongs to the request alone.
	Parts []Part
	// Timeout is how long the caller will wait; 0 when it does not say.
	Timeout time.Duration
	// AfterEvent is the last event that the caller has of an earlier answer.
	AfterEvent string
	Fields     []h1.Field
	Body       []byte
	// Received is when the header of the request had come.
	Received time.Time
}

// Tokens returns what the request counts against a rate in tokens, 0 when the
// caller gives no counts.
func (r *Request) Tokens() uint64 { return uint64(r.PromptTokens + r.OutputTokens) }

// sharedTokens returns the tokens of all parts but the last.
func (r *Request) sharedTokens() int {
	n := 0
	for _, p := range r.Parts[:max(0, len(r.Parts)-1)] {
		n += p.Tokens
	}
	return n
}

// sharedPart returns the last part that other requests share, which decides at
// which engine the prompt is likely to be cached.
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
	// AfterEvent is the last event that was passed on; a resumed stream goes on
	// after it.
	AfterEvent string
	// Version of the adapter that the answer must be made with; 0 for any.
	Version uint64
	// Priority is the rank of the request at the engine, 0 to 9; lower goes first.
	Priority int
	// MaxIdle bounds the idle time of the connection used; 0 means no bound.
	MaxIdle time.Duration
}

// Response is a backend server's answer whose body is not read yet.
type Response struct {
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	Length int64
	// Body ends with io.EOF only when it is complete.
	Body io.ReadCloser
	// NotRun is true when the server says that it has not run the request, and
	// never will. Misdirected is true when it says so because it is another run
	// or lacks the adapter.
	NotRun, Misdirected bool
	// FromBackend is true when the answer bears the mark of a backend server.
	FromBackend bool
	// Load is what the server says of its load; nil when it does not.
	Load *Load
	// ActualInstance is the instance that answered instead of the expected one.
	ActualInstance string
}

// Load is a backend server's own count of requests.
type Load struct{ Running, Waiting, Slots int }

// Backend sends attempts to backend servers. Errors are of type *h1.Error.
type Backend interface {
	Send(ctx context.Context, r *Request, c Attempt) (*Response, error)
	// Reachable tells whether the server takes new connections.
	Reachable(ctx context.Context, address string) bool
}

// Responder passes an answer to the caller.
type Responder interface {
	// Start sends the status and header; length is -1 for a stream.
	Start(status int, header http.Header, length int64)
	Write(p []byte) (int, error)
	Flush() error
	// Abort ends the connection, so that a begun answer does not look complete.
	Abort()
}
