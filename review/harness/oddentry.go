package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// oddEntry is an entry of another writer with the end of a longer one behind it, as when a shorter entry is written over a longer one.
const oddEntry = `{"id":"i-0d11c3","service":"xano55b","address":"10.9.0.7:8080","models":[]}]}`

// caseOddEntry: another writer leaves one entry that cannot be read between those of the runners.
func caseOddEntry(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	for i, service := range []string{"xano55a", "xano55a", "xano55b", "xano55b"} {
		s := &server{id: fmt.Sprintf("i-40f425e%d", i), service: service, version: "v1", slots: 64, work: 20 * time.Millisecond}
		if err := f.addServer(40+i, 8080, s); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	state := lookupState(1, false)
	if err := o.replace(ctx, state); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	state = lookupState(3, true)
	state["routes"].([]any)[2].(map[string]any)["service"] = "xano55b"
	if err := o.replace(ctx, state); err != nil {
		return err
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	if trouble {
		odd := oddEntry
		if text := os.Getenv("ODD"); text != "" {
			odd = text
		}
		at := 2
		if os.Getenv("ODD_FIRST") != "" {
			at = 0
		}
		f.rec.add("another writer leaves an entry in the list, before the entry with the index %d: %s", at, odd)
		f.list.leave(odd, at)
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	first, later := &lookup{counts: map[int]int{}}, &lookup{counts: map[int]int{}}
	f.repeat(ctx, judgedEvery, judged, func(n int) {
		c := call{method: "POST", path: unsafePath + fmt.Sprintf("j%x", n), key: keptKey, body: fmt.Sprintf("booking %d", n)}
		_, status, _ := c.send(ctx, f.rec, "first", f.front[n%len(f.front)])
		first.add(status)
		c = call{method: "GET", path: plainPath + fmt.Sprintf("j%x", n), key: keptKey}
		_, status, _ = c.send(ctx, f.rec, "later", f.front[n%len(f.front)])
		later.add(status)
	})
	f.rec.add("of %d requests on the first route: %v; of %d on the route that was added later: %v", judged, first, judged, later)
	if first.counts[200] == 0 {
		return fmt.Errorf("nothing is served on the first route")
	}
	if float64(later.counts[200]) < float64(first.counts[200])/4 {
		return errBroken
	}
	return nil
}
