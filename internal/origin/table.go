package origin

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// maxRecords limits the records of a leader, which take about 200 bytes each.
	maxRecords = 200_000
	// maxCallers limits the callers whose records one attempt may have. Attempts have random names, so
	// that more than one caller is rare, and each lookup goes through all of them.
	maxCallers = 8
	// expireInterval is the time between two removals of expired records.
	expireInterval = 5 * time.Second
)

// Reason says how the origin of a stream is known, or why it is not.
type Reason string

// The reasons.
const (
	Recorded       Reason = "recorded"
	OnlyBuild      Reason = "only_build"
	FirstBuild     Reason = "first_build"
	NoAttempt      Reason = "no_attempt_named"
	NoBuilds       Reason = "no_build_seen"
	SeveralRecords Reason = "several_records"
	OtherCaller    Reason = "record_of_another_caller"
	SplitRoute     Reason = "split_route"
	RecordsLost    Reason = "records_lost"
	// RecordsAwaited: hosts are about to send the records that an earlier leader had.
	RecordsAwaited Reason = "records_awaited"
	// RouteChanged: the route went to another service lately, and the stream may have begun there.
	RouteChanged Reason = "route_changed"
)

// resendTime is how long hosts take to find a new leader and to send their records again.
const resendTime = 3 * time.Second

// Answer is the origin of a stream. It is known only if Known is true.
type Answer struct {
	Known  bool
	Origin Origin
	Reason Reason
}

// Host is one run of an entry host.
type Host struct {
	Name        string
	Incarnation uint64
}

// Query asks for the origin of the stream that an attempt began.
type Query struct {
	// Attempt identifies the attempt, nil when the caller names none. TeamKey is the key by which hosts of
	// earlier releases recorded it.
	Attempt, TeamKey *Key
	// Caller takes the stream up.
	Caller Caller
	// Host and Prefix identify the route; empty in queries of earlier releases. Services are those of the route, and
	// Resumable is true when its streams may be taken up.
	Host, Prefix string
	Services     []string
	Resumable    bool
}

// entry is what is known of one stream.
type entry struct {
	caller    Caller
	origin    Origin
	host      Host
	request   uint64
	sequence  uint32
	until     time.Time
	ambiguous bool
	// next is the record of the same attempt by another caller.
	next *entry
}

// Table holds the records of the leader of one term. It is not safe for concurrent use.
type Table struct {
	began time.Time
	// inherited and inheritedRoutes are the builds and the routes at the begin of the term.
	inherited       Builds
	inheritedRoutes Routes
	// mayLack is true if an earlier leader may have had records that this one lacks.
	mayLack   bool
	records   map[Key]*entry
	size      int
	expiredAt time.Time
}

// NewTable returns the table of a term that began with the builds and the routes.
func NewTable(inherited Builds, routes Routes, now time.Time) *Table {
	mayLack := inherited.AnySeveral() || routes.AnySplit(now) || routes.hasGap(now)
	return &Table{began: now, inherited: inherited, inheritedRoutes: routes, mayLack: mayLack, records: map[Key]*entry{}, expiredAt: now}
}

// Len returns the number of records.
func (t *Table) Len() int { return t.size }

// Record records streams of a host, or none of them and returns false when it has no room.
func (t *Table) Record(host Host, records []Record, now time.Time) bool {
	t.expire(now)
	if t.size+len(records) > maxRecords {
		return false
	}
	for _, r := range records {
		t.put(host, r, now)
	}
	return true
}

func (t *Table) put(host Host, r Record, now time.Time) {
	next := &entry{caller: r.Caller, origin: r.Origin, host: host, request: r.Request, sequence: r.Sequence, until: r.Until}
	callers := 0
	for e := t.records[r.Key]; e != nil; e = e.next {
		if sameRequest := e.host == host && e.request == r.Request; sameRequest || e.caller.Credential == r.Caller.Credential {
			e.update(next, sameRequest, now)
			return
		}
		callers++
	}
	if callers >= maxCallers {
		first := t.records[r.Key]
		first.ambiguous, first.caller = true, Caller{}
		return
	}
	next.next = t.records[r.Key]
	t.records[r.Key] = next
	t.size++
}

// update applies another record of the attempt and the caller.
func (e *entry) update(next *entry, sameRequest bool, now time.Time) {
	switch {
	case !e.until.After(now):
		next.next = e.next
		*e = *next
	case !sameRequest && e.origin != next.origin:
		// Two requests have the same attempt; the caller may have events of either.
		e.ambiguous = true
	case sameRequest && next.sequence > e.sequence:
		e.origin, e.sequence = next.origin, next.sequence
	}
	if next.until.After(e.until) {
		e.until = next.until
	}
}

func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for key, first := range t.records {
		kept := (*entry)(nil)
		for e := first; e != nil; {
			next := e.next
			if e.until.After(now) {
				e.next, kept = kept, e
			} else {
				t.size--
			}
			e = next
		}
		if kept == nil {
			delete(t.records, key)
		} else {
			t.records[key] = kept
		}
	}
}

