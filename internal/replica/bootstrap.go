package replica

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// initialIndex is the index of the snapshot that each first member starts from.
// The snapshot holds the first member set and no state.
const initialIndex = 1

// bootstrap holds what a replica learns from hellos, the messages by which hosts
// announce their disk identities and runs.
//
// The first members agree on one member set with disk identities before any
// election. Each waits for a hello from every host of its list, saves the set, and
// starts only when it knows that all have saved the same set. A data folder saves
// at most one set, so two different sets can never both be saved by all of their
// members: a host with an emptied disk learns that its peers have saved a set with
// its former disk identity, and can then only join as a learner.
type bootstrap struct {
	// first is the saved first member set, or nil.
	first *apiv1.MemberSet
	// withoutSet holds, by host, the members that have not saved a set.
	withoutSet map[string]*apiv1.Member
	// confirmed holds the disk identities that have saved the same set.
	confirmed map[string]bool
	// blockedReason states why this host cannot form the cluster, or is empty.
	blockedReason string
	// senders maps a disk identity to the sender of its last hello, and diskOf a
	// host to its disk identity.
	senders map[string]*apiv1.Member
	diskOf  map[string]string
	// repliedAt maps a disk identity that is not among the targets to the tick of
	// the last hello sent to it.
	repliedAt map[string]uint64
}

func newBootstrap(first *apiv1.MemberSet) bootstrap {
	return bootstrap{
		first: first, withoutSet: map[string]*apiv1.Member{}, confirmed: map[string]bool{},
		senders: map[string]*apiv1.Member{}, diskOf: map[string]string{}, repliedAt: map[string]uint64{},
	}
}

// helloTicks returns the time between hellos, which is shorter until the node
// has started.
func (r *Replica) helloTicks() int {
	if r.node == nil {
		return max(1, r.opts.HelloTicks/5)
	}
	return r.opts.HelloTicks
}

func (r *Replica) newHello(to string) *apiv1.StepRequest {
	req := r.newRequest()
	req.Hello = &apiv1.Hello{
		Sender: r.self, Earlier: r.earlier, First: r.bootstrap.first, Started: r.node != nil,
	}
	if seen, ok := r.runs[to]; ok {
		req.Hello.Seen, req.Hello.SeenDiskId = encodeRun(seen), to
	}
	return req
}

func encodeRun(run consensus.Run) *apiv1.EarlierRun {
	return &apiv1.EarlierRun{Boot: run.Boot, BootNonce: run.Nonce, Saves: run.Saves}
}

func decodeRun(run *apiv1.EarlierRun) consensus.Run {
	return consensus.Run{Boot: run.GetBoot(), Nonce: run.GetBootNonce(), Saves: run.GetSaves()}
}

func decodeEarlierRuns(h *apiv1.Hello) []consensus.Run {
	var runs []consensus.Run
	for _, run := range h.GetEarlier() {
		runs = append(runs, decodeRun(run))
	}
	return runs
}

// targets returns the hosts that get periodic hellos: the members and the
// bootstrap hosts, one for each address, without this host.
func (r *Replica) targets() []*apiv1.Member {
	var all []*apiv1.Member
	if r.node != nil {
		all = append(all, r.node.Members().GetMembers()...)
	}
	all = append(all, r.bootstrap.first.GetMembers()...)
	all = append(all, r.opts.Bootstrap...)
	seen := map[string]bool{r.self.GetAddress(): true}
	return slices.DeleteFunc(all, func(m *apiv1.Member) bool {
		known := seen[m.GetAddress()]
		seen[m.GetAddress()] = true
		return known
	})
}

func (r *Replica) sendHellos() {
	for _, m := range r.targets() {
		disk := m.GetDiskId()
		// The host may have replaced its disk after the member set was created.
		if newer := r.bootstrap.diskOf[m.GetHost()]; newer != "" {
			disk = newer
		}
		r.opts.Transport.Send(m, r.newHello(disk))
	}
}

// replyThrottled sends a hello to a host that may not be a target, at most once
// per hello interval.
func (r *Replica) replyThrottled(to *apiv1.Member, disk string) {
	last, ok := r.bootstrap.repliedAt[disk]
	if to == nil || ok && r.ticks-last < uint64(r.helloTicks()) {
		return
	}
	r.bootstrap.repliedAt[disk] = r.ticks
	r.opts.Transport.Send(to, r.newHello(disk))
}

