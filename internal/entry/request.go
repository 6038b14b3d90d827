package entry

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// requestState is the state of an admitted request. The dispatch lock guards it.
type requestState int

const (
	stateNew requestState = iota
	stateLacksTokens
	stateQueued
	stateRunning
	stateEnded
)

// admittedRequest is a request between its admission and its end: what it needs,
// and the resources that it holds. Only Server.finish releases all of them.
type admittedRequest struct {
	x       *exchange
	running *runningRequest

	// Requirements.
	pool  string
	class fairqueue.Class
	// model is the model name at the engine; empty for a plain service.
	model string
	// ref is the adapter version; nil for a base model and a plain service.
	ref       *apiv1.AdapterRef
	baseModel string
	// nonRepeatable is true for a non-repeatable call.
	nonRepeatable bool
	cost          uint64
	tokens        uint64
	// promptTokens and prefix describe the prompt to the planner.
	promptTokens uint64
	prefix       []uint64
	fingerprint  []byte
	suspect      bool
	// parts are the fingerprints of the messages that other requests may share.
	parts    [][]byte
	excluded []string

	// State and held resources.
	state       requestState
	enqueued    time.Time
	deadline    time.Time
	queue       *fairqueue.Queue[*admittedRequest]
	ticket      fairqueue.Ticket
	reservation rate.Reservation
	reserved    bool
	// usedTokens is the number of tokens that the reservation is settled with.
	usedTokens uint64
	assignment *assignment
	stalled    bool
	// waiting is true while the request is in the fair queue.
	waiting bool
	// cold is true if no engine had the adapter ready when the request was last
	// queued.
	cold       bool
	reason     string
	considered int
	refusal    *fault.Error
	// decided receives one value when assignment or refusal is set.
	decided chan struct{}
}

// assignment is one request in flight on a backend server. It counts toward the
// server's load until it is released.
type assignment struct {
	server  string
	request *admittedRequest
	// startID identifies the run of the engine, as last reported.
	startID string
	// generation is the generation of the backend server's load at the start.
	generation uint64
	started    time.Time
	// answer is how far the engine's response has come.
	answer quarantine.AnswerState
	// failed is set when the request's connection broke.
	failed   bool
	released bool
}

// resource names what a group of waiting requests waits for.
func (ar *admittedRequest) resource() string {
	if ar.model != "" {
		return ar.model
	}
	return "pool " + ar.pool
}

// group returns the key of the requests that the same backend servers can serve
// at the same time. A suspect or a request with excluded servers forms a group
// of its own.
func (ar *admittedRequest) group() string {
	g := ar.pool + "\n" + ar.model
	if len(ar.excluded) > 0 || ar.suspect {
		g += "\n" + ar.x.id
	}
	return g
}

// notify wakes Server.await.
func (ar *admittedRequest) notify() {
	select {
	case ar.decided <- struct{}{}:
	default:
	}
}

// refuse ends the wait with an error. The caller must hold the dispatch lock.
func (ar *admittedRequest) refuse(e *fault.Error) {
	ar.state = stateEnded
	ar.refusal = e
	ar.notify()
}
