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

	// After a failure a control process is tried after the others, for a time that starts
	// at minAvoidance and doubles with each further failure up to maxAvoidance.
	minAvoidance = 3 * time.Second
	maxAvoidance = 24 * time.Second
)

// controlClients holds a client for each address of a control process: the addresses in
// the settings (the seeds) and those reported by control processes.
type controlClients struct {
	security messenger.Security
	seeds    []string
	settings *settings.Entry

	mu sync.Mutex
	// order holds the clients in the order in which to try them.
	order []*messenger.Client
	// avoidedUntil holds, by address, until when a control process that failed is tried
	// after the others.
	avoidedUntil map[string]time.Duration
	// avoidance holds, by address, the duration of the latest avoidance.
	avoidance map[string]time.Duration
}

func newControlClients(e *settings.Entry, security messenger.Security) *controlClients {
	c := &controlClients{security: security, seeds: e.GetControlAddresses(), settings: e, avoidedUntil: map[string]time.Duration{}, avoidance: map[string]time.Duration{}}
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
		return now >= c.avoidedUntil[order[i].Address()] && now < c.avoidedUntil[order[j].Address()]
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

// markAnswered makes the next avoidance of a control process start at minAvoidance again.
func (c *controlClients) markAnswered(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.avoidance, client.Address())
}

// markFailed moves a control process that failed to the end of the order and avoids it for
// a time.
func (c *controlClients) markFailed(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	avoidance := min(max(2*c.avoidance[client.Address()], minAvoidance), maxAvoidance)
	c.avoidance[client.Address()] = avoidance
	c.avoidedUntil[client.Address()] = timer.Now() + avoidance
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
