// Package rate leases shares of each team's token bucket to entry hosts. The
// Lender on the control leader owns the buckets; the Account on each entry host
// spends what it borrowed. At the lender, level + outstanding never exceeds the
// burst, and a token is usable at one place only, so that the spending of all
// hosts in a window of length t never exceeds burst + rate x t.
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
	// grantValid is how long a host may use tokens, counted from the send of the
	// Borrow that granted or renewed them.
	grantValid = 2 * time.Second
	// lenderValid is when the lender counts a grant as spent, counted from the
	// receipt of Borrow. The difference covers clocks that run at different rates.
	lenderValid = 2500 * time.Millisecond
	// sequenceMemory is how long the lender remembers the last sequence of a
	// silent host. A Borrow that is delayed for longer could be taken for a new one.
	sequenceMemory = time.Minute
	// wantMemory is how long an unmet want reserves a share for its host.
	wantMemory = time.Second
	// recentHalfLife is how fast earlier grants stop counting against a host.
	recentHalfLife = time.Second
	// shareEvery is how often the fair share is computed when a team's tokens are
	// at more than fewLeases hosts; its cost grows with the number of hosts.
	shareEvery = 20 * time.Millisecond
	fewLeases  = 64
)

type holderKey struct {
	host        string
	incarnation uint64
}

// holder is one incarnation of an entry host.
type holder struct {
	key      holderKey
	sequence uint64
	answer   *apiv1.BorrowResponse
	heard    time.Time
}

// lease is what one holder has of one team's tokens.
type lease struct {
	granted  uint64 // tokens that the host has accounted for, plus the last answer
	spent    uint64
	returned uint64
	unmet    uint64
	wanted   time.Time
	expires  time.Time
	recent   float64 // tokens granted lately
	decayed  time.Time
	// withdrawn is set when the host's counters do not fit the lease. It gets
	// nothing more until the lease has expired.
	withdrawn bool
}

func (l *lease) outstanding() uint64 { return l.granted - l.spent - l.returned }

// Lender owns the token buckets of all teams for one term.
type Lender struct {
	mu      sync.Mutex
	term    uint64
	start   time.Time
	teams   map[string]*bucket
	holders map[holderKey]*holder
}

// NewLender returns a lender for the term. Tokens of an earlier lender may be in
// use until lenderValid after start, so that nothing is granted before.
func NewLender(term uint64, start time.Time) *Lender {
	return &Lender{term: term, start: start, teams: map[string]*bucket{}, holders: map[holderKey]*holder{}}
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
			b = newBucket(l.start.Add(lenderValid), now)
			l.teams[t.GetName()] = b
		}
		b.removed = false
		b.setRate(t.GetRate().GetTokensPerSecond(), t.GetRate().GetBurstTokens())
	}
	l.expire(now)
}

// Borrow books what the host reports and grants tokens. A resend of the last
// sequence gets the same answer; an older sequence changes nothing.
func (l *Lender) Borrow(req *apiv1.BorrowRequest, now time.Time) *apiv1.BorrowResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := holderKey{req.GetHost(), req.GetIncarnation()}
	h := l.holders[key]
	if h == nil {
		h = &holder{key: key}
		l.holders[key] = h
	}
	resp := &apiv1.BorrowResponse{Term: l.term, Sequence: req.GetSequence()}
	switch {
	case req.GetSequence() < h.sequence:
		return resp
	case req.GetSequence() == h.sequence && h.answer != nil:
		h.heard = now
		return l.repeat(h, now)
	}
	h.sequence, h.heard, h.answer = req.GetSequence(), now, resp
	for _, tb := range req.GetTeams() {
		if b := l.teams[tb.GetTeam()]; b != nil {
			resp.Grants = append(resp.Grants, l.borrowTeam(b, key, req.GetTerm(), tb, now))
		}
	}
	return resp
}

// repeat answers a resend. A lease that expired in between is withdrawn, since
// its tokens count as spent.
func (l *Lender) repeat(h *holder, now time.Time) *apiv1.BorrowResponse {
	// The first answer may still be on its way out.
	answer := proto.CloneOf(h.answer)
	for _, g := range answer.GetGrants() {
		ls := l.leaseOf(g.GetTeam(), h.key, now)
		if ls == nil || ls.withdrawn {
			g.Granted, g.ValidMs = 0, 0
			continue
		}
		ls.expires = now.Add(lenderValid)
	}
	return answer
}

func (l *Lender) leaseOf(team string, key holderKey, now time.Time) *lease {
	if b := l.teams[team]; b != nil {
		return b.lease(key, now)
	}
	return nil
}

// borrowTeam books one team's report. The answer has valid_ms 0 when the lender
// does not know the tokens that the host claims; the host then drops them.
func (l *Lender) borrowTeam(b *bucket, key holderKey, term uint64, tb *apiv1.TeamBorrow, now time.Time) *apiv1.TeamGrant {
	b.refill(now)
	grant := &apiv1.TeamGrant{Team: tb.GetTeam()}
	claimed := tb.GetSpent() + tb.GetUnspent() + tb.GetReturned()
	if term != l.term {
		// The host acts on another lender's tokens, so that it never received
		// an answer of this one and discards it if it still arrives.
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
	} else if ls.withdrawn || !b.book(ls, tb) {
		ls.withdrawn = true
		return grant
	}
	ls.expires = now.Add(lenderValid)
	ls.wanted = now
	ls.unmet = tb.GetWant()
	if b.removed {
		ls.unmet = 0
	}
	grant.Granted = b.grant(ls, now)
	grant.ValidMs = uint32(grantValid.Milliseconds())
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
		b.expire(now)
		if b.removed && len(b.leases) == 0 {
			delete(l.teams, name)
		}
	}
	for key, h := range l.holders {
		if now.Sub(h.heard) > sequenceMemory {
			delete(l.holders, key)
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
			Level: b.level, Outstanding: b.outstanding(now), Spent: b.spent,
		})
	}
	slices.SortFunc(out, func(a, b *apiv1.TeamStatus) int { return cmp.Compare(a.GetTeam(), b.GetTeam()) })
	return out
}
