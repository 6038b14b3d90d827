package bench

import (
	"container/heap"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// nominalTokenTime is the assumed time per output token. It determines when the
// oracle returns the unused tokens of a request.
const nominalTokenTime = 20 * time.Millisecond

// bucket is a plain token bucket, without leases. The oracle uses it, and the
// equal-split baseline for a host's fraction of a rate.
type bucket struct {
	rate, burst, level float64
	last               time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, last: epoch}
}

func (b *bucket) advance(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

func (b *bucket) take(tokens uint64, now time.Time) bool {
	b.advance(now)
	if b.level < float64(tokens) {
		return false
	}
	b.level -= float64(tokens)
	return true
}

func (b *bucket) credit(tokens uint64, now time.Time) {
	b.advance(now)
	b.level = min(b.burst, b.level+float64(tokens))
}

// refund is a number of tokens to return to a bucket at a time.
type refund struct {
	at     time.Time
	tokens uint64
}

type refunds []refund

func (r refunds) Len() int           { return len(r) }
func (r refunds) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r refunds) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *refunds) Push(x any) { *r = append(*r, x.(refund)) }

// Pop implements heap.Interface.
func (r *refunds) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// markWithinRate runs the requests through the oracle: each team's bucket admits the
// team's requests in the order of arrival, each before its queue deadline.
func markWithinRate(requests []*request, teams []*apiv1.Team) {
	byTeam := make([][]*request, len(teams))
	for _, r := range requests {
		byTeam[r.team] = append(byTeam[r.team], r)
	}
	for i, t := range teams {
		markTeam(byTeam[i], newBucket(float64(t.GetRate().GetTokensPerSecond()), float64(t.GetRate().GetBurstTokens())))
	}
}

func markTeam(requests []*request, b *bucket) {
	var due refunds
	for _, r := range requests {
		for now := maxTime(r.arrived, b.last); !now.After(r.arrived.Add(r.deadline())); now = now.Add(tick) {
			for len(due) > 0 && !due[0].at.After(now) {
				b.credit(heap.Pop(&due).(refund).tokens, now)
			}
			if b.take(r.tokens(), now) {
				r.withinRate, r.oracleAdmitted = true, now
				heap.Push(&due, refund{now.Add(time.Duration(r.output) * nominalTokenTime), r.tokens() - r.used()})
				break
			}
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reference holds a central bucket per team, to which the requests that the policy
// admits are charged. It decides whether a refusal was within the rate.
type reference []*bucket

func newReference(teams []*apiv1.Team) reference {
	var ref reference
	for _, t := range teams {
		ref = append(ref, newBucket(float64(t.GetRate().GetTokensPerSecond()), float64(t.GetRate().GetBurstTokens())))
	}
	return ref
}

// chargeRefusal reports whether the refusal of r was within the rate: whether the
// team's bucket has the tokens that r needs. If so, it charges the bucket with the
// tokens that r would have used, so that a token that was granted to no request
// accounts for one refusal only.
func (ref reference) chargeRefusal(r *request, now time.Time) bool {
	ref[r.team].advance(now)
	if ref[r.team].level < float64(r.tokens()) {
		return false
	}
	ref[r.team].level -= float64(r.used())
	return true
}

func (ref reference) admit(r *request, now time.Time) {
	ref[r.team].advance(now)
	ref[r.team].level -= float64(r.tokens())
}

func (ref reference) settle(r *request, used uint64, now time.Time) {
	ref[r.team].credit(r.tokens()-used, now)
}
