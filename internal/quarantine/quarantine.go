// Package quarantine holds the control leader's table of crash marks and the
// rule that quarantines a request's fingerprint.
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

// Options sets the bounds of a Table. Zero fields take the default.
type Options struct {
	// Retention is how long a mark counts after the last mark of its fingerprint.
	Retention time.Duration
	// MaxFingerprints bounds the table; the fingerprint with the oldest mark
	// and the fewest crashes is removed first.
	MaxFingerprints int
	// Crashes of distinct backend servers quarantine a fingerprint.
	Crashes int
	// SoleCrashes of distinct backend servers quarantine a fingerprint that was
	// the only suspect at each of them.
	SoleCrashes int
	// SoleRuns crashes quarantine a fingerprint that was the only suspect at
	// each of them, also when one backend server crashed again and again. A
	// request may return to the engine that holds its adapter each time.
	SoleRuns int
}

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, time.Hour)
	o.MaxFingerprints = cmp.Or(o.MaxFingerprints, 100_000)
	o.Crashes = cmp.Or(o.Crashes, 3)
	o.SoleCrashes = cmp.Or(o.SoleCrashes, 2)
	o.SoleRuns = cmp.Or(o.SoleRuns, 3)
	return o
}

// crash is one crash of one run of a backend server.
type crash struct{ server, startID string }

// markedCrash is what one host reported of a fingerprint at a crash.
type markedCrash struct {
	crash crash
	// sole is true when the host knew of no other suspect in flight there.
	sole bool
}

// presence lists the fingerprints that were in flight at a crash: those that
// already had a mark from another crash, and those that had none.
type presence struct {
	earlier, first []string
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
	present  map[crash]*presence
	once     *list.List // suspects with one crashed server, oldest mark first
	more     *list.List // the others, oldest mark first
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), suspects: map[string]*suspect{}, present: map[crash]*presence{},
		once: list.New(), more: list.New(),
	}
}

// Mark books that a request was in flight at a crash. It returns the number of
// crashes under the fingerprint and whether it is to be quarantined. A repeated
// mark changes nothing.
func (t *Table) Mark(m *apiv1.CrashMark, now time.Time) (crashes uint32, quarantine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.suspect(string(m.GetFingerprint()))
	c := crash{m.GetBackendServer(), m.GetStartId()}
	if !slices.ContainsFunc(s.marks, func(have markedCrash) bool { return have.crash == c }) {
		t.add(s, c, m.GetSoleSuspect())
		s.last = now
		t.reorder(s)
		t.bound()
	}
	return uint32(len(s.marks)), t.isHarmful(s)
}

// isHarmful applies the rule. Ordinary crashes hit the same request three times
// only by coincidence, because suspects are kept apart and crash other servers
// only when they are the cause.
func (t *Table) isHarmful(s *suspect) bool {
	if len(s.servers) >= t.opts.Crashes {
		return true
	}
	var runs int
	var servers []string
	for _, m := range s.marks {
		if !m.sole || !t.alone(m.crash, s.fingerprint) {
			continue
		}
		runs++
		if !slices.Contains(servers, m.crash.server) {
			servers = append(servers, m.crash.server)
		}
	}
	return len(servers) >= t.opts.SoleCrashes || runs >= t.opts.SoleRuns
}

// alone tells whether the fingerprint was the only suspect at a crash. Hosts see
// only their own requests, so that their word is checked against the marks of
// other hosts. Where none had a mark before, all in flight are suspects.
func (t *Table) alone(c crash, fingerprint string) bool {
	p := t.present[c]
	if len(p.earlier) > 0 {
		return len(p.earlier) == 1 && p.earlier[0] == fingerprint
	}
	return len(p.first) == 1
}

func (t *Table) suspect(fingerprint string) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspect{fingerprint: fingerprint}
		t.suspects[fingerprint] = s
	}
	return s
}

func (t *Table) add(s *suspect, c crash, sole bool) {
	p := t.present[c]
	if p == nil {
		p = &presence{}
		t.present[c] = p
	}
	if len(s.marks) > 0 {
		p.earlier = append(p.earlier, s.fingerprint)
	} else {
		p.first = append(p.first, s.fingerprint)
	}
	s.marks = append(s.marks, markedCrash{crash: c, sole: sole})
	if !slices.Contains(s.servers, c.server) {
		s.servers = append(s.servers, c.server)
	}
}

func (t *Table) reorder(s *suspect) {
	if s.element != nil {
		t.unlink(s)
	}
	to := t.once
	if len(s.servers) > 1 {
		to = t.more
	}
	s.element = to.PushBack(s)
}

// unlink removes the suspect from its list. Remove has no effect on an element
// of another list.
func (t *Table) unlink(s *suspect) {
	t.once.Remove(s.element)
	t.more.Remove(s.element)
}

func (t *Table) bound() {
	for len(t.suspects) > t.opts.MaxFingerprints {
		e := t.once.Front()
		if e == nil {
			e = t.more.Front()
		}
		t.remove(e.Value.(*suspect))
	}
}

func (t *Table) expire(now time.Time) {
	for _, l := range []*list.List{t.once, t.more} {
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
		p := t.present[m.crash]
		p.earlier = slices.DeleteFunc(p.earlier, is)
		p.first = slices.DeleteFunc(p.first, is)
		if len(p.earlier)+len(p.first) == 0 {
			delete(t.present, m.crash)
		}
	}
}

// Suspects returns the marked fingerprints sorted by fingerprint.
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
