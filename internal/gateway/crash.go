package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// crashVerdictWait is how long a retry waits to learn whether the server crashed: a crashed
// server refuses a connection within a round trip.
const crashVerdictWait = 100 * time.Millisecond

// checkCrash checks whether a server that broke off a response has crashed,
// and marks the request if so. Requests to a server that only lost a response
// are not marked, and neither are those at a brittle server, which falls over when it is full, unless
// it began their response. It waits for the result if the request may be the cause.
func (ar *activeRequest) checkCrash(p placement) {
	g, mark, answer, broke := ar.g, ar.crashMark(p), ar.answer, ar.g.opts.Now()
	verdict := make(chan bool, 1)
	g.crashChecks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		crashed := !g.opts.Backend.Reachable(ctx, p.server.Address)
		verdict <- crashed
		if !crashed {
			return
		}
		now := g.opts.Now()
		g.usage.recordUnreachable(p.server.Instance, now)
		evidence := answer == quarantine.AnswerStarted || !g.usage.isBrittle(p.server.Instance)
		if evidence {
			g.usage.recordCrash(mark, broke)
			g.opts.Fleet.ReportSoon()
		}
		g.metrics.crashes.Add(answer.String(), 1)
		g.log.Info().Str("event", "crash").Str("request", ar.r.ID).Str("server", p.server.Instance).Str("start", mark.GetStartId()).
			Hex("fingerprint", mark.GetFingerprint()).Stringer("answer", answer).Strs("prompt_parts", ar.sharedPartIDs()).Bool("evidence", evidence).
			Msg("backend server crashed with the request in flight")
	})
	if answer != quarantine.AnswerStarted || ar.g.answered.All(ar.parts) || g.leaves(p.server) {
		return
	}
	select {
	case ar.suspect = <-verdict:
	case <-time.After(crashVerdictWait):
	}
}

// leaves reports whether the server has said that it leaves, or is listed as draining: its end is no crash.
func (g *Gateway) leaves(s *exchange.Server) bool {
	listed := g.opts.Fleet.View().Servers[s.Instance]
	return listed != nil && listed.Draining || g.usage.leaves(s, g.opts.Now())
}

// recordProgress records that the engine survived the start of the response.
func (ar *activeRequest) recordProgress(now time.Time) {
	if ar.answer == quarantine.AnswerProgressed {
		return
	}
	ar.answer = quarantine.AnswerProgressed
	ar.g.answered.Record(ar.parts, now)
}

// checkQuarantine refuses a request that is quarantined, or whose prompt has a part that is.
func (ar *activeRequest) checkQuarantine(v *exchange.View, now time.Time) error {
	blocked := func(fingerprint []byte) bool {
		until, ok := v.Quarantined[string(fingerprint)]
		return ok && now.Before(until)
	}
	if len(v.Quarantined) == 0 {
		return nil
	}
	if blocked(ar.fingerprint) {
		return fault.New(fault.KindQuarantined, "this request has crashed several backend servers", "change the request").
			WithRun(fault.NotRun)
	}
	if i := slices.IndexFunc(ar.parts, blocked); i >= 0 {
		return fault.Newf(fault.KindQuarantined, "change the prompt", "part %d of this prompt, fingerprint %x, has crashed several backend servers",
			i+1, ar.parts[i]).WithRun(fault.NotRun)
	}
	return nil
}

// crashMark returns the mark of the request for a crash of its server now.
func (ar *activeRequest) crashMark(p placement) *apiv1.CrashMark {
	mark := &apiv1.CrashMark{
		Fingerprint: ar.fingerprint, BackendServer: p.server.Instance, StartId: startID(p.server),
		SoleSuspect: ar.soleSuspect(p.server.Instance), AnswerStarted: ar.answer == quarantine.AnswerStarted, FailureDomain: p.server.Domain,
	}
	if ar.team != nil {
		mark.Team = ar.team.Name
	}
	if ar.answer != quarantine.AnswerProgressed && !p.server.Draining {
		mark.PromptParts = ar.parts
	}
	return mark
}

// startID identifies the start of a server: one that starts again may do so under its instance.
func startID(s *exchange.Server) string {
	if s.StartUnixMs == 0 {
		return s.Instance
	}
	return strconv.FormatInt(s.StartUnixMs, 10)
}

// maxSharedParts limits the parts of a prompt that are tracked. Prompts have a few, and a
// caller must not fill the leader's table with one request.
const maxSharedParts = 16

// sharedPartIDs returns the IDs of the parts that other requests may share, first part first.
func (ar *activeRequest) sharedPartIDs() []string {
	parts := ar.r.Parts[:min(max(0, len(ar.r.Parts)-1), maxSharedParts)]
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// partFingerprints returns the fingerprints of the parts that other requests may share.
func (ar *activeRequest) partFingerprints() [][]byte {
	ids := ar.sharedPartIDs()
	out := make([][]byte, len(ids))
	for i, id := range ids {
		out[i] = attempts.PartFingerprint(ar.service.Name, id)
	}
	return out
}

// soleSuspect reports whether the request was the only one in flight at the
// server.
func (ar *activeRequest) soleSuspect(instance string) bool {
	s := ar.g.opts.Fleet.View().Servers[instance]
	ar.g.usage.mu.Lock()
	defer ar.g.usage.mu.Unlock()
	return ar.g.usage.server(instance).inFlight <= 1 && s != nil && s.OthersInFlight == 0
}
