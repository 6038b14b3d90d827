// Package entry serves callers' requests on an entry host: HTTP front end,
// admission, dispatch, streams, plain services and drain.
package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// View is the host's copy of the configuration.
type View interface {
	Config() *config.Snapshot
	// Age returns an upper limit on how far the copy is behind the accepted
	// configuration.
	Age(now time.Time) time.Duration
	// Changed returns a channel that is closed on the next change.
	Changed() <-chan struct{}
}

// CallRecords stores the records of non-repeatable calls.
type CallRecords interface {
	Begin(ctx context.Context, call *apiv1.BeginCall) (*apiv1.BeginCallResponse, error)
	Finish(ctx context.Context, call *apiv1.FinishCall) (*apiv1.FinishCallResponse, error)
}

// Options configure a Server.
type Options struct {
	Host          string
	Incarnation   uint64
	FailureDomain string
	View          View
	Account       *rate.Account
	Calls         CallRecords
	Pools         *pool.Set
	Decisions     *decisionlog.Ring
	Logger        zerolog.Logger
	// Seed makes the choices between equal candidates reproducible.
	Seed   uint64
	Limits Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Limits are the limits of an entry host. A zero field means its default.
type Limits struct {
	// Connections limits the open connections of callers; further ones are closed.
	Connections int
	// HeaderBytes limits the header of a request.
	HeaderBytes int
	// BodyBytes limits the body of a request.
	BodyBytes int64
	// BodyMemory limits the memory of all bodies at once.
	BodyMemory int
	// BodyTimeout limits the time in which the body must arrive.
	BodyTimeout time.Duration
	// AnswerBytes limits a complete response that the host buffers in memory.
	AnswerBytes int64
	// WriteTimeout limits the time in which a caller must read one write.
	WriteTimeout time.Duration
	// Requests limits the admitted requests of the host, running and waiting.
	Requests int
	// TeamRequests limits the admitted requests of a team whose max_concurrent
	// is 0.
	TeamRequests int
	// DefaultMaxTokens is the max_tokens of a request that sets none.
	DefaultMaxTokens uint64
	// MaxTokens is the largest max_tokens that a request may set.
	MaxTokens uint64
	// MaxInteractiveWait and MaxBatchWait limit the time in the queue.
	MaxInteractiveWait, MaxBatchWait time.Duration
	// InteractiveFirstByte and BatchFirstByte limit the time to the first byte
	// of the response on routes without a timeout.
	InteractiveFirstByte, BatchFirstByte time.Duration
	// StreamGap limits the time between two events of a stream.
	StreamGap time.Duration
	// CallTimeout limits a non-repeatable call, which continues when its caller
	// disconnects.
	CallTimeout time.Duration
	// Attempts limits the attempts of one request.
	Attempts int
	// BalancerDelay is how long a draining host accepts requests after its
	// health check starts to fail, until the platform's load balancer has
	// noticed.
	BalancerDelay time.Duration
	// Tick is the period of the work that depends on time: freshness checks,
	// queue deadlines and token waits.
	Tick time.Duration
}

// Limits that the design page sets.
const (
	// maxViewAge is the maximum age of the configuration at which requests to
	// keyed routes are accepted.
	maxViewAge = 4 * time.Second
	// maxRunningAge is the maximum age of the configuration at which keyed
	// requests keep running. It is also the time without a report after which
	// the control leader may evict an adapter without the host's confirmation.
	maxRunningAge = 8 * time.Second
	// maxRecordedResponse is the maximum size of the body that the record of a
	// non-repeatable call stores.
	maxRecordedResponse = 64 << 10
)

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (l Limits) withDefaults() Limits {
	orDefault(&l.Connections, 16384)
	orDefault(&l.HeaderBytes, 32<<10)
	orDefault(&l.BodyBytes, 8<<20)
	orDefault(&l.BodyMemory, 256<<20)
	orDefault(&l.BodyTimeout, 30*time.Second)
	orDefault(&l.AnswerBytes, 32<<20)
	orDefault(&l.WriteTimeout, 30*time.Second)
	orDefault(&l.Requests, 8192)
	orDefault(&l.TeamRequests, 2048)
	orDefault(&l.DefaultMaxTokens, 256)
	orDefault(&l.MaxTokens, 16384)
	orDefault(&l.MaxInteractiveWait, 10*time.Second)
	orDefault(&l.MaxBatchWait, time.Minute)
	orDefault(&l.InteractiveFirstByte, 30*time.Second)
	orDefault(&l.BatchFirstByte, 2*time.Minute)
	orDefault(&l.StreamGap, 10*time.Second)
	orDefault(&l.CallTimeout, 5*time.Minute)
	orDefault(&l.Attempts, 4)
	orDefault(&l.BalancerDelay, 3*time.Second)
	orDefault(&l.Tick, 20*time.Millisecond)
	return l
}
