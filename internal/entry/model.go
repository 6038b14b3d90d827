package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
)

// serveModelRoute serves the OpenAI-compatible paths below a route, with or
// without /v1 after the route's path.
func (s *Server) serveModelRoute(ctx context.Context, x *exchange, rr *runningRequest) error {
	rest := strings.TrimPrefix(x.subpath, "/v1")
	method := http.MethodPost
	switch {
	case rest == "/models" || strings.HasPrefix(rest, "/models/"):
		method = http.MethodGet
	case rest != "/completions" && rest != "/chat/completions":
		return fault.New(fault.KindUnknownRoute, "the route does not serve this path",
			"use /models, /completions or /chat/completions").At("path").WithRun(fault.NotRun)
	}
	if x.r.Method != method {
		return badRequest("method", "the path does not serve this method", "use "+method)
	}
	if method == http.MethodGet {
		return s.serveModels(x, strings.TrimPrefix(strings.TrimPrefix(rest, "/models"), "/"))
	}
	return s.serveCompletion(ctx, x, rr, "/v1"+rest)
}

func (s *Server) serveCompletion(ctx context.Context, x *exchange, rr *runningRequest, path string) error {
	body, err := x.readBody(s.limits, s.bodies)
	if err != nil {
		return err
	}
	limits := openai.Limits{DefaultMaxTokens: s.limits.DefaultMaxTokens, MaxTokens: s.limits.MaxTokens}
	req, err := openai.Parse(body, path == "/v1/chat/completions", limits)
	if err != nil {
		return err
	}
	ar := &admittedRequest{x: x, running: rr, decided: make(chan struct{}, 1), pool: x.route.GetPool(), class: classOf(x.route)}
	if err := ar.resolve(req.Model); err != nil {
		return err
	}
	x.adapter = ar.model
	ar.tokens = req.PromptTokens + req.MaxTokens
	ar.cost = ar.tokens
	ar.fingerprint = attempts.Fingerprint([]byte(x.team), []byte(x.routeName()), []byte(ar.model), body)
	for _, part := range req.SharedParts {
		ar.parts = append(ar.parts, attempts.PartFingerprint(ar.pool, string(part)))
	}
	if ar.suspect, err = s.crashes.check(ar, s.now()); err != nil {
		return err
	}
	engineBody, err := req.Body(body)
	if err != nil {
		return err
	}
	ar.promptTokens = req.PromptTokens
	ar.prefix = s.d.prefixes.Hashes(nil, ar.model, req.Prompt)
	defer s.finish(ar)
	s.budget.RecordFirst()
	if err := s.admit(ctx, ar); err != nil {
		return err
	}
	return s.runAttempts(ctx, ar, &modelCall{path: path, body: engineBody, stream: req.Stream, promptTokens: req.PromptTokens})
}

func classOf(r *apiv1.Route) fairqueue.Class {
	if r.GetClass() == apiv1.RouteClass_ROUTE_CLASS_BATCH {
		return fairqueue.Batch
	}
	return fairqueue.Interactive
}

// resolve finds the adapter version or base model that a request names.
func (ar *admittedRequest) resolve(model string) error {
	cfg := ar.x.cfg
	if _, ok := cfg.BaseModel(model); ok {
		ar.model, ar.baseModel = model, model
		return nil
	}
	name, version := openai.SplitModel(model)
	a, ok := cfg.Adapter(name)
	if !ok {
		return unknownAdapter("no adapter or base model has the name %s", name)
	}
	if !config.MayUse(a, ar.x.team) {
		return fault.Newf(fault.KindForbidden, "use an adapter that the team may call",
			"the team may not call adapter %s", name).At("model").WithRun(fault.NotRun)
	}
	if version == "" && strings.Contains(model, ":") {
		return badRequest("model", "the version after the colon is empty", "name a version or leave out the colon")
	}
	v, ok := config.Version(a, version)
	if !ok {
		return unknownAdapter("adapter %s does not have the version that the request names", name)
	}
	ar.ref = &apiv1.AdapterRef{Adapter: name, Version: v.GetVersion()}
	ar.model, ar.baseModel = modelName(ar.ref), a.GetBaseModel()
	return nil
}

func unknownAdapter(format, name string) error {
	if len(name) > 128 {
		name = name[:128]
	}
	return fault.Newf(fault.KindUnknownAdapter, "use a model from the model list", format, name).
		At("model").WithRun(fault.NotRun)
}

// modelList caches the sorted adapters of one configuration.
type modelList struct {
	cfg      *config.Snapshot
	adapters []*apiv1.Adapter
	bases    []*apiv1.BaseModel
}

func (s *Server) serveModels(x *exchange, id string) error {
	list := s.models.Load()
	if list == nil || list.cfg != x.cfg {
		list = &modelList{cfg: x.cfg, adapters: x.cfg.Adapters(), bases: x.cfg.Manifest().GetBaseModels()}
		s.models.Store(list)
	}
	var out []openai.Model
	for _, b := range list.bases {
		out = append(out, openai.Model{ID: b.GetName()})
	}
	for _, a := range list.adapters {
		if config.MayUse(a, x.team) {
			out = append(out, openai.Model{ID: a.GetName(), Parent: a.GetBaseModel()})
		}
	}
	if id == "" {
		return x.respond(http.StatusOK, "application/json", openai.ModelList(out))
	}
	at := slices.IndexFunc(out, func(m openai.Model) bool { return m.ID == id })
	if at < 0 {
		return unknownAdapter("no adapter or base model has the name %s", id)
	}
	return x.respond(http.StatusOK, "application/json", openai.ModelObject(out[at]))
}
