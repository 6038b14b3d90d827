// Package counter groups expvar counters under one variable. The counters belong
// to the server that creates them, not to the process, so that several servers
// can run in one process.
package counter

import "expvar"

// Group is a set of named counters.
type Group struct {
	root expvar.Map
}

// Var returns the group as one variable to publish.
func (g *Group) Var() expvar.Var { return &g.root }

// Int adds a counter.
func (g *Group) Int(name string) *expvar.Int {
	v := new(expvar.Int)
	g.root.Set(name, v)
	return v
}

// Map adds a family of counters by label. The caller must bound the number of
// labels.
func (g *Group) Map(name string) *expvar.Map {
	v := new(expvar.Map)
	g.root.Set(name, v)
	return v
}
