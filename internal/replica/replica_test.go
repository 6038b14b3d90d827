package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// recordingMachine is a state machine that records the names of all commands.
type recordingMachine struct {
	mu    sync.Mutex
	names []string
}

func (j *recordingMachine) Apply(index uint64, cmd *apiv1.Command) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.names = append(j.names, cmd.GetInitialize().GetCluster())
	return fmt.Sprintf("%s@%d", cmd.GetInitialize().GetCluster(), index)
}

func (j *recordingMachine) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.names)
}

func (j *recordingMachine) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.names = nil
	return json.Unmarshal(data, &j.names)
}

func (j *recordingMachine) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.names)
}

// testCluster is a set of replicas that exchange messages in memory by address.
type testCluster struct {
	t         testing.TB
	dirs      map[string]string
	configure func(*Options)
	// maxSize limits the data folders of the hosts that are started.
	maxSize int
	// stalls holds the duration of each save, by host.
	stalls map[string]*atomic.Int64

	mu       sync.Mutex
	running  map[string]*host
	isolated map[string]bool
	// inboundBlocked holds the hosts that send but receive nothing.
	inboundBlocked map[string]bool
	// acked holds the last acknowledgement of each disk.
	acked map[string]acknowledged
}

type acknowledged struct{ match, saves uint64 }

type host struct {
	*Replica
	machine *recordingMachine
	store   *storage.Store
	cancel  context.CancelFunc
	done    chan error
}

func newTestCluster(t testing.TB, edit func(*Options)) *testCluster {
	c := &testCluster{t: t, dirs: map[string]string{}, running: map[string]*host{}, isolated: map[string]bool{}, acked: map[string]acknowledged{}, inboundBlocked: map[string]bool{}, stalls: map[string]*atomic.Int64{}, configure: edit}
	t.Cleanup(func() {
		// Hosts left running by a failed test would hide its failure message.
		for _, h := range c.running {
			h.cancel()
		}
	})
	return c
}

// Send delivers a request unless either host is isolated. It implements Transport
// for all hosts; the sender is identified by its disk identity.
func (c *testCluster) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSaved(req)
	target := c.running[to.GetAddress()]
	if target == nil || c.isolated[to.GetAddress()] || c.inboundBlocked[to.GetAddress()] {
		return
	}
	for name, h := range c.running {
		if h.id.DiskID == req.GetFromDiskId() && c.isolated[name] {
			return
		}
	}
	_ = target.Step(context.Background(), req)
}

// checkSaved fails the test if a follower acknowledges more entries than before
// without a save in between.
func (c *testCluster) checkSaved(req *apiv1.StepRequest) {
	last := c.acked[req.GetFromDiskId()]
	now := acknowledged{match: last.match, saves: req.GetSaves()}
	for _, m := range req.GetMessages() {
		if m.GetType() == apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE && !m.GetReject() {
			now.match = max(now.match, m.GetLogIndex())
		}
	}
	if now.match == last.match {
		return
	}
	if last.match > 0 && now.saves == last.saves {
		c.t.Errorf("entry %d was acknowledged without a save", now.match)
	}
	c.acked[req.GetFromDiskId()] = now
}

// awaitStopped waits until Run of a host has returned by itself.
func (c *testCluster) awaitStopped(h *host) error {
	c.t.Helper()
	select {
	case err := <-h.done:
		return err
	case <-time.After(30 * time.Second):
		c.t.Fatal("the host is still running after 30 s")
		return nil
	}
}

func (c *testCluster) start(name string, first ...string) *host {
	c.t.Helper()
	if c.dirs[name] == "" {
		c.dirs[name] = c.t.TempDir()
	}
	if c.stalls[name] == nil {
		c.stalls[name] = &atomic.Int64{}
	}
	stall := c.stalls[name]
	store, err := storage.Open(c.dirs[name], storage.Options{
		MaxSize: c.maxSize, BeforeSave: func() { time.Sleep(time.Duration(stall.Load())) },
	})
	must.NoError(c.t, err)
	var list []*apiv1.Member
	for _, n := range first {
		list = append(list, &apiv1.Member{Host: n, Address: n})
	}
	h := &host{machine: &recordingMachine{}, store: store, done: make(chan error, 1)}
	opts := Options{
		Cluster: "test", Self: &apiv1.Member{Host: name, Address: name}, Bootstrap: list, Seed: uint64(len(c.dirs)),
		Store: store, Machine: h.machine, Transport: c, Logger: zerolog.Nop(),
	}
	if c.configure != nil {
		c.configure(&opts)
	}
	h.Replica, err = New(opts)
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.mu.Lock()
	c.running[name] = h
	c.mu.Unlock()
	go func() { h.done <- h.Run(ctx) }()
	return h
}

func (c *testCluster) stop(name string) {
	c.mu.Lock()
	h := c.running[name]
	delete(c.running, name)
	c.mu.Unlock()
	h.cancel()
	must.NoError(c.t, <-h.done)
	must.NoError(c.t, h.store.Close())
}

// isolate disconnects a host from the network or reconnects it.
func (c *testCluster) isolate(name string, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = off
}

func (c *testCluster) blockInbound(name string, deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inboundBlocked[name] = deaf
}

func (c *testCluster) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(c.running)) {
		c.stop(name)
	}
}

// await waits in fake time until the condition is true.
func (c *testCluster) await(what string, yes func() bool) {
	c.t.Helper()
	for range 600 {
		if yes() {
			return
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
	}
	c.t.Fatalf("not reached within 30 s: %s", what)
}

func (c *testCluster) leader() *host {
	c.t.Helper()
	var leader *host
	c.await("a leader with a lease", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for name, h := range c.running {
			if h.Lease().Held && !c.isolated[name] {
				leader = h
				return true
			}
		}
		return false
	})
	return leader
}

func command(name string) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: name}}}
}

func (c *testCluster) propose(h *host, name string) any {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := h.Propose(ctx, command(name))
	must.NoError(c.t, err)
	return got
}

// A restart of all hosts must lose neither committed commands nor the member set,
// because accepted changes would be lost with them.
func TestCommandsSurviveRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, func(o *Options) { o.SnapshotEntries = 150 })
		names := []string{"a", "b", "c"}
		for _, n := range names {
			c.start(n, names...)
		}
		l := c.leader()
		for i := range 500 {
			must.Eq(t, any(fmt.Sprintf("c%d@%d", i, i+3)), c.propose(l, fmt.Sprintf("c%d", i)))
		}
		for _, h := range c.running {
			if h != l {
				_, err := h.Propose(context.Background(), command("x"))
				must.True(t, fault.Is(err, fault.KindNotLeader))
			}
		}
		c.stopAll()
		for _, n := range names {
			c.start(n, names...)
		}
		c.propose(c.leader(), "last")
		c.await("all commands everywhere", func() bool {
			for _, h := range c.running {
				if h.machine.count() != 501 {
					return false
				}
			}
			return true
		})
		must.Eq(t, consensus.Leader, c.leader().Status().Role)
		c.stopAll()
	})
}
