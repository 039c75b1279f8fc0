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
	tests := map[string]struct{ host, path, want string }{
		"the longest prefix":           {"a.example", "/x/y/1", "long"},
		"a shorter one":                {"a.example", "/x/1", "short"},
		"another host":                 {"b.example", "/x/y/1", "other"},
		"a host that nobody named":     {"c.example", "/x/1", ""},
		"a route of any host":          {"c.example", "/z/1", "any"},
		"a path that begins no prefix": {"a.example", "/x", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.Route(test.host, test.path).GetName(); got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

func TestCheckServices(t *testing.T) {
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
		"as it is":          {change: func(*state.Configuration) {}},
		"no pools declared": {change: func(c *state.Configuration) { c.Pools = nil }},
		"an unknown pool":   {change: func(c *state.Configuration) { c.Routes[0].Service = "u" }, invalid: true},
		"two pools of a name": {
			change: func(c *state.Configuration) { c.Pools = append(c.Pools, c.Pools[0]) }, invalid: true,
		},
		"shares of two pools": {change: func(c *state.Configuration) {
			c.Routes[0].Service = ""
			c.Routes[0].Splits = []*state.Split{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}
		}},
		"shares that add up to nothing": {change: func(c *state.Configuration) {
			c.Routes[0].Splits = []*state.Split{{Service: "s"}, {Service: "t"}}
		}, invalid: true},
		"a negative share": {change: func(c *state.Configuration) {
			c.Routes[0].Splits = []*state.Split{{Service: "s", Weight: 2}, {Service: "t", Weight: -1}}
		}, invalid: true},
		"the same place on two hosts": {change: func(c *state.Configuration) {
			c.Routes = append(c.Routes, hostRoute("r2", "b.example", "/x/"))
		}},
		"the same place on one host": {change: func(c *state.Configuration) {
			c.Routes = append(c.Routes, hostRoute("r2", "a.example", "/x/"))
		}, invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			test.change(c)
			if err := Check(c); (err != nil) != test.invalid {
				t.Errorf("error %v", err)
			}
		})
	}
}
