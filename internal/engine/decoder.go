package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

var (
	errLineTooLong  = errors.New("line of the event stream is too long")
	errEventTooLong = errors.New("event is too long")
	errStreamTooBig = errors.New("event stream is too long")
	errBadEventID   = errors.New("event has no valid sequence number")
)

// rawEvent is one decoded event. Data is valid until the next call.
type rawEvent struct {
	id    uint64
	hasID bool
	data  []byte
}

// decoder reads server-sent events, with limits on the size of an event and of
// the whole stream.
type decoder struct {
	r    *bufio.Reader
	data []byte
	// remaining is how many more bytes the stream may have.
	remaining int64
}

func newDecoder(r io.Reader) *decoder {
	// The event of one token has a few hundred bytes; a small buffer keeps the
	// memory of an open stream low.
	return &decoder{r: bufio.NewReaderSize(r, 1024), remaining: maxStreamBytes}
}

// next returns the next event that has data. It returns io.EOF when the stream
// ends between two events, and io.ErrUnexpectedEOF when it ends within one.
func (d *decoder) next() (rawEvent, error) {
	var ev rawEvent
	d.data = d.data[:0]
	inEvent := false
	for {
		line, err := d.readLine()
		if err != nil {
			if err == io.EOF && (inEvent || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return rawEvent{}, err
		}
		if len(line) == 0 {
			if len(d.data) == 0 {
				ev, inEvent = rawEvent{}, false
				continue
			}
			ev.data = d.data[:len(d.data)-1]
			return ev, nil
		}
		inEvent = true
		if err := d.applyField(&ev, line); err != nil {
			return rawEvent{}, err
		}
	}
}

// applyField applies one line to the event. It skips comments and unknown
// fields.
func (d *decoder) applyField(ev *rawEvent, line []byte) error {
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

// readLine returns the next line without its line ending. The result is valid
// until the next call. With io.EOF it is the unterminated rest of the input.
func (d *decoder) readLine() ([]byte, error) {
	part, err := d.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return d.readLongLine(part)
	}
	if d.remaining -= int64(len(part)); d.remaining < 0 {
		return nil, errStreamTooBig
	}
	return trimLineEnding(part), err
}

// readLongLine joins the parts of a line that exceeds the buffer.
func (d *decoder) readLongLine(part []byte) ([]byte, error) {
	var whole []byte
	err := bufio.ErrBufferFull
	for {
		if d.remaining -= int64(len(part)); d.remaining < 0 {
			return nil, errStreamTooBig
		}
		whole = append(whole, part...)
		if len(whole) > maxEventBytes+1024 {
			return nil, errLineTooLong
		}
		if err != bufio.ErrBufferFull {
			return trimLineEnding(whole), err
		}
		part, err = d.r.ReadSlice('\n')
	}
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
