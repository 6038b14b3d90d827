package standin

import (
	"sync"
	"time"
)

// Limits on the stored events of one stream and on the stored streams.
const (
	maxStreamEvents = 10_000
	maxStreams      = 20_000
)

// stream stores the events of a streamed completion, so that it can be resumed for
// a time after its connection is lost.
type stream struct {
	cancel func()
	forget func()
	window time.Duration

	mu      sync.Mutex
	first   uint64 // sequence number of events[0]
	events  [][]byte
	ended   bool
	aborted bool
	changed chan struct{}
	readers int
	expiry  *time.Timer
}

func newStream(window time.Duration, cancel, forget func()) *stream {
	return &stream{cancel: cancel, forget: forget, window: window, first: 1, changed: make(chan struct{})}
}

// add appends an event. At maxStreamEvents it drops the older half.
func (s *stream) add(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if len(s.events) >= maxStreamEvents {
		s.events = append([][]byte(nil), s.events[maxStreamEvents/2:]...)
		s.first += maxStreamEvents / 2
	}
	s.events = append(s.events, data)
	s.notify()
}

// end ends the stream. An aborted stream gets no end marker.
func (s *stream) end(aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended, s.aborted = true, aborted
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the events that follow the sequence number, whether the stream has
// ended with them, and a channel that is closed at the next change. ok is false
// when those events are not stored, or no longer.
func (s *stream) after(seq uint64) (events [][]byte, ended, aborted bool, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := seq + 1
	if next < s.first || next > s.first+uint64(len(s.events)) {
		return nil, s.ended, s.aborted, s.changed, false
	}
	return s.events[next-s.first:], s.ended, s.aborted, s.changed, true
}

// attach adds a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
	}
}

// detach removes a reader. After the last one it starts the resume window, at the
// end of which a stream without a new reader is cancelled and removed.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers--; s.readers > 0 {
		return
	}
	s.expiry = time.AfterFunc(s.window, func() {
		s.mu.Lock()
		idle := s.readers == 0
		s.mu.Unlock()
		if idle {
			s.cancel()
			s.forget()
		}
	})
}

// stop stops the resume window of a stream whose engine has stopped.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry != nil {
		s.expiry.Stop()
	}
}