// refuseOldRun sends a hello from which the sender learns that its data folder is
// an older copy.
func (r *Replica) refuseOldRun(req *apiv1.StepRequest) {
	disk := req.GetFromDiskId()
	r.opts.Logger.Warn().Str("peer_disk_id", disk).Uint64("boot", req.GetBoot()).
		Uint64("seen_boot", r.runs[disk].Boot).Msg("message dropped: the sender's run does not continue the newest run seen from its data folder")
	to := req.GetHello().GetSender()
	if to == nil {
		to = r.memberOf(disk)
	}
	r.replyThrottled(to, disk)
}

func (r *Replica) handleHello(req *apiv1.StepRequest) error {
	h := req.GetHello()
	sender := h.GetSender()
	if h == nil || sender.GetDiskId() != req.GetFromDiskId() || sender.GetHost() == "" || sender.GetAddress() == "" {
		return nil
	}
	current := consensus.Run{Boot: r.id.Boot, Nonce: r.id.Nonce, Saves: r.opts.Store.Saves()}
	if seen := decodeRun(h.GetSeen()); h.GetSeenDiskId() == r.id.DiskID && !consensus.Continues(current, r.id.EarlierRuns, seen) {
		return fault.Newf(fault.KindStorageRolledBack,
			"replace this member: start it with an empty data folder, add it again and remove this disk identity",
			"the data folder is an older copy: %s has seen boot %d and save %d of it, and it has boot %d and save %d",
			sender.GetHost(), seen.Boot, seen.Saves, current.Boot, current.Saves).At("data_folder")
	}
	r.recordPeerRestart(req)
	r.bootstrap.senders[sender.GetDiskId()] = sender
	r.bootstrap.diskOf[sender.GetHost()] = sender.GetDiskId()
	if !slices.ContainsFunc(r.targets(), func(m *apiv1.Member) bool { return m.GetAddress() == sender.GetAddress() }) {
		r.replyThrottled(sender, sender.GetDiskId())
	}
	if r.node != nil {
		return nil
	}
	return r.discover(h)
}

// recordPeerRestart records a peer whose current run was not seen by any earlier
// run of this host. Only a hello that names this run counts: it shows that the
// peer accepts this data folder as current.
func (r *Replica) recordPeerRestart(req *apiv1.StepRequest) {
	disk, h := req.GetFromDiskId(), req.GetHello()
	knowsThisRun := h.GetSeenDiskId() == r.id.DiskID && h.GetSeen().GetBootNonce() == r.id.Nonce
	if !knowsThisRun || r.runsAtStart[disk].Nonce == req.GetBootNonce() || r.restartedPeers[disk] {
		return
	}
	r.restartedPeers[disk] = true
	if r.node != nil {
		r.node.PeerRestarted(r.opts.Now(), disk)
	}
}

// replyHello answers the first message of a peer's new run with a hello, so that
// each host learns of the other's run without waiting for the hello interval.
func (r *Replica) replyHello(req *apiv1.StepRequest) {
	to := req.GetHello().GetSender()
	if to == nil {
		to = r.memberOf(req.GetFromDiskId())
	}
	if to != nil {
		r.opts.Transport.Send(to, r.newHello(req.GetFromDiskId()))
	}
}

// discover handles a hello while the node has not started.
func (r *Replica) discover(h *apiv1.Hello) error {
	b := &r.bootstrap
	switch {
	case h.GetFirst() == nil && !h.GetStarted():
		b.withoutSet[h.GetSender().GetHost()] = h.GetSender()
	case b.first == nil && consensus.FindMember(h.GetFirst(), r.id.DiskID) == nil:
		r.requireJoin(h)
		return nil
	case b.first == nil:
		if err := r.saveFirst(h.GetFirst()); err != nil {
			return err
		}
	}
	if b.first != nil && h.GetFirst() != nil {
		r.recordConfirmed(h)
	}
	return r.tryForm()
}

// tryForm saves the first member set once all first members are known, and starts
// the node once all have saved it.
func (r *Replica) tryForm() error {
	b := &r.bootstrap
	if b.first == nil && b.blockedReason == "" {
		if set := r.discoveredSet(); set != nil {
			if err := r.saveFirst(set); err != nil {
				return err
			}
		}
	}
	r.publishBootstrap()
	if b.first == nil {
		return nil
	}
	b.confirmed[r.id.DiskID] = true
	for _, m := range b.first.GetMembers() {
		if !b.confirmed[m.GetDiskId()] {
			return nil
		}
	}
	saved := consensus.Saved{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  &consensus.Snapshot{Index: initialIndex, Term: 1, Members: b.first},
	}
	if err := r.opts.Store.Save(storage.Update{HardState: &saved.HardState, Snapshot: saved.Snapshot}); err != nil {
		return err
	}
	return r.startNode(saved)
}

