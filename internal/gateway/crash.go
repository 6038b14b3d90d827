package gateway

import (
	"context"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
)

// answerState is how far the response to the current attempt has come.
type answerState int

const (
	// answerAwaited: no header has arrived.
	answerAwaited answerState = iota
	// answerStarted: the header has arrived, and fewer than progressEvents events.
	answerStarted
	// answerProgressed: the engine survived the start of the response.
	answerProgressed
)

// progressEvents is the number of events after which an engine has survived the start of a
// response: an engine that crashes at its start may still have sent the first event.
const progressEvents = 2

func (s answerState) String() string { return [...]string{"awaited", "started", "progressed"}[s] }

// checkCrash checks whether a server that broke off a response has crashed,
// and marks the request if so. Requests to a server that only lost a response
// are not marked.
func (ar *activeRequest) checkCrash(p placement) {
	g, mark, answer := ar.g, ar.crashMark(p), ar.answer
	g.crashChecks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		if g.opts.Backend.Reachable(ctx, p.server.Address) {
			return
		}
		g.usage.recordUnreachable(p.server.Instance, g.opts.Now())
		g.usage.recordCrash(mark)
		g.metrics.crashes.Add(answer.String(), 1)
		g.log.Info().Str("event", "crash").Str("request", ar.r.ID).Str("server", p.server.Instance).
			Hex("fingerprint", mark.GetFingerprint()).Stringer("answer", answer).Strs("prompt_parts", ar.sharedPartIDs()).
			Msg("backend server crashed with the request in flight")
	})
}

// crashMark returns the mark of the request for a crash of its server now.
func (ar *activeRequest) crashMark(p placement) *apiv1.CrashMark {
	mark := &apiv1.CrashMark{
		Fingerprint: ar.fingerprint, BackendServer: p.server.Instance, StartId: p.server.Instance,
		SoleSuspect: ar.soleSuspect(p.server.Instance), AnswerStarted: ar.answer == answerStarted,
	}
	if ar.team != nil {
		mark.Team = ar.team.Name
	}
	if ar.answer != answerProgressed {
		mark.PromptParts = ar.partFingerprints()
	}
	return mark
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
