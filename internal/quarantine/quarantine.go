// Package quarantine holds the control leader's table of crash marks and the
// rule by which a request's fingerprint is quarantined.
package quarantine

import (
	"bytes"
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Options are the limits of a Table. Zero fields select the defaults.
type Options struct {
	// Retention is how long a fingerprint's marks are retained after its last
	// mark.
	Retention time.Duration
	// MaxFingerprints limits the size of the table. Fingerprints with one
	// crashed server are evicted first, and among those the one with the
	// oldest mark.
	MaxFingerprints int
	// Crashes is the number of distinct crashed backend servers that
	// quarantines a fingerprint.
	Crashes int
	// AnswersReported is true when hosts report complete responses, which clear a request. Then
	// Crashes counts all crashes if two backend servers or more crashed, and SameServerCrashes those of
	// one. Without these reports, a server that crashes for another reason would quarantine whatever its
	// callers send often.
	AnswersReported   bool
	SameServerCrashes int
	// Clearance is the time that hosts have to report a response to a request that was in flight at two crashes
	// before it is quarantined, if AnswersReported is true: two exchanges with the leader and their delays.
	Clearance time.Duration
	// SoleSuspectServers is the number of distinct crashed backend servers that
	// quarantines a fingerprint that was the only suspect at each of them.
	SoleSuspectServers int
	// SoleSuspectCrashes is the number of crashes that quarantines a fingerprint that
	// was the only suspect at each of them, also when one backend server
	// crashed repeatedly: a request may return each time to the engine that
	// has its adapter.
	SoleSuspectCrashes int
}

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, time.Hour)
	o.MaxFingerprints = cmp.Or(o.MaxFingerprints, 100_000)
	o.Crashes = cmp.Or(o.Crashes, 3)
	o.SameServerCrashes = cmp.Or(o.SameServerCrashes, 5)
	o.Clearance = cmp.Or(o.Clearance, time.Second)
	o.SoleSuspectServers = cmp.Or(o.SoleSuspectServers, 2)
	o.SoleSuspectCrashes = cmp.Or(o.SoleSuspectCrashes, 3)
	return o
}

// crash identifies a crash by the backend server and its run.
type crash struct{ server, startID string }

// markedCrash is one host's report of a fingerprint at a crash.
type markedCrash struct {
	crash crash
	at    time.Time
	// soleSuspect is true when the host knew of no other suspect in flight
	// there.
	soleSuspect bool
}

// suspectsAtCrash lists the fingerprints that were in flight at a crash:
// marked are those that already had a mark from another crash, unmarked those
// that had none.
type suspectsAtCrash struct {
	marked, unmarked []string
}

// suspect is a fingerprint that was in flight at a crash.
type suspect struct {
	fingerprint string
	marks       []markedCrash
	team        string
	// answeredAt is when a response to the request was last complete; zero if none is known.
	answeredAt time.Time
	// listedAt is when the request was last found in flight at a second crash.
	listedAt time.Time
	// last is when the request was last marked or answered.
	last    time.Time
	element *list.Element
}

// servers returns the distinct backend servers that crashed.
func (s *suspect) servers() []string {
	var out []string
	for _, m := range s.marks {
		if !slices.Contains(out, m.crash.server) {
			out = append(out, m.crash.server)
		}
	}
	return out
}

// Table holds crash marks. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	opts     Options
	suspects map[string]*suspect
	byCrash  map[crash]*suspectsAtCrash
	single   *list.List // suspects with one crashed server, oldest mark first
	multiple *list.List // the others, oldest mark first
	// pending holds the fingerprints that are quarantined unless a response to them is reported in time.
	pending map[string]*suspect
}

// HarmfulRequest is a request that crashes servers.
type HarmfulRequest struct {
	Fingerprint []byte
	Team        string
	Crashes     uint32
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), suspects: map[string]*suspect{}, byCrash: map[crash]*suspectsAtCrash{},
		single: list.New(), multiple: list.New(), pending: map[string]*suspect{},
	}
}

