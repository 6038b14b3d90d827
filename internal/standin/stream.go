package standin

import (
	"sync"
	"time"
)

// Bounds on kept streams.
const (
	maxStreamEvents = 10_000
	maxStreams      = 20_000
)

// stream keeps the events of a streamed completion, so that it can be resumed
// for a while after its connection is lost.
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

// add appends an event. The oldest events of a very long stream are dropped.
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

// end ends the stream; an aborted one has no end marker.
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

// after returns the events that follow the sequence number, whether the stream
// has ended behind them, and a channel that is closed when there is more. It is
// not ok when events are no longer kept.
func (s *stream) after(seq uint64) (events [][]byte, ended, aborted bool, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := seq + 1
	if next < s.first || next > s.first+uint64(len(s.events)) {
		return nil, s.ended, s.aborted, s.changed, false
	}
	return s.events[next-s.first:], s.ended, s.aborted, s.changed, true
}

// attach counts a reader; detach starts the resume window when it was the last.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
	}
}

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

// stop ends the timer of a stream that is dropped with its engine.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry != nil {
		s.expiry.Stop()
	}
}
