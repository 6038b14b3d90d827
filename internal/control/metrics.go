package control

import "expvar"

// metrics are the counters of a control host. Labels are fixed words, so that
// their number is bounded.
type metrics struct {
	root *expvar.Map
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
	m := &metrics{root: new(expvar.Map).Init()}
	m.requests = m.newMap("requests")
	m.forwarded = m.newInt("forwarded")
	m.orders = m.newMap("orders")
	m.failedOrders = m.newMap("failed_orders")
	m.scrapes = m.newInt("scrapes")
	m.failedScrapes = m.newInt("failed_scrapes")
	m.decisions = m.newMap("placement_decisions")
	m.quarantines = m.newInt("quarantines")
	m.terms = m.newInt("terms_led")
	return m
}

func (m *metrics) newMap(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.root.Set(name, v)
	return v
}

func (m *metrics) newInt(name string) *expvar.Int {
	v := new(expvar.Int)
	m.root.Set(name, v)
	return v
}

// Metrics returns the host's counters for publication under one name.
func (s *Server) Metrics() expvar.Var { return s.metrics.root }
