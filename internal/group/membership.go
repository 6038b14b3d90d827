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
	// candidateTTL is how long an offer is valid. A waiting host repeats its offer
	// every joinInterval.
	candidateTTL = 2500 * time.Millisecond
	// voterTimeout is how long a voter may be silent before a waiting host replaces
	// it. It exceeds the longest election, so that a slow voter is not replaced.
	voterTimeout = 2 * time.Second
	// changeTimeout is the timeout of one change of the member set.
	changeTimeout = 2 * time.Second
)

// candidate is a host that has offered itself as a member.
type candidate struct {
	member   *apiv1.Member
	lastSeen time.Time
}

// Join handles a host's offer to become a member. Only the leader records it.
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
	// A host has one disk, so an earlier offer from its address is outdated.
	for disk, c := range g.candidates {
		if c.member.GetAddress() == m.GetAddress() {
			delete(g.candidates, disk)
		}
	}
	g.candidates[m.GetDiskId()] = candidate{member: m, lastSeen: g.opts.Now()}
	return resp
}

// offerPeriodically offers this host to the leader while another host leads.
func (g *Group) offerPeriodically(ctx context.Context) error {
	wait := urgentJoinInterval
	for sleep(ctx, wait) {
		wait = joinInterval
		status := g.Status()
		if g.Lease().Held || status.Self.GetDiskId() == "" {
			continue
		}
		if !g.offerOnce(ctx, status.Self) {
			wait = urgentJoinInterval
		}
	}
	return nil
}

// offerOnce sends the offer to the known hosts until it reaches the leader, and
// reports whether it did.
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
			g.log.Debug().Err(err).Str("to", address).Msg("cannot deliver the offer to join")
			continue
		}
		g.recordMembers(resp.GetLeadership())
		if resp.GetLeadership().GetLeading() {
			return true
		}
		if leader := resp.GetLeadership().GetLeader(); leader != "" {
			queue = slices.Insert(queue, 0, leader)
		}
	}
	return false
}

func (g *Group) recordMembers(l *apiv1.Leadership) {
	if len(l.GetMembers()) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.knownAddresses = l.GetMembers()
}

// addresses returns the base URLs of all hosts that may be members.
func (g *Group) addresses() []string {
	var out []string
	for _, m := range g.Status().Members {
		out = append(out, m.GetAddress())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out = append(append(out, g.knownAddresses...), g.seeds...)
	slices.Sort(out)
	return slices.Compact(out)
}

// maintainMembers periodically plans and makes one change of the member set while
// this host leads.
func (g *Group) maintainMembers(ctx context.Context) error {
	for sleep(ctx, planInterval) {
		r := g.currentReplica()
		if r == nil || !r.Lease().Held {
			continue
		}
		if action := planMembers(2*g.opts.MaxLostHosts+1, memberStatuses(r.Status()), g.freshCandidates()); action.reason != "" {
			g.changeMembers(ctx, r, action)
		}
	}
	return nil
}

func (g *Group) changeMembers(ctx context.Context, r *replica.Replica, a memberAction) {
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
		Msg("member set change attempted")
}

func (g *Group) freshCandidates() []*apiv1.Member {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*apiv1.Member
	for disk, c := range g.candidates {
		if now.Sub(c.lastSeen) > candidateTTL {
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
