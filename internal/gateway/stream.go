package gateway

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// readSize is the size of one read of a stream. An engine produces events of a
// few hundred bytes; after a pause several may have arrived.
const readSize = 8 << 10

// relayStream relays the events of a response as they arrive. Only complete
// events are relayed, so that the stream can be resumed at another server.
func (ar *activeRequest) relayStream(ctx context.Context, p placement, counted *inFlight, resp *Response, began time.Time) (attemptOutcome, error) {
	instance := p.server.Instance
	ar.events.restart()
	before := ar.events.count
	buf := make([]byte, readSize)
	first := true
	for {
		n, err := resp.Body.Read(buf)
		now := ar.g.opts.Now()
		if n > 0 {
			ar.g.usage.recordBytes(instance, now)
		}
		if whole := ar.events.add(buf[:n]); len(whole) > 0 {
			if first {
				first = false
				counted.recordResponseStart()
				ar.recordFirstEvent(p, began, now)
			}
			if ar.events.count-before >= quarantine.ProgressEvents {
				ar.recordProgress(now)
			}
			ar.build.Store(&p.server.Build)
			if err := ar.relayEvents(resp, whole); err != nil {
				return final, nil
			}
		}
		switch {
		case errors.Is(err, io.EOF) && ar.events.atEventEnd() && (ar.events.count > before || !resp.EndsWithConnection):
			return ar.endStream(resp, instance, now)
		case err != nil || ar.events.tooLong():
			return ar.handleCutStream(ctx, p, err, now)
		}
	}
}

func (ar *activeRequest) recordFirstEvent(p placement, began, now time.Time) {
	ar.g.usage.recordFirstEvent(p.server.Instance, now.Sub(began), p.expected)
	if ar.firstEventAt.IsZero() {
		ar.firstEventAt = now
		ar.g.metrics.first.Observe(now.Sub(ar.r.Received))
	}
	if ar.started {
		ar.g.metrics.resumed.Add(1)
	}
}

// relayEvents writes events to the caller, after the header of the first
// server's response.
func (ar *activeRequest) relayEvents(resp *Response, whole []byte) error {
	ar.start(resp)
	ar.pinned.Store(!ar.route.Resumable || ar.events.lastID == "")
	if _, err := ar.w.Write(whole); err != nil {
		return err
	}
	return ar.w.Flush()
}

func (ar *activeRequest) start(resp *Response) {
	if ar.started {
		return
	}
	ar.started, ar.status = true, resp.Status
	ar.w.Start(resp.Status, resp.Header, -1)
}

// endStream completes a response whose last event was relayed.
func (ar *activeRequest) endStream(resp *Response, instance string, now time.Time) (attemptOutcome, error) {
	if !resp.EndsWithConnection {
		ar.recordProgress(now)
	}
	ar.g.usage.recordSuccess(instance, now)
	ar.start(resp)
	return delivered, nil
}

// handleCutStream handles a stream that broke off.
func (ar *activeRequest) handleCutStream(ctx context.Context, p placement, err error, now time.Time) (attemptOutcome, error) {
	if ctx.Err() != nil && ar.deadlinePassed(ctx) {
		return final, ar.noResponseError(ctx, true)
	}
	ar.g.usage.recordFailure(p.server.Instance, now)
	if ctx.Err() != nil || timedOut(err) {
		ar.g.usage.recordUnreachable(p.server.Instance, now)
		ar.g.opts.DropConnections(p.server.Address)
	} else {
		ar.checkCrash(p)
	}
	return incomplete, ar.incompleteError(err)
}

// timedOut reports whether a connection ended because the server's host sent nothing, not even
// acknowledgements. Such a server is cut off or suspended.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
