package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var load = Load{InFlight: 1, Slots: 8, Hosts: 6}

// A server that leaves must get nothing, whatever it answers later and whatever the view says, until it has started
// anew; a view that only catches up with the start that said so must not let it in.
func TestLeaving(t *testing.T) {
	var g Gate
	g.Observe("s", 5, Statement{Leaving: true, TurnedAway: true}, epoch)
	g.Observe("s", 5, Statement{Served: true}, epoch.Add(time.Second))
	g.Reached()
	must.Eq(t, Leaving, g.Check(5, load, epoch.Add(time.Hour)))
	must.Eq(t, Leaving, g.Check(0, load, epoch.Add(time.Hour)), must.Sprint("the view does not know the start"))
	must.Eq(t, Open, g.Check(6, load, epoch.Add(time.Hour)), must.Sprint("the server has restarted under its name"))
	start, leaves := g.LeavingStart()
	must.False(t, leaves, must.Sprint(start))

	g = Gate{}
	g.Observe("s", 5, Statement{Leaving: true}, epoch)
	must.Eq(t, Leaving, g.Check(7, load, epoch.Add(time.Second)), must.Sprint("the view caught up with the start that leaves"))
	must.Eq(t, Leaving, g.Check(7, load, epoch.Add(time.Hour)))
}

// A server must get nothing for the time that it asked for, however it is asked, and must not be shunned after it.
func TestQuiet(t *testing.T) {
	for name, tc := range map[string]struct {
		quiet []time.Duration
		want  time.Duration
	}{
		"none":             {[]time.Duration{0}, 0},
		"negative":         {[]time.Duration{-time.Second}, 0},
		"fraction":         {[]time.Duration{1500 * time.Millisecond}, 1500 * time.Millisecond},
		"shorter after it": {[]time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		"too long":         {[]time.Duration{1 << 62}, MaxQuiet},
	} {
		t.Run(name, func(t *testing.T) {
			var g Gate
			for _, q := range tc.quiet {
				g.Observe("s", 0, Statement{Quiet: q, TurnedAway: true}, epoch)
			}
			g.Observe("s", 0, Statement{Served: true}, epoch)
			if tc.want > 0 {
				must.Eq(t, Quiet, g.Check(0, load, epoch.Add(tc.want-time.Millisecond)))
				must.True(t, g.Silent(0, epoch.Add(tc.want-time.Millisecond)))
				must.Eq(t, time.Millisecond, g.OpenIn(6, epoch.Add(tc.want-time.Millisecond)))
			}
			must.Eq(t, Open, g.Check(0, load, epoch.Add(tc.want)))
			must.Zero(t, g.OpenIn(6, epoch.Add(tc.want)))
		})
	}
}

// The backoff of an unreachable server must end with contact, but must not end what the server said.
func TestContactEndsBackoffOnly(t *testing.T) {
	var g Gate
	g.Observe("s", 0, Statement{Quiet: time.Second}, epoch)
	for range 20 {
		g.Unreachable(epoch)
	}
	g.Reached()
	must.Eq(t, Quiet, g.Check(0, load, epoch))
	must.Eq(t, Open, g.Check(0, load, epoch.Add(time.Second)))
	for range 20 {
		g.Unreachable(epoch.Add(time.Second))
	}
	must.Eq(t, Unreachable, g.Check(0, load, epoch.Add(time.Second)))
	must.Eq(t, Open, g.Check(0, load, epoch.Add(time.Second).Add(maxBackoff)))
}
