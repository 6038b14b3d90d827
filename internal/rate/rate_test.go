package rate

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func teams(rate, burst uint64) []*apiv1.Team {
	return []*apiv1.Team{{Name: "a", Rate: &apiv1.Rate{TokensPerSecond: rate, BurstTokens: burst}}}
}

// exchange sends one Borrow request and applies the response without faults.
func exchange(l *Lender, a *Account, now time.Time) {
	req := a.Request(now)
	a.Apply(req, l.Borrow(req, now), now)
}

// message is a Borrow request in transit to the lender, or its response.
type message struct {
	host int
	acct *Account
	sent time.Time
	req  *apiv1.BorrowRequest
	resp *apiv1.BorrowResponse
}

// spending is the tokens that one request used, or may still use.
type spending struct {
	at   time.Time
	used uint64
}

// open is an open reservation; index is the position of its spending.
type open struct {
	acct  *Account
	res   Reservation
	index int
}

// simulation runs a lender and several hosts that exchange messages over a faulty
// network.
type simulation struct {
	t           *rapid.T
	now         time.Time
	term        uint64
	lender      *Lender
	lenderSince time.Time
	rate, burst uint64
	hosts       []*Account
	accounts    []*Account // including those of stopped incarnations
	incarnation uint64
	inFlight    []message
	spent       []spending
	open        []open
}

func (s *simulation) host() int { return rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host") }

func (s *simulation) newLender() {
	s.term++
	earlier := s.lenderSince
	s.lender, s.lenderSince = NewLender(s.term, s.now), s.now
	s.lender.SetPrecedingStart(earlier)
	s.lender.SetTeams(teams(s.rate, s.burst), s.now)
}

func (s *simulation) restartHost(i int) {
	s.incarnation++
	s.hosts[i] = NewAccount(fmt.Sprintf("host-%d", i), s.incarnation)
	s.accounts = append(s.accounts, s.hosts[i])
}

func (s *simulation) reserve() {
	a, n := s.hosts[s.host()], rapid.Uint64Range(1, s.burst/4).Draw(s.t, "tokens")
	if res, ok := a.Reserve("a", n, s.now); ok {
		s.open = append(s.open, open{a, res, len(s.spent)})
		s.spent = append(s.spent, spending{s.now, n})
	} else {
		a.SetDemand("a", n)
	}
}

func (s *simulation) settle() {
	if len(s.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.open)-1).Draw(s.t, "open")
	o := s.open[i]
	s.open = append(s.open[:i], s.open[i+1:]...)
	used := rapid.Uint64Range(0, o.res.Tokens()).Draw(s.t, "used")
	s.spent[o.index].used = used
	o.acct.Settle(o.res, used, s.now)
	o.acct.Settle(o.res, 0, s.now) // a second settlement has no effect
}

func (s *simulation) sendRequest() {
	i := s.host()
	if rapid.Bool().Draw(s.t, "has demand") {
		s.hosts[i].SetDemand("a", rapid.Uint64Range(0, s.burst).Draw(s.t, "demand"))
	}
	m := message{host: i, acct: s.hosts[i], sent: s.now, req: s.hosts[i].Request(s.now)}
	s.inFlight = append(s.inFlight, m)
}

// deliverMessage delivers a random message in transit and may leave a duplicate of
// it in transit.
func (s *simulation) deliverMessage() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "message")
	m := s.inFlight[i]
	if rapid.IntRange(0, 4).Draw(s.t, "duplicated") > 0 {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	if m.resp == nil {
		m.resp = s.lender.Borrow(m.req, s.now)
		s.inFlight = append(s.inFlight, m)
		return
	}
	m.acct.Apply(m.req, m.resp, m.sent)
}

func (s *simulation) dropMessage() {
	if len(s.inFlight) > 0 {
		i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "lost")
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 150).Draw(s.t, "action") {
	case 0:
		s.restartHost(s.host())
	case 1:
		s.newLender()
	case 2, 5, 6, 7:
		s.dropMessage()
	case 3:
		a := s.hosts[s.host()]
		s.inFlight = append(s.inFlight, message{acct: a, sent: s.now, req: a.Release(s.now)})
	case 4:
		s.now = s.now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(s.t, "long ms")) * time.Millisecond)
		s.lender.Tick(s.now)
	default:
		s.commonStep()
	}
}

