// Package engine is the client of a model-serving backend server: whole and
// streamed completions, resume and cancel, adapter loads and unloads, and
// scraping of load and residency. Only this package knows the engine's protocol.
package engine

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
)

// Engine is the interface of an engine client. A client of another engine
// protocol implements it with the same types.
type Engine interface {
	Do(ctx context.Context, req Request) (*Response, error)
	Resume(ctx context.Context, attemptID string, after uint64, gap time.Duration) (*Stream, error)
	Cancel(ctx context.Context, attemptID string) error
	Load(ctx context.Context, o Order) error
	Unload(ctx context.Context, o Order) error
	Scrape(ctx context.Context) (Load, error)
	Probe(ctx context.Context) (startID string, err error)
}

var _ Engine = (*Client)(nil)

// Paths and headers of the engine's protocol.
const (
	pathCompletions     = "/v1/completions"
	pathChatCompletions = "/v1/chat/completions"
	pathModels          = "/v1/models"
	pathLoad            = "/v1/load_lora_adapter"
	pathUnload          = "/v1/unload_lora_adapter"
	pathStreams         = "/v1/streams/"
	pathMetrics         = "/metrics"
	pathHealth          = "/health"

	headerRequestID   = "X-Request-Id"
	headerFence       = "X-Fencing-Number"
	headerLastEventID = "Last-Event-ID"
)

// Limits on what an engine may send.
const (
	maxResponseBytes = 16 << 20
	maxOrderBytes    = 64 << 10
	maxModelsBytes   = 1 << 20
	maxMetricsBytes  = 4 << 20
	maxEventBytes    = 1 << 20
	maxStreamBytes   = 64 << 20
	maxStreamEvents  = 1 << 20
	maxAdapters      = 1024
	maxIDBytes       = 128
)

// Timeouts for the response header and between bytes of the response, for
// requests whose caller sets none. Probes, scrapes and cancels are limited to
// three times the timeout as a whole, so that a response that arrives byte by
// byte ends as well.
const (
	probeTimeout  = time.Second
	scrapeTimeout = 2 * time.Second
	cancelTimeout = 2 * time.Second
	orderTimeout  = 30 * time.Second
)

// Request is one attempt to run a completion.
type Request struct {
	// Path is /v1/completions or /v1/chat/completions.
	Path string
	// AttemptID is the attempt's own X-Request-Id.
	AttemptID string
	// Model replaces the model in the body; empty leaves the body's model.
	Model string
	// Body is the JSON object of the request.
	Body []byte
	// Stream asks for an event stream.
	Stream bool
	// Priority is sent to the engine unless it is 0; lower runs earlier.
	Priority int
	// FirstByte limits the time to the response header and Gap the time between
	// bytes of the response; 0 selects the timeouts of the pool.
	FirstByte, Gap time.Duration
}

// Response is an engine's response. Stream is set for an event stream;
// otherwise Body is the whole response body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stream *Stream
}

// Event is one event of a stream.
type Event struct {
	// Seq is the event's sequence number; the first is 1.
	Seq uint64
	// Data is valid until the next call of Next.
	Data []byte
	// Done marks the end of a complete stream.
	Done bool
}

// Load is what an engine reports about itself.
type Load struct {
	// StartID identifies the run of the engine's process.
	StartID          string
	Running, Waiting int
	// KVUsage is the used fraction of the KV cache, from 0 to 1.
	KVUsage float64
	// Adapters are the resident adapter versions.
	Adapters []*apiv1.AdapterRef
}

// Order is an order to load or unload an adapter version.
type Order struct {
	Ref *apiv1.AdapterRef
	// Weights is the path in the weight store; empty for an unload.
	Weights string
	// FencingNumber is the fencing number of the control leader that sends the order.
	FencingNumber uint64
}

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	name      string
	baseModel string
	baseURL   *url.URL
	urlErr    error
	transport http.RoundTripper
	// singleUse sends each request over a new connection.
	singleUse http.RoundTripper
}

// New returns the client of the engine. An invalid address is reported by the
// client's methods.
func New(b *apiv1.BackendServer, pools *pool.Set) *Client {
	baseURL, err := url.Parse(b.GetAddress())
	return &Client{
		name: b.GetName(), baseModel: b.GetBaseModel(),
		baseURL: baseURL, urlErr: err,
		transport: pools.Transport(b.GetName()),
		singleUse: pools.SingleUse(b.GetName()),
	}
}

// ModelName returns the engine's model name for the adapter version.
func ModelName(ref *apiv1.AdapterRef) string {
	return ref.GetAdapter() + ":" + ref.GetVersion()
}

// parseModelName is the inverse of ModelName. It accepts only names that are
// valid in the manifest.
func parseModelName(id string) (*apiv1.AdapterRef, bool) {
	adapter, version, ok := strings.Cut(id, ":")
	if !ok || !validName(adapter) || !validName(version) {
		return nil, false
	}
	return &apiv1.AdapterRef{Adapter: adapter, Version: version}, true
}

// validName reports whether a name has at most maxIDBytes bytes and contains
// only letters, digits and ". _ - /".
func validName(s string) bool {
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-/", r) {
			return false
		}
	}
	return true
}

// newID returns the identifier of a request that the client itself originates.
func newID(prefix string) string { return prefix + rand.Text() }
