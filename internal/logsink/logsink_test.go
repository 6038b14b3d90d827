package logsink

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// A log that nobody reads must not hold requests back, and must say what it lost.
func TestStuckOutputDropsLines(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * bufferBytes / len(line) {
		n, err := s.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Positive(t, s.Dropped())
	close(out.release)
	must.NoError(t, s.Close())
	must.StrContains(t, out.String(), "log_lines_dropped")
}

// Lines written before the end must not be lost.
func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("a\n"))
	_, _ = s.Write([]byte("b\n"))
	must.NoError(t, s.Close())
	must.Eq(t, "a\nb\n", out.String())
}
