package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// GroupStatus describes the waiting items of one group in all classes.
type GroupStatus struct {
	Group   string
	Waiting int
	// Oldest is when the oldest item was enqueued.
	Oldest time.Time
	// Team is the team with the most items of the group in one class.
	Team string

	teamItems int // number of Team's items
}

// Groups returns the groups with waiting items, sorted by name.
func (q *Queue[T]) Groups() []GroupStatus {
	byName := map[string]*GroupStatus{}
	for i := range q.classes {
		for _, t := range q.classes[i].order {
			for _, g := range t.order {
				s := byName[g.name]
				if s == nil {
					s = &GroupStatus{Group: g.name, Oldest: g.head.item.Enqueued}
					byName[g.name] = s
				}
				s.add(g.count, t.name, g.head.item.Enqueued)
			}
		}
	}
	out := make([]GroupStatus, 0, len(byName))
	for _, s := range byName {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

func (s *GroupStatus) add(count int, team string, oldest time.Time) {
	s.Waiting += count
	if oldest.Before(s.Oldest) {
		s.Oldest = oldest
	}
	if count > s.teamItems || count == s.teamItems && team < s.Team {
		s.teamItems, s.Team = count, team
	}
}
