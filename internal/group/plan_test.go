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

func voter(address, disk string, silence time.Duration) memberStatus {
	m := host(address, disk)
	m.Voter = true
	return memberStatus{member: m, silence: silence}
}

// The group tolerates fewer losses if a lost voter stays in the set, a live voter is
// removed, or a voter is added beside a lost one.
func TestPlanMembers(t *testing.T) {
	long := voterTimeout + time.Second
	leader := voter("a", "a1", 0)
	leader.self = true
	learner := memberStatus{member: host("f", "f1")}
	five := []memberStatus{leader, voter("b", "b1", 0), voter("c", "c1", 0), voter("d", "d1", 0), voter("e", "e1", 0)}
	for name, tc := range map[string]struct {
		members    []memberStatus
		candidates []*apiv1.Member
		add        string
		remove     string
	}{
		"complete":                             {five, []*apiv1.Member{host("b", "b1"), host("f", "f1")}, "", ""},
		"three seeds add a fourth":             {five[:3], []*apiv1.Member{host("d", "d1"), host("b", "b1")}, "d1", ""},
		"one learner at a time":                {append(five[:3:3], learner), []*apiv1.Member{host("d", "d1"), host("f", "f1")}, "", ""},
		"silent voter, no host waits":          {append(five[:4:4], voter("e", "e1", long)), nil, "", ""},
		"silent voter, a host waits":           {append(five[:4:4], voter("e", "e1", long)), []*apiv1.Member{host("f", "f1")}, "", "e1"},
		"silent voter is replaced":             {five[:4], []*apiv1.Member{host("f", "f1")}, "f1", ""},
		"emptied disk is removed":              {append(five[:4:4], voter("e", "e1", 0)), []*apiv1.Member{host("e", "e2")}, "", "e1"},
		"emptied disk is added":                {five[:4], []*apiv1.Member{host("e", "e2")}, "e2", ""},
		"two emptied, vacancy is filled first": {append(five[:3:3], voter("e", "e1", long)), []*apiv1.Member{host("d", "d2"), host("e", "e2")}, "d2", ""},
		"lost learner is removed":              {append(five[:4:4], memberStatus{member: host("f", "f1"), silence: long}), nil, "", "f1"},
	} {
		t.Run(name, func(t *testing.T) {
			got := planMembers(5, tc.members, tc.candidates)
			must.Eq(t, tc.add, got.add.GetDiskId())
			must.Eq(t, tc.remove, got.remove)
			must.Eq(t, tc.add != "" || tc.remove != "", got.reason != "")
		})
	}
}
