package origin

import (
	"sync"
	"time"
)

// maxLogged limits the records of one entry host. A stream without one cannot be taken up after a
// change of the leader while its service has several builds.
const maxLogged = 50_000

// Log holds the records of the streams that this host has begun, for a leader that lacks them. It is
// safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records map[Key]Record
	// added are the records since the last call of Added.
	added []Record
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{records: map[Key]Record{}} }

// Put records a stream. It returns the record of another request with the same key and another
// origin, if there is one.
func (l *Log) Put(r Record, now time.Time) (other Record, conflict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.records[r.Key]
	if !ok && len(l.records) >= maxLogged {
		return Record{}, false
	}
	l.records[r.Key] = r
	if len(l.added) < maxLogged {
		l.added = append(l.added, r)
	}
	return old, ok && old.Caller.Credential == r.Caller.Credential && old.Request != r.Request && old.Origin != r.Origin && old.Until.After(now)
}

// Added returns the records that were put since its last call.
func (l *Log) Added() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := l.added
	l.added = nil
	return added
}

// All returns the records that are still needed.
func (l *Log) All(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		if r.Until.After(now) {
			out = append(out, r)
		}
	}
	return out
}

// Prune drops the records that are no longer needed.
func (l *Log) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.records {
		if !r.Until.After(now) {
			delete(l.records, key)
		}
	}
}
