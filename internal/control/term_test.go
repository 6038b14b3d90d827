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
)

// A term whose start is dated before its lease would lend and unload while
// grants and requests of the term before are still out.
func TestTermStartsAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		f.engine.resident = []*apiv1.AdapterRef{{Adapter: "gone", Version: "1"}}
		f.putEngine(t, "http://127.0.0.1:1")
		f.log.slow = 3 * time.Second
		f.log.setLease(3, true)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var systems sync.WaitGroup
		systems.Go(func() { _ = f.runSystems(ctx) })
		time.Sleep(tickInterval + f.log.slow + time.Second)
		synctest.Wait()
		l := f.Server.leader
		cancel()
		systems.Wait()
		safe := start.Add(tickInterval + f.log.slow + fleet.SilenceBound)
		must.SliceEmpty(t, l.fleet.TakeUnloads(safe.Add(-time.Millisecond)))
		must.Len(t, 1, l.fleet.TakeUnloads(safe))
	})
}

// A task that outlives its term would use the log after the server's end.
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
