package quarantine

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
	maxMarks = 4096
)

// retainedMark is a crash mark and the time of the crash.
type retainedMark struct {
	mark *apiv1.CrashMark
	at   time.Time
}

// MarkLog holds the crash marks of an entry host. A leader has them in memory only, so that each
// new leader gets all of them again. It is not safe for concurrent use.
type MarkLog struct {
	marks []retainedMark
	// confirmed is the number of marks that the leader of the term has received, sent the
	// number that the report in transit covers.
	confirmed, sent int
	term            uint64
}

// Record adds the mark of a crash at the time.
func (l *MarkLog) Record(m *apiv1.CrashMark, now time.Time) {
	drop := 0
	for drop < len(l.marks) && (now.Sub(l.marks[drop].at) > markRetention || len(l.marks)-drop >= maxMarks) {
		drop++
	}
	l.marks = append(l.marks[drop:], retainedMark{m, now})
	l.confirmed, l.sent = max(0, l.confirmed-drop), max(0, l.sent-drop)
}

// Report returns the marks that the leader of the term lacks.
func (l *MarkLog) Report(term uint64, now time.Time) []*apiv1.CrashMark {
	if term != l.term {
		l.term, l.confirmed = term, 0
	}
	l.sent = len(l.marks)
	var out []*apiv1.CrashMark
	for _, r := range l.marks[l.confirmed:] {
		m := proto.Clone(r.mark).(*apiv1.CrashMark)
		m.AgeMs = uint32(max(0, now.Sub(r.at)).Milliseconds())
		out = append(out, m)
	}
	return out
}

// Confirm records that the leader received the last report.
func (l *MarkLog) Confirm() { l.confirmed = max(l.confirmed, l.sent) }
