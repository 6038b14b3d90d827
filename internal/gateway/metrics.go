package gateway

import (
	"expvar"

	"github.com/jasminesaddle/jasminesaddle/internal/meter"
)

type metrics struct {
	requests, attempts            *expvar.Map
	tokenRefusals, crashes        *expvar.Map
	bookings, streamsCut          *expvar.Map
	retries, resumed, probes      *expvar.Int
	trialRefusals, spread         *expvar.Int
	total, first, placing, tokens *meter.Histogram
}

func newMetrics(m *meter.Set) metrics {
	return metrics{
		requests: m.Counters("requests", "outcome"), attempts: m.Counters("attempts", "outcome"),
		tokenRefusals: m.Counters("token_refusals", "reason"), crashes: m.Counters("crashes", "answer"),
		bookings:   m.Counters("prompt_bookings", "outcome"),
		streamsCut: m.Counters("streams_cut", "reason"),
		retries:    m.Counter("repeats"), resumed: m.Counter("streams_resumed"),
		probes: m.Counter("reach_probes"), trialRefusals: m.Counter("trial_refusals"), spread: m.Counter("adapters_spread"),
		total: m.Histogram("request_ms"), first: m.Histogram("first_event_ms"),
		placing: m.Histogram("placing_ms"), tokens: m.Histogram("token_wait_ms"),
	}
}