func (s *simulation) commonStep() {
	switch rapid.IntRange(0, 9).Draw(s.t, "common action") {
	case 7, 8, 9:
		s.sendRequest()
		m := s.inFlight[len(s.inFlight)-1]
		m.resp = s.lender.Borrow(m.req, s.now)
		m.acct.Apply(m.req, m.resp, m.sent)
	case 0, 1:
		s.reserve()
	case 2:
		s.settle()
	case 3:
		s.sendRequest()
	case 4, 5:
		s.deliverMessage()
	case 6:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(s.t, "ms")) * time.Millisecond)
	}
}

// checkUsable checks that no token can be spent in two places.
func (s *simulation) checkUsable() {
	status := s.lender.Status(s.now)[0]
	if status.GetLevel()+status.GetOutstanding() > s.burst {
		s.t.Fatalf("level %d + outstanding %d > burst %d", status.GetLevel(), status.GetOutstanding(), s.burst)
	}
	usable := status.GetLevel()
	for _, a := range s.accounts {
		if p := a.teams["a"]; p != nil {
			c := *p
			c.advance(s.now)
			usable += c.held + c.open + c.earlierTerm
			for _, open := range c.openByAge {
				if open > c.open {
					s.t.Fatalf("%d tokens of one age class are refundable, but only %d in total", open, c.open)
				}
			}
		}
	}
	if usable > s.burst {
		s.t.Fatalf("%d tokens are usable, more than the burst %d", usable, s.burst)
	}
}

// checkRate replays the spending with one central bucket that starts full. The
// bucket's level stays at or above 0 if and only if no window has a spending above
// burst + rate x length.
func (s *simulation) checkRate() {
	level, last := float64(s.burst), epoch
	for _, sp := range s.spent {
		level = min(float64(s.burst), level+float64(s.rate)*sp.at.Sub(last).Seconds())
		last = sp.at
		level -= float64(sp.used)
		if level < -1e-3 {
			s.t.Fatalf("%.3f tokens too many spent by %s", -level, sp.at.Sub(epoch))
		}
	}
}

// Guards against tokens that can be spent in two places after messages are lost,
// duplicated, delayed or reordered, hosts restart or the lender changes.
func TestSpendingNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: epoch, burst: 400}
		s.rate = rapid.SampledFrom([]uint64{100, 2000}).Draw(t, "rate")
		s.hosts = make([]*Account, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for i := range s.hosts {
			s.restartHost(i)
		}
		s.newLender()
		s.now = s.now.Add(leaseTTL)
		for range rapid.IntRange(50, 800).Draw(t, "steps") {
			s.step()
			s.checkUsable()
		}
		s.checkRate()
	})
}

// Guards against rejecting requests within the team's rate when the team's demand
// moves from one host to another.
func TestMovingDemandIsServed(t *testing.T) {
	l := NewLender(1, epoch)
	l.SetTeams(teams(1000, 2000), epoch)
	hosts := []*Account{NewAccount("h0", 1), NewAccount("h1", 1), NewAccount("h2", 1)}
	refused := 0
	for tick := range 4 * 60 {
		now := epoch.Add(8*time.Second + time.Duration(tick)*250*time.Millisecond)
		for _, h := range hosts {
			exchange(l, h, now)
		}
		h := hosts[tick/40%3]
		r, ok := h.Reserve("a", 200, now.Add(100*time.Millisecond))
		if !ok {
			h.SetDemand("a", 200)
			exchange(l, h, now.Add(110*time.Millisecond))
			if r, ok = h.Reserve("a", 200, now.Add(120*time.Millisecond)); !ok {
				refused++
			}
		}
		h.Settle(r, 150, now.Add(200*time.Millisecond))
	}
	must.Zero(t, refused)
}

// Guards against a burst at one host that leaves no tokens for the demand of others.
func TestBurstLeavesShareForOthers(t *testing.T) {
	l := NewLender(1, epoch)
	l.SetTeams(teams(100, 1000), epoch)
	now := epoch.Add(time.Minute)
	a, b := NewAccount("a", 1), NewAccount("b", 1)
	for _, h := range []*Account{a, b} { // both have an unmet demand when the bucket is empty
		h.SetDemand("a", 1000)
	}
	exchange(l, a, now)
	exchange(l, b, now)
	r, ok := a.Reserve("a", MaxReservation(1000), now)
	must.True(t, ok)
	a.Settle(r, MaxReservation(1000), now)
	for i := range 10 {
		now = now.Add(250 * time.Millisecond)
		a.SetDemand("a", 1_000_000)
		b.SetDemand("a", 50)
		exchange(l, a, now)
		exchange(l, b, now)
		if i > 1 {
			_, ok = b.Reserve("a", 12, now) // 48 of the 50 tokens/s of its fair share
			must.True(t, ok)
		}
	}
}

