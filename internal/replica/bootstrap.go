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

// firstIndex is the index of the snapshot that each first member starts from.
// It holds the first member set and no state.
const firstIndex = 1

// bootstrap is what a replica learns from hellos.
//
// The first members agree on one member set with disk identities before any
// election. Each gathers a hello from every host of its list, saves the set, and
// starts only when it knows that all have saved the same set. A data folder
// saves one set in its life, so that two different sets can never both be
// complete: a host with an emptied disk finds that its peers have saved a set
// with its former disk identity, and can then only join as a learner.
type bootstrap struct {
	// first is the saved first member set, or nil.
	first *apiv1.MemberSet
	// fresh holds the members that have not saved a set, by host.
	fresh map[string]*apiv1.Member
	// saved holds the disk identities that have saved the same set.
	saved map[string]bool
	// refused says why this host can only join.
	refused string
	// contacts holds the last hello's sender by disk identity, and diskOf the
	// disk identity by host.
	contacts map[string]*apiv1.Member
	diskOf   map[string]string
	// repliedAt holds the tick of the last hello to a host that is no target.
	repliedAt map[string]uint64
}

func newBootstrap(first *apiv1.MemberSet) bootstrap {
	return bootstrap{
		first: first, fresh: map[string]*apiv1.Member{}, saved: map[string]bool{},
		contacts: map[string]*apiv1.Member{}, diskOf: map[string]string{}, repliedAt: map[string]uint64{},
	}
}

// helloTicks returns the time between hellos: shorter while a cluster forms.
func (r *Replica) helloTicks() int {
	if r.node == nil {
		return max(1, r.opts.HelloTicks/5)
	}
	return r.opts.HelloTicks
}

