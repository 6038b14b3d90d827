package catalog

import (
	"fmt"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// New validates c and returns a catalog with its indexes. The fields in errors are
// named as in this package.
func New(c Catalog) (*Catalog, error) {
	c.routes = map[string]map[string]*Route{}
	c.services = map[string]*Service{}
	c.teams = map[string]*Team{}
	c.keys = map[string]*Team{}
	for _, step := range []func() error{c.addServices, c.addRoutes, c.addTeams} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return &c, nil
}

func invalid(field, remedy, format string, args ...any) error {
	return fault.Newf(fault.KindInvalidManifest, remedy, format, args...).At(field)
}

func (c *Catalog) addServices() error {
	for i := range c.Services {
		s := &c.Services[i]
		field := fmt.Sprintf("services[%d].name", i)
		if s.Name == "" {
			return invalid(field, "name each service", "the service has no name")
		}
		if c.services[s.Name] != nil {
			return invalid(field, "name each service once", "service %q appears twice", s.Name)
		}
		c.services[s.Name] = s
	}
	return nil
}

func (c *Catalog) addRoutes() error {
	for i := range c.Routes {
		if err := c.addRoute(&c.Routes[i], fmt.Sprintf("routes[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) addRoute(r *Route, field string) error {
	if r.Host == "" {
		return invalid(field+".host", "name the host", "route %q has no host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid(field+".prefix", "begin and end the prefix with a slash", "%q is not a valid prefix", r.Prefix)
	}
	if r.Timeout <= 0 {
		return invalid(field+".timeout", "set a time-out above 0", "route %q has no time-out", r.Name)
	}
	total := 0.0
	for _, s := range r.Split {
		if c.services[s.Service] == nil {
			return invalid(field+".split", "name a service of the document", "route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid(field+".split", "give weights of 0 or more", "route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid(field+".split", "give one service a weight above 0", "the weights of route %q add up to 0", r.Name)
	}
	r.Host = NormalizeHost(r.Host)
	if c.routes[r.Host] == nil {
		c.routes[r.Host] = map[string]*Route{}
	}
	if other := c.routes[r.Host][r.Prefix]; other != nil {
		return invalid(field+".prefix", "give each route a distinct host and prefix",
			"routes %q and %q have the same host and prefix", other.Name, r.Name)
	}
	c.routes[r.Host][r.Prefix] = r
	return nil
}

func (c *Catalog) addTeams() error {
	for i := range c.Teams {
		t := &c.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" {
			return invalid(field+".name", "name each team", "the team has no name")
		}
		if c.teams[t.Name] != nil {
			return invalid(field+".name", "name each team once", "team %q appears twice", t.Name)
		}
		c.teams[t.Name] = t
		for _, k := range t.Keys {
			if k == "" {
				return invalid(field+".keys", "leave out empty keys", "team %q has an empty key", t.Name)
			}
			if other := c.keys[k]; other != nil && other != t {
				return invalid(field+".keys", "give each key to one team only",
					"teams %q and %q share a key", other.Name, t.Name)
			}
			c.keys[k] = t
		}
	}
	return nil
}
