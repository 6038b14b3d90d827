// Package logsink writes log lines without blocking the caller. Lines are queued
// in a bounded buffer; those that do not fit are dropped and counted.
package logsink

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxPendingBytes bounds the queued lines. It holds about one second of lines of
// the busiest process.
const maxPendingBytes = 512 << 10

// Sink is an io.Writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out in a goroutine of its own until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops it if the buffer is full or the sink is closed.
// It reports success in either case.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := !s.closed && len(s.pending)+len(line) <= maxPendingBytes
	if fits {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	if !fits {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for range s.wake {
		s.mu.Lock()
		lines, closed := s.pending, s.closed
		s.pending = s.spare[:0]
		s.mu.Unlock()
		if n := s.dropped.Load(); n > reported {
			reported = n
			lines = append(lines, `{"level":"warn","event":"log_lines_dropped","total":`...)
			lines = strconv.AppendInt(lines, n, 10)
			lines = append(lines, "}\n"...)
		}
		if len(lines) > 0 {
			// A failed log write has no other place to be reported.
			_, _ = s.out.Write(lines)
		}
		s.spare = lines[:0]
		if closed {
			return
		}
	}
}

// Close writes the queued lines and stops the sink. It is safe to call twice.
func (s *Sink) Close() error {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !alreadyClosed {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	<-s.done
	return nil
}
