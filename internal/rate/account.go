package rate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// reservationHold is how long a reservation stays refundable. Until it is
	// settled it occupies a part of the burst; an older one counts as spent in
	// full, so that long streams do not keep the bucket from refilling.
	reservationHold = 4 * time.Second
	// holdSlots is the number of age classes of open reservations.
	holdSlots = 8
	slotSpan  = reservationHold / holdSlots
	// defaultRetry is the answer when the lender has not told how long to wait.
	defaultRetry = 250 * time.Millisecond
)

// Reservation is the tokens that one admitted request may use.
type Reservation struct{ r *reservation }

type reservation struct {
	team       string
	tokens     uint64
	generation uint64
	slot       int64
	settled    bool
}

// Tokens returns the reserved number of tokens.
func (r Reservation) Tokens() uint64 {
	if r.r == nil {
		return 0
	}
	return r.r.tokens
}

// Account spends borrowed tokens on one entry host.
type Account struct {
	mu          sync.Mutex
	host        string
	incarnation uint64
	sequence    uint64
	term        uint64
	applied     uint64 // last sequence whose answer was applied
	teams       map[string]*balance
	lastRequest time.Time
}

// NewAccount returns an account without tokens.
func NewAccount(host string, incarnation uint64) *Account {
	return &Account{host: host, incarnation: incarnation, teams: map[string]*balance{}}
}

func (a *Account) balance(team string) *balance {
	p := a.teams[team]
	if p == nil {
		p = &balance{}
		a.teams[team] = p
	}
	return p
}

// Reserve takes tokens for a request. It returns false when the host lacks
// tokens; the caller then queues the request and calls SetDemand.
func (a *Account) Reserve(team string, tokens uint64, now time.Time) (Reservation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.balance(team)
	p.advance(now)
	r := &reservation{team: team, tokens: tokens}
	if !p.take(r, now) {
		return Reservation{}, false
	}
	p.taken += tokens
	return Reservation{r}, true
}

// Settle ends a reservation and returns the part that was not used. Only the
// first call for a reservation has an effect.
func (a *Account) Settle(res Reservation, used uint64, now time.Time) {
	r := res.r
	if r == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	p := a.balance(r.team)
	p.advance(now)
	p.settle(r, used)
}

// SetDemand sets the queued demand of a team that lacks tokens. It holds until the
// next Request.
func (a *Account) SetDemand(team string, tokens uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balance(team).queued = tokens
}

// HasUnmetDemand tells whether queued requests of any team lack tokens, so that the
// next Borrow is urgent.
func (a *Account) HasUnmetDemand() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.teams {
		if p.queued > 0 {
			return true
		}
	}
	return false
}

// Request returns the next Borrow request. An answer to an earlier request is
// ignored from here on.
func (a *Account) Request(now time.Time) *apiv1.BorrowRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	interval := now.Sub(a.lastRequest)
	if a.lastRequest.IsZero() {
		interval = defaultRetry
	}
	a.lastRequest = now
	req := a.header()
	for name, p := range a.teams {
		p.advance(now)
		p.estimate(interval)
		if tb := p.report(name); tb != nil {
			req.Teams = append(req.Teams, tb)
		}
	}
	sortTeams(req)
	return req
}

func (a *Account) header() *apiv1.BorrowRequest {
	return &apiv1.BorrowRequest{Host: a.host, Incarnation: a.incarnation, Sequence: a.sequence, Term: a.term}
}

func sortTeams(req *apiv1.BorrowRequest) {
	slices.SortFunc(req.Teams, func(x, y *apiv1.TeamBorrow) int { return cmp.Compare(x.GetTeam(), y.GetTeam()) })
}

// Apply takes over the answer to the latest request. sent is when that request
// was sent, at the earliest. Other answers are ignored.
func (a *Account) Apply(req *apiv1.BorrowRequest, resp *apiv1.BorrowResponse, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seq := req.GetSequence()
	if seq != a.sequence || resp.GetSequence() != seq || a.applied == seq || resp.GetTerm() < a.term {
		return
	}
	a.applied = seq
	if resp.GetTerm() != a.term {
		a.term = resp.GetTerm()
		for _, p := range a.teams {
			p.changeTerm()
		}
	}
	for _, g := range resp.GetGrants() {
		a.balance(g.GetTeam()).apply(g, sent)
	}
}

// RetryAfter estimates when the team can reserve the tokens.
func (a *Account) RetryAfter(team string, tokens uint64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.balance(team)
	p.advance(now)
	if p.available() >= tokens {
		return 0
	}
	return max(p.retryAt.Sub(now), defaultRetry)
}

// Release gives back all held tokens at a planned stop and returns the request
// to send. Open reservations count as spent.
func (a *Account) Release(now time.Time) *apiv1.BorrowRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	req := a.header()
	for name, p := range a.teams {
		p.advance(now)
		p.voidOpen()
		p.previous = 0
		p.returned += p.held
		p.held = 0
		if p.spent+p.returned > 0 {
			req.Teams = append(req.Teams, &apiv1.TeamBorrow{Team: name, Spent: p.spent, Returned: p.returned})
		}
	}
	sortTeams(req)
	return req
}
