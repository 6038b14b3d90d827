package main

import (
	"fmt"
	"net/http"
	"time"
)

// formed starts a small deployment with the backend servers and waits until it serves.
func formed(rec *record, servers int) (*fleet, []*machine, []*backend, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, nil, nil, err
	}
	var list []*backend
	for i := range servers {
		b, err := f.startBackend(fmt.Sprintf("i-%d", i+1), plainName, zones[i%3], 200+i)
		if err != nil {
			return f, nil, nil, err
		}
		list = append(list, b)
	}
	if err := f.startList(list...); err != nil {
		return f, nil, nil, err
	}
	var core []*machine
	for i, zone := range []string{zones[0], zones[0], zones[1], zones[1], zones[2]} {
		core = append(core, f.add(fmt.Sprintf("core-%s-%d", zone, i+1), "core", zone, 10+i))
	}
	fronts := []*machine{f.add("front-heredia-1", "front", zones[0], 30), f.add("front-cartago-1", "front", zones[1], 31)}
	f.setSeeds(core[0], core[2], core[4])
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return f, nil, nil, err
		}
	}
	if status := newOperator(f).put(plainDocument(7), 20*time.Second); status != http.StatusOK {
		return f, nil, nil, fmt.Errorf("%w: the desired state got %d", errCannotRun, status)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range fronts {
			if status, _ := f.request(m, http.MethodGet, "/safe/x", "", 2*time.Second); status == http.StatusOK && f.isReady(m) {
				ready++
			}
		}
		if ready == len(fronts) {
			return f, fronts, list, nil
		}
		if time.Now().After(end) {
			return f, nil, nil, fmt.Errorf("%w: the machines do not get ready", errCannotRun)
		}
	}
}
