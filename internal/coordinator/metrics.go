package coordinator

import (
	"expvar"

	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

type metrics struct {
	terms, lists, listErrors, reports, exchanges, acquires, grants *expvar.Int
	streamRecords                                                  *expvar.Int
	orders, streamsFound, bookings                                 *expvar.Map
}

func newMetrics(m *meter.Set) metrics {
	return metrics{
		terms: m.Counter("leader_terms"), lists: m.Counter("list_reads"), listErrors: m.Counter("list_read_errors"),
		reports: m.Counter("engine_reports"), exchanges: m.Counter("exchanges"), acquires: m.Counter("acquires"),
		grants: m.Counter("loans"),
		orders: m.Counters("orders", "outcome"), streamRecords: m.Counter("stream_records"),
		streamsFound: m.Counters("streams_found", "reason"), bookings: m.Counters("prompt_bookings", "outcome"),
	}
}

func (m *metrics) order(o residency.Outcome) { m.orders.Add(o.String(), 1) }
