package engine

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// drainTimeout and maxDrainBytes limit how a stream's body is read to its end
// after the end marker. Only a body that is read to its end leaves its connection
// reusable.
const (
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 1024
)

// Stream is the event stream of one attempt. Next is called by one goroutine at
// a time; Close may be called by another.
type Stream struct {
	client *Client
	body   io.ReadCloser
	dec    *decoder
	// last is the sequence number of the last event that was returned.
	last uint64
	// resumed is set until the first new event after a resume. Until then, the
	// engine may send events up to last again.
	resumed bool
	events  int
	done    atomic.Bool
	err     error

	close sync.Once
}

func newStream(c *Client, body io.ReadCloser, after uint64) *Stream {
	return &Stream{client: c, body: body, dec: newDecoder(body), last: after, resumed: after > 0}
}

// Last returns the sequence number of the last event that Next returned, after
// which Resume continues.
func (s *Stream) Last() uint64 { return s.last }

// Next returns the next event in sequence. After the event with Done it returns
// io.EOF. A gap, a duplicate, an event without a sequence number and an end
// without the end marker are errors; such an event is never returned.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	ev, err := s.next()
	if err != nil {
		s.err = err
		s.Close()
	}
	return ev, err
}

func (s *Stream) next() (Event, error) {
	if s.done.Load() {
		return Event{}, io.EOF
	}
	for {
		raw, err := s.dec.next()
		if err != nil {
			return Event{}, s.readError(err)
		}
		if s.events++; s.events > maxStreamEvents {
			return Event{}, s.readError(errStreamTooBig)
		}
		done := string(raw.data) == "[DONE]"
		if done && !raw.hasID {
			raw.id, raw.hasID = s.last+1, true
		}
		switch {
		case !raw.hasID || raw.id == 0:
			return Event{}, s.readError(errBadEventID)
		case raw.id <= s.last && s.resumed && !done:
			continue
		case raw.id != s.last+1:
			return Event{}, s.sequenceError(raw.id)
		}
		s.resumed = false
		s.last = raw.id
		s.done.Store(done)
		return Event{Seq: raw.id, Data: raw.data, Done: done}, nil
	}
}

// sequenceError returns the error for a gap or a duplicate.
func (s *Stream) sequenceError(got uint64) error {
	return s.client.errorf(ResponseStarted, fault.KindStreamCut, "resume the stream after its last event",
		"sent event %d after event %d", got, s.last).withRan()
}

// readError returns the error for a stream that ended without its end marker or
// violates the protocol.
func (s *Stream) readError(err error) error {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return s.client.errorf(ResponseStarted, fault.KindStreamCut, "resume the stream after its last event",
			"ended its stream without the end marker after event %d", s.last).withRan()
	case isPoolError(err):
		return s.cutError(err)
	default:
		return s.client.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "violated the stream protocol: %v", err).withRan()
	}
}

// cutError returns the error for a lost connection as a cut stream; silence and
// cancellation by the caller keep their kind.
func (s *Stream) cutError(err error) error {
	e := s.client.transportError(err)
	if e.fault.Kind != fault.KindBackendFailed {
		return e
	}
	e.fault = fault.Wrap(err, fault.KindStreamCut, "engine "+s.client.name+" lost the connection during its stream",
		"resume the stream after its last event").WithRun(fault.Ran)
	return e
}

// Close ends the stream. Before the end of the stream it closes the connection,
// which the engine treats as a cut that may be resumed; Cancel ends the attempt
// on the engine.
func (s *Stream) Close() error {
	var err error
	s.close.Do(func() {
		if b, ok := s.body.(drainer); ok && s.done.Load() {
			b.Drain(maxDrainBytes, drainTimeout)
		}
		err = s.body.Close()
	})
	return err
}

// drainer reads the few bytes between the end marker and the end of the body.
type drainer interface {
	Drain(limit int64, timeout time.Duration)
}
