// Package origin tells which build of a backend server began a stream, so that the stream goes on
// only there, at whichever entry host its caller takes it up.
//
// On a route to one service, the first build of that needs no record. All other streams are recorded at the leader before
// their first event is relayed. That there is no record proves only that a stream has none of the origins that would
// have been recorded at the leader that is asked: it goes on if all other origins that it may have go on at one place.
//
// Invariants:
//   - A build is used for streams that may be taken up only once it is in the replicated Builds.
//   - A build stays in Builds until no server of it has been listed for Lifetime, so that a service
//     with one build cannot have a stream of another.
//   - No event of a stream at another than the first build is relayed before the leader has recorded
//     the stream.
//   - Without a record, a leader names a build only if the stream can have no other.
//   - What identifies a stream and its caller does not depend on the configuration in force.
package origin

import (
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
)

// Lifetime is the longest time for which a caller may take up a stream. No request runs longer.
const Lifetime = 10 * time.Minute

// Key identifies the attempt that began a stream. It does not depend on the configuration, which may
// rename teams and move keys and routes while the stream runs.
type Key [16]byte

// KeyOf returns the key of an attempt.
func KeyOf(attempt string) Key {
	return Key(attempts.Fingerprint([]byte("attempt"), []byte(attempt)))
}

// TeamKeyOf returns the key by which earlier releases file a record.
func TeamKeyOf(team, attempt string) Key {
	return Key(attempts.Fingerprint([]byte("stream"), []byte(team), []byte(attempt)))
}

// Origin is what began a stream.
type Origin struct{ Service, Build string }

// Record names the origin of a stream.
type Record struct {
	Key    Key
	Caller Caller
	// TeamKey is for leaders of earlier releases.
	TeamKey Key
	Origin  Origin
	// Request is the host's number of the request, and Sequence increases with each record of it.
	Request  uint64
	Sequence uint32
	// Until is when the caller can no longer take the stream up.
	Until time.Time
}

// Proto returns the record as a protobuf message.
func (r Record) Proto(now time.Time) *apiv1.StreamRecord {
	return &apiv1.StreamRecord{
		Key: r.TeamKey[:], Attempt: r.Key[:], Caller: r.Caller.Proto(), Service: r.Origin.Service, Build: r.Origin.Build, Request: r.Request, Sequence: r.Sequence,
		RemainingMs: uint32(max(0, r.Until.Sub(now)).Milliseconds()),
	}
}

// Builds holds the builds that each service has or recently had, in the order in which they were
// first seen. The zero value is empty.
type Builds struct {
	services []*apiv1.ServiceBuilds
}

// NewBuilds returns the builds of services, each named once. The caller must not modify them.
func NewBuilds(services []*apiv1.ServiceBuilds) Builds { return Builds{services: services} }

// Of returns the builds of a service, the first seen first.
func (b Builds) Of(service string) []string {
	for _, s := range b.services {
		if s.GetService() == service {
			return s.GetBuilds()
		}
	}
	return nil
}

// Services returns the services that have builds, in order.
func (b Builds) Services() []string {
	out := make([]string, 0, len(b.services))
	for _, s := range b.services {
		out = append(out, s.GetService())
	}
	return out
}

// Has reports whether the origin is one of the builds.
func (b Builds) Has(o Origin) bool { return slices.Contains(b.Of(o.Service), o.Build) }

// IsFirst reports whether the origin is the first build of its service.
func (b Builds) IsFirst(o Origin) bool {
	builds := b.Of(o.Service)
	return len(builds) > 0 && builds[0] == o.Build
}

// AnySeveral reports whether any service has several builds.
func (b Builds) AnySeveral() bool {
	return slices.ContainsFunc(b.services, func(s *apiv1.ServiceBuilds) bool { return len(s.GetBuilds()) > 1 })
}

// IsCertain reports whether a stream of a route to the services needs no record if it begins at the origin: a leader
// without one names this origin, or none.
func (b Builds) IsCertain(o Origin, services int) bool { return services == 1 && b.IsFirst(o) }

// String returns the builds as SERVICE=BUILD,BUILD, for logs.
func (b Builds) String() string {
	var out []string
	for _, s := range b.services {
		out = append(out, s.GetService()+"="+strings.Join(s.GetBuilds(), ","))
	}
	return strings.Join(out, " ")
}
