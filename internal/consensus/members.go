package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// EncodeMembers returns the data of a membership entry.
func EncodeMembers(set *apiv1.MemberSet) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which the decoder has rejected.
		panic(err)
	}
	return data
}

func decodeMembers(data []byte) (*apiv1.MemberSet, error) {
	set := &apiv1.MemberSet{}
	return set, proto.Unmarshal(data, set)
}

// FindMember returns the member with the disk identity, or nil.
func FindMember(set *apiv1.MemberSet, diskID string) *apiv1.Member {
	for _, m := range set.GetMembers() {
		if m.GetDiskId() == diskID {
			return m
		}
	}
	return nil
}

func isVoter(set *apiv1.MemberSet, id string) bool { return FindMember(set, id).GetVoter() }

func voters(set *apiv1.MemberSet) []string {
	var ids []string
	for _, m := range set.GetMembers() {
		if m.GetVoter() {
			ids = append(ids, m.GetDiskId())
		}
	}
	return ids
}

// quorumValue returns the highest value that a majority of the voters has
// reached, or 0 without voters.
func quorumValue(set *apiv1.MemberSet, value func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range voters(set) {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func hasQuorum(set *apiv1.MemberSet, yes func(id string) bool) bool {
	return quorumValue(set, func(id string) uint64 {
		if yes(id) {
			return 1
		}
		return 0
	}) == 1
}

// Members returns the member set in effect, which may not be committed yet.
func (n *Node) Members() *apiv1.MemberSet { return n.log.current().set }

// AddMember proposes the addition of a member as a learner. The leader promotes
// it to a voter once it has caught up.
func (n *Node) AddMember(m *apiv1.Member) (Position, error) {
	if m.GetDiskId() == "" || m.GetAddress() == "" {
		return Position{}, fault.New(fault.KindMembership, "a member needs a disk identity and an address",
			"start the new host, and take its disk identity from its log or status").At("member")
	}
	if FindMember(n.Members(), m.GetDiskId()) != nil {
		return Position{}, fault.Newf(fault.KindMembership, "nothing to do", "disk %s is a member already", m.GetDiskId())
	}
	set := proto.Clone(n.Members()).(*apiv1.MemberSet)
	learner := proto.Clone(m).(*apiv1.Member)
	learner.Voter = false
	set.Members = append(set.Members, learner)
	return n.changeMembers(set)
}

// RemoveMember proposes the removal of the member with the disk identity. It
// fails when no majority of the remaining voters responds, because the cluster
// would lose its quorum.
func (n *Node) RemoveMember(diskID string) (Position, error) {
	if FindMember(n.Members(), diskID) == nil {
		return Position{}, fault.Newf(fault.KindMembership, "check the disk identity in the status",
			"no member has disk %s", diskID)
	}
	set := proto.Clone(n.Members()).(*apiv1.MemberSet)
	set.Members = slices.DeleteFunc(set.Members, func(m *apiv1.Member) bool { return m.GetDiskId() == diskID })
	return n.changeMembers(set)
}

func (n *Node) changeMembers(set *apiv1.MemberSet) (Position, error) {
	if err := n.checkCanPropose(); err != nil {
		return Position{}, err
	}
	// Until an entry of the current term is committed, an uncommitted change of an
	// earlier leader could still replace this one, and the majorities of the two
	// member sets need not overlap.
	if n.log.commit < n.firstIndex || n.log.current().index > n.log.commit {
		return Position{}, fault.New(fault.KindMembership, "another membership change is not committed yet",
			"retry when it is")
	}
	if !hasQuorum(set, n.isActive) {
		return Position{}, fault.New(fault.KindMembership, "no majority of the voters that remain is answering",
			"bring hosts back or add new ones first")
	}
	pos, err := n.appendEntry(apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, EncodeMembers(set))
	if err != nil {
		return Position{}, err
	}
	n.syncProgress()
	n.broadcastAppend()
	return pos, nil
}

// isActive reports whether the member has responded within the election timeout.
func (n *Node) isActive(id string) bool {
	if id == n.id {
		return true
	}
	pr := n.progress[id]
	return pr != nil && pr.responded && n.now.Sub(pr.lastResponse) < n.cfg.ElectionTimeout
}

// promote makes a learner a voter when its log is at most PromoteLag entries
// behind the commit index.
func (n *Node) promote() {
	if n.transfer != nil {
		return
	}
	set := n.Members()
	for _, m := range set.GetMembers() {
		id := m.GetDiskId()
		if m.GetVoter() || !n.isActive(id) || n.progress[id].match+n.cfg.PromoteLag < n.log.commit {
			continue
		}
		if n.progress[id].match == 0 {
			continue
		}
		next := proto.Clone(set).(*apiv1.MemberSet)
		FindMember(next, id).Voter = true
		// An error is temporary; the next tick retries.
		_, _ = n.changeMembers(next)
		return
	}
}

// syncProgress adds and removes progress entries to match the member set.
func (n *Node) syncProgress() {
	set := n.Members()
	for id := range n.progress {
		if FindMember(set, id) == nil {
			delete(n.progress, id)
		}
	}
	for _, m := range set.GetMembers() {
		if n.progress[m.GetDiskId()] == nil {
			n.progress[m.GetDiskId()] = &progress{next: n.log.last() + 1, probing: true}
		}
	}
}
