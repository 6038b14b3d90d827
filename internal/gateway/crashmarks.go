package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// markRetention is how long a host retains its crash marks for a leader that does not have
	// them.
	markRetention = 10 * time.Minute
	// maxMarks limits the retained crash marks. A crash adds one for each request in flight.
	maxMarks = 1024
)

// retainedMark is a crash mark and the time of the crash.
type retainedMark struct {
	mark *apiv1.CrashMark
	at   time.Time
}

// crashMarks holds the crash marks of this host. A leader has them in memory only, so that each
// new leader gets all of them again. It is not safe for concurrent use.
type crashMarks struct {
	marks []retainedMark
	// confirmed is the number of marks that the leader of the term has received, sent the
	// number that the report in transit covers.
	confirmed, sent int
	term            uint64
}

func (c *crashMarks) record(m *apiv1.CrashMark, now time.Time) {
	drop := 0
	for drop < len(c.marks) && (now.Sub(c.marks[drop].at) > markRetention || len(c.marks)-drop >= maxMarks) {
		drop++
	}
	c.marks = append(c.marks[drop:], retainedMark{m, now})
	c.confirmed, c.sent = max(0, c.confirmed-drop), max(0, c.sent-drop)
}

// report returns the marks that the leader of the term lacks.
func (c *crashMarks) report(term uint64, now time.Time) []*apiv1.CrashMark {
	if term != c.term {
		c.term, c.confirmed = term, 0
	}
	c.sent = len(c.marks)
	var out []*apiv1.CrashMark
	for _, r := range c.marks[c.confirmed:] {
		m := proto.Clone(r.mark).(*apiv1.CrashMark)
		m.AgeMs = uint32(max(0, now.Sub(r.at)).Milliseconds())
		out = append(out, m)
	}
	return out
}

// confirm records that the leader received the last report.
func (c *crashMarks) confirm() { c.confirmed = max(c.confirmed, c.sent) }
