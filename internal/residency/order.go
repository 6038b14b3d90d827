package residency

import (
	"slices"
	"time"
)

// Order is what an engine is told to do.
type Order struct {
	Instance, Address string
	// Unload gives the copy up; otherwise it is loaded.
	Unload bool
	Ref    Ref
	// Version to load; 0 loads the newest.
	Version uint64
	// Expect is the engine's sequence before the order.
	Expect uint64
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of an order.
const (
	// Accepted means that the engine carries the order out.
	Accepted Outcome = iota
	// Done means that the engine is as ordered now.
	Done
	// Conflict means that the engine's sequence is another one or that it is busy
	// with another order. Nothing was done.
	Conflict
	// Rejected means that the engine cannot carry the order out.
	Rejected
	// Unknown means that there was no answer: the order may be carried out late.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"accepted", "done", "conflict", "rejected", "unknown"}[o]
}

// NextStatus tells what to do about a wanted load.
type NextStatus int

// Results of Next.
const (
	// Send means that the order is to be sent and its outcome reported.
	Send NextStatus = iota
	// Finished means that the engine holds the copy or is loading it.
	Finished
	// Later means that the engine cannot take an order now.
	Later
	// Impossible means that the engine is gone or has no place.
	Impossible
)

// Next returns the next order towards holding the copy at the engine: it makes a
// place first when there is none. Every order that it returns must be answered
// by a call of RecordOutcome.
func (t *Table) Next(instance string, ref Ref, now time.Time) (Order, NextStatus) {
	e := t.engines[instance]
	if e == nil || e.Draining {
		return Order{}, Impossible
	}
	want := t.newest[ref]
	if h := e.held[ref]; h != nil && h.version >= want && !h.unloading {
		return Order{}, Finished
	}
	if e.ordering || !e.open || !e.sequenceKnown || now.Before(e.notBefore) {
		return Order{}, Later
	}
	if h := e.held[ref]; h != nil && h.unloading {
		return Order{}, Later
	}
	if !t.mayOrder(e, ref, now) {
		return Order{}, Impossible
	}
	o := Order{Instance: instance, Address: e.Address, Ref: ref, Version: want, Expect: e.sequence}
	if ref.Adapter != "" && e.held[ref] == nil && t.free(e) <= 0 {
		o.Ref, o.Unload, o.Version = t.victim(e, now), true, 0
	}
	e.ordering = true
	return o, Send
}

func (t *Table) mayOrder(e *Engine, ref Ref, now time.Time) bool {
	if ref.Adapter == "" {
		return t.modelFits(e, ref)
	}
	return t.mayLoad(e, ref, now)
}

// RecordOutcome takes in the outcome of an order.
func (t *Table) RecordOutcome(o Order, out Outcome, now time.Time) {
	e := t.engines[o.Instance]
	if e == nil || e.Address != o.Address {
		return
	}
	e.ordering, e.lastOrder = false, now
	if out != Conflict {
		e.conflicts = 0
	}
	if out != Unknown {
		e.unanswered = 0
	}
	switch out {
	case Accepted, Done:
		t.carriedOut(e, o, out, now)
	case Unknown:
		// The order may be carried out late, while the sequence is the same. The
		// next order is accepted before that, or it conflicts.
		t.rest(e, now)
	case Conflict:
		// An engine is busy while an unload waits for its runs, while a model
		// loads, and with too many adapters on their way.
		e.conflicts++
		e.notBefore = now.Add(busyPause)
		e.sequenceKnown = e.conflicts%conflictsToReport != 0
	case Rejected:
		if o.Unload {
			t.drop(e, o.Ref, now)
		}
	}
}

const (
	// busyPause is how long a busy engine is left alone.
	busyPause = 60 * time.Millisecond
	// conflictsToReport is the number of conflicts in a row after which the
	// engine's sequence is doubted and its report is read.
	conflictsToReport = 4
)

func (t *Table) carriedOut(e *Engine, o Order, out Outcome, now time.Time) {
	// A load of what is there already changes nothing at the engine.
	if out == Accepted || o.Unload {
		e.sequence = o.Expect + 1
	}
	if o.Unload {
		if out == Done {
			t.drop(e, o.Ref, now)
			return
		}
		if h := e.held[o.Ref]; h != nil {
			h.unloading, h.orderedAt = true, now
			t.touch(e)
		}
		return
	}
	ready := now
	warm := slices.Contains(e.recent, o.Ref)
	if out == Accepted {
		ready = now.Add(t.orderTime(e, o))
	}
	e.recent = slices.DeleteFunc(e.recent, func(r Ref) bool { return r == o.Ref })
	e.held[o.Ref] = &held{version: o.Version, readyAt: ready, orderedAt: now, lastUse: now, cold: out == Accepted && !warm}
	t.touch(e)
}

func (t *Table) orderTime(e *Engine, o Order) time.Duration {
	if o.Ref.Adapter != "" {
		return t.loadTime(e, o.Ref)
	}
	if s := t.services[e.Service]; s != nil {
		if m, ok := s.Model(o.Ref.Model); ok {
			return m.Load
		}
	}
	return t.opts.ColdLoad
}

// BlockedReason says why an engine takes no order now; empty when it does.
func (t *Table) BlockedReason(instance string, now time.Time) string {
	e := t.engines[instance]
	switch {
	case e == nil:
		return "gone"
	case e.Draining:
		return "draining"
	case !e.open:
		return "no_holder"
	case e.ordering:
		return "order_on_its_way"
	case !e.sequenceKnown:
		return "sequence_unknown"
	case now.Before(e.notBefore):
		return "busy"
	}
	return ""
}
