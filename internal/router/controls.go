package router

import (
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// A control process that did not answer goes after the others for a time that
// doubles with each failure.
const (
	// controlDialTimeout bounds the dialling of a control process: a host without
	// power does not refuse connections.
	controlDialTimeout = 300 * time.Millisecond

	shortestAvoidance = 3 * time.Second
	longestAvoidance  = 24 * time.Second
)

// controlClients holds the clients of the control processes: those in the settings,
// and those that a control process has told of since.
type controlClients struct {
	security messenger.Security
	seeds    []string
	settings *settings.Entry

	mu sync.Mutex
	// order holds the clients, the one to ask first at the front.
	order []*messenger.Client
	// avoided holds the addresses that did not answer, and until when others go first.
	avoided map[string]time.Duration
	// pauses holds how long they were avoided last.
	pauses map[string]time.Duration
}

func newControlClients(e *settings.Entry, security messenger.Security) *controlClients {
	c := &controlClients{security: security, seeds: e.GetControlAddresses(), settings: e, avoided: map[string]time.Duration{}, pauses: map[string]time.Duration{}}
	c.setAddresses(nil)
	return c
}

// setAddresses replaces the control processes by those at the addresses, in their
// order. The seeds stay at the end, since all others may be gone one day.
func (c *controlClients) setAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]*messenger.Client{}
	for _, client := range c.order {
		known[client.Address()] = client
	}
	timeout := min(controlDialTimeout, c.settings.GetFreshness().AsDuration()/dialsPerFreshness)
	var order []*messenger.Client
	taken := map[string]bool{}
	for _, address := range append(append([]string(nil), addresses...), c.seeds...) {
		if taken[address] {
			continue
		}
		taken[address] = true
		client := known[address]
		if client == nil {
			client = messenger.NewClient(address, c.security, timeout)
		}
		delete(known, address)
		order = append(order, client)
	}
	for _, client := range known {
		client.Close()
	}
	now := timer.Now()
	sort.SliceStable(order, func(i, j int) bool {
		return now >= c.avoided[order[i].Address()] && now < c.avoided[order[j].Address()]
	})
	c.order = order
}

// setSeeds replaces the addresses that the settings name.
func (c *controlClients) setSeeds(addresses []string) {
	c.mu.Lock()
	c.seeds = addresses
	known := make([]string, 0, len(c.order))
	for _, client := range c.order {
		known = append(known, client.Address())
	}
	c.mu.Unlock()
	c.setAddresses(known)
}

// preferred returns the control process to ask first.
func (c *controlClients) preferred() *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order[0]
}

// ranked returns the control process of a rank in the order, or nil.
func (c *controlClients) ranked(rank int) *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank >= len(c.order) {
		return nil
	}
	return c.order[rank]
}

// all returns all control processes, the one to ask first at the front.
func (c *controlClients) all() []*messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*messenger.Client(nil), c.order...)
}

// answered forgets that a control process did not answer before.
func (c *controlClients) answered(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pauses, client.Address())
}

// markFailed moves a control process that did not answer to the end.
func (c *controlClients) markFailed(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again := min(max(2*c.pauses[client.Address()], shortestAvoidance), longestAvoidance)
	c.pauses[client.Address()] = again
	c.avoided[client.Address()] = timer.Now() + again
	for i, other := range c.order {
		if other == client {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), client)
			return
		}
	}
}

func (c *controlClients) close() {
	for _, client := range c.all() {
		client.Close()
	}
}
