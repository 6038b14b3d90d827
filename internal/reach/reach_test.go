package reach

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against a crashed server that is taken for a cut, and against a cut that is noticed late.
func TestSuspicion(t *testing.T) {
	for name, tc := range map[string]struct {
		failures []string
		gap      time.Duration
		servers  int
		want     bool
	}{
		"one server, many times":   {[]string{"a", "a", "a", "a"}, time.Millisecond, 16, false},
		"two servers":              {[]string{"a", "b"}, time.Millisecond, 16, true},
		"two servers, long apart":  {[]string{"a", "b"}, 3 * time.Second, 16, false},
		"the only server":          {[]string{"a"}, time.Millisecond, 1, true},
		"two servers, within time": {[]string{"a", "b"}, time.Second, 16, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, now, due := NewWatch(), start, false
			for _, server := range tc.failures {
				due = w.Failed(server, NotOpened, tc.servers, now)
				now = now.Add(tc.gap)
			}
			must.Eq(t, tc.want, due)
			cut, _ := w.CutOff()
			must.False(t, cut, must.Sprint("failures alone are no cut"))
		})
	}
}

// Guards against a short cut that has the host relay for long, a verdict without probes, and probes at
// every failure.
func TestVerdict(t *testing.T) {
	w := NewWatch()
	w.Failed("a", NotOpened, 16, start)
	must.True(t, w.Failed("b", NotOpened, 16, start))
	cut, changed := w.Probed(8, 1, start)
	must.False(t, cut || changed)
	must.False(t, w.Failed("c", NotOpened, 16, start.Add(retryInterval-1)), must.Sprint("probes at every failure"))
	must.True(t, w.Failed("c", NotOpened, 16, start.Add(retryInterval)))
	w.Connected()
	must.False(t, w.Failed("d", NotOpened, 16, start.Add(2*retryInterval)), must.Sprint("failures before a connection count"))
	cut, changed = w.Probed(0, 0, start)
	must.False(t, cut || changed, must.Sprint("a verdict without probes"))
	cut, changed = w.Probed(8, 0, start)
	must.True(t, cut && changed)
	must.False(t, w.Failed("a", NotOpened, 1, start.Add(time.Hour)))
	must.Eq(t, retryInterval, w.RetryIn(start))
	cut, changed = w.Probed(8, 0, start.Add(time.Second))
	must.True(t, cut && !changed)
	cut, changed = w.Probed(8, 1, start.Add(2*time.Second))
	must.True(t, !cut && changed)
}

// Guards against probes because servers break off responses while others respond.
func TestContactRefutesBrokenConnections(t *testing.T) {
	w := NewWatch()
	w.Failed("a", BrokenOff, 16, start)
	w.Contact(start.Add(time.Millisecond))
	must.False(t, w.Failed("b", BrokenOff, 16, start.Add(2*time.Millisecond)))
	must.True(t, w.Failed("c", BrokenOff, 16, start.Add(3*time.Millisecond)), must.Sprint("nothing has come since two broke off"))
	w = NewWatch()
	w.Failed("a", NotOpened, 16, start)
	w.Contact(start.Add(time.Millisecond))
	must.True(t, w.Failed("b", NotOpened, 16, start.Add(2*time.Millisecond)), must.Sprint("open connections live on while no new one can be opened"))
}
