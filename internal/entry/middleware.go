package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/sanitize"
)

// endpointChain returns the endpoint for requests: middlewares for the checks
// that all requests have in common, then the handler for the route's kind.
func (s *Server) endpointChain() endpoint.Endpoint {
	return endpoint.Chain(
		s.logging,
		s.counting,
		s.refuseWhenDrained,
		s.findRoute,
		s.authenticate,
		s.limit,
	)(s.serveRoute)
}

// precheck returns an endpoint that runs check and then next.
func precheck(next endpoint.Endpoint, check func(context.Context, *exchange) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if err := check(ctx, request.(*exchange)); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (s *Server) refuseWhenDrained(next endpoint.Endpoint) endpoint.Endpoint {
	return precheck(next, func(context.Context, *exchange) error {
		if s.drain.refusing(s.now()) {
			return fault.New(fault.KindDraining, "this entry host is leaving", "send the request again").
				WithRun(fault.NotRun).After(time.Second)
		}
		return nil
	})
}

func (s *Server) findRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return precheck(next, func(_ context.Context, x *exchange) error {
		if err := checkTarget(x.r); err != nil {
			return err
		}
		// Age is read first: after a change between the two reads the
		// configuration is newer than its age suggests, never older.
		age := s.opts.View.Age(s.now())
		x.cfg = s.opts.View.Config()
		route, ok := x.cfg.Route(x.r.URL.Path)
		if !ok {
			if age > maxViewAge {
				return staleView(age)
			}
			return fault.New(fault.KindUnknownRoute, "no route serves this path", "use a path of the manifest's routes").
				At("path").WithRun(fault.NotRun)
		}
		x.route = route
		x.subpath = strings.TrimPrefix(x.r.URL.Path, strings.TrimSuffix(route.GetPath(), "/"))
		if !route.GetOpen() && age > maxViewAge {
			return staleView(age)
		}
		return nil
	})
}

func staleView(age time.Duration) error {
	text := age.Round(100 * time.Millisecond).String()
	if age > time.Hour {
		text = "unknown"
	}
	return fault.Newf(fault.KindStaleView, "send the request again",
		"this entry host cannot tell whether the key is still valid: the age of its configuration is %s", text).
		WithRun(fault.NotRun).After(time.Second)
}

// authenticate looks up the key for each request, also on a reused connection.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return precheck(next, func(_ context.Context, x *exchange) error {
		key, ok := sanitize.Key(x.r.Header)
		x.key = key
		if sanitize.ContainsKey(x.r.URL.Path, key) {
			return badRequest("path", "the path contains the key", "send the key in Authorization only")
		}
		if x.route.GetOpen() {
			return nil
		}
		if !ok {
			return unauthorized("the request presents no key")
		}
		x.keyHash = config.HashKey(key)
		entry, ok := x.cfg.KeyByHash(x.keyHash)
		if !ok {
			return unauthorized("the key is not valid")
		}
		if _, ok := x.cfg.Team(entry.GetTeam()); !ok {
			return unauthorized("the key's team does not exist")
		}
		x.team = entry.GetTeam()
		x.keyed = true
		return nil
	})
}

func unauthorized(message string) error {
	return fault.New(fault.KindUnauthorized, message, "send a valid key as Authorization: Bearer KEY").
		At("Authorization").WithRun(fault.NotRun)
}

// limit limits the admitted requests of the host and of each team.
func (s *Server) limit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		team, _ := x.cfg.Team(x.team)
		limit := int(team.GetMaxConcurrent())
		if limit == 0 {
			limit = s.limits.TeamRequests
		}
		if err := s.admitted.acquire(x.team, limit, s.limits.Requests); err != nil {
			return nil, err
		}
		defer s.admitted.release(x.team)
		return next(ctx, request)
	}
}

// admitted counts the admitted requests, in total and by team.
type admitted struct {
	mu    sync.Mutex
	total int
	teams map[string]int
}

func (a *admitted) acquire(team string, teamLimit, hostLimit int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total >= hostLimit {
		return fault.New(fault.KindOverloaded, "this entry host serves as many requests as it can", "send the request again").
			WithRun(fault.NotRun).After(time.Second)
	}
	if a.teams[team] >= teamLimit {
		return fault.Newf(fault.KindRateLimited, "wait for an answer before sending the next request",
			"the team has %d requests on this host, its max_concurrent", teamLimit).
			WithRun(fault.NotRun).After(time.Second)
	}
	a.total++
	a.teams[team]++
	return nil
}

func (a *admitted) release(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	if a.teams[team]--; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// serveRoute passes the exchange to the handler for the kind of its route.
func (s *Server) serveRoute(ctx context.Context, request any) (any, error) {
	x := request.(*exchange)
	ctx, rr := s.running.add(ctx, x)
	defer s.running.remove(rr)
	switch {
	case x.route.GetKind() == apiv1.RouteKind_ROUTE_KIND_MODEL && x.route.GetNonRepeatable():
		return nil, fault.New(fault.KindUnknownRoute, "the route serves models and is marked non_repeatable",
			"mark only routes of kind service as non_repeatable").At("non_repeatable").WithRun(fault.NotRun)
	case x.route.GetKind() == apiv1.RouteKind_ROUTE_KIND_MODEL:
		return nil, s.serveModelRoute(ctx, x, rr)
	case x.route.GetNonRepeatable():
		return nil, s.serveNonRepeatable(ctx, x, rr)
	default:
		return nil, s.serveService(ctx, x, rr)
	}
}
