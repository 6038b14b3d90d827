package replica

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
)

// Lease tells whether this host may give orders as the leader.
type Lease struct {
	// Term is the fencing number of orders.
	Term uint64
	// Held is true while this host leads alone and has applied all that earlier
	// leaders committed.
	Held bool
	// Until is when the lease ends unless it is renewed.
	Until time.Time
	// EarlierSince is a time at which the leader of the last earlier term had
	// begun, or later. Leaders before that one have given no order since.
	EarlierSince time.Time
}

// Status describes a replica.
type Status struct {
	// Stage is "gathering", "confirming", "joining" or "running".
	Stage string
	// Detail says what a replica that is not running waits for.
	Detail  string
	Self    *apiv1.Member
	Leader  *apiv1.Member
	Members []*apiv1.Member
	consensus.Status
}

// published is what other goroutines see.
type published struct {
	status       Status
	lease        time.Time
	applied      bool
	earlierSince time.Time
}

func (r *Replica) publish() {
	p := published{lease: r.node.Lease(), earlierSince: r.terms.earlierSince}
	p.status = Status{
		Stage: "running", Self: r.self, Leader: r.leaderMember(),
		Members: r.node.Members().GetMembers(), Status: r.node.Status(),
	}
	p.applied = p.status.Applied >= p.status.FirstIndex
	r.mu.Lock()
	r.published = p
	r.mu.Unlock()
}

func (r *Replica) leaderMember() *apiv1.Member {
	if r.node == nil {
		return nil
	}
	_, _, leader := r.node.LeaderState()
	if leader == "" {
		return nil
	}
	return r.memberOf(leader)
}

// Lease returns the lease at this moment.
func (r *Replica) Lease() Lease {
	r.mu.Lock()
	p := r.published
	r.mu.Unlock()
	return Lease{
		Term: p.status.Term, Until: p.lease,
		Held: p.applied && r.opts.Now().Before(p.lease), EarlierSince: p.earlierSince,
	}
}

// Leader returns the leader, or nil when it is unknown. It must not be changed.
func (r *Replica) Leader() *apiv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.status.Leader
}

// Status returns the state of the replica. It must not be changed.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.status
}

// terms dates the terms by the entries that were applied. A leader gives orders
// only after the first entry of its term is committed, so that the time at which
// this host applied it is no earlier than the leader's start.
type terms struct {
	term                uint64
	since, earlierSince time.Time
}

// apply takes in an applied entry.
func (t *terms) apply(term uint64, now time.Time) {
	if term == t.term {
		return
	}
	t.earlierSince = t.since
	t.term, t.since = term, now
}

// restart forgets what was seen before a start or a snapshot, which hide when
// terms began.
func (t *terms) restart(now time.Time) { t.since, t.earlierSince = now, now }