func (r *Replica) requireJoin(h *apiv1.Hello) {
	if r.bootstrap.blockedReason != "" {
		return
	}
	r.bootstrap.blockedReason = fmt.Sprintf("host %s knows a cluster without disk %s; add this host as a member, and remove its earlier disk identity if it had one",
		h.GetSender().GetHost(), r.id.DiskID)
	r.opts.Logger.Warn().Str("detail", r.bootstrap.blockedReason).Msg("this host can only join")
	r.publishBootstrap()
}

// discoveredSet returns the first member set once each host of the bootstrap list
// has sent a hello without a set, and nil before.
func (r *Replica) discoveredSet() *apiv1.MemberSet {
	if r.opts.JoinOnly {
		return nil
	}
	set := &apiv1.MemberSet{}
	self := false
	for _, listed := range r.opts.Bootstrap {
		m := r.bootstrap.withoutSet[listed.GetHost()]
		if listed.GetHost() == r.self.GetHost() {
			m, self = r.self, true
		}
		if m == nil {
			return nil
		}
		m = proto.Clone(m).(*apiv1.Member)
		m.Voter = true
		set.Members = append(set.Members, m)
	}
	if !self {
		return nil
	}
	slices.SortFunc(set.Members, func(a, b *apiv1.Member) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	return set
}

func (r *Replica) saveFirst(set *apiv1.MemberSet) error {
	if err := r.opts.Store.Save(storage.Update{FirstMembers: set}); err != nil {
		return err
	}
	r.bootstrap.first = set
	r.opts.Logger.Info().Int("members", len(set.GetMembers())).Msg("first member set saved")
	r.sendHellos()
	return nil
}

// recordConfirmed records that the sender has saved the same first member set. A
// sender that has started knows that all members have saved it.
func (r *Replica) recordConfirmed(h *apiv1.Hello) {
	b := &r.bootstrap
	if !sameDisks(b.first, h.GetFirst()) {
		b.blockedReason = fmt.Sprintf("host %s has saved another first member set; empty the data folders of all first members and start them again",
			h.GetSender().GetHost())
		r.opts.Logger.Error().Str("detail", b.blockedReason).Msg("the cluster cannot start")
		return
	}
	b.confirmed[h.GetSender().GetDiskId()] = true
	if h.GetStarted() {
		for _, m := range b.first.GetMembers() {
			b.confirmed[m.GetDiskId()] = true
		}
	}
}

func sameDisks(a, b *apiv1.MemberSet) bool {
	if len(a.GetMembers()) != len(b.GetMembers()) {
		return false
	}
	for _, m := range a.GetMembers() {
		if consensus.FindMember(b, m.GetDiskId()).GetHost() != m.GetHost() {
			return false
		}
	}
	return true
}

// join starts a node without a log when the leader of a running cluster has
// added this disk.
func (r *Replica) join(m *apiv1.LogMessage) error {
	fromLeader := m.GetType() == apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND ||
		m.GetType() == apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT ||
		m.GetType() == apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT
	if !fromLeader || r.bootstrap.first != nil {
		return nil
	}
	r.opts.Logger.Info().Msg("joining a running cluster")
	return r.startNode(consensus.Saved{})
}

// publishBootstrap publishes the status of a host whose node has not started.
func (r *Replica) publishBootstrap() {
	s := Status{Stage: "gathering", Detail: "waiting for hellos from all first members", Self: r.self}
	switch {
	case r.bootstrap.first != nil:
		s.Stage, s.Detail = "confirming", "waiting until all first members have saved the first member set"
	case r.opts.JoinOnly, !slices.ContainsFunc(r.opts.Bootstrap, func(m *apiv1.Member) bool { return m.GetHost() == r.self.GetHost() }):
		s.Stage, s.Detail = "joining", "waiting to be added as a member"
	}
	if r.bootstrap.blockedReason != "" {
		s.Detail = r.bootstrap.blockedReason
		if r.bootstrap.first == nil {
			s.Stage = "joining"
		}
	}
	r.mu.Lock()
	r.published = published{status: s}
	r.mu.Unlock()
}
