package control

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// fingerprintSet is a set of request fingerprints. It is safe for concurrent use.
type fingerprintSet struct {
	mu  sync.Mutex
	set map[string]struct{}
}

// add adds the fingerprint and reports whether it was absent before.
func (r *fingerprintSet) add(fingerprint []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.set[string(fingerprint)]; ok {
		return false
	}
	if r.set == nil {
		r.set = map[string]struct{}{}
	}
	r.set[string(fingerprint)] = struct{}{}
	return true
}

func (r *fingerprintSet) remove(fingerprint []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.set, string(fingerprint))
}

// applyCrashMarks counts crash marks and quarantines the fingerprints that have
// reached the threshold. Hosts repeat marks until they get a response, and
// several hosts mark the same crash; without the checks here a quarantine would
// be committed many times.
func (l *leader) applyCrashMarks(marks []*apiv1.CrashMark, now time.Time) {
	handled := map[string]bool{}
	marks = slices.DeleteFunc(slices.Clone(marks), func(m *apiv1.CrashMark) bool {
		return len(m.GetFingerprint()) != sha256.Size // the replicated log accepts no other length
	})
	l.parts.Record(marks, nil, now)
	for _, m := range marks {
		fp := m.GetFingerprint()
		crashes, reached := l.marks.RecordCrash(m, now)
		if !reached || handled[string(fp)] {
			continue
		}
		handled[string(fp)] = true
		if !l.pendingQuarantines.add(fp) {
			continue
		}
		// This check must follow add: only then can no other report commit the
		// quarantine after the check.
		if l.isQuarantined(fp, now) {
			l.pendingQuarantines.remove(fp)
			continue
		}
		l.quarantine(&apiv1.PutQuarantine{Fingerprint: m.GetFingerprint(), Team: m.GetTeam(), Crashes: crashes}, now, func() {})
	}
}

// quarantineParts quarantines the parts of prompts that are found to crash engines.
func (l *leader) quarantineParts(now time.Time) {
	for _, p := range l.parts.Name(now) {
		if l.pendingQuarantines.add(p.Fingerprint) {
			l.quarantine(&apiv1.PutQuarantine{Fingerprint: p.Fingerprint, Crashes: uint32(p.Crashes), PromptPart: true}, now,
				func() { l.parts.Unname(p.Fingerprint) })
		}
	}
}

func (l *leader) isQuarantined(fingerprint []byte, now time.Time) bool {
	return slices.ContainsFunc(l.s.machine.Quarantined(now.UnixMilli()), func(q *apiv1.PutQuarantine) bool {
		return bytes.Equal(q.GetFingerprint(), fingerprint)
	})
}

// quarantine commits a quarantine in the background; failed is called when it cannot be committed.
func (l *leader) quarantine(q *apiv1.PutQuarantine, now time.Time, failed func()) {
	l.s.metrics.quarantines.Add(1)
	q.UntilUnixMs = now.Add(quarantineDuration).UnixMilli()
	cmd := &apiv1.Command{UnixMs: now.UnixMilli(), Command: &apiv1.Command_PutQuarantine{PutQuarantine: q}}
	l.logger.Warn().Str("decision", "quarantine").Hex("fingerprint", q.GetFingerprint()).Bool("prompt_part", q.GetPromptPart()).
		Uint32("crashes", q.GetCrashes()).Str("team", q.GetTeam()).Msg("request quarantined")
	l.background(func(ctx context.Context) {
		defer l.pendingQuarantines.remove(q.GetFingerprint())
		if _, err := l.s.replica.Propose(ctx, cmd); err != nil {
			l.logger.Warn().Err(err).Msg("quarantine not committed, it is retried")
			failed()
		}
	})
}
