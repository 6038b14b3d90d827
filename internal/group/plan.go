package group

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
)

// memberStatus is what the leader knows of one member.
type memberStatus struct {
	member *apiv1.Member
	self   bool
	// silence is the time since the member's last message.
	silence time.Duration
}

// memberAction is the next change of the member set: at most one of add and
// remove is set. An empty reason means that there is nothing to do.
type memberAction struct {
	add    *apiv1.Member
	remove string
	reason string
}

func memberStatuses(s replica.Status) []memberStatus {
	var out []memberStatus
	for _, m := range s.Members {
		out = append(out, memberStatus{
			member: m, self: m.GetDiskId() == s.Self.GetDiskId(), silence: s.SinceResponse[m.GetDiskId()],
		})
	}
	return out
}

// planMembers returns the next change towards the target number of live voters. It
// removes a lost voter before it adds the replacement, since a fourth voter beside
// three live ones would only raise the majority.
func planMembers(target int, members []memberStatus, candidates []*apiv1.Member) memberAction {
	waiting := nonMembers(members, candidates)
	voters, catchingUp := 0, false
	for _, m := range members {
		if m.member.GetVoter() {
			voters++
			continue
		}
		if diskReplaced(m, candidates) || m.silence > voterTimeout {
			return memberAction{remove: m.member.GetDiskId(), reason: "learner_lost"}
		}
		catchingUp = true
	}
	if catchingUp {
		return memberAction{}
	}
	for _, m := range members {
		if diskReplaced(m, candidates) {
			if voters < target && len(waiting) > 0 {
				break
			}
			return memberAction{remove: m.member.GetDiskId(), reason: "disk_lost"}
		}
	}
	if len(waiting) == 0 {
		return memberAction{}
	}
	if voters < target {
		return memberAction{add: pickCandidate(members, waiting), reason: "voter_missing"}
	}
	if lost := longestSilentVoter(members); lost != "" {
		return memberAction{remove: lost, reason: "voter_silent"}
	}
	return memberAction{}
}

// diskReplaced reports whether the host of a member offers itself with another disk.
func diskReplaced(m memberStatus, candidates []*apiv1.Member) bool {
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

func nonMembers(members []memberStatus, candidates []*apiv1.Member) []*apiv1.Member {
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

func longestSilentVoter(members []memberStatus) string {
	disk, longest := "", voterTimeout
	for _, m := range members {
		if m.member.GetVoter() && !m.self && m.silence > longest {
			disk, longest = m.member.GetDiskId(), m.silence
		}
	}
	return disk
}

// pickCandidate returns the waiting host whose failure domain has the fewest voters,
// the first one if several do.
func pickCandidate(members []memberStatus, waiting []*apiv1.Member) *apiv1.Member {
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
