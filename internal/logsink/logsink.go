// Package logsink writes log lines without ever blocking the caller. Lines wait
// in a bounded buffer; those that do not fit are dropped and counted.
package logsink

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// bufferBytes bounds the lines that wait. It is about a second of lines of the
// busiest process.
const bufferBytes = 512 << 10

// Sink is an io.Writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out. Close ends it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write keeps a line to be written. It drops the line when too much waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := !s.closed && len(s.waiting)+len(line) <= bufferBytes
	if fits {
		s.waiting = append(s.waiting, line...)
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
		lines, closed := s.waiting, s.closed
		s.waiting = s.spare[:0]
		s.mu.Unlock()
		if n := s.dropped.Load(); n > reported {
			reported = n
			lines = append(lines, `{"level":"warn","event":"log_lines_dropped","total":`...)
			lines = strconv.AppendInt(lines, n, 10)
			lines = append(lines, "}\n"...)
		}
		if len(lines) > 0 {
			// A log that cannot be written cannot be reported either.
			_, _ = s.out.Write(lines)
		}
		s.spare = lines[:0]
		if closed {
			return
		}
	}
}

// Close writes what waits and ends the sink.
func (s *Sink) Close() error {
	s.mu.Lock()
	already := s.closed
	s.closed = true
	s.mu.Unlock()
	if !already {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	<-s.done
	return nil
}
