package gateway

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/reach"
)

// readSize is the size of one read of a stream. An engine produces events of a
// few hundred bytes; after a pause several may have arrived.
const readSize = 8 << 10

// relayStream relays the events of a response as they arrive. Only complete
// events are relayed, so that the stream can be resumed at another server.
func (ar *activeRequest) relayStream(ctx context.Context, p placement, counted *inFlight, resp *Response, began time.Time) (attemptOutcome, error) {
	instance := p.server.Instance
	if ar.started.Load() && mediaTypeOf(resp.Header) != ar.events.mediaType {
		return ar.handleOtherType(p)
	}
	ar.events.restart()
	before := ar.events.count
	buf := make([]byte, readSize)
	first, firstAt := true, time.Time{}
	for {
		n, err := resp.Body.Read(buf)
		now := ar.g.opts.Now()
		if n > 0 && !p.helper {
			ar.g.usage.recordBytes(instance, now)
			ar.g.reach.Contact(now)
		}
		if whole := ar.events.add(buf[:n]); len(whole) > 0 {
			if first {
				first, firstAt = false, now
				if counted != nil {
					counted.recordResponseStart()
				}
				ar.recordFirstEvent(p, began, now)
			}
			if ar.events.count-before >= quarantine.ProgressEvents && !p.helper {
				ar.recordProgress(now)
			}
			ar.build.Store(&p.server.Build)
			ar.observePause(now)
			if err := ar.relayEvents(p, resp, whole); err != nil {
				return final, nil
			}
		}
		switch {
		case errors.Is(err, io.EOF) && ar.events.atEventEnd() && (ar.events.count > before || !resp.EndsWithConnection):
			if !p.helper {
				ar.recordStreamEnd(resp, instance, firstAt, now)
			}
			ar.start(p, resp)
			return delivered, nil
		case err != nil || ar.events.tooLong():
			return ar.handleCutStream(ctx, p, err, now)
		}
	}
}

func (ar *activeRequest) recordFirstEvent(p placement, began, now time.Time) {
	if !p.helper {
		ar.g.usage.recordFirstEvent(p.server.Instance, now.Sub(began), p.expected)
		ar.measurePrompt(p, now.Sub(began))
	}
	if ar.firstEventAt.IsZero() {
		ar.firstEventAt = now
		ar.g.metrics.first.Observe(now.Sub(ar.r.Received))
	}
	if ar.started.Load() {
		ar.g.metrics.resumed.Add(1)
	}
	ar.searches = 0
}

// observePause records the time since the event before.
func (ar *activeRequest) observePause(now time.Time) {
	if !ar.lastEventAt.IsZero() {
		ar.longestPause = max(ar.longestPause, now.Sub(ar.lastEventAt))
	}
	ar.lastEventAt = now
}

// relayEvents writes events to the caller, after the header of the first
// server's response.
func (ar *activeRequest) relayEvents(p placement, resp *Response, whole []byte) error {
	ar.start(p, resp)
	ar.pinned.Store(!ar.route.Resumable || ar.events.lastID == "")
	if _, err := ar.w.Write(whole); err != nil {
		return err
	}
	return ar.w.Flush()
}

func (ar *activeRequest) start(p placement, resp *Response) {
	if ar.started.Load() {
		return
	}
	ar.started.Store(true)
	ar.status, ar.events.mediaType = resp.Status, mediaTypeOf(resp.Header)
	if w, ok := ar.w.(OriginResponder); ok {
		w.SetOrigin(ar.origin())
	}
	ar.startResponse(resp.Status, resp.Header, -1, p.leaving(resp))
}

// origin returns what began the stream; its build is empty before the first event.
func (ar *activeRequest) origin() origin.Origin {
	o := origin.Origin{Service: ar.service.Name}
	if build := ar.build.Load(); build != nil {
		o.Build = *build
	}
	return o
}

// recordStreamEnd records a complete response, whose first event came at firstAt; zero if none came.
func (ar *activeRequest) recordStreamEnd(resp *Response, instance string, firstAt, now time.Time) {
	if !resp.EndsWithConnection {
		ar.recordProgress(now)
	}
	if ar.r.Generation && !firstAt.IsZero() && resp.Load != nil && resp.Load.Pace > 0 {
		ar.g.usage.recordGeneration(ar.service.Name, now.Sub(firstAt), resp.Load.Pace)
	}
	ar.g.usage.recordSuccess(instance, now)
}

var errOtherType = errors.New("the response to a resumed stream is no part of the stream")

// handleOtherType handles a success whose body, for example the text of an error, is no part of the stream.
func (ar *activeRequest) handleOtherType(p placement) (attemptOutcome, error) {
	if !p.helper {
		ar.g.usage.recordFailure(p.server.Instance, ar.g.opts.Now())
	}
	return incomplete, ar.incompleteError(errOtherType)
}

// handleCutStream handles a stream that broke off.
func (ar *activeRequest) handleCutStream(ctx context.Context, p placement, err error, now time.Time) (attemptOutcome, error) {
	if ctx.Err() != nil && ar.deadlinePassed(ctx) {
		return final, ar.noResponseError(ctx, true)
	}
	if p.helper {
		return incomplete, ar.incompleteError(err)
	}
	ar.g.usage.recordFailure(p.server.Instance, now)
	ar.g.recordFailedContact(p.server.Address, reach.BrokenOff)
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
