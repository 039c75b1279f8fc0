package integration

import (
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Directions of a link, seen from the dialling process.
const (
	sending   = "upstream"
	receiving = "downstream"
)

// network holds a fault-injecting proxy for each directed link between two processes.
type network struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	links  map[string]*toxiproxy.Proxy
}

func newNetwork(t testing.TB) *network {
	metrics := toxiproxy.NewMetricsContainer(prometheus.NewRegistry())
	n := &network{
		t:      t,
		server: toxiproxy.NewServer(metrics, zerolog.Nop()),
		links:  map[string]*toxiproxy.Proxy{},
	}
	t.Cleanup(func() {
		for _, link := range n.links {
			link.Stop()
		}
	})
	return n
}

// link returns the address of the proxy through which from reaches the listener of to, and starts it if needed.
func (n *network) link(from, to, address string) string {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	name := linkName(from, to)
	if existing, found := n.links[name]; found {
		return existing.Listen
	}
	proxy := toxiproxy.NewProxy(n.server, name, "127.0.0.1:0", address)
	if err := proxy.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.links[name] = proxy
	return proxy.Listen
}

func linkName(from, to string) string { return from + ">" + to }

// dropTraffic drops every byte in one direction of a link without closing connections.
func (n *network) dropTraffic(from, to, direction string) {
	n.t.Helper()
	n.mu.Lock()
	link := n.links[linkName(from, to)]
	n.mu.Unlock()
	if link == nil {
		n.t.Fatalf("no link %s", linkName(from, to))
	}
	toxic := `{"name":"silent-` + direction + `","type":"timeout","stream":"` + direction +
		`","attributes":{"timeout":0}}`
	if _, err := link.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		n.t.Fatal(err)
	}
}

// restoreLink removes every fault of a link. Connections that lost bytes are closed.
func (n *network) restoreLink(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link := n.links[linkName(from, to)]; link != nil {
		link.Toxics.ResetToxics(n.t.Context())
	}
}

// partition drops the traffic in both directions of every link between two processes.
func (n *network) partition(a, b string) {
	n.t.Helper()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		n.mu.Lock()
		_, found := n.links[linkName(pair[0], pair[1])]
		n.mu.Unlock()
		if !found {
			continue
		}
		n.dropTraffic(pair[0], pair[1], sending)
		n.dropTraffic(pair[0], pair[1], receiving)
	}
}

// heal restores every link between two processes.
func (n *network) heal(a, b string) {
	n.restoreLink(a, b)
	n.restoreLink(b, a)
}
