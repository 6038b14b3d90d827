package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateSlots is the number of adapters that the engine of this case holds, lateBy how late an order is carried out: 2 to 12 s are published.
const (
	lateSlots = 6
	lateBy    = 11500 * time.Millisecond
)

// caseLateLoad: an engine leaves an order to load an adapter unanswered, crashes, and starts again under its id, and the leader of the
// core is killed. The late order is carried out when the engine has as many adapters as it holds.
func caseLateLoad(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	e := &engine{model: "m0", adapterSlots: lateSlots, modelLoad: 840 * time.Millisecond, adapterLoad: 250 * time.Millisecond, held: true, lateBy: lateBy}
	s := &server{id: "i-7f3a91c0", service: "huvo11a", version: "v1", slots: 64, events: 2, gap: 20 * time.Millisecond, engine: e}
	crashed := make(chan struct{})
	var once sync.Once
	if err := f.addServer(30, 8080, s); err != nil {
		return err
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	state := desired(1, "huvo11a")
	for _, service := range state["services"].([]any) {
		service.(map[string]any)["engine"].(map[string]any)["adapter_slots"] = lateSlots
	}
	if err := o.replace(ctx, state); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	for i := range lateSlots {
		if err := f.askFor(ctx, fmt.Sprintf("a%d", i+1)); err != nil {
			return err
		}
	}
	// The list shows the adapters by then, so that the leader may unload one.
	if err := sleep(ctx, contact); err != nil {
		return err
	}
	leader, err := o.leader(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	e.late = func(op, adapter string, _ int) bool {
		if !trouble || op != "load" || adapter != "a99" {
			return false
		}
		first := false
		once.Do(func() { first = true })
		return first
	}
	e.after = func() {
		close(crashed)
		s.crash("the order that it left unanswered")
	}
	s.mu.Unlock()
	go func() { _ = f.askOnce(ctx, "a99", 0) }()
	if trouble {
		select {
		case <-crashed:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no order to load the seventh adapter came")
		}
	} else {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		go s.crash("nothing that counts")
	}
	began := time.Now()
	f.rec.add("the process of %s, which leads, is killed", leader.name)
	leader.signal(syscall.SIGKILL)
	if err := sleep(ctx, downTime+500*time.Millisecond); err != nil {
		return err
	}
	for i := range lateSlots {
		if err := f.askFor(ctx, fmt.Sprintf("b%d", i+1)); err != nil {
			return err
		}
	}
	f.rec.add("%.1f s after the crash the engine holds as many adapters as it has slots", time.Since(began).Seconds())
	if err := sleep(ctx, lateBy-time.Since(began)+time.Second); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.rec.add("engine %s has accepted %d loads since its start, seq %d; %s", s.id, e.loads, s.seq, e.over)
	if e.over != "" {
		return errBroken
	}
	return nil
}

// askFor sends requests for an adapter until one is served.
func (f *fleet) askFor(ctx context.Context, adapter string) error {
	for n := range 30 {
		if f.askOnce(ctx, adapter, n) == 200 {
			return nil
		}
		if err := sleep(ctx, 250*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("no request for %s is served", adapter)
}

// askOnce sends one request for an adapter and returns its status.
func (f *fleet) askOnce(ctx context.Context, adapter string, n int) int {
	c := call{method: "POST", path: path + "2f", key: key, body: "x", timeout: time.Second, header: map[string]string{
		"Model": "m0/" + adapter, "Token-Count": "300,80", "Prompt-Prefix": "5c1e07a2:155,91bd3f06:145",
	}}
	_, status, _ := c.send(ctx, f.rec, "for "+adapter, f.front[n%len(f.front)])
	return status
}
