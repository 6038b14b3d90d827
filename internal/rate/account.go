package rate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// refundWindow is how long a reservation stays refundable. An open reservation
	// occupies a part of the burst until it is settled; an older one counts as
	// spent in full, so that long streams do not keep the bucket from refilling.
	refundWindow = 4 * time.Second
	// ageClasses is the number of classes into which open reservations are grouped
	// by age.
	ageClasses   = 8
	ageClassSpan = refundWindow / ageClasses
	// defaultRetryAfter is used when the lender has not sent a retry-after time.
	defaultRetryAfter = 250 * time.Millisecond
)

// Reservation is the tokens reserved for one admitted request.
type Reservation struct{ r *reservation }

type reservation struct {
	team       string
	tokens     uint64
	generation uint64
	ageClass   int64 // negative if the reservation is not refundable
	settled    bool
}

// Tokens returns the reserved number of tokens.
func (r Reservation) Tokens() uint64 {
	if r.r == nil {
		return 0
	}
	return r.r.tokens
}

// Account spends the leased tokens of one entry host.
type Account struct {
	mu          sync.Mutex
	host        string
	incarnation uint64
	sequence    uint64
	term        uint64
	applied     uint64 // last sequence whose response was applied
	teams       map[string]*balance
	lastRequest time.Time
}

// NewAccount returns an account without tokens.
func NewAccount(host string, incarnation uint64) *Account {
	return &Account{host: host, incarnation: incarnation, teams: map[string]*balance{}}
}

func (a *Account) balance(team string) *balance {
	b := a.teams[team]
	if b == nil {
		b = &balance{}
		a.teams[team] = b
	}
	return b
}

// Reserve reserves tokens for a request. It returns false if the host has too few
// tokens; the caller then queues the request and calls SetDemand.
func (a *Account) Reserve(team string, tokens uint64, now time.Time) (Reservation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.balance(team)
	b.advance(now)
	r := &reservation{team: team, tokens: tokens}
	if !b.reserve(r, now) {
		return Reservation{}, false
	}
	b.reserved += tokens
	return Reservation{r}, true
}

// Settle ends a reservation and refunds the unused tokens. Only the first call for
// a reservation has an effect.
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
	b := a.balance(r.team)
	b.advance(now)
	b.settle(r, used)
}

// SetDemand sets the number of tokens that the team's queued requests lack. It is
// reset by the next Request.
func (a *Account) SetDemand(team string, tokens uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balance(team).queued = tokens
}

// HasUnmetDemand reports whether queued requests of any team lack tokens, so that
// the next Borrow is urgent.
func (a *Account) HasUnmetDemand() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range a.teams {
		if b.queued > 0 {
			return true
		}
	}
	return false
}

// Request returns the next Borrow request. Responses to earlier requests are
// ignored from then on.
func (a *Account) Request(now time.Time) *apiv1.BorrowRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	interval := now.Sub(a.lastRequest)
	if a.lastRequest.IsZero() {
		interval = defaultRetryAfter
	}
	a.lastRequest = now
	req := a.header()
	for name, b := range a.teams {
		b.advance(now)
		b.updateDemandRate(interval)
		if tb := b.report(name); tb != nil {
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

// Apply applies the response to the latest request, which was not sent before
// sent. It ignores other responses.
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
		for _, b := range a.teams {
			b.changeTerm()
		}
	}
	for _, g := range resp.GetGrants() {
		a.balance(g.GetTeam()).apply(g, sent)
	}
}

// RetryAfter estimates how long it takes until the team can reserve the tokens.
func (a *Account) RetryAfter(team string, tokens uint64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.balance(team)
	b.advance(now)
	if b.available() >= tokens {
		return 0
	}
	return max(b.retryAt.Sub(now), defaultRetryAfter)
}

// Release returns all held tokens to the lender at a planned stop. It returns the
// request to send. Open reservations count as spent.
func (a *Account) Release(now time.Time) *apiv1.BorrowRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	req := a.header()
	for name, b := range a.teams {
		b.advance(now)
		b.spendOpen()
		b.earlierTerm = 0
		b.returned += b.held
		b.held = 0
		if b.spent+b.returned > 0 {
			req.Teams = append(req.Teams, &apiv1.TeamBorrow{Team: name, Spent: b.spent, Returned: b.returned})
		}
	}
	sortTeams(req)
	return req
}
