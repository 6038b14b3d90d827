package replica

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// receive handles a request after checking the sender's run.
func (r *Replica) receive(req *apiv1.StepRequest) error {
	disk := req.GetFromDiskId()
	run := consensus.Run{Boot: req.GetBoot(), Nonce: req.GetBootNonce(), Saves: req.GetSaves()}
	switch r.runs.Check(disk, run, decodeEarlierRuns(req.GetHello())) {
	case consensus.OldRun:
		r.refuseOldRun(req)
		return nil
	case consensus.NewRun:
		if err := r.opts.Store.Save(storage.Update{Peers: map[string]consensus.Run{disk: run}}); err != nil {
			return err
		}
		r.replyHello(req)
	case consensus.KnownRun:
		r.unsavedRuns[disk] = r.runs[disk]
	}
	if err := r.handleHello(req); err != nil {
		return err
	}
	for _, m := range req.GetMessages() {
		if m.GetFrom() != disk || m.GetTo() != r.id.DiskID {
			continue
		}
		if r.node == nil {
			if err := r.join(m); err != nil {
				return err
			}
		}
		if r.node != nil {
			r.node.Step(r.opts.Now(), m)
		}
	}
	return nil
}

// process carries out the node's pending work until it has none.
func (r *Replica) process() error {
	if r.node == nil {
		return nil
	}
	r.node.Flush()
	for r.node.HasReady() {
		rd := r.node.Ready()
		r.sendMessages(rd.Early)
		if err := r.save(rd); err != nil {
			return err
		}
		r.sendMessages(rd.Messages)
		if err := r.apply(rd); err != nil {
			return err
		}
		r.node.Advance(rd)
	}
	if err := r.compact(); err != nil {
		return err
	}
	r.handleRoleChange()
	r.publish()
	return nil
}

func (r *Replica) save(rd consensus.Ready) error {
	if rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	err := r.opts.Store.Save(storage.Update{
		HardState: rd.HardState, Snapshot: rd.Snapshot, Reset: rd.Snapshot != nil,
		Entries: rd.Entries, Peers: r.unsavedRuns,
	})
	clear(r.unsavedRuns)
	return err
}

func (r *Replica) apply(rd consensus.Ready) error {
	if s := rd.Snapshot; s != nil {
		if s.Index > initialIndex {
			if err := r.opts.Machine.Restore(s.Data); err != nil {
				return fault.Wrap(err, fault.KindInvalidMessage, "the leader's snapshot cannot be restored",
					"update this host to the leader's release")
			}
		}
		r.terms.reset(r.opts.Now())
		r.opts.Logger.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot installed")
	}
	for _, e := range rd.Committed {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) applyEntry(e *apiv1.LogEntry) error {
	r.terms.recordEntry(e.GetTerm(), r.opts.Now())
	var result any
	if e.GetType() == apiv1.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
		cmd := &apiv1.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			return fault.Wrap(err, fault.KindStorageDamaged, "a committed command cannot be decoded",
				"update this host to the leader's release")
		}
		result = r.opts.Machine.Apply(e.GetIndex(), cmd)
	}
	p := r.pending[e.GetIndex()]
	if p == nil {
		return nil
	}
	delete(r.pending, e.GetIndex())
	if p.pos.Term != e.GetTerm() {
		p.finish(nil, r.notLeader())
		return nil
	}
	p.finish(result, nil)
	return nil
}

// compact saves a snapshot if enough entries were applied since the last one.
func (r *Replica) compact() error {
	s := r.node.Status()
	if s.Applied < s.SnapshotIndex+r.opts.SnapshotEntries {
		return nil
	}
	data, err := r.opts.Machine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.KindInternal, "the state cannot be encoded", "report this fault")
	}
	snapshot, keepFrom := r.node.Compact(s.Applied, data, r.opts.TrailingEntries)
	if snapshot == nil {
		return nil
	}
	return r.opts.Store.Save(storage.Update{Snapshot: snapshot, KeepFrom: keepFrom})
}

func (r *Replica) newRequest() *apiv1.StepRequest {
	return &apiv1.StepRequest{
		Cluster: r.opts.Cluster, FromDiskId: r.id.DiskID, Boot: r.id.Boot, BootNonce: r.id.Nonce,
		Saves: r.opts.Store.Saves(),
	}
}

// sendMessages sends one request to each receiver, in the order of disk
// identities.
func (r *Replica) sendMessages(messages []*apiv1.LogMessage) {
	if len(messages) == 0 {
		return
	}
	byReceiver := map[string][]*apiv1.LogMessage{}
	for _, m := range messages {
		byReceiver[m.GetTo()] = append(byReceiver[m.GetTo()], m)
	}
	for _, disk := range slices.Sorted(maps.Keys(byReceiver)) {
		to := r.memberOf(disk)
		if to == nil {
			continue
		}
		req := r.newRequest()
		req.Messages = byReceiver[disk]
		r.opts.Transport.Send(to, req)
	}
}

// memberOf returns the member with the disk identity from the member set, or
// else the sender of its last hello.
func (r *Replica) memberOf(disk string) *apiv1.Member {
	if r.node != nil {
		if m := consensus.FindMember(r.node.Members(), disk); m != nil {
			return m
		}
	}
	return r.bootstrap.senders[disk]
}

// handleRoleChange logs a change of role or term, fails the pending proposals when
// leadership is lost, and finishes the calls that wait for a transfer.
func (r *Replica) handleRoleChange() {
	role, term, leader := r.node.RoleTermLeader()
	if role != r.role || term != r.term {
		r.opts.Logger.Info().Str("role", role.String()).Uint64("term", term).Str("leader", leader).Msg("role changed")
	}
	if r.role == consensus.Leader && (role != consensus.Leader || term != r.term) {
		r.failPending("leadership was lost before the proposal was committed")
	}
	r.role, r.term = role, term
	if len(r.transfers) > 0 && (role != consensus.Leader || !r.node.Transferring()) {
		for _, done := range r.transfers {
			done <- r.transferResult(role)
		}
		r.transfers = nil
	}
}
