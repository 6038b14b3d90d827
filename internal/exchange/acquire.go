package exchange

import (
	"context"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// acquireTimeout limits one call. The leader responds once the engine has responded to
// its order.
const acquireTimeout = 700 * time.Millisecond

// leaderRetry is the time within which another leader is likely to be elected: the
// election time-out and the election itself.
const leaderRetry = 1500 * time.Millisecond

// untoldDuration is how long a resident is used of which only an Acquire response is known. The exchanges of that time
// name it, unless it is gone again.
const untoldDuration = 2 * time.Second

type acquireKey struct {
	service string
	ref     residency.Ref
	avoid   string
	missing string
}

// acquisition is one Acquire call for which several requests may wait.
type acquisition struct {
	done chan struct{}
	resp *apiv1.AcquireResponse
	err  error
}

// Acquired is the engine on which an adapter is resident or loading.
type Acquired struct {
	Instance string
	ReadyAt  time.Time
	Version  uint64
	// Load is true in a preview when the adapter would be loaded first.
	Load bool
}

// Acquire asks the leader for an engine for the adapter. Concurrent identical requests
// share one call.
func (c *Client) Acquire(ctx context.Context, r residency.Request) (Acquired, error) {
	key := acquireKey{r.Service, r.Ref, strings.Join(r.Avoid, ","), strings.Join(r.Missing, ",")}
	c.mu.Lock()
	a := c.acquisitions[key]
	if a == nil {
		a = &acquisition{done: make(chan struct{})}
		c.acquisitions[key] = a
		c.tasks.Go(func() { c.acquire(key, a, r) })
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return Acquired{}, ctx.Err()
	case <-a.done:
	}
	return c.decodeAcquired(r.Ref, a.resp, a.err)
}

// decodeAcquired returns the engine that the leader named, or the refusal of requests for the adapter.
func (c *Client) decodeAcquired(ref residency.Ref, resp *apiv1.AcquireResponse, err error) (Acquired, error) {
	if err != nil {
		return Acquired{}, fault.Wrap(err, fault.KindNoBackend, "the leader cannot be asked for "+ref.String(),
			"send the request again").WithRun(fault.NotRun).After(leaderRetry)
	}
	if resp.GetInstance() == "" {
		return Acquired{}, fault.Newf(fault.KindOverloaded, "send the request again",
			"no engine can take %s now: %s", ref, resp.GetReason()).WithRun(fault.NotRun).
			After(time.Duration(resp.GetRetryAfterMs()) * time.Millisecond)
	}
	return Acquired{
		Instance: resp.GetInstance(), Version: resp.GetVersion(), Load: resp.GetLoad(),
		ReadyAt: c.opts.Now().Add(time.Duration(resp.GetReadyInMs()) * time.Millisecond),
	}, nil
}

// PreviewAcquire returns what Acquire would, and changes nothing. Leaders of earlier releases cannot tell.
func (c *Client) PreviewAcquire(ctx context.Context, r residency.Request) (Acquired, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	resp, err := c.askLeader(ctx, r, Coordination.PreviewAcquire)
	return c.decodeAcquired(r.Ref, resp, err)
}

// acquire makes one call. It doesn't use the context of a caller, because several
// requests may wait for it, and is limited by acquireTimeout.
func (c *Client) acquire(key acquireKey, a *acquisition, r residency.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	began := c.opts.Now()
	a.resp, a.err = c.askLeader(ctx, r, Coordination.Acquire)
	c.mu.Lock()
	delete(c.acquisitions, key)
	c.mu.Unlock()
	if a.err == nil && a.resp.GetInstance() != "" {
		c.update.Lock()
		ready := c.opts.Now().Add(time.Duration(a.resp.GetReadyInMs()) * time.Millisecond)
		c.view.Store(c.view.Load().withResident(a.resp.GetInstance(), r.Ref, Resident{
			Version: a.resp.GetVersion(), ReadyAt: ready, untoldUntil: c.opts.Now().Add(untoldDuration),
		}))
		c.update.Unlock()
	}
	c.log.Info().Err(a.err).Str("event", "acquire").Str("copy", r.Ref.String()).Str("engine", a.resp.GetInstance()).
		Uint32("ready_in_ms", a.resp.GetReadyInMs()).Str("reason", a.resp.GetReason()).
		Dur("took", c.opts.Now().Sub(began)).Msg("adapter requested from the leader")
	close(a.done)
}

// acquireCall is Acquire or PreviewAcquire.
type acquireCall func(Coordination, context.Context, *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error)

func (c *Client) askLeader(ctx context.Context, r residency.Request, call acquireCall) (*apiv1.AcquireResponse, error) {
	c.mu.Lock()
	leader, lost := c.leader, c.leaderLost
	c.mu.Unlock()
	if leader == "" || lost {
		return nil, errNoLeader()
	}
	resp, err := call(c.peer(leader), ctx, &apiv1.AcquireRequest{
		Host: c.opts.Host, Service: r.Service, Model: r.Ref.Model, Adapter: r.Ref.Adapter,
		Avoid: r.Avoid, Missing: r.Missing, PromptTokens: uint32(r.PromptTokens),
	})
	if err == nil && !resp.GetLeadership().GetLeading() {
		return nil, errNoLeader()
	}
	return resp, err
}
