package logsink

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against requests that block on a log output that nobody reads, and
// against lines that are dropped without a message in the log.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * maxPendingBytes / len(line) {
		n, err := s.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Positive(t, s.Dropped(), must.Sprint("no line was dropped"))
	close(out.release)
	must.NoError(t, s.Close())
	must.StrContains(t, out.String(), "log_lines_dropped")
}

// Guards against losing queued lines when the process ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("a\n"))
	_, _ = s.Write([]byte("b\n"))
	must.NoError(t, s.Close())
	must.Eq(t, "a\nb\n", out.String())
}
