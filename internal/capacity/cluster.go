package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
	"github.com/jasminesaddle/jasminesaddle/internal/view"
)

// voter is a control host's replica with its state machine, store and Sync
// server.
type voter struct {
	*replica.Replica
	machine *state.Machine
	store   *storage.Store
	sync    *view.Server
	done    chan error
}

// voters is a log group whose replicas exchange messages in memory.
type voters struct {
	mu     sync.Mutex
	byAddr map[string]*voter
	list   []*voter
	cancel context.CancelFunc
}

// Send implements replica.Transport by stepping the addressed replica directly.
func (c *voters) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	c.mu.Lock()
	v := c.byAddr[to.GetAddress()]
	c.mu.Unlock()
	if v != nil {
		_ = v.Step(context.Background(), req)
	}
}

// startVoters starts n voters with data folders under dir and waits until one
// holds the leader lease. A tick of 0 selects the replica's default.
func startVoters(ctx context.Context, dir string, n int, opts storage.Options, tick time.Duration) (*voters, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &voters{byAddr: map[string]*voter{}, cancel: cancel}
	var members []*apiv1.Member
	for i := range n {
		members = append(members, &apiv1.Member{Host: fmt.Sprint("control-", i), Address: fmt.Sprint("control-", i), FailureDomain: domainName(i)})
	}
	for i, self := range members {
		v := &voter{machine: state.New(), done: make(chan error, 1)}
		v.sync = view.NewServer(cluster, leaderSource{v.machine})
		var err error
		if v.store, err = storage.Open(filepath.Join(dir, self.Host), opts); err != nil {
			return nil, c.abort(err)
		}
		v.Replica, err = replica.New(replica.Options{
			Cluster: cluster, Self: self, Bootstrap: members, Store: v.store, Machine: v.machine, Transport: c,
			Logger: zerolog.Nop(), Seed: uint64(i + 1), TickInterval: tick,
		})
		if err != nil {
			_ = v.store.Close()
			return nil, c.abort(err)
		}
		c.list = append(c.list, v)
	}
	c.mu.Lock()
	for i, v := range c.list {
		c.byAddr[members[i].Address] = v
	}
	c.mu.Unlock()
	for _, v := range c.list {
		go func() { v.done <- v.Run(ctx) }()
	}
	if _, err := c.leader(ctx); err != nil {
		return nil, c.abort(err)
	}
	return c, nil
}

// abort cancels the replicas, closes their stores and returns cause.
func (c *voters) abort(cause error) error {
	c.cancel()
	for _, v := range c.list {
		_ = v.store.Close()
	}
	return cause
}

// leader waits up to 20 s for a voter that holds the leader lease.
func (c *voters) leader(ctx context.Context) (*voter, error) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		for _, v := range c.list {
			if v.Lease().Held {
				return v, nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil, fault.New(fault.KindUnavailable, "no voter became leader within 20 s", "run the measurement on a less loaded machine")
}

// initialize sets the cluster's name and applies the manifest as change 1.
func (c *voters) initialize(ctx context.Context, m *apiv1.Manifest) error {
	l, err := c.leader(ctx)
	if err != nil {
		return err
	}
	if _, err := l.Propose(ctx, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: cluster}}}); err != nil {
		return err
	}
	resp, err := l.Propose(ctx, &apiv1.Command{Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: 1, Author: "a", Manifest: m},
	}})
	if err == nil {
		mustAccept(resp)
	}
	return err
}

// stop stops all voters, closes their stores and returns the first error.
func (c *voters) stop() error {
	c.cancel()
	var firstErr error
	for _, v := range c.list {
		if err := <-v.done; err != nil && firstErr == nil {
			firstErr = err
		}
		if err := v.store.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}