func (r *Replica) hello(to string) *apiv1.StepRequest {
	req := r.request()
	req.Hello = &apiv1.Hello{
		Sender: r.self, Earlier: r.earlier, First: r.boot.first, Started: r.node != nil,
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

func earlierRuns(h *apiv1.Hello) []consensus.Run {
	var runs []consensus.Run
	for _, run := range h.GetEarlier() {
		runs = append(runs, decodeRun(run))
	}
	return runs
}

// targets returns the members and the bootstrap hosts, by address and without
// this host.
func (r *Replica) targets() []*apiv1.Member {
	var all []*apiv1.Member
	if r.node != nil {
		all = append(all, r.node.Members().GetMembers()...)
	}
	all = append(all, r.boot.first.GetMembers()...)
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
		// The host at this address may have a new disk since the set was made.
		if newer := r.boot.diskOf[m.GetHost()]; newer != "" {
			disk = newer
		}
		r.opts.Transport.Send(m, r.hello(disk))
	}
}

// reply sends a hello to a host that is no target, at most once per interval.
func (r *Replica) reply(to *apiv1.Member, disk string) {
	last, ok := r.boot.repliedAt[disk]
	if to == nil || ok && r.ticks-last < uint64(r.helloTicks()) {
		return
	}
	r.boot.repliedAt[disk] = r.ticks
	r.opts.Transport.Send(to, r.hello(disk))
}

// refuseOldRun tells the sender that its data folder is an older copy.
func (r *Replica) refuseOldRun(req *apiv1.StepRequest) {
	disk := req.GetFromDiskId()
	r.opts.Logger.Warn().Str("peer_disk_id", disk).Uint64("boot", req.GetBoot()).
		Uint64("seen_boot", r.runs[disk].Boot).Msg("message dropped: its run does not continue the newest run seen from that data folder")
	to := req.GetHello().GetSender()
	if to == nil {
		to = r.memberOf(disk)
	}
	r.reply(to, disk)
}

func (r *Replica) handleHello(req *apiv1.StepRequest) error {
	h := req.GetHello()
	sender := h.GetSender()
	if h == nil || sender.GetDiskId() != req.GetFromDiskId() || sender.GetHost() == "" || sender.GetAddress() == "" {
		return nil
	}
	own := consensus.Run{Boot: r.id.Boot, Nonce: r.id.Nonce, Saves: r.opts.Store.Saves()}
	if seen := decodeRun(h.GetSeen()); h.GetSeenDiskId() == r.id.DiskID && !consensus.Continues(own, r.id.Earlier, seen) {
		return fault.Newf(fault.KindStorageRolledBack,
			"replace this member: start it with an empty data folder, add it again and remove this disk identity",
			"the data folder is an older copy: %s has seen boot %d and save %d of it, and it has boot %d and save %d",
			sender.GetHost(), seen.Boot, seen.Saves, own.Boot, own.Saves).At("data_folder")
	}
	r.noteRestart(req)
	r.boot.contacts[sender.GetDiskId()] = sender
	r.boot.diskOf[sender.GetHost()] = sender.GetDiskId()
	if !slices.ContainsFunc(r.targets(), func(m *apiv1.Member) bool { return m.GetAddress() == sender.GetAddress() }) {
		r.reply(sender, sender.GetDiskId())
	}
	if r.node != nil {
		return nil
	}
	return r.gather(h)
}

// noteRestart notes a peer that runs a process of which no earlier run of this
// host had heard. Only a hello that answers this run counts: it shows that the
// peer takes this data folder for whole.
func (r *Replica) noteRestart(req *apiv1.StepRequest) {
	disk, h := req.GetFromDiskId(), req.GetHello()
	knowsThisRun := h.GetSeenDiskId() == r.id.DiskID && h.GetSeen().GetBootNonce() == r.id.Nonce
	if !knowsThisRun || r.recorded[disk].Nonce == req.GetBootNonce() || r.restarted[disk] {
		return
	}
	r.restarted[disk] = true
	if r.node != nil {
		r.node.PeerRestarted(r.opts.Now(), disk)
	}
}

// greet answers the first message of a peer's new run with a hello, so that both
// know of each other at once.
func (r *Replica) greet(req *apiv1.StepRequest) {
	to := req.GetHello().GetSender()
	if to == nil {
		to = r.memberOf(req.GetFromDiskId())
	}
	if to != nil {
		r.opts.Transport.Send(to, r.hello(req.GetFromDiskId()))
	}
}

// gather takes a hello while this host does not run yet.
func (r *Replica) gather(h *apiv1.Hello) error {
	b := &r.boot
	switch {
	case h.GetFirst() == nil && !h.GetStarted():
		b.fresh[h.GetSender().GetHost()] = h.GetSender()
	case b.first == nil && consensus.FindMember(h.GetFirst(), r.id.DiskID) == nil:
		r.refuse(h)
		return nil
	case b.first == nil:
		if err := r.saveFirst(h.GetFirst()); err != nil {
			return err
		}
	}
	if b.first != nil && h.GetFirst() != nil {
		r.noteSaved(h)
	}
	return r.form()
}

// form saves the first member set when all hosts are known, and starts the node
// when all have saved it.
func (r *Replica) form() error {
	b := &r.boot
	if b.first == nil && b.refused == "" {
		if set := r.gathered(); set != nil {
			if err := r.saveFirst(set); err != nil {
				return err
			}
		}
	}
	r.publishWaiting()
	if b.first == nil {
		return nil
	}
	b.saved[r.id.DiskID] = true
	for _, m := range b.first.GetMembers() {
		if !b.saved[m.GetDiskId()] {
			return nil
		}
	}
	saved := consensus.Saved{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  &consensus.Snapshot{Index: firstIndex, Term: 1, Members: b.first},
	}
	if err := r.opts.Store.Save(storage.Update{HardState: &saved.HardState, Snapshot: saved.Snapshot}); err != nil {
		return err
	}
	return r.startNode(saved)
}

func (r *Replica) refuse(h *apiv1.Hello) {
	if r.boot.refused != "" {
		return
	}
	r.boot.refused = fmt.Sprintf("host %s knows a cluster without disk %s; add this host as a member, and remove its earlier disk identity if it had one",
		h.GetSender().GetHost(), r.id.DiskID)
	r.opts.Logger.Warn().Str("detail", r.boot.refused).Msg("this host can only join")
	r.publishWaiting()
}

// gathered returns the first member set when each host of the list has sent a
// hello without a set.
func (r *Replica) gathered() *apiv1.MemberSet {
	if r.opts.JoinOnly {
		return nil
	}
	set := &apiv1.MemberSet{}
	self := false
	for _, want := range r.opts.Bootstrap {
		m := r.boot.fresh[want.GetHost()]
		if want.GetHost() == r.self.GetHost() {
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
	if err := r.opts.Store.Save(storage.Update{First: set}); err != nil {
		return err
	}
	r.boot.first = set
	r.opts.Logger.Info().Int("members", len(set.GetMembers())).Msg("first member set saved")
	r.sendHellos()
	return nil
}

// noteSaved notes who has saved the same first set. A member that has started
// knows that all have.
func (r *Replica) noteSaved(h *apiv1.Hello) {
	b := &r.boot
	if !sameDisks(b.first, h.GetFirst()) {
		b.refused = fmt.Sprintf("host %s has saved another first member set; empty the data folders of all first members and start them again",
			h.GetSender().GetHost())
		r.opts.Logger.Error().Str("detail", b.refused).Msg("the cluster cannot start")
		return
	}
	b.saved[h.GetSender().GetDiskId()] = true
	if h.GetStarted() {
		for _, m := range b.first.GetMembers() {
			b.saved[m.GetDiskId()] = true
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
	if !fromLeader || r.boot.first != nil {
		return nil
	}
	r.opts.Logger.Info().Msg("joining a running cluster")
	return r.startNode(consensus.Saved{})
}

// publishWaiting publishes the status of a host that does not run yet.
func (r *Replica) publishWaiting() {
	s := Status{Stage: "gathering", Detail: "waiting for hellos from all first members", Self: r.self}
	switch {
	case r.boot.first != nil:
		s.Stage, s.Detail = "confirming", "waiting until all first members have saved the first member set"
	case r.opts.JoinOnly, !slices.ContainsFunc(r.opts.Bootstrap, func(m *apiv1.Member) bool { return m.GetHost() == r.self.GetHost() }):
		s.Stage, s.Detail = "joining", "waiting to be added as a member"
	}
	if r.boot.refused != "" {
		s.Detail = r.boot.refused
		if r.boot.first == nil {
			s.Stage = "joining"
		}
	}
	r.mu.Lock()
	r.published = published{status: s}
	r.mu.Unlock()
}
