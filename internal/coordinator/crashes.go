package coordinator

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// recordCrashes records crash marks and responses.
func (c *Coordinator) recordCrashes(l *leader, req *apiv1.ExchangeRequest, now time.Time) {
	for _, m := range req.GetCrashes() {
		m.StartId = l.startID(m, now)
	}
	l.parts.Record(req.GetCrashes(), req.GetAnsweredParts(), now)
	for _, m := range req.GetCrashes() {
		crashes, _ := l.marks.RecordCrash(m, now)
		c.log.Info().Str("event", "crash_mark").Hex("fingerprint", m.GetFingerprint()).Str("backend_server", m.GetBackendServer()).Str("start", m.GetStartId()).
			Uint32("crashes", crashes).Bool("answer_started", m.GetAnswerStarted()).
			Int("prompt_parts", len(m.GetPromptParts())).Msg("request was in flight when the engine crashed")
	}
	for _, a := range req.GetAnsweredParts() {
		l.marks.RecordAnswer(a.GetFingerprint(), now.Add(-time.Duration(a.GetAgeMs())*time.Millisecond))
	}
}

// startID returns the start by which a crash is counted.
func (l *leader) startID(m *apiv1.CrashMark, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts.StartID(m, now)
}

// quarantineRequests quarantines the requests that are found to crash servers. The caller holds mu.
func (l *leader) quarantineRequests(now time.Time) {
	for _, r := range l.marks.Harmful(l.parts.Explains, now) {
		l.log.Warn().Str("event", "request_quarantined").Hex("fingerprint", r.Fingerprint).Uint32("crashes", r.Crashes).
			Msg("request crashes backend servers; it is refused")
		l.propose(&apiv1.PutQuarantine{Fingerprint: r.Fingerprint, Team: r.Team, Crashes: r.Crashes}, func() {})
	}
}

// quarantineParts quarantines the parts of prompts that are found to crash engines.
func (l *leader) quarantineParts(now time.Time) {
	for _, p := range l.parts.Name(now) {
		l.log.Warn().Str("event", "part_quarantined").Hex("fingerprint", p.Fingerprint).Int("crashes", p.Crashes).
			Msg("part of prompts crashes engines; requests with it are refused")
		l.propose(&apiv1.PutQuarantine{Fingerprint: p.Fingerprint, Crashes: uint32(p.Crashes), PromptPart: true},
			func() { l.parts.Unname(p.Fingerprint) })
	}
}

// logSuspectParts logs the parts against which there is new evidence.
func (l *leader) logSuspectParts() {
	for _, p := range l.parts.TakeEvidence() {
		l.log.Info().Str("event", "part_suspected").Hex("fingerprint", p.Fingerprint).Int("present", p.Present).
			Int("counted", p.Counted).Int("needed", p.Needed).Msg("part of prompts was present at crashes")
	}
}

// propose records a quarantine in the background; failed is called when it cannot be recorded. The
// caller holds mu.
func (l *leader) propose(q *apiv1.PutQuarantine, failed func()) {
	q.UntilUnixMs = time.Now().Add(quarantineDuration).UnixMilli()
	cmd := &apiv1.Command{UnixMs: time.Now().UnixMilli(), Command: &apiv1.Command_PutQuarantine{PutQuarantine: q}}
	l.background(func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		defer cancel()
		if _, err := l.c.opts.Log.Propose(ctx, cmd); err != nil {
			l.log.Warn().Err(err).Str("event", "quarantine_not_recorded").Msg("quarantine not recorded, it is retried")
			failed()
		}
	})
}
