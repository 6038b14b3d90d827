// Package transport sends the messages of the replicated log to the other
// members, in order for each of them and without blocking the log.
package transport

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// sendQueue bounds the requests waiting for one member. The protocol
	// repeats what is dropped.
	sendQueue = 256
	// sendTimeout bounds one request, so that a silent connection does not hold
	// back the messages behind it for longer than an election takes.
	sendTimeout = 500 * time.Millisecond
)

// Stepper delivers a request to one member.
type Stepper interface {
	Step(ctx context.Context, req *apiv1.StepRequest) (*apiv1.StepResponse, error)
}

// Sender is the transport of a replica. Run must run while it is used.
type Sender struct {
	dial   func(address string) Stepper
	logger zerolog.Logger

	mu     sync.Mutex
	queues map[string]chan *apiv1.StepRequest
	start  chan func(context.Context)
}

// New returns a sender. dial returns the client of the member at an address;
// it is called once for each address.
func New(dial func(address string) Stepper, logger zerolog.Logger) *Sender {
	return &Sender{
		dial: dial, logger: logger, queues: map[string]chan *apiv1.StepRequest{},
		start: make(chan func(context.Context), sendQueue),
	}
}

// Send queues a request; it is dropped when the member's queue is full.
func (c *Sender) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	select {
	case c.queue(to.GetAddress()) <- req:
	default:
	}
}

func (c *Sender) queue(address string) chan *apiv1.StepRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[address]
	if !ok {
		q = make(chan *apiv1.StepRequest, sendQueue)
		c.queues[address] = q
		c.start <- func(ctx context.Context) { c.drain(ctx, address, q) }
	}
	return q
}

// Run owns the sending goroutines, one for each member, until the context ends.
func (c *Sender) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-c.start:
			wg.Go(func() { fn(ctx) })
		}
	}
}

func (c *Sender) drain(ctx context.Context, address string, q chan *apiv1.StepRequest) {
	member := c.dial(address)
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-q:
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			_, err := member.Step(sendCtx, req)
			cancel()
			if err != nil && ctx.Err() == nil {
				c.logger.Debug().Err(err).Str("to", address).Msg("log message not delivered")
			}
		}
	}
}