// RecordCrash records that a request was in flight at a crash. It returns the number
// of crashes with the fingerprint in flight since its last complete response, and whether to quarantine it at once. A
// repeated mark changes nothing.
func (t *Table) RecordCrash(m *apiv1.CrashMark, now time.Time) (crashes uint32, quarantine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.suspect(string(m.GetFingerprint()))
	c, at := crash{m.GetBackendServer(), m.GetStartId()}, crashTime(m, now)
	known := slices.ContainsFunc(s.marks, func(have markedCrash) bool { return have.crash == c })
	if !known && (s.answeredAt.IsZero() || at.After(s.answeredAt)) {
		t.add(s, markedCrash{crash: c, at: at, soleSuspect: m.GetSoleSuspect()})
		s.last, s.team = now, m.GetTeam()
		if len(s.marks) == 2 {
			s.listedAt = now
		}
		t.reorder(s)
		t.evict()
	}
	harmful := t.isHarmful(s)
	if harmful && t.opts.AnswersReported {
		t.pending[s.fingerprint] = s
		harmful = false
	}
	return uint32(len(s.marks)), harmful
}

// Harmful returns the requests that are found harmful at the time and were not returned since their last mark, in order.
// Crashes of which explained is true for the server and its start have another cause.
func (t *Table) Harmful(explained func(server, startID string) bool, now time.Time) []HarmfulRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []HarmfulRequest
	for fingerprint, s := range t.pending {
		t.dropMarks(s, func(m markedCrash) bool { return explained(m.crash.server, m.crash.startID) })
		switch {
		case !t.isHarmful(s):
			delete(t.pending, fingerprint)
		case now.Sub(s.listedAt) >= t.opts.Clearance:
			delete(t.pending, fingerprint)
			out = append(out, HarmfulRequest{[]byte(fingerprint), s.team, uint32(len(s.marks))})
		}
	}
	slices.SortFunc(out, func(a, b HarmfulRequest) int { return bytes.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// crashTime returns when the crash of a mark was seen.
func crashTime(m *apiv1.CrashMark, now time.Time) time.Time {
	return now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
}

// RecordAnswer records that a response to the request was complete. A request that crashes servers has none, so that
// it clears the request of the crashes before.
func (t *Table) RecordAnswer(fingerprint []byte, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[string(fingerprint)]
	if s == nil || !at.After(s.answeredAt) {
		return
	}
	s.answeredAt = at
	if at.After(s.last) {
		s.last = at // the lists are in the order of this time
	}
	t.dropMarks(s, func(m markedCrash) bool { return !m.at.After(at) })
}

// dropMarks removes the marks that are no evidence against the request.
func (t *Table) dropMarks(s *suspect, drop func(markedCrash) bool) {
	before := len(s.marks)
	s.marks = slices.DeleteFunc(s.marks, func(m markedCrash) bool {
		if !drop(m) {
			return false
		}
		t.forget(m.crash, s.fingerprint)
		return true
	})
	if len(s.marks) < before {
		t.reorder(s)
	}
}

// isHarmful reports whether a fingerprint is to be quarantined. Unrelated
// crashes hit the same request three times only by coincidence, because
// suspects are isolated and crash other servers only when they are the cause.
func (t *Table) isHarmful(s *suspect) bool {
	needed, crashes := t.opts.Crashes, len(s.servers())
	if t.opts.AnswersReported {
		if crashes == 1 {
			needed = t.opts.SameServerCrashes
		}
		crashes = len(s.marks)
	}
	if crashes >= needed {
		return true
	}
	var runs int
	var servers []string
	for _, m := range s.marks {
		if !m.soleSuspect || !t.isOnlySuspect(m.crash, s.fingerprint) {
			continue
		}
		runs++
		if !slices.Contains(servers, m.crash.server) {
			servers = append(servers, m.crash.server)
		}
	}
	return len(servers) >= t.opts.SoleSuspectServers || runs >= t.opts.SoleSuspectCrashes
}

// isOnlySuspect reports whether the fingerprint was the only suspect at a
// crash. A host sees only its own requests, so its claim is checked against
// the marks of other hosts. If no fingerprint in flight had an earlier mark,
// all of them are suspects.
func (t *Table) isOnlySuspect(c crash, fingerprint string) bool {
	at := t.byCrash[c]
	if len(at.marked) > 0 {
		return len(at.marked) == 1 && at.marked[0] == fingerprint
	}
	return len(at.unmarked) == 1
}

func (t *Table) suspect(fingerprint string) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspect{fingerprint: fingerprint}
		t.suspects[fingerprint] = s
	}
	return s
}

