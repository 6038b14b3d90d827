package view

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// recentChanges holds the last changes for hosts that sync from this one. Their
// numbers are contiguous and end at the view's revision.
type recentChanges struct {
	changes []*apiv1.Change
	bytes   int
}

// add appends the changes after the revision, and drops the oldest ones beyond
// the limits.
func (r *recentChanges) add(changes []*apiv1.Change, revision uint64) {
	for _, c := range changes {
		if c.GetNumber() <= revision {
			continue
		}
		r.changes = append(r.changes, c)
		r.bytes += proto.Size(c)
	}
	for len(r.changes) > maxRecentChanges || r.bytes > maxRecentBytes {
		r.bytes -= proto.Size(r.changes[0])
		r.changes[0] = nil
		r.changes = r.changes[1:]
	}
}

// since returns the changes after the revision up to last, or false when they
// are not all stored.
func (r *recentChanges) since(revision, last uint64) ([]*apiv1.Change, bool) {
	if revision > last || len(r.changes) == 0 || revision+1 < r.changes[0].GetNumber() {
		return nil, false
	}
	return slices.Clone(r.changes[revision+1-r.changes[0].GetNumber():]), true
}
