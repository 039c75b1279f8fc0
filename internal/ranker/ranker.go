// Package ranker keeps clients for the control processes in the order in which an entry process
// tries them.
package ranker

import (
	"cmp"
	"slices"
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
	// dialsPerFreshness is the number of control processes that can be dialled,
	// one after another, before the freshness of the configuration ends.
	dialsPerFreshness = 8

	// After a failure a control process is tried after the others for a backoff time, which
	// starts at minBackoff and doubles with each further failure up to maxBackoff.
	minBackoff = 3 * time.Second
	maxBackoff = 24 * time.Second
)

// Ranker holds a client for each address of a control process: the addresses in
// the settings (the seeds) and those reported by control processes.
type Ranker struct {
	seeds    []string
	settings *settings.Entry
	// NewClient returns a client for an address. The timeout bounds connecting.
	NewClient func(address string, timeout time.Duration) *messenger.Client

	mu sync.Mutex
	// order holds the clients in the order in which to try them.
	order []*messenger.Client
	// backoffUntil holds, by address, until when a control process that failed is tried
	// after the others.
	backoffUntil map[string]time.Duration
	// backoff holds, by address, the latest backoff time.
	backoff map[string]time.Duration
	// reported holds the addresses that control processes have reported last.
	reported []string
}

// New returns a ranker of the control processes in the settings.
func New(e *settings.Entry, security messenger.Security) *Ranker {
	c := &Ranker{seeds: e.GetControlAddresses(), settings: e, backoffUntil: map[string]time.Duration{}, backoff: map[string]time.Duration{}}
	c.NewClient = func(address string, timeout time.Duration) *messenger.Client {
		return messenger.NewClient(address, security, timeout)
	}
	c.SetAddresses(nil)
	return c
}

// SetAddresses replaces the reported addresses, which are tried in the given order. The
// seeds follow, in case all reported addresses become unreachable. Control processes that
// failed recently are then moved behind the others.
func (c *Ranker) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = addresses
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
			client = c.NewClient(address, timeout)
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

// SetSeeds replaces the seeds. The former seeds remain in use until a control process
// reports addresses.
func (c *Ranker) SetSeeds(addresses []string) {
	c.mu.Lock()
	c.seeds = addresses
	known := make([]string, 0, len(c.order))
	for _, client := range c.order {
		known = append(known, client.Address())
	}
	c.mu.Unlock()
	c.SetAddresses(known)
}

// Preferred returns the control process to try first.
func (c *Ranker) Preferred() *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order[0]
}

// At returns the control process at an index of the order, or nil if there are fewer.
func (c *Ranker) At(index int) *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index >= len(c.order) {
		return nil
	}
	return c.order[index]
}

// All returns all control processes in the order in which to try them.
func (c *Ranker) All() []*messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*messenger.Client(nil), c.order...)
}

// Apart returns the preferred control process and the last one of those that have not failed
// lately, which is in another failure domain if there is one. If fewer than two have not failed, the one
// whose backoff ends first is added: it may be back. There may be fewer.
func (c *Ranker) Apart() []*messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := timer.Now()
	var usable, failed []*messenger.Client
	for _, client := range c.order {
		switch {
		case len(c.reported) > 0 && !slices.Contains(c.reported, client.Address()):
		case now >= c.backoffUntil[client.Address()]:
			usable = append(usable, client)
		default:
			failed = append(failed, client)
		}
	}
	if len(usable) > 1 {
		return []*messenger.Client{usable[0], usable[len(usable)-1]}
	}
	if len(usable) == 0 {
		usable = slices.Clone(c.order[:min(1, len(c.order))])
		failed = slices.DeleteFunc(failed, func(client *messenger.Client) bool { return slices.Contains(usable, client) })
	}
	if len(failed) == 0 {
		return usable
	}
	return append(usable, slices.MinFunc(failed, func(a, b *messenger.Client) int {
		return cmp.Compare(c.backoffUntil[a.Address()], c.backoffUntil[b.Address()])
	}))
}

// MarkSucceeded resets the backoff of a control process: the next one is minBackoff again.
func (c *Ranker) MarkSucceeded(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoff, client.Address())
}

// MarkLagging treats a control process that is cut off from the majority like one that failed.
// It has no effect if no other one is left: a domain that is cut off goes on with what its own
// control processes know.
func (c *Ranker) MarkLagging(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := timer.Now()
	for _, other := range c.order {
		if other != client && now >= c.backoffUntil[other.Address()] {
			c.backOff(client)
			return
		}
	}
}

// MarkFailed moves a control process that failed to the end of the order and starts its
// backoff.
func (c *Ranker) MarkFailed(client *messenger.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backOff(client)
}

// backOff is MarkFailed with the mutex held.
func (c *Ranker) backOff(client *messenger.Client) {
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

// Close closes all clients.
func (c *Ranker) Close() {
	for _, client := range c.All() {
		client.Close()
	}
}
