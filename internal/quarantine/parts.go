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

// PartOptions are the limits of a PartTable. Zero fields select the defaults.
type PartOptions struct {
	// Crashes is the number of crashes that names a part on which no response has ever
	// progressed, CrashesAfterAnswer the number since the last one that did.
	Crashes, CrashesAfterAnswer int
	// Separation is the minimum time between two crashes in one failure domain that both count, and between any two if
	// another cause may have ended the engines together: a response on the part has progressed before, or an engine crashed
	// at which it was not present.
	Separation time.Duration
	// Clearance is the time that hosts have to report responses on a suspect part before it
	// is named: two exchanges with the leader and their delays.
	Clearance time.Duration
	// Retention is how long the evidence against a part is retained after its last crash, and how
	// long a named part explains the crashes at which it is present: as long as it is quarantined.
	Retention time.Duration
	// MaxParts limits the parts with evidence. Parts with less than two crashes are evicted first.
	MaxParts int
	// MaxCrashes limits the crashes whose parts are retained; the oldest is dropped first.
	MaxCrashes int
}

func (o PartOptions) withDefaults() PartOptions {
	o.Crashes = cmp.Or(o.Crashes, 3)
	o.CrashesAfterAnswer = cmp.Or(o.CrashesAfterAnswer, 5)
	o.Separation = cmp.Or(o.Separation, 200*time.Millisecond)
	o.Clearance = cmp.Or(o.Clearance, time.Second)
	o.Retention = cmp.Or(o.Retention, time.Hour)
	o.MaxParts = cmp.Or(o.MaxParts, 4096)
	o.MaxCrashes = cmp.Or(o.MaxCrashes, 1024)
	return o
}

// partCrash is a crash with the parts of the requests whose responses had not progressed.
type partCrash struct {
	id crash
	// domain is the failure domain of the engine, empty if unknown.
	domain string
	// at is when the first host saw it.
	at time.Time
	// started holds the parts of requests whose response header had arrived.
	started map[string]bool
	// explained is true once a part that was present has been named as the cause.
	explained bool
}

// suspectPart is the evidence against one part.
type suspectPart struct {
	fingerprint string
	// position is the part's highest position in a prompt.
	position int
	// crashes are those at which the part was present, after the last response on it.
	crashes []*partCrash
	// request is one that had the part at a crash, and requests is the number of different ones, up to minRequests.
	request  string
	requests int
	// answeredAt is when a response on the part last progressed; zero if none is known.
	answeredAt time.Time
	// listedAt is when the part was last found present at a second crash.
	listedAt time.Time
	last     time.Time
	named    bool
	namedAt  time.Time
	element  *list.Element
	// trialSince is when the trial of the part began, zero while there is none.
	trialSince time.Time
	// taken is the evidence as TakeEvidence last returned it.
	taken PartEvidence
}

// minRequests is the number of different requests that must have had a part at crashes before it is named. A request that is
// sent again and crashes engines each time is found by its own fingerprint.
const minRequests = 2

// PartEvidence is how strong the evidence against a part is.
type PartEvidence struct {
	// Present is the number of crashes since the last response on the part at which it was present, Counted the number
	// of those that count against it, and Needed the number at which it is named.
	Present, Counted, Needed int
}

// SuspectPart is a part with its evidence.
type SuspectPart struct {
	Fingerprint []byte
	PartEvidence
}

// NamedPart is a part that crashes engines.
type NamedPart struct {
	Fingerprint []byte
	Crashes     int
}

// PartTable finds the parts of prompts that crash every engine that begins a response on
// them. A crash is evidence against the parts of the requests whose responses had not
// progressed, a response that progressed is evidence for its parts. It is safe for concurrent
// use.
type PartTable struct {
	mu      sync.Mutex
	opts    PartOptions
	parts   map[string]*suspectPart
	crashes map[crash]*partCrash
	order   *list.List // crashes, first recorded first
	single  *list.List // parts with one crash or none since the last response, oldest first
	several *list.List // the others, oldest mark first
}

// NewPartTable returns an empty table.
func NewPartTable(opts PartOptions) *PartTable {
	return &PartTable{
		opts: opts.withDefaults(), parts: map[string]*suspectPart{}, crashes: map[crash]*partCrash{},
		order: list.New(), single: list.New(), several: list.New(),
	}
}

// Record records the crash marks of a report, and the responses on parts that it reports, together: what a mark says of a
// part is judged with the responses that its host knows of.
func (t *PartTable) Record(marks []*apiv1.CrashMark, answered []*apiv1.AnsweredPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range marks {
		t.recordCrash(m, now)
	}
	for _, a := range answered {
		t.recordAnswer(string(a.GetFingerprint()), answerTime(a, now))
	}
}

