package engine

import (
	"io"
	"sync"
)

// requestBody is a request body that releases its bytes once they are read. The
// transport references the request until the end of the response, which for a
// stream is long after the prompt was sent.
type requestBody struct {
	mu   sync.Mutex
	data []byte
}

func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.data = nil
		return n, io.EOF
	}
	return n, nil
}

func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
	return nil
}
