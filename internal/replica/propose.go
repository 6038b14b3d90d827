package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// proposal is a caller's request to the run loop.
type proposal struct {
	ctx context.Context
	// appendToLog is called by the run loop. A zero position means that there is no
	// entry to wait for.
	appendToLog func() (consensus.Position, error)
	pos         consensus.Position
	done        chan outcome
}

type outcome struct {
	result any
	err    error
}

func (p *proposal) finish(result any, err error) { p.done <- outcome{result, err} }

// Propose appends a command and returns the machine's result once the command
// is committed and applied on this host. It fails with not_leader if the command
// was not and will not be committed, and with outcome_unknown if it may still be.
func (r *Replica) Propose(ctx context.Context, cmd *apiv1.Command) (any, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidRequest, "the command cannot be encoded", "use valid UTF-8").WithRun(fault.NotRun)
	}
	return r.submit(ctx, func() (consensus.Position, error) { return r.node.Propose(data) })
}

// AddMember adds a host as a learner and returns once that is committed. The
// leader promotes the host to voter once it has caught up. If m has no disk
// identity, AddMember uses the one in the last hello from that host.
func (r *Replica) AddMember(ctx context.Context, m *apiv1.Member) error {
	m = proto.Clone(m).(*apiv1.Member)
	_, err := r.submit(ctx, func() (consensus.Position, error) {
		if m.GetDiskId() == "" {
			m.DiskId = r.bootstrap.diskOf[m.GetHost()]
		}
		if m.GetDiskId() == "" {
			// A host that was started without a list of members sends no hello before
			// it receives one. Its reply to this hello contains its disk identity.
			r.opts.Transport.Send(m, r.newHello(""))
		}
		if m.GetDiskId() != "" && consensus.FindMember(r.node.Members(), m.GetDiskId()) != nil {
			return consensus.Position{}, nil
		}
		return r.node.AddMember(m)
	})
	return err
}

// RemoveMember removes the member with the disk identity and returns once that
// is committed.
func (r *Replica) RemoveMember(ctx context.Context, diskID string) error {
	_, err := r.submit(ctx, func() (consensus.Position, error) { return r.node.RemoveMember(diskID) })
	return err
}

// TransferLeadership transfers leadership to the voter with the most up-to-date
// log. It waits until this host no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	done := make(chan error, 1)
	_, err := r.submit(ctx, func() (consensus.Position, error) {
		if err := r.node.TransferLeadership(); err != nil {
			return consensus.Position{}, err
		}
		r.transfers = append(r.transfers, done)
		return consensus.Position{}, nil
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.KindUnavailable, "the transfer did not finish in time", "check the status")
	}
}

func (r *Replica) transferResult(role consensus.Role) error {
	if role != consensus.Leader {
		return nil
	}
	return fault.New(fault.KindUnavailable, "the new leader did not catch up in time", "retry")
}

func (r *Replica) submit(ctx context.Context, appendTo func() (consensus.Position, error)) (any, error) {
	p := &proposal{ctx: ctx, appendToLog: appendTo, done: make(chan outcome, 1)}
	select {
	case <-r.stopped:
		return nil, r.stopping()
	case <-ctx.Done():
		return nil, notProposed(ctx)
	default:
	}
	select {
	case r.proposals <- p:
	default:
		return nil, fault.New(fault.KindOverloaded, "too many proposals are waiting", "retry later").
			WithRun(fault.NotRun).After(time.Second)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, outcomeUnknown("the request ended before the proposal was committed", ctx.Err())
	case <-r.stopped:
	}
	// Run finishes all pending proposals before it returns. A proposal queued after
	// that was not appended, but cannot be distinguished from the others here.
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, outcomeUnknown("this host is stopping", nil)
	}
}

// startProposal appends a proposal, unless its caller's context has ended.
func (r *Replica) startProposal(p *proposal) {
	if p.ctx.Err() != nil {
		p.finish(nil, notProposed(p.ctx))
		return
	}
	if r.node == nil {
		p.finish(nil, r.notLeader())
		return
	}
	pos, err := p.appendToLog()
	if fault.Is(err, fault.KindNotLeader) {
		err = r.notLeader()
	}
	if err != nil || pos.Index == 0 {
		p.finish(nil, err)
		return
	}
	p.pos = pos
	r.pending[pos.Index] = p
}

// failPending finishes all proposals that are not committed yet with an unknown
// outcome.
func (r *Replica) failPending(why string) {
	for _, p := range r.pending {
		p.finish(nil, outcomeUnknown(why, nil))
	}
	clear(r.pending)
}

func outcomeUnknown(why string, cause error) error {
	return fault.Wrap(cause, fault.KindOutcomeUnknown, why,
		"send the same request again; its number or key makes that safe").WithRun(fault.OutcomeUnknown)
}

func notProposed(ctx context.Context) error {
	return fault.Wrap(ctx.Err(), fault.KindUnavailable, "the request ended before it was proposed", "retry").WithRun(fault.NotRun)
}

func (r *Replica) stopping() error {
	return fault.New(fault.KindUnavailable, "this host is stopping", "send the request to another host").WithRun(fault.NotRun)
}

func (r *Replica) notLeader() error {
	err := fault.New(fault.KindNotLeader, "this host does not lead, and the leader is unknown",
		"retry, or ask another control host").WithRun(fault.NotRun)
	if m := r.leaderMember(); m != nil {
		err = fault.Newf(fault.KindNotLeader, "send the request to the leader",
			"this host does not lead; the leader is %s at %s", m.GetHost(), m.GetAddress()).WithRun(fault.NotRun)
	}
	return err
}
