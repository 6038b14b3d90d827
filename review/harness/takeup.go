package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The streams of these cases last 14 s: 70 events, each 200 ms after the one before.
const (
	streamEvents  = 70
	eventGap      = 200 * time.Millisecond
	streamTimeout = 20 * time.Second
	streamCount   = 20
	// maxTries is how often a caller asks again after a refusal.
	maxTries = 3
)

const (
	hostName = "ficu95.example"
	path     = "/lohu930/"
	key      = "i9n73hh2b9wu3fexd9dn"
)

// desired returns a desired state with one resumable streaming route to the services.
func desired(version int, split ...any) map[string]any {
	route := map[string]any{
		"name": "r-6tta828", "host": hostName, "path_prefix": path, "kind": "streaming", "timeout_ms": streamTimeout.Milliseconds(),
		"target_latency_ms": 1000, "priority": 1, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 400,
	}
	if len(split) == 1 {
		route["service"] = split[0]
	} else {
		route["traffic_split"] = split
	}
	engine := map[string]any{
		"slots": 64, "kv_capacity": 253369, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 5,
		"max_count": 12, "host_mb": 150000.0, "disk_mb": 430000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
		"models":   []any{map[string]any{"name": "m0", "model_mb": 72700.0, "load_s": 2.1, "adapters": 3000, "adapter_mb": 66.0, "warm_s": 0.63, "disk_s": 0.84}},
		"model_mb": 75400.0, "adapter_slots": 18, "loads_per_s": 3.1,
	}
	var services []any
	for _, name := range []string{"huvo11a", "wuno96b"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": engine})
	}
	return map[string]any{
		"version": version, "routes": []any{route}, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []any{key}, "priority": 1}},
	}
}

func weighted(service string, weight int) map[string]any {
	return map[string]any{"service": service, "weight": weight}
}

// startTakeUp starts the deployment with two servers of each of two services, all of one software version.
func startTakeUp(ctx context.Context, f *fleet, first map[string]any) (operator, error) {
	o := operator{f}
	for i, service := range []string{"huvo11a", "huvo11a", "wuno96b", "wuno96b"} {
		s := &server{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: service, version: "v1", slots: 64, events: streamEvents, gap: eventGap,
			models: []modelState{{Name: "m0", Version: 1, Adapters: []string{}}},
		}
		if err := f.addServer(30+i, 8080, s); err != nil {
			return o, err
		}
	}
	if err := f.start(ctx); err != nil {
		return o, err
	}
	if err := o.replace(ctx, first); err != nil {
		return o, err
	}
	if err := f.awaitReady(ctx, f.front...); err != nil {
		return o, err
	}
	f.rec.add("all machines are ready; wait until they are in touch")
	return o, sleep(ctx, 2*contact)
}

// caseSplitTakeUp: the desired state splits a route while streams run, and the callers of the streams take them up at another
// front machine after theirs was killed.
func caseSplitTakeUp(ctx context.Context, f *fleet, trouble bool) error {
	o, err := startTakeUp(ctx, f, desired(1, "huvo11a"))
	if err != nil {
		return err
	}
	streams, broken := f.beginStreams(ctx, f.front[0], streamCount)
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if trouble {
		if err := o.replace(ctx, desired(7, weighted("huvo11a", 90), weighted("wuno96b", 10))); err != nil {
			return err
		}
	}
	if err := sleep(ctx, configIn+500*time.Millisecond); err != nil {
		return err
	}
	return f.takeUp(ctx, streams, broken)
}

// caseLeaderTakeUp: the process of the leading core machine is killed while streams of a split route run, and later the callers
// take them up at another front machine after theirs was killed.
func caseLeaderTakeUp(ctx context.Context, f *fleet, trouble bool) error {
	o, err := startTakeUp(ctx, f, desired(1, weighted("huvo11a", 90), weighted("wuno96b", 10)))
	if err != nil {
		return err
	}
	leader, err := o.leader(ctx)
	if err != nil {
		return err
	}
	f.rec.add("%s leads", leader.name)
	streams, broken := f.beginStreams(ctx, f.front[0], streamCount)
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if trouble {
		f.rec.add("disruption: the process of %s is killed", leader.name)
		leader.signal(syscall.SIGKILL)
	}
	// The core is stable contact_ms after the process was started again.
	if err := sleep(ctx, restartDelay+2*contact); err != nil {
		return err
	}
	next, err := o.leader(ctx)
	if err != nil {
		return err
	}
	f.rec.add("%s leads", next.name)
	return f.takeUp(ctx, streams, broken)
}

