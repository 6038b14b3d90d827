package quota

import "time"

// The shared fraction of each rate grows from minShared at fewHosts hosts to maxShared
// at manyHosts hosts. With 9 hosts, the divided rest gives a host a thirteenth of a
// rate, which one large request overdraws for seconds; with 70 hosts it gives less than
// one request per second. Without a leader that makes grants, the hosts have only the
// divided rest. With 9 hosts that would be too little for TestLeaderless if the shared
// fraction were larger than minShared.
const (
	fewHosts  = 10
	manyHosts = 50
	minShared = 0.3
	maxShared = 0.7
)

// sharedFraction returns the fraction of each rate that is not divided.
func (a *Allocator) sharedFraction() float64 {
	growth := float64(len(a.hosts)-fewHosts) / (manyHosts - fewHosts)
	return minShared + (maxShared-minShared)*min(max(growth, 0), 1)
}

// Demand holds the tokens of each request of a team that waits on a host.
type Demand struct {
	Team    string
	Waiting []float64
}

// Grant holds the tokens granted from a team's shared bucket. Wait is the time until the
// bucket may have more; 0 when all requests were granted.
type Grant struct {
	Team   string
	Tokens float64
	Wait   time.Duration
}

// sharedBuckets holds the shared bucket of each team.
type sharedBuckets map[string]*sharedBucket

// sharedBucket is the token bucket of the undivided fraction of a team's rate.
type sharedBucket struct {
	rate  Rate
	level float64
	at    time.Time
}

func (b *sharedBucket) refill(now time.Time) {
	b.level = min(b.level+b.rate.PerSecond*now.Sub(b.at).Seconds(), b.rate.Burst)
	b.at = now
}

// refillShared updates the shared buckets to the rates and the time. The buckets of a
// new leader start empty, because the earlier leader may have granted their tokens. They
// start full if some host has reported and none has allocations of an earlier leader.
func (a *Allocator) refillShared(now time.Time) {
	for team, rate := range a.rates {
		b := a.shared[team]
		if b == nil {
			b = &sharedBucket{at: now}
			if len(a.hosts) > 0 && !a.earlier {
				b.level = rate.Burst
			}
			a.shared[team] = b
		}
		b.rate = rate.scale(a.sharedFraction())
		b.refill(now)
	}
	for team := range a.shared {
		if _, ok := a.rates[team]; !ok {
			delete(a.shared, team)
		}
	}
}

// Grant grants tokens to the waiting requests of a host. A new leader grants nothing
// until it knows whether there was an earlier leader.
func (a *Allocator) Grant(demands []Demand, now time.Time) []Grant {
	if now.Sub(a.start) < settleTime {
		return nil
	}
	a.refillShared(now)
	out := make([]Grant, 0, len(demands))
	for _, w := range demands {
		b := a.shared[w.Team]
		if b == nil {
			continue
		}
		granted, wait := b.grant(w.Waiting)
		out = append(out, Grant{Team: w.Team, Tokens: granted, Wait: wait})
	}
	return out
}

// grant takes tokens for the requests in their order and returns the sum, and the time
// until the next request may get its tokens. The last one may overdraw the bucket, so
// that large requests do not starve behind small ones.
func (b *sharedBucket) grant(requests []float64) (granted float64, wait time.Duration) {
	for _, tokens := range requests {
		if b.level <= 0 {
			return granted, b.wait()
		}
		b.level -= tokens
		granted += tokens
	}
	return granted, 0
}

// wait returns how long the bucket stays empty.
func (b *sharedBucket) wait() time.Duration {
	if b.rate.PerSecond <= 0 {
		return maxRetry
	}
	return min(max(time.Duration(-b.level/b.rate.PerSecond*float64(time.Second)), minRetry), maxRetry)
}
