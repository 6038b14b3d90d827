// Package rate leases tokens of each team's token bucket to entry hosts. The Lender
// on the control leader owns the buckets; the Account on each entry host spends the
// leased tokens. At the lender, level + outstanding never exceeds the burst, and
// each token can be spent in one place only, so that all hosts together never spend
// more than burst + rate x t in a window of length t.
package rate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// grantTTL is how long a host may use tokens after it sent the Borrow request
	// that granted or renewed them.
	grantTTL = 2 * time.Second
	// leaseTTL is the time from the receipt of a Borrow request after which the
	// lender counts its grants as spent. It exceeds grantTTL to allow for clocks
	// that run at different rates.
	leaseTTL = 2500 * time.Millisecond
	// sequenceRetention is how long the lender retains the last sequence of a host
	// that sends nothing. A Borrow request that is delayed for longer could be
	// mistaken for a new one.
	sequenceRetention = time.Minute
	// unmetDemandTTL is how long an unmet demand counts in the fair share after its
	// report.
	unmetDemandTTL = time.Second
	// recentHalfLife is the half-life of earlier grants in the fair share.
	recentHalfLife = time.Second
	// fairShareInterval is how often the fair share is computed for a team with more
	// than maxExactLeases leases, since the cost grows with the number of hosts.
	fairShareInterval = 20 * time.Millisecond
	maxExactLeases    = 64
)

// leaseKey identifies one incarnation of an entry host.
type leaseKey struct {
	host        string
	incarnation uint64
}

// hostState is the state of one incarnation of an entry host. Its response is the
// one to the last sequence.
type hostState struct {
	key      leaseKey
	sequence uint64
	response *apiv1.BorrowResponse
	lastSeen time.Time
}

// lease is one team's tokens that are leased to one host.
type lease struct {
	granted      uint64 // tokens in the host's last report plus those granted in the last response
	spent        uint64
	returned     uint64
	unmet        uint64
	demandAt     time.Time // when unmet was reported
	expires      time.Time
	recentGrants float64 // tokens granted recently, decayed until decayedAt
	decayedAt    time.Time
	// withdrawn is set when the host's counters contradict the lease. The host then
	// gets no grants until the lease has expired.
	withdrawn bool
}

func (l *lease) outstanding() uint64 { return l.granted - l.spent - l.returned }

// Lender owns the token buckets of all teams for one term.
type Lender struct {
	mu    sync.Mutex
	term  uint64
	start time.Time
	// lendReserve is true if the reserve of each bucket may be granted at once.
	lendReserve bool
	teams       map[string]*bucket
	hosts       map[leaseKey]*hostState
}

// NewLender returns a lender for the term. Tokens of an earlier lender may be in use
// until leaseTTL after start, so the lender grants none before then unless
// SetPrecedingStart allows it.
func NewLender(term uint64, start time.Time) *Lender {
	return &Lender{term: term, start: start, teams: map[string]*bucket{}, hosts: map[leaseKey]*hostState{}}
}

// SetPrecedingStart sets a time by which the preceding lender had started. If it is at least
// leaseTTL before this lender's start, all outstanding tokens were granted by the
// preceding lender, which never had the reserve outstanding, so this lender may grant
// the reserve at once. After two changes of the lender in quick succession it may
// not, since the lender in between may have granted it. SetPrecedingStart must be called
// before SetTeams.
func (l *Lender) SetPrecedingStart(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lendReserve = l.start.Sub(since) >= leaseTTL
}

// SetTeams replaces the teams and their rates. A new team starts at level 0. A
// removed team's bucket stays until its grants have expired.
func (l *Lender) SetTeams(teams []*apiv1.Team, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.teams {
		b.refill(now)
		b.removed = true
	}
	for _, t := range teams {
		b := l.teams[t.GetName()]
		if b == nil {
			b = newBucket(l.start.Add(leaseTTL), l.lendReserve, now)
			l.teams[t.GetName()] = b
		}
		b.removed = false
		b.setRate(t.GetRate().GetTokensPerSecond(), t.GetRate().GetBurstTokens())
	}
	l.expire(now)
}

