package gateway

import (
	"bytes"
	"strings"
)

// maxEventBytes bounds one event; a longer one is no event stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream into whole events and notes their identifiers. A
// stream may break off in the middle of an event, so that only whole events may
// be passed on.
type eventReader struct {
	pending []byte
	// last is the identifier of the last whole event.
	last string
	// events counts whole events.
	events int
}

// add takes bytes and returns those of whole events. The result is valid until
// the next call.
func (e *eventReader) add(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastBreak(e.pending)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.note(whole)
	return whole
}

// lastBreak returns the end of the last blank line.
func lastBreak(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

func (e *eventReader) note(whole []byte) {
	text := strings.ReplaceAll(string(whole), "\r\n", "\n")
	for event := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		e.events++
		for line := range strings.SplitSeq(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id:"); ok {
				e.last = strings.TrimSpace(id)
			}
		}
	}
}

// clean tells whether the stream stands between two events.
func (e *eventReader) clean() bool { return len(e.pending) == 0 }

// tooLong tells whether what came is no event stream.
func (e *eventReader) tooLong() bool { return len(e.pending) > maxEventBytes }

// restart begins with the answer of another server after the last whole event.
func (e *eventReader) restart() { e.pending = e.pending[:0] }
