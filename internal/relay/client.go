package relay

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/gateway"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/wellformed"
)

// errNoEnd is the error of a response whose end the receiver did not declare.
var errNoEnd = errors.New("the relayed response has no end")

// Client sends requests to other entry hosts. It is safe for concurrent use.
type Client struct {
	from    string
	connect func(address string) apiv1connect.RelayServiceClient

	mu      sync.Mutex
	clients map[string]apiv1connect.RelayServiceClient
}

// NewClient returns the client of the host with the name.
func NewClient(from string, connect func(address string) apiv1connect.RelayServiceClient) *Client {
	return &Client{from: from, connect: connect, clients: map[string]apiv1connect.RelayServiceClient{}}
}

func (c *Client) client(address string) apiv1connect.RelayServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == nil {
		c.clients[address] = c.connect(address)
	}
	return c.clients[address]
}

// Send has the helper serve the request. It returns once the response begins.
func (c *Client) Send(ctx context.Context, helper exchange.Helper, r *gateway.Request, h gateway.Handover) (*gateway.Response, error) {
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}))
	stream, err := c.client(helper.Address).Relay(ctx, encodeRequest(c.from, r, h))
	if err != nil {
		cancel()
		return nil, h1.NewError(sent.Load(), ctx.Err() != nil, err)
	}
	b := &body{stream: stream, cancel: cancel}
	if !stream.Receive() {
		err := stream.Err()
		_ = b.Close()
		if err == nil {
			err = errNoEnd
		}
		return nil, h1.NewError(sent.Load(), errors.Is(err, context.DeadlineExceeded), err)
	}
	switch part := stream.Msg().GetPart().(type) {
	case *apiv1.RelayResponse_Start:
		status, header := int(part.Start.GetStatus()), decodeHeader(part.Start.GetFields())
		if err := wellformed.Relayed(status, header); err != nil {
			_ = b.Close()
			return nil, h1.NewError(true, false, err)
		}
		return &gateway.Response{
			Status: status, Header: header, Length: part.Start.GetLength(), Body: b,
			FromBackend: true, Origin: originOf(part.Start), LeavingServer: leavingOf(part.Start),
		}, nil
	case *apiv1.RelayResponse_End:
		_ = b.Close()
		if refusal := decodeEnd(part.End); refusal != nil {
			return &gateway.Response{Refusal: refusal, NotTaken: part.End.GetNotTaken()}, nil
		}
	}
	_ = b.Close()
	return nil, h1.NewError(true, false, errNoEnd)
}

// body is the body of a relayed response. One goroutine reads it.
type body struct {
	stream *connect.ServerStreamForClient[apiv1.RelayResponse]
	cancel context.CancelFunc
	rest   []byte
	end    error
}

// Read returns io.EOF only after the receiver has declared the end of a complete response.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.end == nil {
		b.receive()
	}
	if len(b.rest) == 0 {
		return 0, b.end
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *body) receive() {
	if !b.stream.Receive() {
		if b.end = b.stream.Err(); b.end == nil {
			b.end = errNoEnd
		}
		return
	}
	switch part := b.stream.Msg().GetPart().(type) {
	case *apiv1.RelayResponse_Data:
		b.rest = part.Data
	case *apiv1.RelayResponse_End:
		b.end = io.EOF
		if err := decodeEnd(part.End); err != nil {
			b.end = err
		}
	default:
		b.end = errNoEnd
	}
}

// Close ends the response; the receiver then stops the request if it still runs.
func (b *body) Close() error {
	b.cancel()
	return b.stream.Close()
}
