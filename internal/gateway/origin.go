package gateway

import (
	"context"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

// maxRecordingViewAge is the age of the view up to which streams at builds that have to be recorded
// are begun. In an older view the leader is lost, and they would be refused.
const maxRecordingViewAge = time.Second

// recordMargin is how much longer than the caller says a record is kept: once it is gone, the stream would be
// taken for one that began at the first build.
const recordMargin = 30 * time.Second

// recordsRetryAfter is the time after which a new leader is likely to have the records of its predecessor.
const recordsRetryAfter = time.Second

// takesUp reports whether the request takes up a stream of which its caller has events. The route may have been
// resumable when the stream began.
func (ar *activeRequest) takesUp() bool { return ar.route.Streaming && ar.r.AfterEvent != "" }

// traced reports whether the response may be taken up by the caller, so that its origin must be known.
func (ar *activeRequest) traced() bool { return ar.route.Streaming && ar.route.Resumable }

// teamName returns the name of the caller's team, empty where the route asks for no key.
func (ar *activeRequest) teamName() string {
	if ar.team == nil {
		return ""
	}
	return ar.team.Name
}

// caller returns the caller as one of an attempt.
func (ar *activeRequest) caller(attempt string) origin.Caller {
	return origin.CallerOf(attempt, ar.r.APIKey, ar.teamName())
}

// originQuery asks what began the stream that the request takes up.
func (ar *activeRequest) originQuery() origin.Query {
	q := origin.Query{Host: ar.route.Host, Prefix: ar.route.Prefix, Resumable: ar.route.Resumable}
	for _, s := range ar.route.Split {
		q.Services = append(q.Services, s.Service)
	}
	if attempt := ar.r.Resumes; attempt != "" {
		key, teamKey := origin.KeyOf(attempt), origin.TeamKeyOf(ar.teamName(), attempt)
		q.Attempt, q.TeamKey, q.Caller = &key, &teamKey, ar.caller(attempt)
	}
	return q
}

// findOrigin binds a request that takes up a stream to the service and the build that began it. Where
// these are not known, it refuses the request, so that the caller can begin anew.
func (ar *activeRequest) findOrigin(ctx context.Context, v *exchange.View) error {
	answer, err := ar.g.opts.Fleet.FindStream(ctx, ar.originQuery())
	if err != nil {
		ar.originReason = "not_answered"
		return err
	}
	ar.originReason = answer.Reason
	if !answer.Known || !ar.route.Uses(answer.Origin.Service) || ar.r.Timeout > origin.Lifetime {
		refusal := fault.Newf(fault.KindNoBackend, "begin the stream anew, without the last event",
			"it is not known which build of the backend servers began the stream: %s", answer.Reason).WithRun(fault.NotRun)
		if answer.Reason == origin.RecordsAwaited {
			refusal = refusal.After(recordsRetryAfter)
		}
		return refusal
	}
	ar.build.Store(&answer.Origin.Build)
	return ar.setService(v, answer.Origin.Service)
}

// isTraceable reports whether a stream that begins at the server can be taken up later.
func (ar *activeRequest) isTraceable(v *exchange.View, s *exchange.Server, now time.Time) bool {
	if !ar.traced() || !v.BuildsKnown || ar.begun() {
		return true // the build of a begun stream is known wherever that has to be recorded
	}
	o := origin.Origin{Service: s.Service, Build: s.Build}
	if ar.record.Origin == o {
		return true
	}
	switch age := v.Age(now); {
	case !v.Builds.Has(o) || age > origin.Lifetime:
		return false
	case age > maxRecordingViewAge:
		return ar.isCertain(v, o)
	}
	return true
}

// isCertain reports whether the origin of a stream without a record is taken to be this one. A first build of which
// the leader knew no server may have been dropped since, and be back as a later one.
func (ar *activeRequest) isCertain(v *exchange.View, o origin.Origin) bool {
	return v.Builds.IsCertain(o, len(ar.route.Split)) && v.Origins[o]
}

// mayBeRecorded reports whether the leader may have a record of the stream from an earlier attempt, at this host
// or another one.
func (ar *activeRequest) mayBeRecorded() bool {
	return ar.recordSent || ar.r.Handover != nil && ar.r.Handover.Recorded
}

// recordOrigin records which build the attempt may begin the stream at. An attempt whose origin is
// neither recorded nor certain must not be sent.
func (ar *activeRequest) recordOrigin(ctx context.Context, p placement, now time.Time) error {
	v := ar.g.opts.Fleet.View()
	if !ar.traced() || !v.BuildsKnown || ar.begun() {
		return nil
	}
	o := origin.Origin{Service: p.server.Service, Build: p.server.Build}
	if ar.record.Sequence > 0 && ar.record.Origin == o {
		return nil
	}
	// A record whose confirmation was lost may be in force, so that another one has to replace it.
	certain := ar.isCertain(v, o) && !ar.mayBeRecorded()
	if ar.record.Sequence == 0 {
		lifetime := origin.Lifetime
		if ar.r.Timeout > 0 {
			lifetime = min(lifetime, ar.r.Timeout+recordMargin)
		}
		ar.record = origin.Record{
			Key: origin.KeyOf(ar.r.ID), Caller: ar.caller(ar.r.ID), TeamKey: origin.TeamKeyOf(ar.teamName(), ar.r.ID),
			Request: ar.g.requests.Add(1), Until: now.Add(lifetime),
		}
	}
	ar.record.Sequence++
	ar.record.Origin = o
	ar.recordSent = ar.recordSent || !certain
	err := ar.g.opts.Fleet.RecordStream(ctx, ar.record, certain)
	if err != nil {
		ar.record.Origin = origin.Origin{}
		return err
	}
	return nil
}
