package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
	"github.com/jasminesaddle/jasminesaddle/internal/view"
)

// ChangeLatency holds the latencies of changes with a number of voters and
// subscribers.
type ChangeLatency struct {
	Voters, Subscribers, Changes int
	// Ack is the time from the proposal to its acknowledgement, Everywhere that from
	// the proposal until the last subscriber has applied the change.
	AckMedian, AckMax, EverywhereMedian, EverywhereMax time.Duration
	// SyncsPerSecond and BytesPerSecond are the traffic of one subscriber, counting
	// message bytes only, with a change every 1.6 s, the mean interval of 54,000
	// changes a day. They are 0 if not measured.
	SyncsPerSecond, BytesPerSecond float64
}

// countingSource counts the Syncs of subscribers and their message bytes.
type countingSource struct {
	server       *view.Server
	syncs, bytes *atomic.Int64
}

func (s countingSource) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	resp, err := s.server.Sync(ctx, req)
	s.syncs.Add(1)
	s.bytes.Add(int64(proto.Size(req) + proto.Size(resp)))
	return resp, err
}

// subscribers is a set of entry hosts' views in this process.
type subscribers struct {
	views        []*view.View
	syncs, bytes atomic.Int64
	wg           sync.WaitGroup
}

// startSubscribers starts n views. The order of their sources is rotated, so that
// the load is spread over the voters.
func startSubscribers(ctx context.Context, c *voters, n int) *subscribers {
	s := &subscribers{}
	for i := range n {
		var sources []view.Source
		for k := range c.list {
			sources = append(sources, countingSource{c.list[(i+k)%len(c.list)].sync, &s.syncs, &s.bytes})
		}
		v := view.New(view.Options{Cluster: cluster, Host: hostName(i), Sources: sources, Logger: zerolog.Nop()})
		s.views = append(s.views, v)
		s.wg.Go(func() { _ = v.Run(ctx) })
	}
	return s
}

// waitRevision waits up to 20 s until all subscribers have applied the revision.
func (s *subscribers) waitRevision(ctx context.Context, revision uint64) error {
	deadline := time.NewTimer(20 * time.Second)
	defer deadline.Stop()
	for _, v := range s.views {
		for {
			changed := v.Changed()
			if v.Config().Revision >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			case <-deadline.C:
				return fault.Newf(fault.KindUnavailable, "run the measurement on a less loaded machine",
					"not all subscribers applied revision %d within 20 s", revision)
			}
		}
	}
	return nil
}

// measureChangeLatency measures the latency of changes with synced files and the
// actual protocol. Voters and subscribers share one process without a network, so
// that network delays between hosts are not included.
func (b *bench) measureChangeLatency() error {
	subscribers, changes := []int{9, 200}, 20
	if b.quick {
		subscribers, changes = []int{3, 9}, 3
	}
	for _, n := range []int{3, 5} {
		for _, subs := range subscribers {
			latency, err := b.changeLatency(n, subs, changes)
			if err != nil {
				return err
			}
			b.report.ChangeLatencies = append(b.report.ChangeLatencies, latency)
		}
	}
	return nil
}

func (b *bench) changeLatency(n, subs, changes int) (ChangeLatency, error) {
	const adapters = 3000
	out := ChangeLatency{Voters: n, Subscribers: subs, Changes: changes}
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	c, err := startVoters(ctx, filepath.Join(b.dir, fmt.Sprintf("inforce-%d-%d", n, subs)), n, storage.Options{}, b.tickInterval())
	if err != nil {
		return out, err
	}
	if err := c.initialize(ctx, manifest(adapters, 0, 4, 1)); err != nil {
		return out, err
	}
	views := startSubscribers(ctx, c, subs)
	if err := views.waitRevision(ctx, 1); err != nil {
		return out, err
	}
	var ackTimes, everywhereTimes []time.Duration
	for range changes {
		ack, everywhere, err := proposeChange(ctx, c, views, adapters)
		if err != nil {
			return out, err
		}
		ackTimes, everywhereTimes = append(ackTimes, ack), append(everywhereTimes, everywhere)
		time.Sleep(20 * time.Millisecond)
	}
	out.AckMedian, out.AckMax = median(ackTimes), slices.Max(ackTimes)
	out.EverywhereMedian, out.EverywhereMax = median(everywhereTimes), slices.Max(everywhereTimes)
	if n == 5 && subs >= 100 {
		err = measureSteadyRate(ctx, c, views, adapters, &out)
	}
	cancel()
	views.wg.Wait()
	if stopErr := c.stop(); err == nil {
		err = stopErr
	}
	return out, err
}

// proposeChange proposes the next change and waits until all subscribers have
// applied it.
func proposeChange(ctx context.Context, c *voters, s *subscribers, adapters int) (ack, everywhere time.Duration, err error) {
	l, err := c.leader(ctx)
	if err != nil {
		return 0, 0, err
	}
	number := l.machine.Config().Revision + 1
	start := time.Now()
	resp, err := l.Propose(ctx, changeCommand(number, adapters, 4))
	if err != nil {
		return 0, 0, err
	}
	mustAccept(resp)
	ack = time.Since(start)
	err = s.waitRevision(ctx, number)
	return ack, time.Since(start), err
}

// measureSteadyRate counts messages while changes are proposed at the target's
// mean rate.
func measureSteadyRate(ctx context.Context, c *voters, s *subscribers, adapters int, out *ChangeLatency) error {
	const (
		count    = 5
		interval = 1600 * time.Millisecond
	)
	syncs, bytes, start := s.syncs.Load(), s.bytes.Load(), time.Now()
	for range count {
		changeStart := time.Now()
		if _, _, err := proposeChange(ctx, c, s, adapters); err != nil {
			return err
		}
		time.Sleep(interval - time.Since(changeStart))
	}
	seconds := time.Since(start).Seconds() * float64(len(s.views))
	out.SyncsPerSecond = float64(s.syncs.Load()-syncs) / seconds
	out.BytesPerSecond = float64(s.bytes.Load()-bytes) / seconds
	return nil
}

func median(d []time.Duration) time.Duration {
	d = slices.Sorted(slices.Values(d))
	return d[len(d)/2]
}
