package residency

import (
	"slices"
	"time"
)

// Order tells an engine to load or unload an adapter or to load a model.
type Order struct {
	Instance, Address string
	// Unload is true for an unload and false for a load.
	Unload bool
	Ref    Ref
	// Version is the version to load; 0 loads the newest.
	Version uint64
	// Expect is the engine's sequence number before the order.
	Expect uint64
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of an order.
const (
	// Accepted means that the engine executes the order.
	Accepted Outcome = iota
	// Done means that the engine is now in the ordered state.
	Done
	// Conflict means that the engine's sequence number differs from the expected one
	// or that it is busy with another order. The order had no effect.
	Conflict
	// Rejected means that the engine cannot execute the order.
	Rejected
	// Unknown means that there was no response: the order may be executed later.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"accepted", "done", "conflict", "rejected", "unknown"}[o]
}

// Result is the result of an order at its engine.
type Result struct {
	Outcome Outcome
	// Quiet is how long the engine wants nothing of the host that sent the order.
	Quiet time.Duration
}

// QuietError is the error of a report that was not read because the engine wants nothing of this host.
type QuietError struct{ For time.Duration }

func (e *QuietError) Error() string {
	return "the engine wants nothing of this host for " + e.For.String() + "; its report is read after that"
}

// NextStatus describes how to proceed with a desired load.
type NextStatus int

// Results of Next.
const (
	// NextSend means that the caller must send the order and record its outcome.
	NextSend NextStatus = iota
	// NextFinished means that the adapter or model is resident or loading.
	NextFinished
	// NextLater means that the engine cannot take an order now.
	NextLater
	// NextImpossible means that the engine is gone or has no slot.
	NextImpossible
)

// Next returns the next order that is needed to load an adapter or model on the
// engine. When no slot is free, that is an unload. The caller must pass the outcome
// of every returned order to RecordOutcome.
func (t *Table) Next(instance string, ref Ref, now time.Time) (Order, NextStatus) {
	e := t.engines[instance]
	if e == nil || t.isClosed(e) {
		return Order{}, NextImpossible
	}
	newest := t.newest[ref]
	if res := e.residents[ref]; res != nil && res.version >= newest && !res.unloading {
		return Order{}, NextFinished
	}
	if e.orderInTransit || !e.orderable || !e.sequenceKnown || now.Before(e.notBefore) || now.Before(e.quietUntil) {
		return Order{}, NextLater
	}
	if res := e.residents[ref]; res != nil && res.unloading {
		return Order{}, NextLater
	}
	if !t.canOrder(e, ref, now) {
		return Order{}, NextImpossible
	}
	if ref.Adapter == "" {
		if t.modelLoadsLeft(e.Service, now) <= 0 {
			return Order{}, NextLater
		}
		t.storeLoads(e.Service).add(instance, now)
	}
	o := Order{Instance: instance, Address: e.Address, Ref: ref, Version: newest, Expect: e.sequence}
	if ref.Adapter != "" && e.residents[ref] == nil && t.freeSlots(e, now) <= 0 {
		o.Ref, o.Unload, o.Version = t.victim(e, now), true, 0
	}
	e.orderInTransit = true
	return o, NextSend
}

// canOrder reports whether the model fits the engine or the engine can load the adapter.
func (t *Table) canOrder(e *Engine, ref Ref, now time.Time) bool {
	if ref.Adapter == "" {
		return t.modelFits(e, ref)
	}
	return t.canLoad(e, ref, now)
}

// RecordOutcome applies the outcome of an order.
func (t *Table) RecordOutcome(o Order, out Outcome, now time.Time) {
	e := t.engines[o.Instance]
	if e == nil || e.Address != o.Address {
		return
	}
	e.orderInTransit, e.lastOrder = false, now
	if o.Ref.Adapter == "" && !o.Unload && (out == Conflict || out == Rejected || out == Done) {
		t.storeLoads(e.Service).remove(o.Instance)
	}
	if out != Conflict {
		e.conflicts = 0
	}
	if out != Unknown {
		e.unanswered = 0
	}
	switch out {
	case Accepted, Done:
		t.applyExecuted(e, o, out, now)
	case Unknown:
		// The engine may still execute the order while its sequence number is
		// unchanged. Either it accepts the next order first, which voids this one, or
		// the next one conflicts.
		if !o.Unload {
			e.unresolved = append(slices.DeleteFunc(e.unresolved, func(u unresolvedLoad) bool {
				return now.Sub(u.at) >= maxOrderAge
			}), unresolvedLoad{expect: o.Expect, at: now})
		}
		t.backOff(e, now)
	case Conflict:
		// An engine is busy while an unload waits for running requests, while a model
		// loads, and while too many adapters are loading.
		e.conflicts++
		e.notBefore = now.Add(busyPause)
		e.sequenceKnown = e.conflicts%conflictsBeforeReport != 0
	case Rejected:
		// What the engine does not understand changes nothing there.
		e.sequenceKnown = false
	}
}

const (
	// busyPause is how long no order is sent to a busy engine.
	busyPause = 60 * time.Millisecond
	// conflictsBeforeReport is the number of consecutive conflicts after which the
	// engine's sequence number must be read from its report again.
	conflictsBeforeReport = 4
)

// applyExecuted applies an order that the engine accepted or had already completed.
func (t *Table) applyExecuted(e *Engine, o Order, out Outcome, now time.Time) {
	// A load of what is already resident does not advance the engine's sequence number.
	if out == Accepted || o.Unload {
		e.sequence = o.Expect + 1
	}
	if o.Unload {
		if out == Done {
			t.drop(e, o.Ref, departUnloaded, now)
			return
		}
		if res := e.residents[o.Ref]; res != nil {
			// It waits for running requests, and the engine's report tells when it has gone.
			res.unloading, res.orderedAt = true, now
			e.checkWanted = true
			t.markChanged(e)
		}
		return
	}
	t.markChanged(e)
	if out == Done {
		res := e.resident(o.Ref, now)
		res.version, res.readyAt, res.orderedAt, res.lastUse = o.Version, now, now, now
		return
	}
	warm := slices.Contains(e.cached, o.Ref)
	res := &resident{version: o.Version, since: now, readyAt: now.Add(t.orderDuration(e, o, now)), orderedAt: now, lastUse: now}
	if res.cold = !warm; res.cold {
		res.loadsAtOrder = t.coldLoads(now) + 1
	}
	e.cached = slices.DeleteFunc(e.cached, func(r Ref) bool { return r == o.Ref })
	e.residents[o.Ref] = res
}

// orderDuration estimates how long the engine takes to execute a load order.
func (t *Table) orderDuration(e *Engine, o Order, now time.Time) time.Duration {
	if o.Ref.Adapter != "" {
		return t.loadTime(e, o.Ref, t.coldLoadTime(now))
	}
	if s := t.services[e.Service]; s != nil {
		if m, ok := s.Model(o.Ref.Model); ok {
			return m.Load
		}
	}
	return t.opts.ColdLoad
}

// BlockedReason returns why the engine takes no order now, or "" if it takes one.
func (t *Table) BlockedReason(instance string, now time.Time) string {
	e := t.engines[instance]
	switch {
	case e == nil:
		return "gone"
	case e.Draining:
		return "draining"
	case t.evacuated[e.Domain]:
		return "evacuated"
	case !e.orderable:
		return "no_holder"
	case e.orderInTransit:
		return "order_on_its_way"
	case now.Before(e.quietUntil):
		return "quiet"
	case !e.sequenceKnown:
		return "sequence_unknown"
	case now.Before(e.notBefore):
		return "busy"
	}
	return ""
}

// unresolvedLoad is a load order of which it is not known whether the engine executed it. It names a
// sequence number, which a restarted engine counts anew.
type unresolvedLoad struct {
	expect uint64
	at     time.Time
	// earlierStart is true when the engine has restarted under its name since.
	earlierStart bool
}

// maxOrderAge is the time after which an order without a response is no longer executed (2 to 12 s are
// published).
const maxOrderAge = 15 * time.Second

// carryUnresolved returns the unresolved loads of an engine for its next start.
func (e *Engine) carryUnresolved(now time.Time) []unresolvedLoad {
	var out []unresolvedLoad
	for _, u := range e.unresolved {
		if now.Sub(u.at) < maxOrderAge {
			u.earlierStart = true
			out = append(out, u)
		}
	}
	return out
}

// reservedSlots returns the number of slots that unresolved loads may still take although the engine has
// accepted others since: those ordered before its restart, and those that named a sequence number which it
// had not reached, as after an unload that was not counted. All others are void by the next order that the
// engine accepts.
func (e *Engine) reservedSlots(now time.Time) int {
	n := 0
	for _, u := range e.unresolved {
		pending := u.expect > e.sequence || u.earlierStart && u.expect == e.sequence
		if pending && now.Sub(u.at) < maxOrderAge {
			n++
		}
	}
	return n
}
