package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func host(address, disk string) *apiv1.Member {
	return &apiv1.Member{Host: address, Address: address, DiskId: disk, FailureDomain: "z" + address}
}

func voter(address, disk string, silent time.Duration) memberView {
	m := host(address, disk)
	m.Voter = true
	return memberView{member: m, silent: silent}
}

// A lost voter that stays in the set weakens the group against the next loss; a
// voter that is removed without need, or added beside a lost one, does the same.
func TestPlanMembers(t *testing.T) {
	long := voterGone + time.Second
	leader := voter("a", "a1", 0)
	leader.self = true
	learner := memberView{member: host("f", "f1")}
	five := []memberView{leader, voter("b", "b1", 0), voter("c", "c1", 0), voter("d", "d1", 0), voter("e", "e1", 0)}
	for name, tc := range map[string]struct {
		members    []memberView
		candidates []*apiv1.Member
		add        string
		remove     string
	}{
		"complete":                       {five, []*apiv1.Member{host("b", "b1"), host("f", "f1")}, "", ""},
		"three seeds take in a fourth":   {five[:3], []*apiv1.Member{host("d", "d1"), host("b", "b1")}, "d1", ""},
		"one learner at a time":          {append(five[:3:3], learner), []*apiv1.Member{host("d", "d1"), host("f", "f1")}, "", ""},
		"silent voter, nobody waits":     {append(five[:4:4], voter("e", "e1", long)), nil, "", ""},
		"silent voter, a host waits":     {append(five[:4:4], voter("e", "e1", long)), []*apiv1.Member{host("f", "f1")}, "", "e1"},
		"its place is taken":             {five[:4], []*apiv1.Member{host("f", "f1")}, "f1", ""},
		"emptied disk is removed":        {append(five[:4:4], voter("e", "e1", 0)), []*apiv1.Member{host("e", "e2")}, "", "e1"},
		"emptied disk comes back":        {five[:4], []*apiv1.Member{host("e", "e2")}, "e2", ""},
		"two emptied, first place first": {append(five[:3:3], voter("e", "e1", long)), []*apiv1.Member{host("d", "d2"), host("e", "e2")}, "d2", ""},
		"learner that is gone":           {append(five[:4:4], memberView{member: host("f", "f1"), silent: long}), nil, "", "f1"},
	} {
		t.Run(name, func(t *testing.T) {
			got := planMembers(5, tc.members, tc.candidates)
			must.Eq(t, tc.add, got.add.GetDiskId())
			must.Eq(t, tc.remove, got.remove)
			must.Eq(t, tc.add != "" || tc.remove != "", got.reason != "")
		})
	}
}
