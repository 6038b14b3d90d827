package gateway

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes limits the body of a response that is buffered until it
	// is complete.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes limits the bodies that all requests of this host buffer
	// at once. Faulty servers may send without end, and the host must stay
	// within its memory.
	maxBufferedBytes = 16 << 20
	// firstStepBytes and bufferStepBytes are the sizes of the steps in which a
	// body is read. Most bodies need only the first.
	firstStepBytes  = 4 << 10
	bufferStepBytes = 32 << 10
)

var (
	errResponseTooLong = errors.New("the response is too long")
	errBuffersFull     = errors.New("the responses being buffered take all the memory set aside for them")
)

// bufferBudget limits the bytes that all requests buffer. It is safe for
// concurrent use.
type bufferBudget struct {
	mu   sync.Mutex
	used int
}

// take reports whether n more bytes may be buffered, and counts them if so.
func (b *bufferBudget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > maxBufferedBytes {
		return false
	}
	b.used += n
	return true
}

func (b *bufferBudget) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// readBody reads a body to its end. What it buffers counts against the budget
// until the request ends.
func (ar *activeRequest) readBody(resp *Response) ([]byte, error) {
	var body []byte
	for size := firstStepBytes; len(body) <= maxResponseBytes; size = bufferStepBytes {
		if !ar.g.buffers.take(size) {
			return nil, errBuffersFull
		}
		ar.buffered += size
		step, err := io.ReadAll(io.LimitReader(resp.Body, int64(size)))
		body = append(body, step...)
		switch {
		case err != nil:
			return nil, err
		case len(step) == size:
			continue
		case resp.Length >= 0 && int64(len(body)) != resp.Length:
			return nil, io.ErrUnexpectedEOF
		}
		return body, nil
	}
	return nil, errResponseTooLong
}
