package quota

import "time"

// fewHosts and manyHosts bound the numbers of hosts between which the pool grows
// from poolLeast to poolMost of each rate. With 9 hosts the divided rest gives a
// host a thirteenth of a rate, which one large request overdraws for seconds; with
// 70 it gives less than a request a second. While no leader lends, the hosts have
// the rest only; with more than poolLeast, TestLeaderless does not hold at 9 hosts.
const (
	fewHosts  = 10
	manyHosts = 50
	poolLeast = 0.3
	poolMost  = 0.7
)

// poolPart is the part of each rate that is not divided.
func (d *Allocator) poolPart() float64 {
	grown := float64(len(d.hosts)-fewHosts) / (manyHosts - fewHosts)
	return poolLeast + (poolMost-poolLeast)*min(max(grown, 0), 1)
}

// Demand holds the tokens of each request of a team that waits at a host.
type Demand struct {
	Team    string
	Waiting []float64
}

// Grant is what a team's pool lends. Wait is when it may have more; 0 when it lent
// all.
type Grant struct {
	Team   string
	Tokens float64
	Wait   time.Duration
}

// pools holds the pool of each team.
type pools map[string]*pool

// pool is the undivided part of a team's rate.
type pool struct {
	rate  Rate
	level float64
	at    time.Time
}

func (p *pool) refill(now time.Time) {
	p.level = min(p.level+p.rate.PerSecond*now.Sub(p.at).Seconds(), p.rate.Burst)
	p.at = now
}

// fillPools brings the pools up to date with the rates. Pools of a new leader are
// empty, because the earlier one may have lent what was in them; when there was no
// earlier one, or the team is new, they are full.
func (d *Allocator) fillPools(now time.Time) {
	for team, rate := range d.rates {
		p := d.pools[team]
		if p == nil {
			p = &pool{at: now}
			if len(d.hosts) > 0 && !d.earlier {
				p.level = rate.Burst
			}
			d.pools[team] = p
		}
		p.rate = rate.times(d.poolPart())
		p.refill(now)
	}
	for team := range d.pools {
		if _, ok := d.rates[team]; !ok {
			delete(d.pools, team)
		}
	}
}

// Grant lends to the requests of a host that wait. A new leader lends nothing until
// it knows whether there was an earlier one.
func (d *Allocator) Grant(wants []Demand, now time.Time) []Grant {
	if now.Sub(d.start) < settle {
		return nil
	}
	d.fillPools(now)
	out := make([]Grant, 0, len(wants))
	for _, w := range wants {
		p := d.pools[w.Team]
		if p == nil {
			continue
		}
		lent, wait := p.lend(w.Waiting)
		out = append(out, Grant{Team: w.Team, Tokens: lent, Wait: wait})
	}
	return out
}

// lend returns the tokens for the requests that can pass, in their order, and when
// the next one may. The last one may overdraw the pool, so that large requests do
// not starve behind small ones.
func (p *pool) lend(requests []float64) (lent float64, wait time.Duration) {
	for _, tokens := range requests {
		if p.level <= 0 {
			return lent, p.wait()
		}
		p.level -= tokens
		lent += tokens
	}
	return lent, 0
}

// wait returns how long the pool stays empty.
func (p *pool) wait() time.Duration {
	if p.rate.PerSecond <= 0 {
		return mostRetry
	}
	return min(max(time.Duration(-p.level/p.rate.PerSecond*float64(time.Second)), leastRetry), mostRetry)
}
