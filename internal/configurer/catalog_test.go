package configurer

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/state"
)

func hostRoute(name, host, prefix string) *state.Route {
	return &state.Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: KindService, Service: "s", Classes: []string{"c"},
	}
}

func TestRoute(t *testing.T) {
	c := Restore(1, &state.Configuration{Routes: []*state.Route{
		hostRoute("short", "a.example", "/x/"), hostRoute("long", "a.example", "/x/y/"),
		hostRoute("other", "b.example", "/x/"), hostRoute("any", "", "/z/"),
	}}, nil)
	// want is the name of the matching route, empty if none matches.
	tests := map[string]struct{ host, path, want string }{
		"longest matching prefix":      {"a.example", "/x/y/1", "long"},
		"shorter prefix":               {"a.example", "/x/1", "short"},
		"route of another host":        {"b.example", "/x/y/1", "other"},
		"host without a route":         {"c.example", "/x/1", ""},
		"route for any host":           {"c.example", "/z/1", "any"},
		"path shorter than any prefix": {"a.example", "/x", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.Route(test.host, test.path).GetName(); got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

func TestCheckRoutesAndPools(t *testing.T) {
	valid := func() *state.Configuration {
		return &state.Configuration{
			Classes: []*state.Class{{Name: "c", Tier: 1}},
			Routes:  []*state.Route{hostRoute("r", "a.example", "/x/")},
			Pools:   []*state.Pool{{Name: "s"}, {Name: "t"}},
		}
	}
	tests := map[string]struct {
		change  func(*state.Configuration)
		invalid bool
	}{
		"valid configuration": {change: func(*state.Configuration) {}},
		"no pools declared":   {change: func(c *state.Configuration) { c.Pools = nil }},
		"undeclared pool":     {change: func(c *state.Configuration) { c.Routes[0].Service = "u" }, invalid: true},
		"duplicate pool name": {
			change: func(c *state.Configuration) { c.Pools = append(c.Pools, c.Pools[0]) }, invalid: true,
		},
		"split between two pools": {change: func(c *state.Configuration) {
			c.Routes[0].Service = ""
			c.Routes[0].Splits = []*state.Split{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}
		}},
		"weights add up to zero": {change: func(c *state.Configuration) {
			c.Routes[0].Splits = []*state.Split{{Service: "s"}, {Service: "t"}}
		}, invalid: true},
		"negative weight": {change: func(c *state.Configuration) {
			c.Routes[0].Splits = []*state.Split{{Service: "s", Weight: 2}, {Service: "t", Weight: -1}}
		}, invalid: true},
		"same path prefix on two hosts": {change: func(c *state.Configuration) {
			c.Routes = append(c.Routes, hostRoute("r2", "b.example", "/x/"))
		}},
		"same path prefix on one host": {change: func(c *state.Configuration) {
			c.Routes = append(c.Routes, hostRoute("r2", "a.example", "/x/"))
		}, invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			test.change(c)
			if err := Check(c); (err != nil) != test.invalid {
				t.Errorf("Check returned %v, want an error: %t", err, test.invalid)
			}
		})
	}
}