func answerTime(a *apiv1.AnsweredPart, now time.Time) time.Time {
	return now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond)
}

// recordCrash records the parts of a request that was in flight at a crash. A repeated mark changes nothing.
func (t *PartTable) recordCrash(m *apiv1.CrashMark, now time.Time) {
	t.expire(now)
	c := t.crash(m, now)
	for i, fingerprint := range m.GetPromptParts() {
		t.add(string(fingerprint), i, c, m, now)
	}
	for len(t.parts) > t.opts.MaxParts {
		e := t.single.Front()
		if e == nil {
			e = t.several.Front()
		}
		t.remove(e.Value.(*suspectPart))
	}
}

func (t *PartTable) crash(m *apiv1.CrashMark, now time.Time) *partCrash {
	id, at := crash{m.GetBackendServer(), m.GetStartId()}, crashTime(m, now)
	c := t.crashes[id]
	if c == nil {
		c = &partCrash{id: id, domain: m.GetFailureDomain(), at: at, started: map[string]bool{}}
		t.crashes[id] = c
		t.order.PushBack(c)
		if t.order.Len() > t.opts.MaxCrashes {
			delete(t.crashes, t.order.Remove(t.order.Front()).(*partCrash).id)
		}
	}
	c.at = minTime(c.at, at)
	return c
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// add records that the part was present at a crash, in the request of a mark.
func (t *PartTable) add(fingerprint string, position int, c *partCrash, m *apiv1.CrashMark, now time.Time) {
	p := t.parts[fingerprint]
	if p != nil && p.named && now.Sub(p.namedAt) < t.opts.Retention {
		c.explained = true // the quarantine has not reached all hosts
		return
	}
	if p != nil && p.named {
		t.remove(p)
		p = nil
	}
	if p == nil {
		p = &suspectPart{fingerprint: fingerprint}
		t.parts[fingerprint] = p
		p.element = t.single.PushBack(p)
	}
	p.position = max(p.position, position)
	if m.GetAnswerStarted() {
		c.started[fingerprint] = true
	}
	if slices.Contains(p.crashes, c) || !c.at.After(p.answeredAt) {
		return
	}
	if request := string(m.GetFingerprint()); p.requests == 0 || p.requests < minRequests && p.request != request {
		p.request, p.requests = request, p.requests+1
	}
	p.crashes, p.last = append(p.crashes, c), now
	if len(p.crashes) == 2 {
		p.listedAt = now
	}
	t.relink(p)
}

// relink moves the part to the end of the list to which it belongs.
func (t *PartTable) relink(p *suspectPart) {
	t.unlink(p)
	to := t.single
	if len(p.crashes) > 1 {
		to = t.several
	}
	p.element = to.PushBack(p)
}

// recordAnswer records that a response on the part progressed. It clears the part of the
// crashes before.
func (t *PartTable) recordAnswer(fingerprint string, at time.Time) {
	p := t.parts[fingerprint]
	if p == nil || !at.After(p.answeredAt) {
		return
	}
	p.answeredAt = at
	if p.named {
		return
	}
	p.crashes = slices.DeleteFunc(p.crashes, func(c *partCrash) bool { return !c.at.After(at) })
	if len(p.crashes) < 2 {
		p.trialSince = time.Time{}
		t.relink(p)
	}
}

const (
	// suspectListing is how long a part is listed after its last crash. Hosts have reported
	// all responses on it long before.
	suspectListing = 30 * time.Second
	// maxListedSuspects limits a list, which each exchange carries.
	maxListedSuspects = 128
)

// Suspects returns the fingerprints of the parts that were lately present at several crashes,
// in order. Hosts report the responses on them.
func (t *PartTable) Suspects(now time.Time) [][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out [][]byte
	for e := t.several.Back(); e != nil && len(out) < maxListedSuspects; e = e.Prev() {
		p := e.Value.(*suspectPart)
		if now.Sub(p.last) > suspectListing {
			break
		}
		if !p.named {
			out = append(out, []byte(p.fingerprint))
		}
	}
	slices.SortFunc(out, bytes.Compare)
	return out
}

// Name returns the parts that are found harmful at the time and were not returned before.
func (t *PartTable) Name(now time.Time) []NamedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []NamedPart
	for {
		p, n := t.mostSuspect(now)
		if p == nil {
			return out
		}
		p.named, p.namedAt = true, now
		for _, c := range p.crashes {
			c.explained = true
		}
		out = append(out, NamedPart{Fingerprint: []byte(p.fingerprint), Crashes: n})
	}
}

// Explains reports whether a named part was present at the crash of a mark's server.
func (t *PartTable) Explains(server, startID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[crash{server, startID}]
	return c != nil && c.explained
}

