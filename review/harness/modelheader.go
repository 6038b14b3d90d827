package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	plainPath  = "/cuti104/"
	keptKey    = key
	droppedKey = "n2ctnfzs989anu6wsjnb"
)

// modelHeaderState returns a desired state with the streaming route, a safe route to the service, and the keys of two tenants.
func modelHeaderState(version int, service string, dropKey bool) map[string]any {
	state := desired(version, "huvo11a")
	state["routes"] = append(state["routes"].([]any), map[string]any{
		"name": "r-m82thhk", "host": hostName, "path_prefix": plainPath, "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
		"priority": 2, "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "service": service,
	})
	for _, name := range []string{"xano55a", "xano55b"} {
		state["services"] = append(state["services"].([]any), map[string]any{
			"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false,
		})
	}
	keys := []any{droppedKey}
	if dropKey {
		keys = []any{}
	}
	state["tenants"] = append(state["tenants"].([]any), map[string]any{"name": "viro112", "api_keys": keys, "priority": 1})
	return state
}

// caseModelHeader: one request names a model in bytes that are no UTF-8. Later, the desired state moves a route to another service and
// takes a key away.
func caseModelHeader(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	for i := range 2 {
		s := &server{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: "huvo11a", version: "v1", slots: 64, events: 5, gap: 20 * time.Millisecond,
			models: []modelState{{Name: "m0", Version: 1, Adapters: []string{}}},
		}
		if err := f.addServer(30+i, 8080, s); err != nil {
			return err
		}
	}
	services := map[string]string{}
	for i, service := range []string{"xano55a", "xano55a", "xano55b", "xano55b"} {
		s := &server{id: fmt.Sprintf("i-40f425e%d", i), service: service, version: "v1", slots: 6}
		services[s.id] = service
		if err := f.addServer(40+i, 8080, s); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	if err := o.replace(ctx, modelHeaderState(1, "xano55a", false)); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	get := func(key string) call { return call{method: "GET", path: plainPath + "2f", key: key} }
	for _, m := range f.front[:2] {
		for _, key := range []string{keptKey, droppedKey} {
			if _, status, by := get(key).send(ctx, f.rec, "before", m); status != 200 || services[by] != "xano55a" {
				return fmt.Errorf("before the disruption, %s answers %d by %q", m.name, status, by)
			}
		}
	}
	model := "cafe"
	if trouble {
		model = "caf\xe9" // the same name with its accent in ISO 8859-1
	}
	odd := call{method: "POST", path: path + "2f", key: keptKey, body: "x", header: map[string]string{
		"Model": model, "Token-Count": "300,80", "Prompt-Prefix": "5c1e07a2:155,91bd3f06:145",
	}}
	_, status, _ := odd.send(ctx, f.rec, "odd", f.front[0])
	f.rec.add("one request to %s with the header Model: %q is answered %d", f.front[0].name, model, status)
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	if err := o.replace(ctx, modelHeaderState(7, "xano55b", true)); err != nil {
		return err
	}
	acked := time.Now()
	if err := sleep(ctx, configIn+500*time.Millisecond); err != nil {
		return err
	}
	return f.judgeConfig(ctx, acked, get, services)
}

// judgeConfig sends requests to two front machines for some seconds and counts those that are handled as only the older desired state
// allows.
func (f *fleet) judgeConfig(ctx context.Context, acked time.Time, get func(key string) call, services map[string]string) error {
	type count struct{ sent, oldService, newService, droppedKey, other int }
	counts := map[string]*count{}
	for _, m := range f.front[:2] {
		counts[m.name] = &count{}
	}
	var mu sync.Mutex
	for range 60 {
		var wg sync.WaitGroup
		for _, m := range f.front[:2] {
			for _, key := range []string{keptKey, droppedKey} {
				wg.Go(func() {
					_, status, by := get(key).send(ctx, f.rec, "after", m)
					mu.Lock()
					defer mu.Unlock()
					c := counts[m.name]
					c.sent++
					switch {
					case status == 200 && key == droppedKey:
						c.droppedKey++
					case status == 200 && services[by] == "xano55a":
						c.oldService++
					case status == 200:
						c.newService++
					default:
						c.other++
					}
				})
			}
		}
		wg.Wait()
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	broken := false
	for _, m := range f.front[:2] {
		c := counts[m.name]
		f.rec.add("%s, %.1f s to %.1f s after the ack: %d requests sent; %d run by the old service, %d by the new one, %d run with the key that was taken away, %d refused",
			m.name, (configIn + 500*time.Millisecond).Seconds(), time.Since(acked).Seconds(), c.sent, c.oldService, c.newService, c.droppedKey, c.other)
		broken = broken || c.oldService+c.droppedKey > 0
	}
	if broken {
		return errBroken
	}
	return nil
}
