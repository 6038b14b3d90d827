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

// exchange runs one Borrow without faults.
func exchange(l *Lender, a *Account, now time.Time) {
	req := a.Request(now)
	a.Apply(req, l.Borrow(req, now), now)
}

// message is a Borrow request on its way to the lender, or its answer.
type message struct {
	host int
	acct *Account
	sent time.Time
	req  *apiv1.BorrowRequest
	resp *apiv1.BorrowResponse
}

type spending struct {
	at   time.Time
	used uint64
}

type open struct {
	acct  *Account
	res   Reservation
	index int
}

type world struct {
	t           *rapid.T
	now         time.Time
	term        uint64
	lender      *Lender
	lenderSince time.Time
	rate, burst uint64
	hosts       []*Account
	accounts    []*Account // those of stopped incarnations too
	incarnation uint64
	net         []message
	spent       []spending
	open        []open
}

func (w *world) host() int { return rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host") }

func (w *world) newLender() {
	w.term++
	earlier := w.lenderSince
	w.lender, w.lenderSince = NewLender(w.term, w.now), w.now
	w.lender.SetEarlier(earlier)
	w.lender.SetTeams(teams(w.rate, w.burst), w.now)
}

func (w *world) restartHost(i int) {
	w.incarnation++
	w.hosts[i] = NewAccount(fmt.Sprintf("host-%d", i), w.incarnation)
	w.accounts = append(w.accounts, w.hosts[i])
}

func (w *world) reserve() {
	a, n := w.hosts[w.host()], rapid.Uint64Range(1, w.burst/4).Draw(w.t, "tokens")
	if res, ok := a.Reserve("a", n, w.now); ok {
		w.open = append(w.open, open{a, res, len(w.spent)})
		w.spent = append(w.spent, spending{w.now, n})
	} else {
		a.SetDemand("a", n)
	}
}

func (w *world) settle() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "open")
	o := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	used := rapid.Uint64Range(0, o.res.Tokens()).Draw(w.t, "used")
	w.spent[o.index].used = used
	o.acct.Settle(o.res, used, w.now)
	o.acct.Settle(o.res, 0, w.now) // a second settlement has no effect
}

func (w *world) send() {
	i := w.host()
	if rapid.Bool().Draw(w.t, "wants") {
		w.hosts[i].SetDemand("a", rapid.Uint64Range(0, w.burst).Draw(w.t, "want"))
	}
	m := message{host: i, acct: w.hosts[i], sent: w.now, req: w.hosts[i].Request(w.now)}
	w.net = append(w.net, m)
}

// deliver delivers any message in flight and may leave a copy of it there.
func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")
	m := w.net[i]
	if rapid.IntRange(0, 4).Draw(w.t, "doubled") > 0 {
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
	if m.resp == nil {
		m.resp = w.lender.Borrow(m.req, w.now)
		w.net = append(w.net, m)
		return
	}
	m.acct.Apply(m.req, m.resp, m.sent)
}

func (w *world) lose() {
	if len(w.net) > 0 {
		i := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "lost")
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
}

func (w *world) step() {
	switch rapid.IntRange(0, 150).Draw(w.t, "action") {
	case 0:
		w.restartHost(w.host())
	case 1:
		w.newLender()
	case 2, 5, 6, 7:
		w.lose()
	case 3:
		a := w.hosts[w.host()]
		w.net = append(w.net, message{acct: a, sent: w.now, req: a.Release(w.now)})
	case 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(w.t, "long ms")) * time.Millisecond)
		w.lender.Tick(w.now)
	default:
		w.ordinary()
	}
}

func (w *world) ordinary() {
	switch rapid.IntRange(0, 9).Draw(w.t, "ordinary") {
	case 7, 8, 9:
		w.send()
		m := w.net[len(w.net)-1]
		m.resp = w.lender.Borrow(m.req, w.now)
		m.acct.Apply(m.req, m.resp, m.sent)
	case 0, 1:
		w.reserve()
	case 2:
		w.settle()
	case 3:
		w.send()
	case 4, 5:
		w.deliver()
	case 6:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(w.t, "ms")) * time.Millisecond)
	}
}