// Guards against a refund of a reservation that was already counted as spent, and
// against a long request that keeps the bucket from refilling.
func TestLongReservationIsSpent(t *testing.T) {
	l := NewLender(1, epoch)
	l.SetTeams(teams(100, 400), epoch)
	a := NewAccount("a", 1)
	now := epoch.Add(time.Minute)
	a.SetDemand("a", 400)
	exchange(l, a, now)
	r, ok := a.Reserve("a", MaxReservation(400), now)
	must.True(t, ok)
	for range 20 {
		must.LessEq(t, 400, l.Status(now)[0].GetLevel()+l.Status(now)[0].GetOutstanding())
		now = now.Add(250 * time.Millisecond)
		exchange(l, a, now)
	}
	must.Eq(t, MaxReservation(400), l.Status(now)[0].GetSpent())
	held := a.teams["a"].held
	a.Settle(r, 0, now)
	must.Eq(t, held, a.teams["a"].held)
	must.Positive(t, l.Status(now)[0].GetLevel()+held)
}

// Guards against an unfair division of the rate when the demand of many hosts
// exceeds it.
func TestManyHostsShareFairly(t *testing.T) {
	const hosts = 200
	l := NewLender(1, epoch)
	l.SetTeams(teams(100_000, 100_000), epoch)
	accounts, got := make([]*Account, hosts), make([]uint64, hosts)
	for i := range accounts {
		accounts[i] = NewAccount(fmt.Sprint("h", i), 1)
	}
	now := epoch.Add(time.Minute)
	for i := range hosts * 20 {
		now = now.Add(250 * time.Millisecond / hosts)
		a := accounts[i%hosts]
		a.SetDemand("a", 500) // twice the rate in total
		exchange(l, a, now)
		for r, ok := a.Reserve("a", 10, now); ok; r, ok = a.Reserve("a", 10, now) {
			a.Settle(r, 10, now)
			got[i%hosts] += 10
		}
	}
	const fairShare = (100_000 + 5*100_000) / hosts // burst + rate x 5 s
	for _, n := range got {
		must.Between(t, fairShare*4/5, n, fairShare*6/5)
	}
}

// Guards against changing a response that is still being sent when its request
// arrives a second time: the two responses must not share memory.
func TestResendGetsOwnResponse(t *testing.T) {
	l := NewLender(1, epoch)
	l.SetTeams(teams(100, 400), epoch)
	a := NewAccount("a", 1)
	now := epoch.Add(time.Minute)
	a.SetDemand("a", 100)
	req := a.Request(now)
	first := l.Borrow(req, now)
	must.Zero(t, l.Borrow(req, now.Add(3*time.Second)).GetGrants()[0].GetGranted())
	must.Eq(t, 100, first.GetGrants()[0].GetGranted())
}

// Guards against a new lender that grants nothing until all earlier grants have
// expired, and against one that grants more than the reserve before then.
func TestNewLenderLendsReserve(t *testing.T) {
	l := NewLender(2, epoch)
	l.SetPrecedingStart(epoch.Add(-leaseTTL))
	l.SetTeams(teams(100, 1600), epoch)
	a := NewAccount("a", 1)
	reserve := 1600 - MaxReservation(1600)
	var held uint64
	for tick := range 8 {
		now := epoch.Add(time.Duration(tick+1) * 250 * time.Millisecond)
		a.SetDemand("a", 1000)
		exchange(l, a, now)
		held = a.teams["a"].held
		must.Eq(t, min(uint64(25*(tick+1)), reserve), held)
	}
	must.Eq(t, 100, held)
	now := epoch.Add(leaseTTL + time.Second)
	a.SetDemand("a", 1000)
	exchange(l, a, now)
	must.Eq(t, 250, a.teams["a"].held) // 1.5 s more at 100 tokens/s

	thirdLender := NewLender(3, epoch)
	thirdLender.SetPrecedingStart(epoch.Add(-leaseTTL + time.Millisecond))
	thirdLender.SetTeams(teams(100, 1600), epoch)
	b := NewAccount("b", 1)
	b.SetDemand("a", 1000)
	exchange(thirdLender, b, epoch.Add(time.Second))
	must.Zero(t, b.teams["a"].held)
}
