package fleet

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// OrderKind is the action that an order asks of an engine.
type OrderKind int

// Kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
)

// Order is one load or unload that the leader sends to an engine.
type Order struct {
	Kind   OrderKind
	Engine string
	// Backend is the engine that the order was decided for. A change of address
	// can give the name to another engine before the order is done.
	Backend *apiv1.BackendServer
	Ref     Ref
	Weights string
}

// engineOf returns the engine of an order, unless another engine has its name
// now.
func (t *Table) engineOf(o Order) (*engine, bool) {
	e, ok := t.engines[o.Engine]
	return e, ok && e.backend.GetAddress() == o.Backend.GetAddress()
}

// StartLoad marks the slot as loading and returns the order. It returns false
// when the load is no longer possible because the fleet has changed since the
// plan was made.
func (t *Table) StartLoad(engineName string, ref Ref, now time.Time) (Order, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engineName]
	if !ok || !e.usable() || len(e.slots) >= int(e.backend.GetSlots()) {
		return Order{}, false
	}
	if _, taken := e.slots[ref]; taken {
		return Order{}, false
	}
	weights, ok := t.weights(ref)
	if !ok {
		return Order{}, false
	}
	sl := &slot{lastUsed: now}
	e.slots[ref] = sl
	t.setState(e, sl, apiv1.SlotState_SLOT_STATE_LOADING, now)
	t.loadStarts = append(t.loadStarts, now)
	return Order{Kind: OrderLoad, Engine: engineName, Backend: e.backend, Ref: ref, Weights: weights}, true
}

func (e *engine) usable() bool { return e.known && e.healthy && !e.leaving }

func (t *Table) weights(ref Ref) (string, bool) {
	a, ok := t.conf.Adapter(ref.Adapter)
	if !ok {
		return "", false
	}
	v, ok := config.Version(a, ref.Version)
	return v.GetWeights(), ok
}

// RecordLoad records the outcome of a load order.
func (t *Table) RecordLoad(o Order, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engineOf(o)
	if !ok {
		return
	}
	sl, ok := e.slots[o.Ref]
	if !ok || sl.state != apiv1.SlotState_SLOT_STATE_LOADING {
		return
	}
	key := failureKey{ref: o.Ref, engine: o.Engine}
	if failed {
		t.countFailure(key, now)
		delete(e.slots, o.Ref)
		e.slotVersion = t.nextVersion()
		return
	}
	delete(t.failures, key)
	sl.lastUsed = now
	t.setState(e, sl, t.residentState(o.Ref), now)
}

func (t *Table) countFailure(key failureKey, now time.Time) {
	f, ok := t.failures[key]
	if !ok {
		f = &failure{}
		t.failures[key] = f
	}
	f.at = now
	f.count++
}

// StartDrain stops new requests on a ready slot. It reports whether the state
// changed.
func (t *Table) StartDrain(engineName string, ref Ref, now time.Time) bool {
	return t.changeState(engineName, ref, apiv1.SlotState_SLOT_STATE_READY, apiv1.SlotState_SLOT_STATE_DRAINING, now)
}

// CancelDrain makes a draining slot ready again, unless an unload order has been
// sent for it. It reports whether the state changed.
func (t *Table) CancelDrain(engineName string, ref Ref, now time.Time) bool {
	return t.changeState(engineName, ref, apiv1.SlotState_SLOT_STATE_DRAINING, apiv1.SlotState_SLOT_STATE_READY, now)
}

func (t *Table) changeState(engineName string, ref Ref, from, to apiv1.SlotState, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engineName]
	if !ok {
		return false
	}
	sl, ok := e.slots[ref]
	if !ok || sl.state != from || sl.unloadSent {
		return false
	}
	t.setState(e, sl, to, now)
	return true
}

// TakeUnloads returns the unload orders that are safe to send and marks their
// slots as unloading. A draining slot is safe to unload once every host that may
// still run requests has confirmed the drain and runs none there.
func (t *Table) TakeUnloads(now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.start) < MaxSilence {
		return nil
	}
	var orders []Order
	for _, key := range t.draining() {
		e := t.engines[key.engine]
		sl := e.slots[key.ref]
		if sl.unloading || !e.healthy || !t.slotIdle(key, sl.version, now) {
			continue
		}
		sl.unloading = true
		sl.unloadSent = true
		orders = append(orders, Order{Kind: OrderUnload, Engine: key.engine, Backend: e.backend, Ref: key.ref})
	}
	return orders
}

// draining returns the draining slots in sorted order.
func (t *Table) draining() []slotKey {
	var keys []slotKey
	for name, e := range t.engines {
		for ref, sl := range e.slots {
			if sl.state == apiv1.SlotState_SLOT_STATE_DRAINING {
				keys = append(keys, slotKey{engine: name, ref: ref})
			}
		}
	}
	slices.SortFunc(keys, compareSlotKeys)
	return keys
}

// RecordUnload records the outcome of an unload order. After a failure the slot
// stays draining and the order is sent again.
func (t *Table) RecordUnload(o Order, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engineOf(o)
	if !ok {
		return
	}
	sl, ok := e.slots[o.Ref]
	if !ok || !sl.unloading {
		return
	}
	sl.unloading = false
	if failed {
		// The engine may still execute the order later, so the backoff after the
		// failure keeps the version from being loaded here again soon.
		t.countFailure(failureKey{ref: o.Ref, engine: o.Engine}, now)
		sl.since = now
		return
	}
	delete(e.slots, o.Ref)
	e.slotVersion = t.nextVersion()
}

// PendingDrains describes the unfinished drains and what each waits for.
func (t *Table) PendingDrains(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, key := range t.draining() {
		sl := t.engines[key.engine].slots[key.ref]
		name := key.ref.Adapter + ":" + key.ref.Version + " on " + key.engine
		if host := t.blockingHost(key, sl.version, now); host != "" {
			out = append(out, "unload of "+name+" waits for host "+host)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		if e := t.engines[name]; e.leaving {
			if n := t.runningOn(name); n > 0 {
				out = append(out, "leaving backend server "+name+" still runs requests")
			}
		}
	}
	return out
}

func (t *Table) runningOn(engineName string) int {
	n := 0
	for _, h := range t.hosts {
		for key, count := range h.inFlight {
			if key.engine == engineName {
				n += int(count)
			}
		}
	}
	return n
}

// String returns the name of the kind.
func (k OrderKind) String() string {
	if k == OrderLoad {
		return "load"
	}
	return "unload"
}
