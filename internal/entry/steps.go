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

// steps returns the endpoint that each request passes: what every request has
// in common are middlewares, and the route's kind decides the rest.
func (s *Server) steps() endpoint.Endpoint {
	return endpoint.Chain(
		s.logging,
		s.counting,
		s.refuseWhenDrained,
		s.findRoute,
		s.authenticate,
		s.limit,
	)(s.serveRoute)
}

// step makes a middleware of a check that runs before the rest.
func step(next endpoint.Endpoint, check func(context.Context, *exchange) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if err := check(ctx, request.(*exchange)); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (s *Server) refuseWhenDrained(next endpoint.Endpoint) endpoint.Endpoint {
	return step(next, func(context.Context, *exchange) error {
		if s.drain.refusing(s.now()) {
			return fault.New(fault.KindDraining, "this entry host is leaving", "send the request again").
				WithRun(fault.NotRun).After(time.Second)
		}
		return nil
	})
}

func (s *Server) findRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return step(next, func(_ context.Context, x *exchange) error {
		if err := checkTarget(x.r); err != nil {
			return err
		}
		// Age is read first: a change between the two reads makes the
		// configuration newer than the age says, never older.
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
		x.rest = strings.TrimPrefix(x.r.URL.Path, strings.TrimSuffix(route.GetPath(), "/"))
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

// authenticate looks the key up anew for each request, also on a connection
// that has been used before.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return step(next, func(_ context.Context, x *exchange) error {
		key, ok := sanitize.Key(x.r.Header)
		x.key = key
		if sanitize.ContainsKey(x.r.URL.Path, key) {
			return badRequest("path", "the path holds the key", "send the key in Authorization only")
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

// limit bounds the admitted requests of the host and of each team.
func (s *Server) limit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		team, _ := x.cfg.Team(x.team)
		bound := int(team.GetMaxConcurrent())
		if bound == 0 {
			bound = s.limits.TeamRequests
		}
		if err := s.admitted.take(x.team, bound, s.limits.Requests); err != nil {
			return nil, err
		}
		defer s.admitted.give(x.team)
		return next(ctx, request)
	}
}

// admitted counts the requests between admission and their end.
type admitted struct {
	mu    sync.Mutex
	total int
	teams map[string]int
}

func (a *admitted) take(team string, teamBound, hostBound int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total >= hostBound {
		return fault.New(fault.KindOverloaded, "this entry host serves as many requests as it can", "send the request again").
			WithRun(fault.NotRun).After(time.Second)
	}
	if a.teams[team] >= teamBound {
		return fault.Newf(fault.KindRateLimited, "wait for an answer before sending the next request",
			"the team has %d requests on this host, its max_concurrent", teamBound).
			WithRun(fault.NotRun).After(time.Second)
	}
	a.total++
	a.teams[team]++
	return nil
}

func (a *admitted) give(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	if a.teams[team]--; a.teams[team] == 0 {
		delete(a.teams, team)
	}
}

// serveRoute hands the exchange to the kind of its route.
func (s *Server) serveRoute(ctx context.Context, request any) (any, error) {
	x := request.(*exchange)
	ctx, f := s.running.add(ctx, x)
	defer s.running.remove(f)
	switch {
	case x.route.GetKind() == apiv1.RouteKind_ROUTE_KIND_MODEL && x.route.GetNonRepeatable():
		return nil, fault.New(fault.KindUnknownRoute, "the route serves models and is marked non_repeatable",
			"mark only routes of kind service as non_repeatable").At("non_repeatable").WithRun(fault.NotRun)
	case x.route.GetKind() == apiv1.RouteKind_ROUTE_KIND_MODEL:
		return nil, s.serveModelRoute(ctx, x, f)
	case x.route.GetNonRepeatable():
		return nil, s.serveOnce(ctx, x, f)
	default:
		return nil, s.serveService(ctx, x, f)
	}
}
