package entry

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// workState is where an admitted request is. The dispatch lock guards it.
type workState int

const (
	workNew workState = iota
	workLacksTokens
	workQueued
	workRunning
	workEnded
)

// work is an admitted request: what it needs, and everything that it holds.
// Server.finish is the one place that returns what it holds.
type work struct {
	x *exchange
	f *flight

	// What it needs.
	pool  string
	class fairqueue.Class
	// model is the name at the engine; empty for a plain service.
	model string
	// ref is the adapter version; nil for a base model and a plain service.
	ref       *apiv1.AdapterRef
	baseModel string
	// once is true for a non-repeatable call.
	once   bool
	cost   uint64
	tokens uint64
	// promptTokens and prefix describe the prompt to the planner.
	promptTokens uint64
	prefix       []uint64
	fingerprint  []byte
	suspect      bool
	excluded     []string

	// Where it is and what it holds.
	state       workState
	enqueued    time.Time
	deadline    time.Time
	queue       *fairqueue.Queue[*work]
	ticket      fairqueue.Ticket
	reservation rate.Reservation
	reserved    bool
	// used is the number of tokens that the reservation is settled with.
	used    uint64
	share   *share
	stalled bool
	// waiting is true while the request is in the queue.
	waiting bool
	// cold is true when no engine had the adapter when the request was queued.
	cold       bool
	reason     string
	considered int
	refusal    *fault.Error
	// granted receives one value when share or refusal is set.
	granted chan struct{}
}

// share is a place among the requests in flight on a backend server.
type share struct {
	server string
	w      *work
	// startID is the identity of the engine's run as last reported.
	startID string
	// generation counts the crashes seen of the backend server.
	generation uint64
	started    time.Time
	// failed is set when the request's connection broke.
	failed   bool
	returned bool
}

// resource names what a group of waiting requests waits for.
func (w *work) resource() string {
	if w.model != "" {
		return w.model
	}
	return "pool " + w.pool
}

// group names the requests that can be served by the same backend servers at
// the same time. A request with exclusions of its own is a group of its own.
func (w *work) group() string {
	g := w.pool + "\n" + w.model
	if len(w.excluded) > 0 || w.suspect {
		g += "\n" + w.x.id
	}
	return g
}

func (w *work) grant() {
	select {
	case w.granted <- struct{}{}:
	default:
	}
}

// refuse ends the wait. The dispatch lock is held.
func (w *work) refuse(e *fault.Error) {
	w.state = workEnded
	w.refusal = e
	w.grant()
}