// checkUsable checks that a token exists at one place only.
func (w *world) checkUsable() {
	s := w.lender.Status(w.now)[0]
	if s.GetLevel()+s.GetOutstanding() > w.burst {
		w.t.Fatalf("level %d + outstanding %d > burst", s.GetLevel(), s.GetOutstanding())
	}
	usable := s.GetLevel()
	for _, a := range w.accounts {
		if p := a.teams["a"]; p != nil {
			c := *p
			c.advance(w.now)
			usable += c.held + c.open + c.previous
			for _, open := range c.slots {
				if open > c.open {
					w.t.Fatalf("%d tokens of one age are refundable, %d of all ages", open, c.open)
				}
			}
		}
	}
	if usable > w.burst {
		w.t.Fatalf("%d tokens are usable, more than the burst", usable)
	}
}

// check replays the spending through one central bucket that starts full. It
// never runs dry exactly when no window has more than burst + rate x length.
func (w *world) check() {
	level, last := float64(w.burst), epoch
	for _, s := range w.spent {
		level = min(float64(w.burst), level+float64(w.rate)*s.at.Sub(last).Seconds())
		last = s.at
		level -= float64(s.used)
		if level < -1e-3 {
			w.t.Fatalf("%.3f tokens too many spent by %s", -level, s.at.Sub(epoch))
		}
	}
}

// Guards against tokens that two places can spend: after lost, doubled, delayed
// and reordered messages, restarts of hosts and new lenders.
func TestSpendingNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch, burst: 400}
		w.rate = rapid.SampledFrom([]uint64{100, 2000}).Draw(t, "rate")
		w.hosts = make([]*Account, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for i := range w.hosts {
			w.restartHost(i)
		}
		w.newLender()
		w.now = w.now.Add(lenderValid)
		for range rapid.IntRange(50, 800).Draw(t, "steps") {
			w.step()
			w.checkUsable()
		}
		w.check()
	})
}

// Guards against refusals within the rate: the demand of a team sits on one
// host and then moves to another, below the team's rate.
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

// Guards against one host's burst that empties the bucket while others want.
func TestBurstLeavesShareForOthers(t *testing.T) {
	l := NewLender(1, epoch)
	l.SetTeams(teams(100, 1000), epoch)
	now := epoch.Add(time.Minute)
	a, b := NewAccount("a", 1), NewAccount("b", 1)
	for _, h := range []*Account{a, b} { // both have an unmet want when the bucket is empty
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
			_, ok = b.Reserve("a", 12, now) // 48 of the 50 tokens/s that are its share
			must.True(t, ok)
		}
	}
}

// Guards against a refund after the reservation has been counted as spent, and
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

// Guards against hosts that get nothing, or too much, when many of them want
// more than there is.
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
		a.SetDemand("a", 500) // twice the rate in sum
		exchange(l, a, now)
		for r, ok := a.Reserve("a", 10, now); ok; r, ok = a.Reserve("a", 10, now) {
			a.Settle(r, 10, now)
			got[i%hosts] += 10
		}
	}
	const share = (100_000 + 5*100_000) / hosts // burst + rate x 5 s
	for _, n := range got {
		must.Between(t, share*4/5, n, share*6/5)
	}
}

// Guards against an answer that changes, when its request arrives again later,
// while the first copy is being sent.
func TestAnswersAreSeparate(t *testing.T) {
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

// Guards against a change of the lender that stops every team until all earlier
// grants have expired, and against more than the reserve before that.
func TestNewLenderLendsReserve(t *testing.T) {
	l := NewLender(2, epoch)
	l.SetEarlier(epoch.Add(-lenderValid))
	l.SetTeams(teams(100, 1600), epoch)
	a := NewAccount("a", 1)
	reserve := 1600 - MaxReservation(1600)
	var lent uint64
	for tick := range 8 {
		now := epoch.Add(time.Duration(tick+1) * 250 * time.Millisecond)
		a.SetDemand("a", 1000)
		exchange(l, a, now)
		lent = a.teams["a"].held
		must.Eq(t, min(uint64(25*(tick+1)), reserve), lent)
	}
	must.Eq(t, 100, lent)
	now := epoch.Add(lenderValid + time.Second)
	a.SetDemand("a", 1000)
	exchange(l, a, now)
	must.Eq(t, 250, a.teams["a"].held) // 1.5 s more at 100 tokens/s

	soon := NewLender(3, epoch)
	soon.SetEarlier(epoch.Add(-lenderValid + time.Millisecond))
	soon.SetTeams(teams(100, 1600), epoch)
	b := NewAccount("b", 1)
	b.SetDemand("a", 1000)
	exchange(soon, b, epoch.Add(time.Second))
	must.Zero(t, b.teams["a"].held)
}
