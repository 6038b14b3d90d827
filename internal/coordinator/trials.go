package coordinator

import (
	"math"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// exchangeTrials tells a host which parts of prompts are on trial, and whether it is its turn to send a request with
// one.
func (l *leader) exchangeTrials(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	trials := l.parts.Trials(now)
	if len(trials) == 0 {
		return
	}
	hosts := l.tryingHosts()
	for _, tr := range trials {
		resp.Trials = append(resp.Trials, &apiv1.PartTrial{
			Fingerprint: tr.Fingerprint, ClearanceMs: uint32(min(max(0, now.Sub(tr.SoundSince).Milliseconds()), math.MaxUint32)),
			YourTurn: tr.Open && len(hosts) > 0 && hosts[quarantine.TrialHost(len(hosts), now)] == req.GetHost(),
		})
	}
}

// tryingHosts returns the hosts that reach backend servers, in order.
func (l *leader) tryingHosts() []string {
	var out []string
	for name, h := range l.hosts.reports {
		if !h.cutOff {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// logTrials logs the parts whose trial has begun or ended.
func (l *leader) logTrials(now time.Time) {
	on := map[string]bool{}
	for _, tr := range l.parts.Trials(now) {
		on[string(tr.Fingerprint)] = true
		if !l.onTrial[string(tr.Fingerprint)] {
			l.log.Info().Str("event", "part_trial").Hex("fingerprint", tr.Fingerprint).Bool("begins", true).
				Msg("part of prompts was present at several crashes; one request with it is sent at a time")
		}
	}
	for fingerprint := range l.onTrial {
		if !on[fingerprint] {
			l.log.Info().Str("event", "part_trial").Hex("fingerprint", []byte(fingerprint)).Bool("begins", false).
				Msg("trial of a part of prompts has ended")
		}
	}
	l.onTrial = on
}