// lookup returns the record that the caller may use, and the origins in those of other callers.
func (t *Table) lookup(key *Key, caller Caller, now time.Time) (found *entry, others []Origin) {
	if key == nil {
		return nil, nil
	}
	for e := t.records[*key]; e != nil; e = e.next {
		switch {
		case !e.until.After(now):
		case !caller.MayTakeUp(e.caller):
			others = append(others, e.origin)
		case found != nil && found.origin != e.origin:
			return &entry{ambiguous: true}, others
		default:
			found = e
		}
	}
	return found, others
}

// AnyIncomplete reports whether an earlier leader may have had records of streams that this one lacks.
func (t *Table) AnyIncomplete(now time.Time) bool {
	return t.mayLack && now.Sub(t.began) <= Lifetime
}

// Find returns the origin of the stream that an attempt began.
func (t *Table) Find(q Query, builds Builds, routes Routes, now time.Time) Answer {
	found, others := t.lookup(q.Attempt, q.Caller, now)
	if found == nil {
		found, _ = t.lookup(q.TeamKey, Caller{}, now)
	}
	switch {
	case found != nil && found.ambiguous:
		return Answer{Reason: SeveralRecords}
	case found != nil:
		if o, ok := goesOnAt(found.origin, q.Services, builds); ok {
			return Answer{Known: true, Origin: o, Reason: Recorded}
		}
		return Answer{Reason: RouteChanged}
	}
	p := t.possible(q, others, builds, routes, now)
	answer := Answer{Reason: p.reason}
	for i, began := range p.origins {
		o, ok := goesOnAt(began, q.Services, builds)
		if !ok || i > 0 && o != answer.Origin {
			return Answer{Reason: p.reasonUnknown}
		}
		answer.Known, answer.Origin = true, o
	}
	return answer
}

// goesOnAt returns where a stream may go on at one of the services: where it began, or, if the route no longer goes
// there, at a service whose servers have the same build. It reports false where there is none.
func goesOnAt(began Origin, services []string, builds Builds) (Origin, bool) {
	if slices.Contains(services, began.Service) {
		return began, true
	}
	for _, service := range services {
		if o := (Origin{service, began.Build}); builds.Has(o) {
			return o, true
		}
	}
	return Origin{}, false
}

// DecodeQuery decodes a query. A key of another length counts as none.
func DecodeQuery(m *apiv1.FindStreamRequest) Query {
	caller, _ := decodeCaller(m.GetCaller())
	return Query{
		Attempt: decodeKey(m.GetAttempt()), TeamKey: decodeKey(m.GetKey()), Caller: caller,
		Host: m.GetHost(), Prefix: m.GetPrefix(), Services: m.GetServices(), Resumable: m.GetResumable() || m.GetHost() == "",
	}
}

// Proto returns the query as a protobuf message.
func (q Query) Proto() *apiv1.FindStreamRequest {
	m := &apiv1.FindStreamRequest{Caller: q.Caller.Proto(), Services: q.Services, Host: q.Host, Prefix: q.Prefix, Resumable: q.Resumable}
	if q.Attempt != nil {
		m.Attempt = q.Attempt[:]
	}
	if q.TeamKey != nil {
		m.Key = q.TeamKey[:]
	}
	return m
}

func decodeKey(data []byte) *Key {
	k := Key{}
	if len(data) != len(k) {
		return nil
	}
	copy(k[:], data)
	return &k
}

// DecodeRecords decodes the valid ones of the records.
func DecodeRecords(list []*apiv1.StreamRecord, now time.Time) []Record {
	out := make([]Record, 0, len(list))
	for _, m := range list {
		if r, ok := DecodeRecord(m, now); ok {
			out = append(out, r)
		}
	}
	return out
}

// DecodeRecord decodes a record. It reports false for one that is not valid.
func DecodeRecord(m *apiv1.StreamRecord, now time.Time) (Record, bool) {
	caller, ok := decodeCaller(m.GetCaller())
	r := Record{
		Caller: caller, Origin: Origin{m.GetService(), m.GetBuild()}, Request: m.GetRequest(), Sequence: m.GetSequence(),
		Until: now.Add(min(time.Duration(m.GetRemainingMs())*time.Millisecond, Lifetime)),
	}
	key, teamKey := decodeKey(m.GetAttempt()), decodeKey(m.GetKey())
	switch {
	case key == nil && len(m.GetAttempt()) == 0:
		// The record comes from an earlier release, whose key only callers of the same team have.
		key, r.Caller = teamKey, Caller{}
	case teamKey == nil:
		return r, false
	}
	if key == nil || !ok {
		return r, false
	}
	r.Key = *key
	if teamKey != nil {
		r.TeamKey = *teamKey
	}
	return r, true
}
