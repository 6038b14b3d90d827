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
	o.SoleSuspectServers = cmp.Or(o.SoleSuspectServers, 2)
	o.SoleSuspectCrashes = cmp.Or(o.SoleSuspectCrashes, 3)
	return o
}

// crash identifies a crash by the backend server and its run.
type crash struct{ server, startID string }

// markedCrash is one host's report of a fingerprint at a crash.
type markedCrash struct {
	crash crash
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
	servers     []string // distinct backend servers that crashed
	marks       []markedCrash
	last        time.Time
	element     *list.Element
}

// Table holds crash marks. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	opts     Options
	suspects map[string]*suspect
	byCrash  map[crash]*suspectsAtCrash
	single   *list.List // suspects with one crashed server, oldest mark first
	multiple *list.List // the others, oldest mark first
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), suspects: map[string]*suspect{}, byCrash: map[crash]*suspectsAtCrash{},
		single: list.New(), multiple: list.New(),
	}
}

// RecordCrash records that a request was in flight at a crash. It returns the number
// of crashes with the fingerprint in flight and whether to quarantine it. A
// repeated mark changes nothing.
func (t *Table) RecordCrash(m *apiv1.CrashMark, now time.Time) (crashes uint32, quarantine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.suspect(string(m.GetFingerprint()))
	c := crash{m.GetBackendServer(), m.GetStartId()}
	if !slices.ContainsFunc(s.marks, func(have markedCrash) bool { return have.crash == c }) {
		t.add(s, c, m.GetSoleSuspect())
		s.last = now
		t.reorder(s)
		t.evict()
	}
	return uint32(len(s.marks)), t.isHarmful(s)
}

// isHarmful reports whether a fingerprint is to be quarantined. Unrelated
// crashes hit the same request three times only by coincidence, because
// suspects are isolated and crash other servers only when they are the cause.
func (t *Table) isHarmful(s *suspect) bool {
	if len(s.servers) >= t.opts.Crashes {
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

func (t *Table) add(s *suspect, c crash, soleSuspect bool) {
	at := t.byCrash[c]
	if at == nil {
		at = &suspectsAtCrash{}
		t.byCrash[c] = at
	}
	if len(s.marks) > 0 {
		at.marked = append(at.marked, s.fingerprint)
	} else {
		at.unmarked = append(at.unmarked, s.fingerprint)
	}
	s.marks = append(s.marks, markedCrash{crash: c, soleSuspect: soleSuspect})
	if !slices.Contains(s.servers, c.server) {
		s.servers = append(s.servers, c.server)
	}
}

func (t *Table) reorder(s *suspect) {
	if s.element != nil {
		t.unlink(s)
	}
	to := t.single
	if len(s.servers) > 1 {
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
	is := func(f string) bool { return f == s.fingerprint }
	for _, m := range s.marks {
		at := t.byCrash[m.crash]
		at.marked = slices.DeleteFunc(at.marked, is)
		at.unmarked = slices.DeleteFunc(at.unmarked, is)
		if len(at.marked)+len(at.unmarked) == 0 {
			delete(t.byCrash, m.crash)
		}
	}
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
