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
	// Keep is how long a mark counts after the last mark of its fingerprint.
	Keep time.Duration
	// MaxFingerprints bounds the table; the fingerprint with the oldest mark
	// and the fewest crashes is removed first.
	MaxFingerprints int
	// Crashes of distinct backend servers quarantine a fingerprint.
	Crashes int
	// SoleCrashes of distinct backend servers quarantine a fingerprint that was
	// the only suspect at each of them.
	SoleCrashes int
}

func (o Options) withDefaults() Options {
	o.Keep = cmp.Or(o.Keep, time.Hour)
	o.MaxFingerprints = cmp.Or(o.MaxFingerprints, 100_000)
	o.Crashes = cmp.Or(o.Crashes, 3)
	o.SoleCrashes = cmp.Or(o.SoleCrashes, 2)
	return o
}

// crash is one crash of one run of a backend server.
type crash struct{ server, startID string }

// suspect is a fingerprint that was in flight at a crash.
type suspect struct {
	fingerprint string
	servers     []string // distinct backend servers that crashed
	sole        []string // those where it was the only suspect
	crashes     []crash
	last        time.Time
	element     *list.Element
}

// Table holds crash marks. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	opts     Options
	suspects map[string]*suspect
	// earlier lists, per crash, the fingerprints in flight there that already
	// had a mark from another crash.
	earlier map[crash][]string
	once    *list.List // suspects with one crashed server, oldest mark first
	more    *list.List // the others, oldest mark first
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), suspects: map[string]*suspect{}, earlier: map[crash][]string{},
		once: list.New(), more: list.New(),
	}
}

// Mark books that a request was in flight at a crash. It returns the number of
// distinct backend servers that crashed under the fingerprint and whether it is
// to be quarantined. A repeated mark changes nothing.
func (t *Table) Mark(m *apiv1.CrashMark, now time.Time) (crashes uint32, quarantine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.suspect(string(m.GetFingerprint()))
	c := crash{m.GetBackendServer(), m.GetStartId()}
	if !slices.Contains(s.crashes, c) {
		t.add(s, c, m.GetSoleSuspect())
		s.last = now
		t.reorder(s)
		t.bound()
	}
	quarantine = len(s.servers) >= t.opts.Crashes || len(s.sole) >= t.opts.SoleCrashes
	return uint32(len(s.servers)), quarantine
}

func (t *Table) suspect(fingerprint string) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspect{fingerprint: fingerprint}
		t.suspects[fingerprint] = s
	}
	return s
}

// add books a crash. Hosts see only their own requests, so that the reported
// soleness is checked against the marks of other hosts for the same crash.
func (t *Table) add(s *suspect, c crash, sole bool) {
	others := len(t.earlier[c]) > 0
	if len(s.crashes) > 0 {
		t.earlier[c] = append(t.earlier[c], s.fingerprint)
	}
	s.crashes = append(s.crashes, c)
	if !slices.Contains(s.servers, c.server) {
		s.servers = append(s.servers, c.server)
	}
	switch {
	case others:
		t.clearSole(c)
	case sole && !slices.Contains(s.sole, c.server):
		s.sole = append(s.sole, c.server)
	}
}

// clearSole withdraws the soleness of all earlier suspects of a crash.
func (t *Table) clearSole(c crash) {
	for _, f := range t.earlier[c] {
		if s := t.suspects[f]; s != nil {
			s.sole = slices.DeleteFunc(s.sole, func(server string) bool { return server == c.server })
		}
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
			if now.Sub(s.last) < t.opts.Keep {
				break
			}
			t.remove(s)
		}
	}
}

func (t *Table) remove(s *suspect) {
	t.unlink(s)
	delete(t.suspects, s.fingerprint)
	for _, c := range s.crashes {
		left := slices.DeleteFunc(t.earlier[c], func(f string) bool { return f == s.fingerprint })
		if len(left) == 0 {
			delete(t.earlier, c)
		} else {
			t.earlier[c] = left
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
		out = append(out, &apiv1.Suspect{Fingerprint: []byte(s.fingerprint), Crashes: uint32(len(s.servers))})
	}
	slices.SortFunc(out, func(a, b *apiv1.Suspect) int { return bytes.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return out
}
