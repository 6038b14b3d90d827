// Package transport sends the messages of the replicated log to the other
// members, in order for each member and without blocking the log.
package transport

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// queueLength limits the requests queued for one member. The protocol
	// retransmits dropped messages.
	queueLength = 256
	// sendTimeout limits one request, so that an unresponsive connection does not
	// delay the queued messages for longer than an election takes.
	sendTimeout = 500 * time.Millisecond
)

// Stepper delivers a request to one member.
type Stepper interface {
	Step(ctx context.Context, req *apiv1.StepRequest) (*apiv1.StepResponse, error)
}

// Sender implements replica.Transport. Run must be running while it is used.
type Sender struct {
	dial   func(address string) Stepper
	logger zerolog.Logger

	mu     sync.Mutex
	queues map[string]chan *apiv1.StepRequest
	// workers passes each new member's send loop to Run.
	workers chan func(context.Context)
}

// New returns a sender. dial returns the client of the member at an address;
// it is called once for each address.
func New(dial func(address string) Stepper, logger zerolog.Logger) *Sender {
	return &Sender{
		dial: dial, logger: logger, queues: map[string]chan *apiv1.StepRequest{},
		workers: make(chan func(context.Context), queueLength),
	}
}

// Send queues a request, or drops it when the member's queue is full.
func (s *Sender) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	select {
	case s.queue(to.GetAddress()) <- req:
	default:
	}
}

func (s *Sender) queue(address string) chan *apiv1.StepRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[address]
	if !ok {
		q = make(chan *apiv1.StepRequest, queueLength)
		s.queues[address] = q
		s.workers <- func(ctx context.Context) { s.sendQueued(ctx, address, q) }
	}
	return q
}

// Run runs the send loops, one goroutine per member, until the context is
// cancelled.
func (s *Sender) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case worker := <-s.workers:
			wg.Go(func() { worker(ctx) })
		}
	}
}

// sendQueued sends the queued requests of one member, one at a time.
func (s *Sender) sendQueued(ctx context.Context, address string, q chan *apiv1.StepRequest) {
	member := s.dial(address)
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-q:
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			_, err := member.Step(sendCtx, req)
			cancel()
			if err != nil && ctx.Err() == nil {
				s.logger.Debug().Err(err).Str("to", address).Msg("log message not delivered")
			}
		}
	}
}
