package exchange

import (
	"context"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// acquireTimeout bounds one call; the leader answers once its order is answered.
const acquireTimeout = 700 * time.Millisecond

// leaderRetry is when another leader is likely to stand: after the time-out of an
// election and the election itself.
const leaderRetry = 1500 * time.Millisecond

type acquireKey struct {
	service string
	ref     residency.Ref
	avoid   string
	missing string
}

// acquisition is one call that several requests may wait for.
type acquisition struct {
	done chan struct{}
	resp *apiv1.AcquireResponse
	err  error
}

// Acquired is the engine that holds an adapter or is loading it.
type Acquired struct {
	Instance string
	ReadyAt  time.Time
	Version  uint64
}

// Acquire asks the leader for an engine with the adapter. Requests for the same
// adapter share one call.
func (c *Client) Acquire(ctx context.Context, r residency.Request) (Acquired, error) {
	key := acquireKey{r.Service, r.Ref, strings.Join(r.Avoid, ","), strings.Join(r.Missing, ",")}
	c.mu.Lock()
	a := c.waiting[key]
	if a == nil {
		a = &acquisition{done: make(chan struct{})}
		c.waiting[key] = a
		c.tasks.Go(func() { c.acquire(key, a, r) })
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return Acquired{}, ctx.Err()
	case <-a.done:
	}
	if a.err != nil {
		return Acquired{}, fault.Wrap(a.err, fault.KindNoBackend, "the leader cannot be asked for "+r.Ref.String(),
			"send the request again").WithRun(fault.NotRun).After(leaderRetry)
	}
	if a.resp.GetInstance() == "" {
		return Acquired{}, fault.Newf(fault.KindOverloaded, "send the request again",
			"no engine can take %s now: %s", r.Ref, a.resp.GetReason()).WithRun(fault.NotRun).
			After(time.Duration(a.resp.GetRetryAfterMs()) * time.Millisecond)
	}
	return Acquired{
		Instance: a.resp.GetInstance(), Version: a.resp.GetVersion(),
		ReadyAt: c.opts.Now().Add(time.Duration(a.resp.GetReadyInMs()) * time.Millisecond),
	}, nil
}

// acquire makes one call. It has no caller's context, because several requests
// wait for it; its time-out bounds it.
func (c *Client) acquire(key acquireKey, a *acquisition, r residency.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	began := c.opts.Now()
	a.resp, a.err = c.callAcquire(ctx, r)
	c.mu.Lock()
	delete(c.waiting, key)
	c.mu.Unlock()
	if a.err == nil && a.resp.GetInstance() != "" {
		c.update.Lock()
		ready := c.opts.Now().Add(time.Duration(a.resp.GetReadyInMs()) * time.Millisecond)
		c.view.Store(c.view.Load().hold(a.resp.GetInstance(), r.Ref, Resident{a.resp.GetVersion(), ready}))
		c.update.Unlock()
	}
	c.log.Info().Err(a.err).Str("event", "acquire").Str("copy", r.Ref.String()).Str("engine", a.resp.GetInstance()).
		Uint32("ready_in_ms", a.resp.GetReadyInMs()).Str("reason", a.resp.GetReason()).
		Dur("took", c.opts.Now().Sub(began)).Msg("adapter asked for")
	close(a.done)
}

func (c *Client) callAcquire(ctx context.Context, r residency.Request) (*apiv1.AcquireResponse, error) {
	c.mu.Lock()
	leader, lost := c.leader, c.lost
	c.mu.Unlock()
	if leader == "" || lost {
		return nil, errNoLeader()
	}
	resp, err := c.peer(leader).Acquire(ctx, &apiv1.AcquireRequest{
		Host: c.opts.Host, Service: r.Service, Model: r.Ref.Model, Adapter: r.Ref.Adapter,
		Avoid: r.Avoid, Missing: r.Missing, PromptTokens: uint32(r.PromptTokens),
	})
	if err == nil && !resp.GetLeadership().GetLeading() {
		return nil, errNoLeader()
	}
	return resp, err
}
