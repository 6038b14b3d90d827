package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
	"github.com/jasminesaddle/jasminesaddle/internal/transport"
)

// A term must start after its lease was acquired. With an earlier start, tokens
// would be leased and adapters unloaded while grants and requests of the previous
// term are still in use.
func TestTermStartsAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		f.engine.resident = []*apiv1.AdapterRef{{Adapter: "gone", Version: "1"}}
		f.putEngine(t, "http://127.0.0.1:1")
		f.log.leaseDelay = 3 * time.Second
		f.log.setLease(3, true)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var ticks sync.WaitGroup
		ticks.Go(func() { _ = f.runTicks(ctx) })
		time.Sleep(tickInterval + f.log.leaseDelay + time.Second)
		synctest.Wait()
		l := f.Server.leader
		cancel()
		ticks.Wait()
		safe := start.Add(tickInterval + f.log.leaseDelay + fleet.MaxSilence)
		must.SliceEmpty(t, l.fleet.TakeUnloads(safe.Add(-time.Millisecond)))
		must.Len(t, 1, l.fleet.TakeUnloads(safe))
	})
}

// A task must not outlive its term: it would use the log after the server has
// closed it.
func TestStoppedTermHasNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		l := f.lead(t, 3)
		synctest.Wait()
		ended := false
		l.background(func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(time.Second)
			ended = true
		})
		f.dropLeader()
		l.background(func(context.Context) { t.Error("a task began after the term") })
		f.Server.background.Wait()
		must.True(t, ended)
	})
}

// During a planned stop, the leader must keep its tables until another host is
// the leader. Otherwise it would refuse reports, requests for tokens and call
// records in between.
func TestLeaderServesUntilItHasHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		var err error
		f.store, err = storage.Open(t.TempDir(), storage.Options{})
		must.NoError(t, err)
		f.transport = transport.New(nil, f.Server.logger)
		f.log.setLease(3, true)
		served := false
		f.log.onTransfer = func() {
			time.Sleep(time.Second)
			_, err := fleetHandler{f.Server}.Report(t.Context(), &apiv1.ReportRequest{Cluster: "c", Host: "h"})
			served = err == nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		must.NoError(t, <-done)
		must.True(t, served)
		must.Nil(t, f.Server.leader)
	})
}
