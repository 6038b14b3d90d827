package control

import (
	"expvar"

	"github.com/jasminesaddle/jasminesaddle/internal/counter"
)

// metrics holds the counters of a control host. Labels take only fixed values,
// which bounds their number.
type metrics struct {
	group counter.Group
	// requests counts RPCs that this host served as the leader, by method.
	requests *expvar.Map
	// forwarded counts RPCs that were forwarded to the leader.
	forwarded *expvar.Int
	// orders and failedOrders count loads and unloads, by kind.
	orders, failedOrders *expvar.Map
	// scrapes and failedScrapes count scrapes of engines.
	scrapes, failedScrapes *expvar.Int
	// decisions counts placement decisions, by kind.
	decisions *expvar.Map
	// quarantines counts fingerprints that were quarantined.
	quarantines *expvar.Int
	// terms counts the terms in which this host was the leader.
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

// Metrics returns the host's counters as one expvar variable.
func (s *Server) Metrics() expvar.Var { return s.metrics.group.Var() }
