package main

import (
	"fmt"
	"net/http"
	"time"
)

// firstStart loses one of the three seeds for good at the first start, before it has heard of the others. An empty machine
// comes in its place. Everything else is calm.
func firstStart(rec *record, trouble bool) (result, error) {
	f, err := newFleet(rec)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	server, err := f.startBackend("i-7f3a91c2", plainName, zones[0], 200)
	if err != nil {
		return result{}, err
	}
	if err := f.startList(server); err != nil {
		return result{}, err
	}
	var core []*machine
	for i, zone := range []string{zones[0], zones[0], zones[1], zones[1], zones[2]} {
		core = append(core, f.add(fmt.Sprintf("core-%s-%d", zone, i+1), "core", zone, 10+i))
	}
	fronts := []*machine{f.add("front-heredia-1", "front", zones[0], 30), f.add("front-cartago-1", "front", zones[1], 31)}
	// The machines come in any order, within 0.3 s. The last of the seeds is the first.
	f.setSeeds(core[0], core[2], core[4])
	lost := core[4]
	if err := f.start(lost); err != nil {
		return result{}, err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.kill(lost)
	}
	for _, m := range append(append([]*machine{}, core[:4]...), fronts...) {
		if err := f.start(m); err != nil {
			return result{}, err
		}
	}
	if trouble {
		// The lost machine never returns. Its successor is empty and has another address.
		time.Sleep(time.Second)
		next := f.add("core-alajuela-9", "core", zones[2], 19)
		next.firstStart = false
		f.setSeeds(core[0], core[2], next)
		if err := f.start(next); err != nil {
			return result{}, err
		}
		// The other machines get settings with the seeds of now, as at any change of settings.
		for _, m := range append(append([]*machine{}, core[:4]...), fronts...) {
			if err := f.write(m); err != nil {
				return result{}, err
			}
		}
	}
	// From here on nothing is disturbed. The successor counts as lost for catch_up_s, and service may be suspended until
	// recover_s after all are back.
	calm := time.Now()
	op := newOperator(f)
	status := op.put(plainDocument(7), 50*time.Second)
	acked := time.Since(calm)
	if status == http.StatusOK {
		time.Sleep(2 * time.Second)
	}
	read, _ := op.call(http.MethodGet, "/Config.Get", nil, contact+2*time.Second)
	served := 0
	for range 5 {
		for _, m := range fronts {
			ready := f.isReady(m)
			got, text := f.request(m, http.MethodGet, "/safe/x", "", 3*time.Second)
			rec.printf("caller at %s (ready: %v): %d %.100s", m.name, ready, got, text)
			if got == http.StatusOK {
				served++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range f.machines {
		if m != lost && !m.running() {
			return result{}, fmt.Errorf("%w: %s has ended", errCannotRun, m.name)
		}
	}
	text := fmt.Sprintf("first desired state: status %d after %.1f s of calm; read back: status %d; %d of 10 requests served, %d runs",
		status, acked.Seconds(), read, served, server.totalRuns())
	// The bound: catch_up_s for the successor, recover_s, and then ack_ms in one calm stretch.
	late := status != http.StatusOK || acked > catchUp+recoverIn+ackBound
	return result{broken: late && read != http.StatusOK, what: text}, nil
}
