package origin

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// maxRecords limits the records of a leader, which take about 200 bytes each.
	maxRecords = 200_000
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
	SplitRoute     Reason = "split_route"
	RecordsLost    Reason = "records_lost"
)

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

// entry is what is known of one stream.
type entry struct {
	origin    Origin
	host      Host
	request   uint64
	sequence  uint32
	until     time.Time
	ambiguous bool
}

// Table holds the records of the leader of one term. It is not safe for concurrent use.
type Table struct {
	began time.Time
	// inherited are the builds at the begin of the term.
	inherited Builds
	records   map[Key]entry
	expiredAt time.Time
}

// NewTable returns the table of a term that began with the builds recorded.
func NewTable(inherited Builds, now time.Time) *Table {
	return &Table{began: now, inherited: inherited, records: map[Key]entry{}, expiredAt: now}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Record records streams of a host, or none of them and returns false when it has no room.
func (t *Table) Record(host Host, records []Record, now time.Time) bool {
	t.expire(now)
	if len(t.records)+len(records) > maxRecords {
		return false
	}
	for _, r := range records {
		t.put(host, r, now)
	}
	return true
}

func (t *Table) put(host Host, r Record, now time.Time) {
	old, ok := t.records[r.Key]
	next := entry{origin: r.Origin, host: host, request: r.Request, sequence: r.Sequence, until: r.Until}
	if !ok || !old.until.After(now) {
		t.records[r.Key] = next
		return
	}
	switch sameRequest := old.host == host && old.request == r.Request; {
	case !sameRequest && old.origin != r.Origin:
		// Two requests have the same attempt; the caller may have events of either.
		old.ambiguous = true
	case sameRequest && r.Sequence > old.sequence:
		old.origin, old.sequence = r.Origin, r.Sequence
	}
	if r.Until.After(old.until) {
		old.until = r.Until
	}
	t.records[r.Key] = old
}

func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for key, e := range t.records {
		if !e.until.After(now) {
			delete(t.records, key)
		}
	}
}

// Incomplete reports whether an earlier leader may have had records of streams that this one lacks.
func (t *Table) Incomplete(service string, now time.Time) bool {
	return len(t.inherited.Of(service)) > 1 && now.Sub(t.began) <= Lifetime
}

// AnyIncomplete is Incomplete for any service.
func (t *Table) AnyIncomplete(now time.Time) bool {
	for _, s := range t.inherited.services {
		if t.Incomplete(s.GetService(), now) {
			return true
		}
	}
	return false
}

// Find returns the origin of the stream that an attempt began on a route to the services. The key is
// nil when the caller names no attempt.
func (t *Table) Find(key *Key, services []string, builds Builds, now time.Time) Answer {
	if key != nil {
		if e, ok := t.records[*key]; ok && e.until.After(now) {
			if e.ambiguous {
				return Answer{Reason: SeveralRecords}
			}
			return Answer{Known: true, Origin: e.origin, Reason: Recorded}
		}
	}
	if len(services) != 1 {
		return Answer{Reason: SplitRoute}
	}
	of := builds.Of(services[0])
	switch {
	case len(of) == 0:
		return Answer{Reason: NoBuilds}
	case len(of) == 1:
		return Answer{Known: true, Origin: Origin{services[0], of[0]}, Reason: OnlyBuild}
	case key == nil:
		return Answer{Reason: NoAttempt}
	case t.Incomplete(services[0], now):
		return Answer{Reason: RecordsLost}
	}
	return Answer{Known: true, Origin: Origin{services[0], of[0]}, Reason: FirstBuild}
}

// DecodeRecord decodes a record. It reports false for one that is not valid.
func DecodeRecord(m *apiv1.StreamRecord, now time.Time) (Record, bool) {
	r := Record{
		Origin: Origin{m.GetService(), m.GetBuild()}, Request: m.GetRequest(), Sequence: m.GetSequence(),
		Until: now.Add(min(time.Duration(m.GetRemainingMs())*time.Millisecond, Lifetime)),
	}
	return r, copy(r.Key[:], m.GetKey()) == len(r.Key) && len(m.GetKey()) == len(r.Key)
}
