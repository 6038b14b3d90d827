package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// herdObjective is the route's target_latency_ms in this case: callers leave a stream after a gap of four times that.
const herdObjective = 1500

// caseHerdTakeUp: two software versions serve side by side. The leader and the front machine that serves the streams are killed at the same
// moment, and the callers take their streams up at another front machine once all machines are in touch again.
func caseHerdTakeUp(ctx context.Context, f *fleet, trouble bool) error {
	state := desired(1, "huvo11a")
	state["routes"].([]any)[0].(map[string]any)["target_latency_ms"] = herdObjective
	o, err := f.startVersions(ctx, state)
	if err != nil {
		return err
	}
	leader, err := o.leader(ctx)
	if err != nil {
		return err
	}
	streams, broken := f.beginStreams(ctx, f.front[0], streamCount)
	if err := sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	if trouble {
		f.rec.add("the processes of %s, which leads, and of %s are killed", leader.name, f.front[0].name)
		leader.signal(syscall.SIGKILL)
	} else {
		f.rec.add("the process of %s is killed", f.front[0].name)
	}
	f.front[0].signal(syscall.SIGKILL)
	if err := sleep(ctx, restartDelay+contact+700*time.Millisecond); err != nil {
		return err
	}
	if _, err := o.leader(ctx); err != nil {
		return err
	}
	if err := f.judgeTakeUp(ctx, streams, broken); err != nil {
		return err
	}
	mixed := 0
	for _, s := range streams {
		if len(s.by) > 1 {
			mixed++
		}
	}
	f.rec.add("%d of %d streams hold events of two software versions", mixed, len(streams))
	return nil
}

// startVersions starts the deployment with two servers of each of two software versions, the second after the first.
func (f *fleet) startVersions(ctx context.Context, state map[string]any) (operator, error) {
	o := operator{f}
	add := func(i int, version string) error {
		return f.addServer(30+i, 8080, &server{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: "huvo11a", version: version, slots: 64, events: streamEvents, gap: eventGap,
			models: []modelState{{Name: "m0", Version: 1, Adapters: []string{}}},
		})
	}
	for i := range 2 {
		if err := add(i, "v1"); err != nil {
			return o, err
		}
	}
	if err := f.start(ctx); err != nil {
		return o, err
	}
	if err := o.replace(ctx, state); err != nil {
		return o, err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return o, err
	}
	if err := sleep(ctx, 2*contact); err != nil {
		return o, err
	}
	for i := range 2 {
		if err := add(2+i, "v2"); err != nil {
			return o, err
		}
	}
	f.rec.add("two servers of version v2 serve beside two of version v1")
	return o, sleep(ctx, contact)
}
