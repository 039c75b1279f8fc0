package router

import (
	"io"
	"net/http"
	"testing"
)

// TestEncodedPath guards against a request that is run by the service of another route than the path selects, since an
// encoded slash counts as one.
func TestEncodedPath(t *testing.T) {
	tests := map[string]struct {
		target string
		// served is whether the route /any/ serves the request.
		served bool
	}{
		"slash":                  {target: "/any/a", served: true},
		"encoded slash":          {target: "/any%2Fa"},
		"encoded slash, later":   {target: "/any/a%2Fb", served: true},
		"encoded letter":         {target: "/%61ny/a", served: true},
		"encoded percent sign":   {target: "/%2561ny/a"},
		"encoded slash, in full": {target: "http://h/any%2fa"},
	}
	g := startRelayGroup(t, 1)
	g.setRespond(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := sendRaw(t, g.hosts[0], "OPTIONS "+test.target+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n")
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if served := response.StatusCode == http.StatusOK; served != test.served || served && string(body) != test.target {
				t.Errorf("got %d %q, want served %t with the path as it was sent", response.StatusCode, body, test.served)
			}
		})
	}
}
