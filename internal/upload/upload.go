// Package upload tells whether a request that is still being written when its response ends can be written to its end.
//
// An operating system reports the reset of a connection once, to whichever call comes first. If the write of a request
// takes that error, the read of the response returns an ordinary end. A server that has crashed may also close in order,
// and resets the connection on what arrives later. So a body that ends with its connection is complete only if the whole
// request could be written (RFC 9112, section 8).
package upload

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLag is how long after the end of a response the rest of its request may take to be written. A server that closes in
// order reads on meanwhile.
const maxLag = 2 * time.Second

var errUnread = errors.New("the connection ended, and the server does not read the rest of the request")

// Upload is the write of one request. It is safe for concurrent use.
type Upload struct {
	once sync.Once
	done chan struct{}
	err  error // valid once done is closed
}

// New returns an upload that has begun.
func New() *Upload { return &Upload{done: make(chan struct{})} }

// End records the result of the write. The first result counts.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Succeeded reports whether the request has been written.
func (u *Upload) Succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// Wait waits for the end of the write, for a limited time, after the response has ended with its connection. An error
// means that the response may be incomplete.
func (u *Upload) Wait() error {
	timer := time.NewTimer(maxLag)
	defer timer.Stop()
	select {
	case <-u.done:
		return errors.Wrap(u.err, "the connection failed before the whole request was written")
	case <-timer.C:
		return errUnread
	}
}
