package group

import (
	"context"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
)

const (
	// candidateFresh is how long an offer counts; a waiting host repeats it
	// every joinInterval.
	candidateFresh = 2500 * time.Millisecond
	// voterGone is how long a voter is silent before a waiting host takes its
	// place. It is above the longest election, so that a slow voter stays.
	voterGone = 2 * time.Second
	// changeTimeout bounds one change of the member set.
	changeTimeout = 2 * time.Second
)

// candidate is a host that offers itself as a member.
type candidate struct {
	member *apiv1.Member
	heard  time.Time
}

// Join takes an offer of a host. Only the leader acts on it.
func (g *Group) Join(req *apiv1.JoinRequest) *apiv1.JoinResponse {
	resp := &apiv1.JoinResponse{Leadership: g.Leadership()}
	m := req.GetMember()
	if !resp.Leadership.GetLeading() || m.GetDiskId() == "" || m.GetAddress() == "" {
		return resp
	}
	set := &apiv1.MemberSet{Members: g.Status().Members}
	resp.Member = consensus.FindMember(set, m.GetDiskId()) != nil
	g.mu.Lock()
	defer g.mu.Unlock()
	// A host has one disk. An earlier offer from its address is out of date.
	for disk, c := range g.candidates {
		if c.member.GetAddress() == m.GetAddress() {
			delete(g.candidates, disk)
		}
	}
	g.candidates[m.GetDiskId()] = candidate{member: m, heard: g.opts.Now()}
	return resp
}

// offer keeps offering this host to the leader while another host leads.
func (g *Group) offer(ctx context.Context) error {
	wait := joinUrgent
	for sleep(ctx, wait) {
		wait = joinInterval
		status := g.Status()
		if g.Lease().Held || status.Self.GetDiskId() == "" {
			continue
		}
		if !g.offerOnce(ctx, status.Self) {
			wait = joinUrgent
		}
	}
	return nil
}

// offerOnce asks the known hosts for the leader until it has taken the offer.
func (g *Group) offerOnce(ctx context.Context, self *apiv1.Member) bool {
	asked := map[string]bool{g.opts.Self.GetAddress(): true}
	queue := g.addresses()
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		resp, err := g.opts.Joiner.Join(callCtx, address, &apiv1.JoinRequest{Member: self})
		cancel()
		if err != nil {
			g.log.Debug().Err(err).Str("to", address).Msg("offer not delivered")
			continue
		}
		g.learn(resp.GetLeadership())
		if resp.GetLeadership().GetLeading() {
			return true
		}
		if leader := resp.GetLeadership().GetLeader(); leader != "" {
			queue = slices.Insert(queue, 0, leader)
		}
	}
	return false
}

func (g *Group) learn(l *apiv1.Leadership) {
	if len(l.GetMembers()) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = l.GetMembers()
}

// addresses returns the base URLs of all hosts that may be members.
func (g *Group) addresses() []string {
	var out []string
	for _, m := range g.Status().Members {
		out = append(out, m.GetAddress())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out = append(append(out, g.known...), g.seeds...)
	slices.Sort(out)
	return slices.Compact(out)
}

// maintain changes the member set while this host leads.
func (g *Group) maintain(ctx context.Context) error {
	for sleep(ctx, planInterval) {
		r := g.current()
		if r == nil || !r.Lease().Held {
			continue
		}
		if a := planMembers(2*g.opts.MaxLostHosts+1, viewOf(r.Status()), g.freshCandidates()); a.reason != "" {
			g.change(ctx, r, a)
		}
	}
	return nil
}

func (g *Group) change(ctx context.Context, r *replica.Replica, a memberAction) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	if a.add != nil {
		err = r.AddMember(ctx, a.add)
	} else {
		err = r.RemoveMember(ctx, a.remove)
	}
	g.log.Info().Err(err).Str("event", "members_changed").Str("reason", a.reason).
		Str("added", a.add.GetAddress()).Str("added_disk", a.add.GetDiskId()).Str("removed_disk", a.remove).
		Msg("change of the member set")
}

func (g *Group) freshCandidates() []*apiv1.Member {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*apiv1.Member
	for disk, c := range g.candidates {
		if now.Sub(c.heard) > candidateFresh {
			delete(g.candidates, disk)
			continue
		}
		out = append(out, c.member)
	}
	slices.SortFunc(out, func(a, b *apiv1.Member) int {
		return strings.Compare(a.GetAddress()+a.GetDiskId(), b.GetAddress()+b.GetDiskId())
	})
	return out
}
