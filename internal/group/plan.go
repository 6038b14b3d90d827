package group

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
)

// memberView is what the leader knows of one member.
type memberView struct {
	member *apiv1.Member
	self   bool
	silent time.Duration
}

// memberAction is the next change of the member set: at most one of add and
// remove is set. An empty reason means that there is nothing to do.
type memberAction struct {
	add    *apiv1.Member
	remove string
	reason string
}

func viewOf(s replica.Status) []memberView {
	var out []memberView
	for _, m := range s.Members {
		out = append(out, memberView{
			member: m, self: m.GetDiskId() == s.Self.GetDiskId(), silent: s.Silent[m.GetDiskId()],
		})
	}
	return out
}

// planMembers returns the next change that leads to the wanted number of live
// voters. It removes a lost voter before it adds the host that takes its place,
// since a fourth voter of three live ones would only raise the majority.
func planMembers(want int, members []memberView, candidates []*apiv1.Member) memberAction {
	waiting := notMembers(members, candidates)
	voters, catchingUp := 0, false
	for _, m := range members {
		if m.member.GetVoter() {
			voters++
			continue
		}
		if replaced(m, candidates) || m.silent > voterGone {
			return memberAction{remove: m.member.GetDiskId(), reason: "learner_lost"}
		}
		catchingUp = true
	}
	if catchingUp {
		return memberAction{}
	}
	for _, m := range members {
		if replaced(m, candidates) {
			if voters < want && len(waiting) > 0 {
				break
			}
			return memberAction{remove: m.member.GetDiskId(), reason: "disk_lost"}
		}
	}
	if len(waiting) == 0 {
		return memberAction{}
	}
	if voters < want {
		return memberAction{add: pick(members, waiting), reason: "voter_missing"}
	}
	if lost := longestSilent(members); lost != "" {
		return memberAction{remove: lost, reason: "voter_silent"}
	}
	return memberAction{}
}

// replaced tells whether the host of a member came back with another disk.
func replaced(m memberView, candidates []*apiv1.Member) bool {
	if m.self {
		return false
	}
	for _, c := range candidates {
		if c.GetAddress() == m.member.GetAddress() && c.GetDiskId() != m.member.GetDiskId() {
			return true
		}
	}
	return false
}

func notMembers(members []memberView, candidates []*apiv1.Member) []*apiv1.Member {
	var out []*apiv1.Member
	for _, c := range candidates {
		known := false
		for _, m := range members {
			known = known || m.member.GetDiskId() == c.GetDiskId()
		}
		if !known {
			out = append(out, c)
		}
	}
	return out
}

func longestSilent(members []memberView) string {
	disk, longest := "", voterGone
	for _, m := range members {
		if m.member.GetVoter() && !m.self && m.silent > longest {
			disk, longest = m.member.GetDiskId(), m.silent
		}
	}
	return disk
}

// pick returns the waiting host whose failure domain has the fewest voters.
func pick(members []memberView, waiting []*apiv1.Member) *apiv1.Member {
	voters := map[string]int{}
	for _, m := range members {
		if m.member.GetVoter() {
			voters[m.member.GetFailureDomain()]++
		}
	}
	best := waiting[0]
	for _, c := range waiting[1:] {
		if voters[c.GetFailureDomain()] < voters[best.GetFailureDomain()] {
			best = c
		}
	}
	return best
}
