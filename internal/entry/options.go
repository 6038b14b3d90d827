// Package entry is the caller-facing side of an entry host: HTTP front end,
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
	// Age is how long the copy may be behind the accepted configuration.
	Age(now time.Time) time.Duration
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Calls keeps the records of non-repeatable calls.
type Calls interface {
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
	Calls         Calls
	Pools         *pool.Set
	Decisions     *decisionlog.Ring
	Logger        zerolog.Logger
	// Seed makes the choices between equal candidates reproducible.
	Seed   uint64
	Limits Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Limits bound what a host takes on. A zero field means its default.
type Limits struct {
	// Connections bounds the open connections of callers; further ones are closed.
	Connections int
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// BodyTime bounds the time in which the body must arrive.
	BodyTime time.Duration
	// AnswerBytes bounds a whole answer that the host holds in memory.
	AnswerBytes int64
	// WriteTime bounds how long a caller may leave one write unread.
	WriteTime time.Duration
	// Requests bounds the admitted requests of the host, running and waiting.
	Requests int
	// TeamRequests bounds those of a team whose max_concurrent is 0.
	TeamRequests int
	// DefaultMaxTokens is reserved and set when a request names no limit.
	DefaultMaxTokens uint64
	// MaxTokens is the largest limit that a request may name.
	MaxTokens uint64
	// InteractiveWait and BatchWait bound the time in the queue.
	InteractiveWait, BatchWait time.Duration
	// InteractiveFirstByte and BatchFirstByte bound the time to the first byte
	// of the answer where the route sets no timeout.
	InteractiveFirstByte, BatchFirstByte time.Duration
	// StreamGap bounds the silence between the events of a stream.
	StreamGap time.Duration
	// CallTime bounds a non-repeatable call, also after its caller has gone.
	CallTime time.Duration
	// Attempts bounds the attempts of one request.
	Attempts int
	// BalancerDelay is how long a draining host still takes requests after its
	// health check has failed, until the platform's balancer has noticed.
	BalancerDelay time.Duration
	// Tick is the period of the systems that depend on time.
	Tick time.Duration
}

// Bounds that the design page sets.
const (
	// maxViewAge is the view's age from which keyed routes are refused.
	maxViewAge = 4 * time.Second
	// maxRunningAge is the age at which running keyed requests are cancelled. It
	// is also the silence after which the control leader may evict an adapter
	// without the host's confirmation.
	maxRunningAge = 8 * time.Second
	// maxKeptAnswer is the largest answer of a non-repeatable call that is kept.
	maxKeptAnswer = 64 << 10
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
	orDefault(&l.BodyTime, 30*time.Second)
	orDefault(&l.AnswerBytes, 32<<20)
	orDefault(&l.WriteTime, 30*time.Second)
	orDefault(&l.Requests, 8192)
	orDefault(&l.TeamRequests, 2048)
	orDefault(&l.DefaultMaxTokens, 256)
	orDefault(&l.MaxTokens, 16384)
	orDefault(&l.InteractiveWait, 10*time.Second)
	orDefault(&l.BatchWait, time.Minute)
	orDefault(&l.InteractiveFirstByte, 30*time.Second)
	orDefault(&l.BatchFirstByte, 2*time.Minute)
	orDefault(&l.StreamGap, 10*time.Second)
	orDefault(&l.CallTime, 5*time.Minute)
	orDefault(&l.Attempts, 4)
	orDefault(&l.BalancerDelay, 3*time.Second)
	orDefault(&l.Tick, 20*time.Millisecond)
	return l
}
