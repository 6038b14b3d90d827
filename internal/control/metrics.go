package control

import (
	"expvar"

	"github.com/jasminesaddle/jasminesaddle/internal/counter"
)

// metrics are the counters of a control host. Labels are fixed words, so that
// their number is bounded.
type metrics struct {
	group counter.Group
	// requests counts RPCs that the leader served, by method.
	requests *expvar.Map
	// forwarded counts RPCs that were sent on to the leader.
	forwarded *expvar.Int
	// orders and failedOrders count loads and unloads, by kind.
	orders, failedOrders *expvar.Map
	// scrapes and failedScrapes count looks at engines.
	scrapes, failedScrapes *expvar.Int
	// decisions counts placement decisions, by kind.
	decisions *expvar.Map
	// quarantines counts fingerprints that were quarantined.
	quarantines *expvar.Int
	// terms counts the terms that the host led.
	terms *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{}
	m.requests = m.group.Map("requests")
	m.forwarded = m.group.Int("forwarded")
	m.orders = m.group.Map("orders")
	m.failedOrders = m.group.Map("failed_orders")
	m.scrapes = m.group.Int("scrapes")
	m.failedScrapes = m.group.Int("failed_scrapes")
	m.decisions = m.group.Map("placement_decisions")
	m.quarantines = m.group.Int("quarantines")
	m.terms = m.group.Int("terms_led")
	return m
}

// Metrics returns the host's counters for publication under one name.
func (s *Server) Metrics() expvar.Var { return s.metrics.group.Var() }
