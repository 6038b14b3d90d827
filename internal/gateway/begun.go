package gateway

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// maxBegunAttempts limits the attempts of a request whose response has begun. Servers that decline it are asked again
// after a pause, from the same retry budget.
const maxBegunAttempts = 8

// begun reports whether the caller has a part of the response, here or at the host that relays it. Such a request
// cannot be refused any more.
func (ar *activeRequest) begun() bool {
	return ar.started.Load() || ar.r.Handover != nil && ar.r.Handover.Begun
}

// continuation describes the begun response, whose caller got its last event at the time.
func (ar *activeRequest) continuation(lastEvent time.Time) attempts.Continuation {
	return attempts.Continuation{
		Deadline: ar.deadline, LastEvent: lastEvent, Objective: ar.objective(), Gap: ar.route.Gap,
		Begin: time.Duration(float64(ar.r.PromptTokens) / ar.g.opts.Balance.TokensPerMS * float64(time.Millisecond)),
	}
}

// lastEvent returns when the caller got its last event.
func (ar *activeRequest) lastEvent() time.Time {
	switch {
	case !ar.lastEventAt.IsZero():
		return ar.lastEventAt
	case ar.r.Handover != nil:
		return ar.r.Received.Add(-ar.r.Handover.SinceEvent)
	}
	return ar.r.Received
}

// hopelessFactor is by how much the estimated wait must exceed what is left for a begun response to be ended at once: estimates
// are made from views that are some 100 ms old.
const hopelessFactor = 2

// awaitPlace waits before the servers are searched again for a begun response, for which the last search found none. It
// reports false when the response cannot go on in time.
func (ar *activeRequest) awaitPlace(ctx context.Context, refusal error) bool {
	if !ar.begun() || ar.noneInTime || ctx.Err() != nil || fault.Is(refusal, fault.KindQuarantined) {
		return false
	}
	ar.readmitDeclining()
	if !ar.hasUsableServer(ar.g.opts.Fleet.View()) || !ar.pause(ctx) {
		return false
	}
	ar.loadLimit = ar.loads + 1
	return true
}

// awaitAfterDecline waits before a begun response is sent to another server after one that declined it: when many
// streams break off at once, all servers may be full.
func (ar *activeRequest) awaitAfterDecline(ctx context.Context) {
	if ar.begun() && len(ar.declined) > 0 {
		ar.pause(ctx)
	}
}

// pause waits before the next search, and reports false when there is no time for it.
func (ar *activeRequest) pause(ctx context.Context) bool {
	ar.searches++
	wait, ok := ar.continuation(ar.lastEvent()).Pause(ar.searches, ar.g.opts.Now())
	return ok && sleep(ctx, wait)
}

// readmitDeclining allows the servers that declined the request to be asked again: they may have room by now.
func (ar *activeRequest) readmitDeclining() {
	for instance := range ar.declined {
		delete(ar.excluded, instance)
	}
	clear(ar.declined)
}
