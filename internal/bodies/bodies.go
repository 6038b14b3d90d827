// Package bodies reads the bodies of callers' requests within a part of the process's memory. It answers the load of callers
// that nobody controls: many large bodies at once, and bodies that stop before their end and stay open.
//
// Invariants:
//   - The buffers of all bodies, those that are being read and those of requests that run, hold no more than the limit, apart
//     from the ones that have just been interrupted.
//   - A buffer grows with what has arrived, not with what was announced.
package bodies

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBufferBytes is the size of the first buffer of a body. Most bodies need no other.
	firstBufferBytes = 4 << 10
	// smallBodyBytes is the size up to which a body may use the whole limit; larger ones may use largeFraction of it, so that
	// small requests are served beside any number of large ones.
	smallBodyBytes = 64 << 10
	largeFraction  = 0.75
	// minAge is the time that every body gets before another one may take its place.
	minAge = 500 * time.Millisecond
)

var (
	// ErrNoRoom is returned for a body that finds no room although none is slow.
	ErrNoRoom = errors.New("the bodies of other requests take all the memory set aside for them")
	// ErrInterrupted is returned for a slow body whose room another one needed.
	ErrInterrupted = errors.New("the body was sent too slowly while other requests needed the memory")
	// ErrTooLarge is returned for a body that is larger than its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// Budget limits the memory of all bodies. It is safe for concurrent use.
type Budget struct {
	limit int
	now   func() time.Time

	mu      sync.Mutex
	used    int
	reading map[*Body]bool
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, reading: map[*Body]bool{}}
}

// Used returns the number of bytes that bodies hold.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Source is where a body comes from.
type Source struct {
	Reader io.Reader
	// Announced is the size that the caller announced, -1 if it did not, and Limit the largest allowed size.
	Announced, Limit int64
	// Interrupt has a blocked Read of the reader return.
	Interrupt func()
}

// Body is a body that counts against a budget until it is released.
type Body struct {
	budget    *Budget
	interrupt func()
	began     time.Time

	// The budget's mutex guards these.
	held, received int
	interrupted    bool

	data []byte
}

// Read reads a whole body. The caller must release it once no copy of Bytes is in use; after an error nothing is held.
func (b *Budget) Read(s Source) (*Body, error) {
	if s.Announced > s.Limit {
		return nil, ErrTooLarge
	}
	body := &Body{budget: b, interrupt: s.Interrupt, began: b.now()}
	b.mu.Lock()
	b.reading[body] = true
	b.mu.Unlock()
	err := body.readFrom(s)
	b.mu.Lock()
	delete(b.reading, body)
	if body.interrupted {
		err = ErrInterrupted
	}
	b.mu.Unlock()
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (body *Body) readFrom(s Source) error {
	for {
		if len(body.data) == cap(body.data) {
			if err := body.grow(s); err != nil {
				return err
			}
		}
		n, err := s.Reader.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		if int64(len(body.data)) > s.Limit {
			return ErrTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !body.progress(n) {
			return ErrInterrupted
		}
	}
}

// grow doubles the buffer, up to one byte more than the body may have: that byte shows the end, or a body that is too large.
func (body *Body) grow(s Source) error {
	most := s.Limit
	if s.Announced >= 0 {
		most = s.Announced
	}
	size := int(min(int64(max(firstBufferBytes, 2*cap(body.data))), most+1))
	if !body.budget.take(body, size-cap(body.data)) {
		return ErrNoRoom
	}
	next := make([]byte, len(body.data), size)
	copy(next, body.data)
	body.data = next
	return nil
}

// progress records received bytes, and reports whether the body may go on.
func (body *Body) progress(n int) bool {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.received += n
	return !body.interrupted
}

// Bytes returns the body.
func (body *Body) Bytes() []byte { return body.data }

// Release returns the memory of the body to the budget.
func (body *Body) Release() {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.budget.used -= body.held
	body.held, body.data = 0, nil
}

// take counts n more bytes for a body. If there is no room, it interrupts slow bodies; it reports false if that does not help.
func (b *Budget) take(body *Body, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if body.held+n > smallBodyBytes {
		limit = int(float64(limit) * largeFraction)
	}
	for b.used+n > limit {
		slowest := b.slowest(body)
		if slowest == nil || body.interrupted {
			return false
		}
		slowest.interrupted = true
		b.used -= slowest.held
		slowest.held = 0
		delete(b.reading, slowest)
		slowest.interrupt()
	}
	body.held += n
	b.used += n
	return true
}

// slowest returns the body that arrives at the lowest rate, apart from one and from those that have just begun; nil if there
// is none.
func (b *Budget) slowest(except *Body) *Body {
	var slowest *Body
	var lowest float64
	now := b.now()
	for body := range b.reading {
		age := now.Sub(body.began)
		if body == except || age < minAge || body.held == 0 {
			continue
		}
		if rate := float64(body.received) / age.Seconds(); slowest == nil || rate < lowest {
			slowest, lowest = body, rate
		}
	}
	return slowest
}
