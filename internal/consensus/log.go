package consensus

import (
	"fmt"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Snapshot is the state after applying the entry at Index. Data is opaque.
type Snapshot struct {
	Index, Term uint64
	Members     *apiv1.MemberSet
	Data        []byte
}

// memberChange is a member set with the index of its log entry.
type memberChange struct {
	index uint64
	set   *apiv1.MemberSet
}

// entryLog holds the latest snapshot and the entries in memory.
type entryLog struct {
	snapshot *Snapshot
	// offset and offsetTerm are the index and term of the entry before entries[0].
	// offset is at most the snapshot's index: compaction retains some older
	// entries, so that a follower that lags slightly needs no snapshot.
	offset, offsetTerm      uint64
	entries                 []*apiv1.LogEntry
	stable, commit, applied uint64
	// members contains the member set at the snapshot and all later ones.
	members []memberChange
}

// newLog builds the log from the saved state. When the first entry is at or
// before the snapshot's index, it only gives the offset.
func newLog(snapshot *Snapshot, entries []*apiv1.LogEntry) (*entryLog, error) {
	if snapshot == nil {
		snapshot = &Snapshot{Members: &apiv1.MemberSet{}}
	}
	l := &entryLog{snapshot: snapshot, offset: snapshot.Index, offsetTerm: snapshot.Term}
	l.members = []memberChange{{index: snapshot.Index, set: snapshot.Members}}
	if len(entries) > 0 && entries[0].GetIndex() <= snapshot.Index {
		l.offset, l.offsetTerm = entries[0].GetIndex(), entries[0].GetTerm()
		entries = entries[1:]
	}
	for i, e := range entries {
		if want := l.offset + uint64(i) + 1; e.GetIndex() != want {
			return nil, fmt.Errorf("entry %d found where %d was expected", e.GetIndex(), want)
		}
	}
	if last := l.offset + uint64(len(entries)); last < snapshot.Index {
		return nil, fmt.Errorf("last entry %d is before the snapshot at %d", last, snapshot.Index)
	}
	l.entries = entries
	for _, e := range entries {
		if e.GetIndex() > snapshot.Index {
			if err := l.recordMembers(e); err != nil {
				return nil, err
			}
		}
	}
	l.commit, l.applied, l.stable = snapshot.Index, snapshot.Index, l.last()
	return l, nil
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at the index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index > l.offset && index <= l.last():
		return l.entries[index-l.offset-1].GetTerm(), true
	}
	return 0, false
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries in (after, upTo], limited to about maxBytes of data
// but at least one entry.
func (l *entryLog) slice(after, upTo uint64, maxBytes int) []*apiv1.LogEntry {
	after = max(after, l.offset)
	if upTo <= after {
		return nil
	}
	part := l.entries[after-l.offset : upTo-l.offset]
	size := 0
	for i, e := range part {
		size += len(e.GetData()) + 32
		if i > 0 && size > maxBytes {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...*apiv1.LogEntry) error {
	for _, e := range entries {
		if err := l.recordMembers(e); err != nil {
			return err
		}
	}
	l.entries = append(l.entries, entries...)
	return nil
}

// merge appends the entries that the log lacks and drops existing ones that
// conflict with them.
func (l *entryLog) merge(entries []*apiv1.LogEntry) error {
	for i, e := range entries {
		if l.matches(e.GetIndex(), e.GetTerm()) || e.GetIndex() <= l.commit {
			continue
		}
		if e.GetIndex() <= l.last() {
			l.truncate(e.GetIndex() - 1)
		}
		return l.append(entries[i:]...)
	}
	return nil
}

// truncate drops the entries after the index.
func (l *entryLog) truncate(index uint64) {
	// The full slice expression makes the next append copy, because messages
	// sent before may still refer to the dropped entries.
	keep := index - l.offset
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index)
	for len(l.members) > 1 && l.members[len(l.members)-1].index > index {
		l.members = l.members[:len(l.members)-1]
	}
}

// recordMembers adds the member set of a membership entry to members.
func (l *entryLog) recordMembers(e *apiv1.LogEntry) error {
	if e.GetType() != apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS {
		return nil
	}
	set, err := decodeMembers(e.GetData())
	if err != nil {
		return fmt.Errorf("member set at entry %d: %w", e.GetIndex(), err)
	}
	l.members = append(l.members, memberChange{index: e.GetIndex(), set: set})
	return nil
}

// current returns the member set in effect: the last one appended.
func (l *entryLog) current() memberChange { return l.members[len(l.members)-1] }

// membersAt returns the member set in effect at the index.
func (l *entryLog) membersAt(index uint64) *apiv1.MemberSet {
	set := l.members[0].set
	for _, c := range l.members {
		if c.index <= index {
			set = c.set
		}
	}
	return set
}

// compact replaces the snapshot by a newer one of this node's state and drops
// the entries up to keepFrom, which becomes the offset.
func (l *entryLog) compact(s *Snapshot, keepFrom uint64) {
	if keepFrom > l.offset {
		t, _ := l.term(keepFrom)
		// Copying lets the dropped entries be freed.
		l.entries = append([]*apiv1.LogEntry(nil), l.entries[keepFrom-l.offset:]...)
		l.offset, l.offsetTerm = keepFrom, t
	}
	l.setSnapshot(s)
}

// install replaces the whole log by a snapshot from the leader.
func (l *entryLog) install(s *Snapshot) {
	l.entries = nil
	l.offset, l.offsetTerm = s.Index, s.Term
	l.members = nil
	l.setSnapshot(s)
	l.commit, l.stable = s.Index, s.Index
}

func (l *entryLog) setSnapshot(s *Snapshot) {
	members := []memberChange{{index: s.Index, set: s.Members}}
	for _, c := range l.members {
		if c.index > s.Index {
			members = append(members, c)
		}
	}
	l.members = members
	l.snapshot = s
}
