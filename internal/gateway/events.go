package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"strings"
)

// maxEventBytes limits one event; longer data is not an event stream. An event
// has some tokens, and a host buffers one for each of its streams.
const maxEventBytes = 64 << 10

// eventReader splits a stream into complete events and records their
// identifiers. A stream may break off in the middle of an event, so only
// complete events may be relayed.
type eventReader struct {
	pending []byte
	// lastID is the identifier of the last complete event.
	lastID string
	// count is the number of complete events.
	count int
	// mediaType is that of the response that began the stream.
	mediaType string
}

// mediaTypeOf returns the media type of a response, empty when it names none.
func mediaTypeOf(h http.Header) string {
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t
}

// add appends bytes and returns the complete events. The result is valid until
// the next call.
func (e *eventReader) add(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastBreak(e.pending)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.record(whole)
	return whole
}

// lastBreak returns the offset after the last blank line.
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

func (e *eventReader) record(whole []byte) {
	text := strings.ReplaceAll(string(whole), "\r\n", "\n")
	for event := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		e.count++
		for line := range strings.SplitSeq(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id:"); ok {
				e.lastID = strings.TrimSpace(id)
			}
		}
	}
}

// atEventEnd reports whether the stream is between two events.
func (e *eventReader) atEventEnd() bool { return len(e.pending) == 0 }

// tooLong reports whether the data is not an event stream.
func (e *eventReader) tooLong() bool { return len(e.pending) > maxEventBytes }

// restart discards a partial event, for the response of another server that
// starts after the last complete event.
func (e *eventReader) restart() { e.pending = e.pending[:0] }