// Borrow applies the host's report and grants tokens. A resend of the last sequence
// gets the same response; an older sequence changes nothing.
func (l *Lender) Borrow(req *apiv1.BorrowRequest, now time.Time) *apiv1.BorrowResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := leaseKey{req.GetHost(), req.GetIncarnation()}
	h := l.hosts[key]
	if h == nil {
		h = &hostState{key: key}
		l.hosts[key] = h
	}
	resp := &apiv1.BorrowResponse{Term: l.term, Sequence: req.GetSequence()}
	switch {
	case req.GetSequence() < h.sequence:
		return resp
	case req.GetSequence() == h.sequence && h.response != nil:
		h.lastSeen = now
		return l.answerResend(h, now)
	}
	h.sequence, h.lastSeen, h.response = req.GetSequence(), now, resp
	for _, tb := range req.GetTeams() {
		if b := l.teams[tb.GetTeam()]; b != nil {
			resp.Grants = append(resp.Grants, l.borrowTeam(b, key, req.GetTerm(), tb, now))
		}
	}
	return resp
}

// answerResend returns the response to a resent request. Grants of a lease that
// expired in between are withdrawn, since its tokens count as spent.
func (l *Lender) answerResend(h *hostState, now time.Time) *apiv1.BorrowResponse {
	// The stored response may still be in use by the sender of the first copy.
	resp := proto.CloneOf(h.response)
	for _, g := range resp.GetGrants() {
		ls := l.leaseOf(g.GetTeam(), h.key, now)
		if ls == nil || ls.withdrawn {
			g.Granted, g.ValidMs = 0, 0
			continue
		}
		ls.expires = now.Add(leaseTTL)
	}
	return resp
}

func (l *Lender) leaseOf(team string, key leaseKey, now time.Time) *lease {
	if b := l.teams[team]; b != nil {
		return b.lease(key, now)
	}
	return nil
}

// borrowTeam applies one team's report and grants tokens. The grant has valid_ms 0
// if the lender has no matching lease for the tokens that the host claims; the host
// then discards them.
func (l *Lender) borrowTeam(b *bucket, key leaseKey, term uint64, tb *apiv1.TeamBorrow, now time.Time) *apiv1.TeamGrant {
	b.refill(now)
	grant := &apiv1.TeamGrant{Team: tb.GetTeam()}
	claimed := tb.GetSpent() + tb.GetUnspent() + tb.GetReturned()
	if term != l.term {
		// The host uses another lender's tokens. It has therefore received no
		// response from this lender, and will ignore one that still arrives.
		b.reclaim(key)
		claimed = 0
	}
	ls := b.lease(key, now)
	if ls == nil {
		if claimed > 0 {
			return grant
		}
		ls = &lease{}
		b.leases[key] = ls
	} else if ls.withdrawn || !b.applyReport(ls, tb) {
		ls.withdrawn = true
		return grant
	}
	ls.expires = now.Add(leaseTTL)
	ls.demandAt = now
	ls.unmet = tb.GetWant()
	if b.removed {
		ls.unmet = 0
	}
	grant.Granted = b.grant(ls, now)
	grant.ValidMs = uint32(grantTTL.Milliseconds())
	grant.RetryAfterMs = b.retryAfter(ls, now)
	return grant
}

// Tick expires grants and refills the buckets.
func (l *Lender) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Lender) expire(now time.Time) {
	for name, b := range l.teams {
		b.refill(now)
		b.expireLeases(now)
		if b.removed && len(b.leases) == 0 {
			delete(l.teams, name)
		}
	}
	for key, h := range l.hosts {
		if now.Sub(h.lastSeen) > sequenceRetention {
			delete(l.hosts, key)
		}
	}
}

// Status returns the buckets sorted by team.
func (l *Lender) Status(now time.Time) []*apiv1.TeamStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out []*apiv1.TeamStatus
	for name, b := range l.teams {
		out = append(out, &apiv1.TeamStatus{
			Team: name, TokensPerSecond: b.rate, BurstTokens: b.burst,
			Level: b.level, Outstanding: b.outstanding(), Spent: b.spent,
		})
	}
	slices.SortFunc(out, func(a, b *apiv1.TeamStatus) int { return cmp.Compare(a.GetTeam(), b.GetTeam()) })
	return out
}
