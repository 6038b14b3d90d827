package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

func sample() Catalog {
	return Catalog{
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "a", Host: "X.example", Prefix: "/v/", Timeout: time.Second, Split: []WeightedService{{"s", 1}}},
			{Name: "b", Host: "x.example", Prefix: "/v/deep/", Timeout: time.Second, Split: []WeightedService{{"t", 1}}},
		},
		Teams: []Team{{Name: "red", Keys: []string{"k1"}}, {Name: "blue", Keys: []string{"k2"}}},
	}
}

// A request must match the route with the longest prefix, and no other.
func TestRoute(t *testing.T) {
	c, err := New(sample())
	must.NoError(t, err)
	for path, want := range map[string]string{
		"/v/": "a", "/v/x": "a", "/v/deep": "a", "/v/deep/": "b", "/v/deep/x/y": "b", "/v": "", "/": "", "": "", "/other/v/": "",
	} {
		r, ok := c.Route("x.EXAMPLE:80", path)
		must.Eq(t, want != "", ok, must.Sprint(path))
		if ok {
			must.Eq(t, want, r.Name, must.Sprint(path))
		}
	}
	_, ok := c.Route("y.example", "/v/")
	must.False(t, ok)
	team, ok := c.TeamByKey("k2")
	must.True(t, ok)
	must.Eq(t, "blue", team.Name)
}

// An invalid document must be rejected: one that is acknowledged would have to be applied.
func TestNewRejectsInvalid(t *testing.T) {
	for name, edit := range map[string]func(*Catalog){
		"unknown service":      func(c *Catalog) { c.Routes[0].Split[0].Service = "none" },
		"no weight":            func(c *Catalog) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":      func(c *Catalog) { c.Routes[0].Split = []WeightedService{{"s", -1}, {"t", 2}} },
		"no time-out":          func(c *Catalog) { c.Routes[1].Timeout = 0 },
		"same host and prefix": func(c *Catalog) { c.Routes[1].Prefix = "/v/" },
		"shared key":           func(c *Catalog) { c.Teams[1].Keys = []string{"k1"} },
		"prefix":               func(c *Catalog) { c.Routes[0].Prefix = "/v" },
		"service twice":        func(c *Catalog) { c.Services[1].Name = "s" },
		"team twice":           func(c *Catalog) { c.Teams[1].Name = "red" },
	} {
		t.Run(name, func(t *testing.T) {
			c := sample()
			edit(&c)
			_, err := New(c)
			must.True(t, fault.Is(err, fault.KindInvalidManifest), must.Sprint(err))
		})
	}
}

// A request without a token count must not count as nothing, or a team could exceed its
// rate.
func TestCost(t *testing.T) {
	byTokens := &Team{ByTokens: true, DefaultTokens: 200}
	must.Eq(t, 200, byTokens.Cost(0))
	must.Eq(t, 70, byTokens.Cost(70))
	must.Eq(t, 1, (&Team{}).Cost(70))
}
