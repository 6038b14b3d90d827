package standin

import (
	"context"
	"net"
	"sync"
)

// PipeListener is an in-memory listener for tests on the fake clock of
// testing/synctest, with which TCP connections do not work.
type PipeListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept returns the server side of the next connection.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// DialContext opens a connection to the listener; it ignores the address.
func (l *PipeListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close makes Accept and DialContext return net.ErrClosed.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
