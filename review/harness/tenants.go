package main

import (
	"context"
	"fmt"
	"time"
)

// caseNoTenants: the desired state takes the last tenant away; its list of tenants is empty then. Callers come with a key that no desired
// state ever held.
func caseNoTenants(ctx context.Context, f *fleet, trouble bool) error {
	o := operator{f}
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-40f425e%d", i), service: "xano55a", version: "v1", slots: 64, work: 20 * time.Millisecond}
		if err := f.addServer(40+i, 8080, s); err != nil {
			return err
		}
	}
	if err := f.start(ctx); err != nil {
		return err
	}
	state := crashState()
	if err := o.replace(ctx, state); err != nil {
		return err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return err
	}
	if trouble {
		state = crashState()
		state["version"], state["tenants"] = 7, []any{}
		if err := o.replace(ctx, state); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return err
	}
	unknown := &lookup{counts: map[int]int{}}
	f.repeat(ctx, judgedEvery, judged, func(n int) {
		c := call{method: "POST", path: unsafePath + fmt.Sprintf("%x", n), key: "k0notheldbyanybody00", body: fmt.Sprintf("booking %d", n)}
		_, status, _ := c.send(ctx, f.rec, "unknown", f.front[n%len(f.front)])
		unknown.add(status)
	})
	f.rec.add("%d requests with a key that no desired state ever held: %v", judged, unknown)
	if unknown.counts[200] > 0 {
		return errBroken
	}
	return nil
}
