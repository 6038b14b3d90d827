package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
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

	mu   sync.Mutex
	up   map[string]*host
	cuts map[string]bool
}

type host struct {
	*Replica
	machine *journal
	store   *storage.Store
	cancel  context.CancelFunc
	done    chan error
}

func newFleet(t testing.TB, edit func(*Options)) *fleet {
	return &fleet{t: t, dirs: map[string]string{}, up: map[string]*host{}, cuts: map[string]bool{}, edit: edit}
}

// Send delivers a request unless either end is cut off. It implements Transport
// for all hosts; the sender is known by its disk identity.
func (f *fleet) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.up[to.GetAddress()]
	if target == nil || f.cuts[to.GetAddress()] {
		return
	}
	for name, h := range f.up {
		if h.id.DiskID == req.GetFromDiskId() && f.cuts[name] {
			return
		}
	}
	_ = target.Step(context.Background(), req)
}

func (f *fleet) start(name string, first ...string) *host {
	f.t.Helper()
	if f.dirs[name] == "" {
		f.dirs[name] = f.t.TempDir()
	}
	store, err := storage.Open(f.dirs[name], storage.Options{})
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

func (f *fleet) stopAll() {
	for _, name := range slicesOfKeys(f.up) {
		f.stop(name)
	}
}

func slicesOfKeys(m map[string]*host) []string {
	var names []string
	for name := range maps.Keys(m) {
		names = append(names, name)
	}
	return names
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
		f := newFleet(t, nil)
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
