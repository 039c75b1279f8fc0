package configurer

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/state"
)

// TestRouteOfPath guards against a route that is selected by another form of the path than the one in the configuration.
func TestRouteOfPath(t *testing.T) {
	c := Restore(1, &state.Configuration{Routes: []*state.Route{
		{Name: "all", Host: "h", PathPrefix: "/"},
		{Name: "files", Host: "h", PathPrefix: "/files/"},
		{Name: "encoded", Host: "h", PathPrefix: "/caf%C3%A9/"},
		{Name: "bytes", Host: "h", PathPrefix: "/th\u00e9/"},
		{Name: "space", Host: "h", PathPrefix: "/a%20b/"},
	}}, nil)
	tests := map[string]struct{ path, want string }{
		"plain":                  {path: "/files/a", want: "files"},
		"encoded slash":          {path: "/files%2Fa", want: "all"},
		"encoded letter":         {path: "/%66iles/a", want: "files"},
		"encoded prefix":         {path: "/caf%c3%a9/a", want: "encoded"},
		"encoded prefix, bytes":  {path: "/caf\u00e9/a", want: "encoded"},
		"prefix of bytes":        {path: "/th%C3%A9/a", want: "bytes"},
		"encoded space":          {path: "/a%20b/c", want: "space"},
		"another encoded prefix": {path: "/a+b/c", want: "all"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.Route("h", test.path).GetName(); got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}
