// Package catalog holds the routes, services and teams that an operator configures in
// one document, for fleets whose backend servers come from the platform's list. A
// Catalog is immutable.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one revision of the document. Its slices must not be modified.
type Catalog struct {
	Revision uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	routes   map[string]map[string]*Route // by host and prefix
	services map[string]*Service
	teams    map[string]*Team // by name
	keys     map[string]*Team // by key
}

// Limits restricts what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time to receive a request's header, and IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	// Host is a host name in lower case without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Streaming is true when the response is a stream of events.
	Streaming bool
	// Repeatable is true when a request may run more than once. A stream is
	// repeatable when it may be resumed.
	Repeatable bool
	// Resumable is true when a stream may continue on another backend server.
	Resumable bool
	// Timeout limits the whole request.
	Timeout time.Duration
	// Objective is the time within which the response, or the first event of a stream,
	// has its full value. Gap is the longest acceptable pause between two events. Both
	// are 0 when not set.
	Objective, Gap time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// Split holds the services with their weights.
	Split []WeightedService
	// MaxAttempts limits the number of backend servers to which one request is sent.
	MaxAttempts int
	// Public is true when requests need no key.
	Public bool
}

// Uses reports whether the route may send requests to the service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service })
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers with one protocol.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections limits the connections of all hosts together to one backend server.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold backend server takes from all hosts together, 0 if the
	// service has no such limit.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// BatchSlots is the number of batch slots of an engine, which limits the requests that it
	// runs at once.
	BatchSlots int
	// KVTokens is the size of the KV cache for running requests and cached prompts, in
	// tokens.
	KVTokens int
	// MemoryMB is the memory for the weights of models and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that can be resident on an engine at once.
	AdapterSlots int
	// LoadsPerSecond limits the model loads of all engines from the weight store.
	LoadsPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	Models         []Model
}

// Model is a base model with its adapters, which are named a1 to aN.
type Model struct {
	Name string
	MB   float64
	// Load is the duration of a load from the weight store, Warm from the engine's
	// memory and Disk from its disk.
	Load, Warm, Disk time.Duration
	Adapters         int
	AdapterMB        float64
}

// Team is a group of callers that shares a rate.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's when HasPriority is true; 0 is the highest.
	Priority    int
	HasPriority bool
	// Rate limits the team's usage per second, and Burst its usage at once. The team
	// has no limit when Rate is 0.
	Rate, Burst uint64
	// ByTokens is true when tokens count instead of requests. DefaultTokens is the number
	// for a request without a token count.
	ByTokens      bool
	DefaultTokens uint64
}

// Cost returns the amount that a request counts against the team's rate. tokens is 0
// when the request has no token count.
func (t *Team) Cost(tokens uint64) uint64 {
	switch {
	case !t.ByTokens:
		return 1
	case tokens == 0:
		return max(t.DefaultTokens, 1)
	}
	return tokens
}

// Limited reports whether the team has a rate limit.
func (t *Team) Limited() bool { return t != nil && t.Rate > 0 }

// Route returns the route of the host whose prefix is the longest match of the path.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	byPrefix := c.routes[NormalizeHost(host)]
	if len(byPrefix) == 0 {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// NormalizeHost returns a host name in lower case and without a port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service with the name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Team returns the team with the name.
func (c *Catalog) Team(name string) (*Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// TeamByKey returns the team to which the key belongs.
func (c *Catalog) TeamByKey(key string) (*Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// Model returns the service's model with the name.
func (s *Service) Model(name string) (*Model, bool) {
	if s.Engine == nil {
		return nil, false
	}
	for i := range s.Engine.Models {
		if s.Engine.Models[i].Name == name {
			return &s.Engine.Models[i], true
		}
	}
	return nil, false
}
