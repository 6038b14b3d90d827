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

// InForce is how long changes took with a number of voters and subscribers.
type InForce struct {
	Voters, Subscribers, Changes int
	// Ack is from the proposal to its answer, All from the proposal until the
	// last subscriber has the change in force.
	AckMedian, AckMax, AllMedian, AllMax time.Duration
	// Calls and Bytes are of one subscriber and second, messages only, with a
	// change every 1.6 s, which is the mean of 54,000 changes a day. They are 0
	// where this was not measured.
	Calls, Bytes float64
}

// countingSource counts a subscriber's messages on their way to a server.
type countingSource struct {
	server       *view.Server
	calls, bytes *atomic.Int64
}

func (s countingSource) Sync(ctx context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	resp, err := s.server.Sync(ctx, req)
	s.calls.Add(1)
	s.bytes.Add(int64(proto.Size(req) + proto.Size(resp)))
	return resp, err
}

// subscribers are views of entry hosts in this process.
type subscribers struct {
	views        []*view.View
	calls, bytes atomic.Int64
	wg           sync.WaitGroup
}

func startSubscribers(ctx context.Context, c *voters, n int) *subscribers {
	s := &subscribers{}
	for i := range n {
		var sources []view.Source
		for k := range c.list {
			sources = append(sources, countingSource{c.list[(i+k)%len(c.list)].sync, &s.calls, &s.bytes})
		}
		v := view.New(view.Options{Cluster: cluster, Host: hostName(i), Sources: sources, Logger: zerolog.Nop()})
		s.views = append(s.views, v)
		s.wg.Go(func() { _ = v.Run(ctx) })
	}
	return s
}

// await waits until all subscribers have the revision in force.
func (s *subscribers) await(ctx context.Context, revision uint64) error {
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
				return fault.Newf(fault.KindUnavailable, "run it on a machine with less load",
					"revision %d was not in force everywhere within 20 s", revision)
			}
		}
	}
	return nil
}

// measureInForce uses synced files and the real protocol. The voters and
// subscribers are in one process without a network, so that delays between
// hosts come on top.
func (b *bench) measureInForce() error {
	subscribers, changes := []int{9, 200}, 20
	if b.quick {
		subscribers, changes = []int{3, 9}, 3
	}
	for _, n := range []int{3, 5} {
		for _, subs := range subscribers {
			got, err := b.inForce(n, subs, changes)
			if err != nil {
				return err
			}
			b.report.InForce = append(b.report.InForce, got)
		}
	}
	return nil
}

func (b *bench) inForce(n, subs, changes int) (InForce, error) {
	const adapters = 3000
	out := InForce{Voters: n, Subscribers: subs, Changes: changes}
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	c, err := startVoters(ctx, filepath.Join(b.dir, fmt.Sprintf("inforce-%d-%d", n, subs)), n, storage.Options{}, b.tick())
	if err != nil {
		return out, err
	}
	if err := c.initialize(ctx, manifest(adapters, 0, 4, 1)); err != nil {
		return out, err
	}
	views := startSubscribers(ctx, c, subs)
	if err := views.await(ctx, 1); err != nil {
		return out, err
	}
	var acks, alls []time.Duration
	for range changes {
		ack, all, err := changeOnce(ctx, c, views, adapters)
		if err != nil {
			return out, err
		}
		acks, alls = append(acks, ack), append(alls, all)
		time.Sleep(20 * time.Millisecond)
	}
	out.AckMedian, out.AckMax = median(acks), slices.Max(acks)
	out.AllMedian, out.AllMax = median(alls), slices.Max(alls)
	if n == 5 && subs >= 100 {
		err = steady(ctx, c, views, adapters, &out)
	}
	cancel()
	views.wg.Wait()
	if stopErr := c.stop(); err == nil {
		err = stopErr
	}
	return out, err
}

// changeOnce proposes the next change and waits for it.
func changeOnce(ctx context.Context, c *voters, s *subscribers, adapters int) (ack, all time.Duration, err error) {
	l, err := c.leader(ctx)
	if err != nil {
		return 0, 0, err
	}
	number := l.machine.Config().Revision + 1
	start := time.Now()
	got, err := l.Propose(ctx, changeCommand(number, adapters, 4))
	if err != nil {
		return 0, 0, err
	}
	mustAccept(got)
	ack = time.Since(start)
	err = s.await(ctx, number)
	return ack, time.Since(start), err
}

// steady counts messages while changes come at the mean rate of the target.
func steady(ctx context.Context, c *voters, s *subscribers, adapters int, out *InForce) error {
	const (
		count    = 5
		interval = 1600 * time.Millisecond
	)
	calls, bytes, start := s.calls.Load(), s.bytes.Load(), time.Now()
	for range count {
		begun := time.Now()
		if _, _, err := changeOnce(ctx, c, s, adapters); err != nil {
			return err
		}
		time.Sleep(interval - time.Since(begun))
	}
	seconds := time.Since(start).Seconds() * float64(len(s.views))
	out.Calls = float64(s.calls.Load()-calls) / seconds
	out.Bytes = float64(s.bytes.Load()-bytes) / seconds
	return nil
}

func median(d []time.Duration) time.Duration {
	d = slices.Sorted(slices.Values(d))
	return d[len(d)/2]
}
