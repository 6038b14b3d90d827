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

// journal is a state machine that keeps the names of all commands.
type journal struct {
	mu    sync.Mutex
	names []string
}

func (j *journal) Apply(index uint64, cmd *apiv1.Command) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.names = append(j.names, cmd.GetInitialize().GetCluster())
	return fmt.Sprintf("%s@%d", cmd.GetInitialize().GetCluster(), index)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.names)
}

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.names = nil
	return json.Unmarshal(data, &j.names)
}

func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.names)
}

// fleet is a set of replicas that reach each other in memory by address.
type fleet struct {
	t    testing.TB
	dirs map[string]string
	edit func(*Options)
	// maxSize bounds the data folders of hosts that are started.
	maxSize int
	// stalls holds how long each save of a host takes.
	stalls map[string]*atomic.Int64

	mu   sync.Mutex
	up   map[string]*host
	cuts map[string]bool
	// deaf hosts send but receive nothing.
	deaf map[string]bool
	// acked holds what each disk acknowledged last.
	acked map[string]acknowledged
}

type acknowledged struct{ match, saves uint64 }

type host struct {
	*Replica
	machine *journal
	store   *storage.Store
	cancel  context.CancelFunc
	done    chan error
}

func newFleet(t testing.TB, edit func(*Options)) *fleet {
	f := &fleet{t: t, dirs: map[string]string{}, up: map[string]*host{}, cuts: map[string]bool{}, acked: map[string]acknowledged{}, deaf: map[string]bool{}, stalls: map[string]*atomic.Int64{}, edit: edit}
	t.Cleanup(func() {
		// A failed test leaves hosts running, which would hide its message.
		for _, h := range f.up {
			h.cancel()
		}
	})
	return f
}

// Send delivers a request unless either end is cut off. It implements Transport
// for all hosts; the sender is known by its disk identity.
func (f *fleet) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkSaved(req)
	target := f.up[to.GetAddress()]
	if target == nil || f.cuts[to.GetAddress()] || f.deaf[to.GetAddress()] {
		return
	}
	for name, h := range f.up {
		if h.id.DiskID == req.GetFromDiskId() && f.cuts[name] {
			return
		}
	}
	_ = target.Step(context.Background(), req)
}

// checkSaved fails the test when a follower acknowledges more entries than
// before without a save in between.
func (f *fleet) checkSaved(req *apiv1.StepRequest) {
	last := f.acked[req.GetFromDiskId()]
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
		f.t.Errorf("entry %d was acknowledged without a save", now.match)
	}
	f.acked[req.GetFromDiskId()] = now
}

// ended waits until a host has stopped by itself.
func (f *fleet) ended(h *host) error {
	f.t.Helper()
	select {
	case err := <-h.done:
		return err
	case <-time.After(30 * time.Second):
		f.t.Fatal("the host runs on")
		return nil
	}
}

func (f *fleet) start(name string, first ...string) *host {
	f.t.Helper()
	if f.dirs[name] == "" {
		f.dirs[name] = f.t.TempDir()
	}
	if f.stalls[name] == nil {
		f.stalls[name] = &atomic.Int64{}
	}
	stall := f.stalls[name]
	store, err := storage.Open(f.dirs[name], storage.Options{
		MaxSize: f.maxSize, BeforeSave: func() { time.Sleep(time.Duration(stall.Load())) },
	})
	must.NoError(f.t, err)
	var list []*apiv1.Member
	for _, n := range first {
		list = append(list, &apiv1.Member{Host: n, Address: n})
	}
	h := &host{machine: &journal{}, store: store, done: make(chan error, 1)}
	opts := Options{
		Cluster: "test", Self: &apiv1.Member{Host: name, Address: name}, Bootstrap: list, Seed: uint64(len(f.dirs)),
		Store: store, Machine: h.machine, Transport: f, Logger: zerolog.Nop(),
	}
	if f.edit != nil {
		f.edit(&opts)
	}
	h.Replica, err = New(opts)
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	f.mu.Lock()
	f.up[name] = h
	f.mu.Unlock()
	go func() { h.done <- h.Run(ctx) }()
	return h
}

func (f *fleet) stop(name string) {
	f.mu.Lock()
	h := f.up[name]
	delete(f.up, name)
	f.mu.Unlock()
	h.cancel()
	must.NoError(f.t, <-h.done)
	must.NoError(f.t, h.store.Close())
}

// cut takes a host off the network or puts it back.
func (f *fleet) cut(name string, off bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[name] = off
}

func (f *fleet) setDeaf(name string, deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[name] = deaf
}

func (f *fleet) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(f.up)) {
		f.stop(name)
	}
}

// await waits in fake time until the condition holds.
func (f *fleet) await(what string, yes func() bool) {
	f.t.Helper()
	for range 600 {
		if yes() {
			return
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
	}
	f.t.Fatalf("30 s passed without: %s", what)
}

func (f *fleet) leader() *host {
	f.t.Helper()
	var leader *host
	f.await("a leader with a lease", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for name, h := range f.up {
			if h.Lease().Held && !f.cuts[name] {
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

func (f *fleet) propose(h *host, name string) any {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := h.Propose(ctx, command(name))
	must.NoError(f.t, err)
	return got
}

// Losing committed commands or the member set at a restart would lose accepted
// changes.
func TestCommandsSurviveRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, func(o *Options) { o.SnapshotEntries = 150 })
		names := []string{"a", "b", "c"}
		for _, n := range names {
			f.start(n, names...)
		}
		l := f.leader()
		for i := range 500 {
			must.Eq(t, any(fmt.Sprintf("c%d@%d", i, i+3)), f.propose(l, fmt.Sprintf("c%d", i)))
		}
		for _, h := range f.up {
			if h != l {
				_, err := h.Propose(context.Background(), command("x"))
				must.True(t, fault.Is(err, fault.KindNotLeader))
			}
		}
		f.stopAll()
		for _, n := range names {
			f.start(n, names...)
		}
		f.propose(f.leader(), "last")
		f.await("all commands everywhere", func() bool {
			for _, h := range f.up {
				if h.machine.count() != 501 {
					return false
				}
			}
			return true
		})
		must.Eq(t, consensus.Leader, f.leader().Status().Role)
		f.stopAll()
	})
}
