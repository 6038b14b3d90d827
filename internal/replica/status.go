package replica

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
)

// Lease describes whether this host may send orders as the leader.
type Lease struct {
	// Term is the leader's term, which fences its orders.
	Term uint64
	// Held is true while this host is the only leader and has applied every entry
	// that earlier leaders committed.
	Held bool
	// Until is the time at which the lease expires unless it is renewed.
	Until time.Time
	// EarlierSince is a time not before the start of the leader of the previous
	// term. Leaders before that one have sent no order since.
	EarlierSince time.Time
}

// Status describes a replica.
type Status struct {
	// Stage is "gathering", "confirming", "joining" or "running".
	Stage string
	// Detail states what a replica that is not running is waiting for.
	Detail  string
	Self    *apiv1.Member
	Leader  *apiv1.Member
	Members []*apiv1.Member
	consensus.Status
}

// published is the part of the state that other goroutines read.
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
	_, _, leader := r.node.RoleTermLeader()
	if leader == "" {
		return nil
	}
	return r.memberOf(leader)
}

// Lease returns the current lease.
func (r *Replica) Lease() Lease {
	r.mu.Lock()
	p := r.published
	r.mu.Unlock()
	return Lease{
		Term: p.status.Term, Until: p.lease,
		Held: p.applied && r.opts.Now().Before(p.lease), EarlierSince: p.earlierSince,
	}
}

// Leader returns the leader, or nil if it is unknown. The caller must not modify
// the result.
func (r *Replica) Leader() *apiv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.status.Leader
}

// Status returns the state of the replica. The caller must not modify the result.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.status
}

// termTimes holds the start times of the last two terms, taken from the entries
// that were applied. A leader sends orders only after the first entry of its term
// is committed, so the time at which this host applied that entry is not before
// the leader's start.
type termTimes struct {
	term                uint64
	since, earlierSince time.Time
}

// recordEntry records the term of an applied entry.
func (t *termTimes) recordEntry(term uint64, now time.Time) {
	if term == t.term {
		return
	}
	t.earlierSince = t.since
	t.term, t.since = term, now
}

// reset discards the recorded times after a start or a snapshot, because the
// entries that began the terms were not applied one by one.
func (t *termTimes) reset(now time.Time) { t.since, t.earlierSince = now, now }