// beginStreams has callers begin streams at a machine. The channel is closed when all of them have ended or were broken off.
func (f *fleet) beginStreams(ctx context.Context, m *machine, n int) ([]*stream, chan struct{}) {
	streams := make([]*stream, n)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range streams {
		streams[i] = &stream{
			name: fmt.Sprintf("c%d", i+1), host: hostName, path: path + "2f", key: key, deadline: time.Now().Add(streamTimeout), total: streamEvents,
			part: fmt.Sprintf("%08x", 0x5c1e0000+i),
		}
		wg.Go(func() { _, _, _ = streams[i].try(ctx, f.rec, m) })
	}
	go func() {
		wg.Wait()
		close(done)
	}()
	f.rec.add("%d callers begin streams at %s", n, m.name)
	return streams, done
}

// takeUp kills the machine that serves the streams. Their callers take them up at another one at once.
func (f *fleet) takeUp(ctx context.Context, streams []*stream, broken chan struct{}) error {
	f.rec.add("the process of %s is killed; the callers of its streams take these up at %s", f.front[0].name, f.front[1].name)
	f.front[0].signal(syscall.SIGKILL)
	return f.judgeTakeUp(ctx, streams, broken)
}

// judgeTakeUp has the callers of streams that were broken off take these up at the second front machine, where as many others begin new
// streams.
func (f *fleet) judgeTakeUp(ctx context.Context, streams []*stream, broken chan struct{}) error {
	select {
	case <-broken:
	case <-ctx.Done():
		return ctx.Err()
	}
	took := 0
	for _, s := range streams {
		if s.last == 0 || s.last >= s.total {
			return fmt.Errorf("stream %s is at event %d when its machine is killed", s.name, s.last)
		}
		took++
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	wentOn, complete, began := 0, 0, 0
	statuses := map[int]int{}
	for _, s := range streams {
		wg.Go(func() {
			before := s.last
			done := f.persist(ctx, s, f.front[1], func(status int) {
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
			mu.Lock()
			defer mu.Unlock()
			if s.last > before {
				wentOn++
			}
			if done {
				complete++
			}
		})
	}
	for i := range streamCount {
		wg.Go(func() {
			s := &stream{
				name: fmt.Sprintf("n%d", i+1), host: hostName, path: path + "2f", key: key, deadline: time.Now().Add(4 * time.Second), total: streamEvents,
				part: fmt.Sprintf("%08x", 0x5c1e0000+i),
			}
			_ = f.persist(ctx, s, f.front[1], func(int) {})
			mu.Lock()
			defer mu.Unlock()
			if s.last > 0 {
				began++
			}
		})
	}
	wg.Wait()
	for _, s := range streams {
		f.rec.add("stream %s: %d of %d events, by %v %s", s.name, s.last, s.total, s.by, s.wrong)
	}
	f.rec.add("of %d streams that were taken up %d went on (%d to their end); of %d new streams %d began; answers to the tries to take up, by status: %v",
		took, wentOn, complete, streamCount, began, statuses)
	if took < 12 || began == 0 {
		return fmt.Errorf("too few streams to judge: %d taken up, %d begun", took, began)
	}
	if float64(wentOn)/float64(took) < 0.5*float64(began)/streamCount {
		return errBroken
	}
	return nil
}

// persist sends a request until it is served or the caller gives up: it waits as long as it is told, up to a third of the time that
// it has left.
func (f *fleet) persist(ctx context.Context, s *stream, m *machine, answered func(status int)) bool {
	for range maxTries {
		status, wait, complete := s.try(ctx, f.rec, m)
		answered(status)
		if complete || status == 200 || time.Until(s.deadline) < 100*time.Millisecond {
			return complete
		}
		if sleep(ctx, min(max(wait, 100*time.Millisecond), time.Until(s.deadline)/3)) != nil {
			return false
		}
	}
	return false
}

// caseTenantTakeUp: two software versions of a service serve side by side. The desired state gives a key to a tenant of another name
// while streams of the key's callers run, which take them up at another front machine after theirs was killed.
func caseTenantTakeUp(ctx context.Context, f *fleet, trouble bool) error {
	o, err := f.startVersions(ctx, desired(1, "huvo11a"))
	if err != nil {
		return err
	}
	streams, broken := f.beginStreams(ctx, f.front[0], streamCount)
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if trouble {
		next := desired(7, "huvo11a")
		next["tenants"] = []any{map[string]any{"name": "hule931", "api_keys": []any{key}, "priority": 1}}
		f.rec.add("the next version moves the key from tenant hule930 to tenant hule931")
		if err := o.replace(ctx, next); err != nil {
			return err
		}
	}
	if err := sleep(ctx, configIn+500*time.Millisecond); err != nil {
		return err
	}
	if err := f.takeUp(ctx, streams, broken); err != nil && !errors.Is(err, errBroken) {
		return err
	}
	mixed := 0
	for _, s := range streams {
		if len(s.by) > 1 {
			mixed++
		}
	}
	f.rec.add("%d of %d streams hold events of two software versions", mixed, len(streams))
	if mixed > 2 {
		return errBroken
	}
	return nil
}
