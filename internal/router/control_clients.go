package router

import (
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// controlDialTimeout bounds connecting to a control process. A host that is switched
	// off does not refuse connections, so only a timeout detects it.
	controlDialTimeout = 300 * time.Millisecond

	// After a failure a control process is tried after the others for a backoff time, which
	// starts at minBackoff and doubles with each further failure up to maxBackoff.
	minBackoff = 3 * time.Second
	maxBackoff = 24 * time.Second
)

// controlClients holds a client for each address of a control process: the addresses in
// the settings (the seeds) and those reported by control processes.
type controlClients struct {
	seeds    []string
	settings *settings.Entry
	// newClient returns a client for an address. The timeout bounds connecting.
	newClient func(address string, timeout time.Duration) *messenger.Client

	mu sync.Mutex
	// order holds the clients in the order in which to try them.
	order []*messenger.Client
	// backoffUntil holds, by address, until when a control process that failed is tried
	// after the others.
	backoffUntil map[string]time.Duration
	// backoff holds, by address, the latest backoff time.
	backoff map[string]time.Duration
}

func newControlClients(e *settings.Entry, security messenger.Security) *controlClients {
	c := &controlClients{seeds: e.GetControlAddresses(), settings: e, backoffUntil: map[string]time.Duration{}, backoff: map[string]time.Duration{}}
	c.newClient = func(address string, timeout time.Duration) *messenger.Client {
		return messenger.NewClient(address, security, timeout)
	}
	c.setAddresses(nil)
	return c
}

// setAddresses replaces the reported addresses, which are tried in the given order. The
// seeds follow, in case all reported addresses become unreachable. Control processes that
// failed recently are then moved behind the others.
func (c *controlClients) setAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]*messenger.Client{}
	for _, client := range c.order {
		known[client.Address()] = client
	}
	timeout := min(controlDialTimeout, c.settings.GetFreshness().AsDuration()/dialsPerFreshness)
	var order []*messenger.Client
	added := map[string]bool{}
	for _, address := range append(append([]string(nil), addresses...), c.seeds...) {
		if added[address] {
			continue
		}
		added[address] = true
		client := known[address]
		if client == nil {
			client = c.newClient(address, timeout)
		}
		delete(known, address)
		order = append(order, client)
	}
	for _, client := range known {
		client.Close()
	}
	now := timer.Now()
	sort.SliceStable(order, func(i, j int) bool {
		return now >= c.backoffUntil[order[i].Address()] && now < c.backoffUntil[order[j].Address()]
	})
	c.order = order
}

// setSeeds replaces the seeds. The former seeds remain in use until a control process
// reports addresses.
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

// preferred returns the control process to try first.
func (c *controlClients) preferred() *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order[0]
}

// at returns the control process at an index of the order, or nil if there are fewer.
func (c *controlClients) at(index int) *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index >= len(c.order) {
		return nil
	}
	return c.order[index]
}

// all returns all control processes in the order in which to try them.
func (c *controlClients) all() []*messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*messenger.Client(nil), c.order...)
}

// markSucceeded resets the backoff of a control process: the next one is minBackoff again.
func (c *controlClients) markSucceeded(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoff, client.Address())
}

// markFailed moves a control process that failed to the end of the order and starts its
// backoff.
func (c *controlClients) markFailed(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	backoff := min(max(2*c.backoff[client.Address()], minBackoff), maxBackoff)
	c.backoff[client.Address()] = backoff
	c.backoffUntil[client.Address()] = timer.Now() + backoff
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
