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

// recording is a set of fingerprints.
type recording struct {
	mu  sync.Mutex
	set map[string]struct{}
}

// begin adds the fingerprint and returns whether it was missing.
func (r *recording) begin(fingerprint []byte) bool {
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

func (r *recording) end(fingerprint []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.set, string(fingerprint))
}

// mark counts crash marks and quarantines the fingerprints that earned it, each
// once: hosts repeat marks until they are answered, and several hosts mark one
// crash, so that a quarantine would otherwise be committed many times.
func (l *leader) mark(marks []*apiv1.CrashMark, now time.Time) {
	earned := map[string]bool{}
	for _, m := range marks {
		fp := m.GetFingerprint()
		if len(fp) != sha256.Size {
			continue // the log takes no other fingerprints
		}
		crashes, stop := l.marks.Mark(m, now)
		if !stop || earned[string(fp)] {
			continue
		}
		earned[string(fp)] = true
		if !l.recording.begin(fp) {
			continue
		}
		// Only here no other report can commit the quarantine in between.
		if l.isQuarantined(fp, now) {
			l.recording.end(fp)
			continue
		}
		l.quarantine(m, crashes, now)
	}
}

func (l *leader) isQuarantined(fingerprint []byte, now time.Time) bool {
	return slices.ContainsFunc(l.s.machine.Quarantined(now.UnixMilli()), func(q *apiv1.PutQuarantine) bool {
		return bytes.Equal(q.GetFingerprint(), fingerprint)
	})
}

func (l *leader) quarantine(m *apiv1.CrashMark, crashes uint32, now time.Time) {
	l.s.metrics.quarantines.Add(1)
	cmd := &apiv1.Command{UnixMs: now.UnixMilli(), Command: &apiv1.Command_PutQuarantine{
		PutQuarantine: &apiv1.PutQuarantine{
			Fingerprint: m.GetFingerprint(),
			UntilUnixMs: now.Add(quarantineDuration).UnixMilli(),
			Team:        m.GetTeam(),
			Crashes:     crashes,
		},
	}}
	l.logger.Warn().Str("decision", "quarantine").Hex("fingerprint", m.GetFingerprint()).
		Uint32("crashes", crashes).Str("team", m.GetTeam()).Msg("request quarantined")
	l.background(func(ctx context.Context) {
		defer l.recording.end(m.GetFingerprint())
		if _, err := l.s.replica.Propose(ctx, cmd); err != nil {
			l.logger.Warn().Err(err).Msg("quarantine not recorded, the next crash repeats it")
		}
	})
}
