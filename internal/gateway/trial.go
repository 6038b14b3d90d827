package gateway

import (
	"sync"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// trials holds when this host last sent a request with each part on trial. It is safe for concurrent use.
type trials struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
}

// take reports whether a request with the parts may be sent now, and counts it as sent if so.
func (t *trials) take(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if at, ok := t.sentAt[part]; ok && now.Sub(at) < quarantine.TrialTurn {
			return false
		}
	}
	if t.sentAt == nil {
		t.sentAt = map[string]time.Time{}
	}
	for _, part := range parts {
		t.sentAt[part] = now
	}
	return true
}

// giveBack allows another request with the parts, since none has run.
func (t *trials) giveBack(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		delete(t.sentAt, part)
	}
}

// prune drops the parts that are no longer on trial.
func (t *trials) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for part, at := range t.sentAt {
		if now.Sub(at) >= quarantine.TrialTurn {
			delete(t.sentAt, part)
		}
	}
}

// trialRetryAfter is the time after which a part on trial is usually cleared or quarantined.
const trialRetryAfter = time.Second

// checkTrial refuses a request whose prompt has a part on trial, unless this host may send it. A response that has
// begun shows that its engine survived the part.
func (ar *activeRequest) checkTrial(v *exchange.View) error {
	err := ar.trialRefusal(v)
	if err != nil {
		ar.g.metrics.trialRefusals.Add(1)
	}
	return err
}

// trialRefusal returns the refusal of checkTrial, and counts nothing.
func (ar *activeRequest) trialRefusal(v *exchange.View) error {
	if len(v.Trials) == 0 || ar.begun() {
		return nil
	}
	for i, part := range ar.parts {
		if tr, ok := ar.onTrial(v, part); ok && !tr.OurTurn {
			return ar.trialError(i)
		}
	}
	return nil
}

// onTrial returns the trial of a part, unless a response here has shown that it is sound.
func (ar *activeRequest) onTrial(v *exchange.View, part []byte) (exchange.PartTrial, bool) {
	tr, ok := v.Trials[string(part)]
	return tr, ok && !ar.g.answered.Since(part, tr.SoundSince)
}

// takeTrial is checkTrial for a request that is about to be sent. It counts the request as the one of this turn.
func (ar *activeRequest) takeTrial(v *exchange.View, now time.Time) error {
	if err := ar.checkTrial(v); err != nil || len(v.Trials) == 0 || ar.begun() {
		return err
	}
	ar.trying = ar.trying[:0]
	first := -1
	for i, part := range ar.parts {
		if _, ok := ar.onTrial(v, part); ok {
			ar.trying, first = append(ar.trying, string(part)), max(first, i)
		}
	}
	if len(ar.trying) > 0 && !ar.g.trials.take(ar.trying, now) {
		ar.trying = ar.trying[:0]
		ar.g.metrics.trialRefusals.Add(1)
		return ar.trialError(first)
	}
	return nil
}

// endTrial returns the turn of a request that has not run.
func (ar *activeRequest) endTrial(ran bool) {
	if !ran && len(ar.trying) > 0 {
		ar.g.trials.giveBack(ar.trying)
	}
	ar.trying = ar.trying[:0]
}

func (ar *activeRequest) trialError(part int) error {
	return fault.Newf(fault.KindOverloaded, "send the request again",
		"part %d of this prompt, fingerprint %x, was present when backend servers crashed; one request with it is sent at a time", part+1, ar.parts[part]).
		WithRun(fault.NotRun).After(trialRetryAfter)
}
