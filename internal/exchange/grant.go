package exchange

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
)

const (
	// grantTimeout limits one call. After that time, the waiting requests have been
	// refused.
	grantTimeout = 200 * time.Millisecond
	// minGrantInterval is the minimum time between two calls, so that requests that arrive
	// together share one.
	minGrantInterval = 25 * time.Millisecond
	// maxGrantCallsPerSecond limits the calls of all hosts together to a leader that responds slowly. They would take
	// its processor from its other work as the fleet grows.
	maxGrantCallsPerSecond = 900
	// promptResponse is the time within which a leader responds that has processor time to spare.
	promptResponse = minGrantInterval
	// maxSavedCalls limits the calls that a host saves, which all hosts may make at once.
	maxSavedCalls = 4
)

// callPacer limits the calls of one host to its share of the calls of all hosts on average, while the leader is slow.
// It saves calls that were not needed, so that most requests are named at once: the mean time
// between two calls grows with the number of hosts, and how long a request may wait does not.
type callPacer struct {
	// perSecond limits the calls of all hosts together.
	perSecond float64
	// saved is the number of calls that may be made without a pause, as of at.
	saved float64
	at    time.Time
}

// next records a call and returns the time until the next one may follow.
func (p *callPacer) next(hosts int, now time.Time) time.Duration {
	perSecond := p.perSecond / float64(max(hosts, 1))
	p.saved = min(p.saved+now.Sub(p.at).Seconds()*perSecond, maxSavedCalls) - 1
	p.at = now
	return max(minGrantInterval, time.Duration((1-p.saved)/perSecond*float64(time.Second)))
}

// refund takes back a call that a leader with processor time to spare answered, and returns the time until the next one
// may follow. Only calls to a leader that is slow have to be shared between the hosts.
func (p *callPacer) refund() time.Duration {
	p.saved = min(p.saved+1, maxSavedCalls)
	return minGrantInterval
}

// RequestTokens asks the leader for tokens for the requests that wait.
func (c *Client) RequestTokens() {
	select {
	case c.tokensRequested <- struct{}{}:
	default:
	}
}

func (c *Client) grantLoop(ctx context.Context) error {
	pacer := callPacer{perSecond: maxGrantCallsPerSecond}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.tokensRequested:
		}
		demands := c.opts.Rates.Demands()
		if len(demands) == 0 {
			continue
		}
		pause := pacer.next(c.View().Hosts, c.opts.Now())
		if took, ok := c.requestGrants(ctx, demands); ok && took <= promptResponse {
			pause = pacer.refund()
		}
		sleep(ctx, pause)
	}
}

// requestGrants makes one call and returns how long the response took. It reports false without a response: the
// requests continue to wait for this host's allocation.
func (c *Client) requestGrants(ctx context.Context, demands []quota.Demand) (time.Duration, bool) {
	c.mu.Lock()
	leader, lost := c.leader, c.leaderLost
	c.mu.Unlock()
	if leader == "" || lost {
		c.grants.Add("no_leader", 1)
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	req := &apiv1.LendRequest{Host: c.opts.Host}
	for _, w := range demands {
		req.Wants = append(req.Wants, &apiv1.TeamWant{Team: w.Team, Waiting: w.Waiting})
	}
	began := c.opts.Now()
	resp, err := c.peer(leader).Lend(ctx, req)
	if err != nil {
		c.grants.Add("failed", 1)
		c.log.Debug().Err(err).Str("control_host", leader).Msg("request for tokens failed")
		return 0, false
	}
	took := c.opts.Now().Sub(began)
	c.grantDuration.Observe(took)
	if !resp.GetLeadership().GetLeading() {
		c.grants.Add("not_leading", 1)
		return took, false
	}
	c.grants.Add("answered", 1)
	grants := make([]quota.Grant, 0, len(resp.GetLoans()))
	for _, l := range resp.GetLoans() {
		grants = append(grants, quota.Grant{
			Team: l.GetTeam(), Tokens: l.GetTokens(), Wait: time.Duration(l.GetWaitMs()) * time.Millisecond,
		})
	}
	c.opts.Rates.ApplyGrants(grants, c.opts.Now())
	return took, true
}
