package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// readSize is the size of one read of a stream. An engine makes an event of a
// few hundred bytes at a time; after a pause several may have come.
const readSize = 8 << 10

// stream passes the events of an answer on as they arrive. Only whole events are
// passed, so that the stream can go on at another server.
func (f *flight) stream(ctx context.Context, p place, t *ticket, answer *Response, began time.Time) (verdict, error) {
	instance := p.server.Instance
	f.events.restart()
	buf := make([]byte, readSize)
	first := true
	for {
		n, err := answer.Body.Read(buf)
		now := f.g.opts.Now()
		if n > 0 {
			f.g.use.heard(instance, now)
		}
		if whole := f.events.add(buf[:n]); len(whole) > 0 {
			if first {
				first = false
				t.begun()
				f.noteFirst(p, began, now)
			}
			if err := f.pass(answer, whole); err != nil {
				return over, nil
			}
		}
		switch {
		case errors.Is(err, io.EOF) && f.events.clean():
			return f.ended(answer, instance, now)
		case err != nil || f.events.tooLong():
			return f.cut(ctx, p, err, now)
		}
	}
}

func (f *flight) noteFirst(p place, began, now time.Time) {
	f.g.use.firstEvent(p.server.Instance, now.Sub(began), p.expected)
	if f.firstAt.IsZero() {
		f.firstAt = now
		f.g.metrics.first.Observe(now.Sub(f.r.Received))
	}
	if f.started {
		f.g.metrics.resumed.Add(1)
	}
}

// pass writes events to the caller, after the header of the first server.
func (f *flight) pass(answer *Response, whole []byte) error {
	f.begin(answer)
	f.pinned.Store(!f.route.Resumable || f.events.last == "")
	if _, err := f.w.Write(whole); err != nil {
		return err
	}
	return f.w.Flush()
}

func (f *flight) begin(answer *Response) {
	if f.started {
		return
	}
	f.started, f.status = true, answer.Status
	f.w.Start(answer.Status, answer.Header, -1)
}

// ended completes an answer whose last event was passed on.
func (f *flight) ended(answer *Response, instance string, now time.Time) (verdict, error) {
	f.g.use.succeeded(instance, now)
	f.begin(answer)
	return delivered, nil
}

// cut handles a stream that broke off.
func (f *flight) cut(ctx context.Context, p place, err error, now time.Time) (verdict, error) {
	if ctx.Err() != nil && f.deadlineOrGone(ctx) {
		return over, f.gone(ctx, true)
	}
	f.g.use.failed(p.server.Instance, now)
	if ctx.Err() != nil {
		f.g.use.unreachable(p.server.Instance, now)
		f.g.opts.DropConnections(p.server.Address)
	} else {
		f.checkCrash(p)
	}
	return broken, f.brokenError(err)
}
