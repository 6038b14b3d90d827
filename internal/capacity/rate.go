package capacity

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// borrowRequest returns a host's Borrow for the given number of teams.
func borrowRequest(host, teams int, sequence uint64) *apiv1.BorrowRequest {
	req := &apiv1.BorrowRequest{Cluster: cluster, Host: hostName(host), Incarnation: 1, Sequence: sequence, Term: 1}
	for i := range teams {
		req.Teams = append(req.Teams, &apiv1.TeamBorrow{Team: teamName(i), Want: 4000})
	}
	return req
}

// newLender returns a lender whose term began a minute before now.
func newLender(teams int, now time.Time) *rate.Lender {
	l := rate.NewLender(1, now.Add(-time.Minute))
	l.SetTeams(manifest(0, 0, teams, 0).GetTeams(), now.Add(-time.Minute))
	return l
}

// measureRate measures Borrow by teams and hosts, and the lender's tick and memory
// by leases. There is one lease per pair of team and host.
func (b *bench) measureRate() error {
	now := time.Unix(1_800_000_000, 0)
	b.sweep("borrow.bytes", "Borrow and its answer", "teams", "bytes", b.sizes(400), func(n int) float64 {
		req := borrowRequest(1, n, 1<<20)
		for _, t := range req.Teams {
			t.Spent, t.Unspent = 40_000_000, 5000
		}
		resp := &apiv1.BorrowResponse{Term: 1, Sequence: 1 << 20}
		for i := range n {
			resp.Grants = append(resp.Grants, &apiv1.TeamGrant{Team: teamName(i), Granted: 4000, ValidMs: 2000})
		}
		return float64(proto.Size(req) + proto.Size(resp))
	})
	b.sweep("borrow.teams", "lend to one host", "teams", "s", b.sizes(400), func(n int) float64 {
		l := newLender(n, now)
		return b.cpuPerOp(50, func(i int) { l.Borrow(borrowRequest(i%50, n, uint64(i+1)), now) })
	})
	const teams = 10
	b.sweep("borrow.hosts", "lend 10 teams to one host, by hosts that lend as well", "hosts", "s", b.sizes(1200), func(n int) float64 {
		l := newLender(teams, now)
		for h := range n {
			l.Borrow(borrowRequest(h, teams, 1), now)
		}
		return b.cpuPerOp(100, func(i int) { l.Borrow(borrowRequest(i%n, teams, uint64(i+2)), now) })
	})
	b.sweep("lender.tick", "lender's tick", "leases", "s", b.sizes(40_000), func(n int) float64 {
		l := lenderWithLeases(n, now)
		return b.cpuPerOp(5, func(int) { l.Tick(now) })
	})
	b.sweep("lender.memory", "lender's leases, live heap", "leases", "bytes", b.sizes(40_000), func(n int) float64 {
		return heapBytes(func() any { return lenderWithLeases(n, now) })
	})
	return nil
}

// lenderWithLeases returns a lender with about n leases of up to 100 teams.
func lenderWithLeases(n int, now time.Time) *rate.Lender {
	teams := min(n, 100)
	l := newLender(teams, now)
	for h := range n / teams {
		l.Borrow(borrowRequest(h, teams, 1), now)
	}
	return l
}