func (t *Table) add(s *suspect, m markedCrash) {
	at := t.byCrash[m.crash]
	if at == nil {
		at = &suspectsAtCrash{}
		t.byCrash[m.crash] = at
	}
	if len(s.marks) > 0 {
		at.marked = append(at.marked, s.fingerprint)
	} else {
		at.unmarked = append(at.unmarked, s.fingerprint)
	}
	s.marks = append(s.marks, m)
}

func (t *Table) reorder(s *suspect) {
	if s.element != nil {
		t.unlink(s)
	}
	to := t.single
	if len(s.servers()) > 1 {
		to = t.multiple
	}
	s.element = to.PushBack(s)
}

// unlink removes the suspect from its list. Remove has no effect on an element
// of another list.
func (t *Table) unlink(s *suspect) {
	t.single.Remove(s.element)
	t.multiple.Remove(s.element)
}

func (t *Table) evict() {
	for len(t.suspects) > t.opts.MaxFingerprints {
		e := t.single.Front()
		if e == nil {
			e = t.multiple.Front()
		}
		t.remove(e.Value.(*suspect))
	}
}

func (t *Table) expire(now time.Time) {
	for _, l := range []*list.List{t.single, t.multiple} {
		for e := l.Front(); e != nil; e = l.Front() {
			s := e.Value.(*suspect)
			if now.Sub(s.last) < t.opts.Retention {
				break
			}
			t.remove(s)
		}
	}
}

func (t *Table) remove(s *suspect) {
	t.unlink(s)
	delete(t.suspects, s.fingerprint)
	delete(t.pending, s.fingerprint)
	for _, m := range s.marks {
		t.forget(m.crash, s.fingerprint)
	}
}

// forget removes a fingerprint from the suspects of a crash.
func (t *Table) forget(c crash, fingerprint string) {
	is := func(f string) bool { return f == fingerprint }
	at := t.byCrash[c]
	at.marked = slices.DeleteFunc(at.marked, is)
	at.unmarked = slices.DeleteFunc(at.unmarked, is)
	if len(at.marked)+len(at.unmarked) == 0 {
		delete(t.byCrash, c)
	}
}

// Repeated returns the fingerprints that were lately in flight at several crashes without a complete response since, in
// order. Hosts report the responses to them.
func (t *Table) Repeated(now time.Time) []*apiv1.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []*apiv1.Suspect
	for _, l := range []*list.List{t.multiple, t.single} {
		for e := l.Back(); e != nil && len(out) < maxListedSuspects; e = e.Prev() {
			s := e.Value.(*suspect)
			if now.Sub(s.last) > suspectListing {
				break
			}
			if len(s.marks) > 1 {
				out = append(out, &apiv1.Suspect{Fingerprint: []byte(s.fingerprint), Crashes: uint32(len(s.marks))})
			}
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.Suspect) int { return bytes.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return out
}

// Suspects returns the marked fingerprints in order.
func (t *Table) Suspects(now time.Time) []*apiv1.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]*apiv1.Suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		out = append(out, &apiv1.Suspect{Fingerprint: []byte(s.fingerprint), Crashes: uint32(len(s.marks))})
	}
	slices.SortFunc(out, func(a, b *apiv1.Suspect) int { return bytes.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return out
}
