package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

var (
	errLineTooLong  = errors.New("a line of the event stream is too long")
	errEventTooLong = errors.New("an event is too long")
	errStreamTooBig = errors.New("the event stream is too long")
	errBadEventID   = errors.New("an event has no valid sequence number")
)

// rawEvent is one decoded event. Data is valid until the next call.
type rawEvent struct {
	id    uint64
	hasID bool
	data  []byte
}

// decoder reads server-sent events within bounds on the size of an event and of
// the whole stream.
type decoder struct {
	r    *bufio.Reader
	data []byte
	left int64
}

func newDecoder(r io.Reader) *decoder {
	// A token's event has a few hundred bytes; a small buffer keeps the memory
	// of an open stream low.
	return &decoder{r: bufio.NewReaderSize(r, 1024), left: maxStreamBytes}
}

// next returns the next event that has data. io.EOF means that the stream ended
// between two events, and io.ErrUnexpectedEOF within one.
func (d *decoder) next() (rawEvent, error) {
	var ev rawEvent
	d.data = d.data[:0]
	fields := false
	for {
		line, err := d.line()
		if err != nil {
			if err == io.EOF && (fields || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return rawEvent{}, err
		}
		if len(line) == 0 {
			if len(d.data) == 0 {
				ev, fields = rawEvent{}, false
				continue
			}
			ev.data = d.data[:len(d.data)-1]
			return ev, nil
		}
		fields = true
		if err := d.field(&ev, line); err != nil {
			return rawEvent{}, err
		}
	}
}

// field applies one line to the event. Comments and unknown fields are skipped.
func (d *decoder) field(ev *rawEvent, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(d.data)+len(value) > maxEventBytes {
			return errEventTooLong
		}
		d.data = append(append(d.data, value...), '\n')
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return errBadEventID
		}
		ev.id, ev.hasID = id, true
	}
	return nil
}

// line returns the next line without its end. The result is valid until the
// next call. With io.EOF it is what remained without a line end.
func (d *decoder) line() ([]byte, error) {
	part, err := d.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return d.longLine(part)
	}
	if d.left -= int64(len(part)); d.left < 0 {
		return nil, errStreamTooBig
	}
	return trimLine(part), err
}

// longLine joins the parts of a line that exceeds the buffer.
func (d *decoder) longLine(part []byte) ([]byte, error) {
	var whole []byte
	err := bufio.ErrBufferFull
	for {
		if d.left -= int64(len(part)); d.left < 0 {
			return nil, errStreamTooBig
		}
		whole = append(whole, part...)
		if len(whole) > maxEventBytes+1024 {
			return nil, errLineTooLong
		}
		if err != bufio.ErrBufferFull {
			return trimLine(whole), err
		}
		part, err = d.r.ReadSlice('\n')
	}
}

func trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
