package control

import (
	"context"
	"sync"
	"time"

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

// transport sends the messages of the replicated log to the other members, in
// order for each of them and without blocking the log.
type transport struct {
	s *Server

	mu     sync.Mutex
	queues map[string]chan *apiv1.StepRequest
	start  chan func(context.Context)
}

func newTransport(s *Server) *transport {
	return &transport{s: s, queues: map[string]chan *apiv1.StepRequest{}, start: make(chan func(context.Context), sendQueue)}
}

// Send queues a request; it is dropped when the member's queue is full.
func (t *transport) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	select {
	case t.queue(to.GetAddress()) <- req:
	default:
	}
}

func (t *transport) queue(address string) chan *apiv1.StepRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *apiv1.StepRequest, sendQueue)
		t.queues[address] = q
		t.start <- func(ctx context.Context) { t.drain(ctx, address, q) }
	}
	return q
}

// run owns the sending goroutines, one for each member.
func (t *transport) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-t.start:
			wg.Go(func() { fn(ctx) })
		}
	}
}

func (t *transport) drain(ctx context.Context, address string, q chan *apiv1.StepRequest) {
	endpoint := t.s.endpoint(address)
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-q:
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			_, err := endpoint.Consensus.Step(sendCtx, req)
			cancel()
			if err != nil && ctx.Err() == nil {
				t.s.logger.Debug().Err(err).Str("to", address).Msg("log message not delivered")
			}
		}
	}
}