// Unname has Name return a part again whose quarantine could not be recorded.
func (t *PartTable) Unname(fingerprint []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[string(fingerprint)]
	if p == nil {
		return
	}
	p.named = false
	for _, c := range p.crashes {
		c.explained = false
	}
}

// mostSuspect returns the part with the most crashes of those that have enough. Only one is
// named for a crash: a part that accompanies the harmful one is cleared by later responses, or
// has crashes of its own. Of parts that always occur together, the last in the prompt is in
// the fewest other requests.
func (t *PartTable) mostSuspect(now time.Time) (best *suspectPart, crashes int) {
	for e := t.several.Front(); e != nil; e = e.Next() {
		p := e.Value.(*suspectPart)
		if p.named || len(p.crashes) < t.opts.Crashes || p.requests < minRequests || now.Sub(p.listedAt) < t.opts.Clearance {
			continue
		}
		n := t.count(p)
		if (n >= t.needed(p) || t.failedTrial(p)) && (best == nil || cmp.Or(cmp.Compare(n, crashes), cmp.Compare(p.position, best.position),
			cmp.Compare(best.fingerprint, p.fingerprint)) > 0) {
			best, crashes = p, n
		}
	}
	return best, crashes
}

// needed returns the number of crashes that names the part.
func (t *PartTable) needed(p *suspectPart) int {
	if p.answeredAt.IsZero() {
		return t.opts.Crashes
	}
	return t.opts.CrashesAfterAnswer
}

const (
	// minTakenCrashes is the number of crashes from which the evidence against a part is taken, and maxTaken limits the
	// parts of one call.
	minTakenCrashes = 3
	maxTaken        = 16
)

// TakeEvidence returns the parts that are not named and whose evidence has changed since it was last taken.
func (t *PartTable) TakeEvidence() []SuspectPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SuspectPart
	for e := t.several.Back(); e != nil && len(out) < maxTaken; e = e.Prev() {
		p := e.Value.(*suspectPart)
		if p.named || len(p.crashes) < minTakenCrashes || len(p.crashes) == p.taken.Present {
			continue
		}
		p.taken = PartEvidence{Present: len(p.crashes), Counted: t.count(p), Needed: t.needed(p)}
		out = append(out, SuspectPart{[]byte(p.fingerprint), p.taken})
	}
	return out
}

// count returns the number of crashes that the part may have caused. Crashes less than Separation after another count as
// one if something else may have caused them.
func (t *PartTable) count(p *suspectPart) int {
	slices.SortStableFunc(p.crashes, compareCrashes)
	counted := p.crashes[:0:0]
	for _, c := range p.crashes {
		if c.explained || !t.suspectAt(c, p) {
			continue
		}
		otherCause := !p.answeredAt.IsZero() || t.crashWithout(p, c)
		if !slices.ContainsFunc(counted, func(before *partCrash) bool {
			return c.at.Sub(before.at) < t.opts.Separation && (otherCause || c.domain == before.domain)
		}) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

func compareCrashes(a, b *partCrash) int { return a.at.Compare(b.at) }

// crashWithout reports whether an engine crashed at about the time of a crash without a request that had the part, after the
// last response on it.
func (t *PartTable) crashWithout(p *suspectPart, c *partCrash) bool {
	for e := t.order.Back(); e != nil; e = e.Prev() {
		other := e.Value.(*partCrash)
		if other.at.Sub(c.at).Abs() < t.opts.Separation && other.at.After(p.answeredAt) && !other.explained && !slices.Contains(p.crashes, other) {
			return true
		}
	}
	return false
}

// suspectAt reports whether the part may have caused the crash. A request whose response had just started is suspected
// before one that waited for its response, unless responses have progressed on its parts or the other one's part was
// present at more crashes.
func (t *PartTable) suspectAt(c *partCrash, p *suspectPart) bool {
	if c.started[p.fingerprint] {
		return true
	}
	for fingerprint := range c.started {
		if other := t.parts[fingerprint]; other != nil && other.answeredAt.IsZero() && len(other.crashes) >= len(p.crashes) {
			return false
		}
	}
	return true
}

func (t *PartTable) expire(now time.Time) {
	for _, l := range []*list.List{t.single, t.several} {
		for e := l.Front(); e != nil; e = l.Front() {
			p := e.Value.(*suspectPart)
			if now.Sub(p.last) < t.opts.Retention {
				break
			}
			t.remove(p)
		}
	}
}

func (t *PartTable) remove(p *suspectPart) {
	t.unlink(p)
	delete(t.parts, p.fingerprint)
}

// unlink removes the part from its list. Remove has no effect on an element of another list.
func (t *PartTable) unlink(p *suspectPart) {
	t.single.Remove(p.element)
	t.several.Remove(p.element)
}
