package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialCrashes is the number of crashes from which a part on which no response has progressed is on trial, and
	// trialCrashesAfterAnswer the number since the last response on one that was served before.
	trialCrashes            = 2
	trialCrashesAfterAnswer = 3
	// trialSpread is the time after which all hosts know of a trial: two exchanges and the requests that were on their way.
	trialSpread = time.Second
	// trialFailures is the number of crashes during its trial that names a part, and trialFailuresAfterAnswer that of one
	// that was served before. Callers' limit is three requests.
	trialFailures            = 1
	trialFailuresAfterAnswer = 2
	// maxTrials limits the parts on trial, those with the most crashes first. Each exchange carries them.
	maxTrials = 16
)

// Trial is a part of prompts that may crash engines: until a response on it progresses or it is named, one request with it is
// sent in each turn.
type Trial struct {
	Fingerprint []byte
	// SoundSince is the time from which on a response that progressed on the part shows that it is sound: the last crash, or
	// the zero time if no response is known to have progressed on it.
	SoundSince time.Time
	// Open is true once responses that were on their way, and what names the part without a trial, have had their time.
	Open bool
}

// Trials returns the parts on trial, in order. It answers the load of storms of crashes: what is sent before the part is
// named, or while crashes that are close together leave doubt, costs an engine each.
func (t *PartTable) Trials(now time.Time) []Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	var on []*suspectPart
	for e := t.several.Back(); e != nil; e = e.Prev() {
		p := e.Value.(*suspectPart)
		if now.Sub(p.last) > suspectListing {
			break
		}
		switch {
		case p.named:
		case t.isDoubtful(p, now):
			on = append(on, p)
		default:
			p.trialSince = time.Time{}
		}
	}
	slices.SortFunc(on, func(a, b *suspectPart) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	out := make([]Trial, 0, min(len(on), maxTrials))
	for _, p := range on[:min(len(on), maxTrials)] {
		if p.trialSince.IsZero() {
			p.trialSince = now
		}
		tr := Trial{Fingerprint: []byte(p.fingerprint), Open: now.Sub(p.trialSince) >= t.opts.Clearance}
		if !p.answeredAt.IsZero() {
			tr.SoundSince = slices.MaxFunc(p.crashes, compareCrashes).at
		}
		out = append(out, tr)
	}
	return out
}

// TrialTurn is the time for which one host may send a request with a part on trial. A host that gets no request with it must
// not keep the others from doing so.
const TrialTurn = 2 * time.Second

// TrialHost returns the index of the one of a number of hosts whose turn it is. It is the same for all parts, since a
// request may have several that are on trial.
func TrialHost(hosts int, now time.Time) int {
	return int(now.UnixNano() / int64(TrialTurn) % int64(hosts))
}

// isDoubtful reports whether a part was present at several crashes since the last response on it. One that was served before
// is doubtful once hosts have had time to report responses, and if it was present at all crashes of these moments. Marks
// of one crash arrive one after the other, so that this ends no trial that has begun.
func (t *PartTable) isDoubtful(p *suspectPart, now time.Time) bool {
	if p.requests < minRequests {
		return false
	}
	crashes := 0
	for _, c := range p.crashes {
		if !c.explained && t.suspectAt(c, p) {
			crashes++
		}
	}
	if p.answeredAt.IsZero() {
		return crashes >= trialCrashes
	}
	return crashes >= trialCrashesAfterAnswer && now.Sub(p.listedAt) >= t.opts.Clearance &&
		(!p.trialSince.IsZero() || !slices.ContainsFunc(p.crashes, func(c *partCrash) bool { return t.crashWithout(p, c) }))
}

// failedTrial reports whether engines crashed with the part present after all hosts knew of its trial.
func (t *PartTable) failedTrial(p *suspectPart) bool {
	if p.trialSince.IsZero() {
		return false
	}
	failures, needed := 0, trialFailures
	if !p.answeredAt.IsZero() {
		needed = trialFailuresAfterAnswer
	}
	for _, c := range p.crashes {
		if !c.explained && t.suspectAt(c, p) && c.at.Sub(p.trialSince) >= trialSpread {
			failures++
		}
	}
	return failures >= needed && !t.hasLikelierCause(p)
}

// hasLikelierCause reports whether another part on trial was present at all crashes of the part, and is either later in
// prompts, and so in fewer other requests, or was present at as many crashes besides.
func (t *PartTable) hasLikelierCause(p *suspectPart) bool {
	for e := t.several.Front(); e != nil; e = e.Next() {
		other := e.Value.(*suspectPart)
		if other == p || other.named || other.trialSince.IsZero() || other.position <= p.position && len(other.crashes) < 2*len(p.crashes) {
			continue
		}
		if !slices.ContainsFunc(p.crashes, func(c *partCrash) bool { return !slices.Contains(other.crashes, c) }) {
			return true
		}
	}
	return false
}
