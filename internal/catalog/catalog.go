// Package catalog holds the routes, services and teams that an operator puts in
// force as one document, for fleets whose backend servers come from the
// platform's list. A Catalog is immutable.
package catalog

import (
	"strings"
	"time"
)

// Catalog is one revision. The slices must not be changed.
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

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send a request's header, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Streaming is true when the answer is a series of events.
	Streaming bool
	// Repeatable is true when a request may run more than once. A stream is
	// repeatable when it may be resumed.
	Repeatable bool
	// Resumable is true when a stream may go on at another backend server.
	Resumable bool
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// within which it is worth its full value; Gap is the longest pause between
	// two events; 0 when not given.
	Objective, Gap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Split holds the services by weight.
	Split []WeightedService
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers with one protocol.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections bounds the connections of all hosts to one backend server.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the number of requests that an engine runs at once.
	Batch int
	// KVTokens is the memory for running requests and cached prompts, in tokens.
	KVTokens int
	// MemoryMB holds the weights of models and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that an engine holds at once.
	AdapterSlots int
	// LoadsPerSecond bounds the model loads from the weight store, over all engines.
	LoadsPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	Models         []Model
}

// Model is a base model with its adapters, which are named a1 to aN.
type Model struct {
	Name string
	MB   float64
	// Load is the time of a load from the weight store, Warm from the engine's
	// memory and Disk from its disk.
	Load, Warm, Disk time.Duration
	Adapters         int
	AdapterMB        float64
}

// Team is a group of callers that shares a rate.
type Team struct {
	Name string
	Keys []string
	// Priority outranks the route's when Ranked is true; 0 is the most urgent.
	Priority int
	Ranked   bool
	// Rate and Burst bound the team's use per second and at once; 0 means no bound.
	Rate, Burst uint64
	// ByTokens counts tokens instead of requests. DefaultTokens is what a request
	// without a token count is worth.
	ByTokens      bool
	DefaultTokens uint64
}

// Cost returns what a request counts against the team's rate. tokens is 0 when
// the request names none.
func (t *Team) Cost(tokens uint64) uint64 {
	switch {
	case !t.ByTokens:
		return 1
	case tokens == 0:
		return max(t.DefaultTokens, 1)
	}
	return tokens
}

// Limited tells whether the team has a rate.
func (t *Team) Limited() bool { return t != nil && t.Rate > 0 }

// Route returns the route with the longest prefix of the path at the host.
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

// TeamByKey returns the team that holds the key.
func (c *Catalog) TeamByKey(key string) (*Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// Model returns the model with the name and the service that serves it.
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
