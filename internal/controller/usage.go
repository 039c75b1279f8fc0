package controller

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// usageInterval is the time between two commits of usage pushes.
	usageInterval = time.Second
	// entrySyncTimeout is the time after which the latest sync request of a silent entry process is dropped.
	entrySyncTimeout = 30 * time.Second
	// lightShareStep is the change of a light share above which the new value is sent
	// to the entry processes, as a fraction of the work (0.07 is 7 percentage points).
	lightShareStep = 0.07
	// minWorkObservation is the time from the first work of a service until its light
	// share is sent: the share of the first few requests is far off.
	minWorkObservation = 6 * time.Second
)

type (
	// usageCollector holds the usage pushes that are not committed yet: the latest
	// of each incarnation of an entry process. A push carries cumulative counters.
	usageCollector struct {
		mu     sync.Mutex
		latest map[string]receivedUsage
	}

	receivedUsage struct {
		usage      *state.Usage
		receivedAt time.Time
	}

	// entryTable holds the latest sync request of each entry process.
	entryTable struct {
		mu      sync.Mutex
		entries map[string]entrySync
		// refusalCounters holds the latest cumulative counters that newRefusals has seen.
		refusalCounters map[refusalKey]uint64
		// sentLightShares holds the light shares that were sent last, by service.
		sentLightShares map[string]float64
		// workFirstSeen holds the time at which each service first had work.
		workFirstSeen map[string]time.Time
	}

	refusalKey struct {
		incarnation string
		pool        string
	}

	// entrySync is the latest sync request of an entry process.
	entrySync struct {
		request    *wire.Sync
		receivedAt time.Time
	}
)

func newUsageCollector() *usageCollector {
	return &usageCollector{latest: map[string]receivedUsage{}}
}

// record replaces the push of an incarnation. The UnreportedMillis of the new push is
// at least that of the replaced one plus the time since that one arrived.
func (u *usageCollector) record(usage *state.Usage) {
	if usage == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	received := receivedUsage{usage: usage, receivedAt: time.Now()}
	if earlier, found := u.latest[usage.GetIncarnation()]; found {
		waited := time.Since(earlier.receivedAt).Milliseconds()
		usage.UnreportedMillis = max(usage.GetUnreportedMillis(), earlier.usage.GetUnreportedMillis()+waited)
	}
	u.latest[usage.GetIncarnation()] = received
}

// take returns the collected pushes, ordered by incarnation, and removes them.
func (u *usageCollector) take() []*state.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]*state.Usage, 0, len(u.latest))
	for _, p := range u.latest {
		p.usage.UnreportedMillis += time.Since(p.receivedAt).Milliseconds()
		out = append(out, p.usage)
	}
	u.latest = map[string]receivedUsage{}
	sort.Slice(out, func(i, j int) bool { return out[i].GetIncarnation() < out[j].GetIncarnation() })
	return out
}

// runUsage commits the usage pushes of the entry processes while this process is the
// leader. Their counters are cumulative, so that a later commit includes what a failed
// one missed.
func (c *Controller) runUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Sleep(ctx, usageInterval)
		if c.node.Status().Role != replicator.Leader {
			continue
		}
		pushes := c.usage.take()
		if len(pushes) == 0 {
			continue
		}
		batch := &state.UsageBatch{Pushes: pushes}
		command := &state.Command{Kind: &state.Command_UsageBatch{UsageBatch: batch}}
		if _, err := c.propose(ctx, command); err != nil {
			c.log.Warn("usage counters were not committed", zap.Error(err))
		}
	}
	return nil
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[string]entrySync{}, refusalCounters: map[refusalKey]uint64{}, sentLightShares: map[string]float64{}, workFirstSeen: map[string]time.Time{}}
}

// record replaces the sync request of an entry process.
func (t *entryTable) record(s *wire.Sync) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[s.GetHost()] = entrySync{request: s, receivedAt: time.Now()}
}

// recentSyncs drops the expired sync requests and returns the others, ordered by host.
func (t *entryTable) recentSyncs() []*wire.Sync {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.Sync
	for host, e := range t.entries {
		if time.Since(e.receivedAt) > entrySyncTimeout {
			delete(t.entries, host)
			continue
		}
		out = append(out, e.request)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetHost() < out[j].GetHost() })
	return out
}

// lightShares returns, by service, the share of light classes, those with short
// prompts, in the work of all entry processes in tokens per second. A single entry process
// sees too few requests to estimate the share, and with their own estimates entry
// processes would choose different upstreams for light classes. The value changes
// in steps, so that all entry processes use the same one.
func (t *entryTable) lightShares() map[string]float64 {
	light, all := map[string]float64{}, map[string]float64{}
	for _, s := range t.recentSyncs() {
		for _, d := range s.GetDemands() {
			light[d.GetService()] += d.GetLightWork()
			all[d.GetService()] += d.GetWork()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for service, work := range all {
		if t.workFirstSeen[service].IsZero() && work > 0 {
			t.workFirstSeen[service] = time.Now()
		}
		if work == 0 || time.Since(t.workFirstSeen[service]) < minWorkObservation {
			continue
		}
		share := light[service] / work
		if sent, found := t.sentLightShares[service]; !found || math.Abs(share-sent) > lightShareStep {
			t.sentLightShares[service] = share
		}
		out[service] = t.sentLightShares[service]
	}
	return out
}

// hosts returns the hosts of the entry processes that sent a sync request recently.
func (t *entryTable) hosts() []string {
	var out []string
	for _, s := range t.recentSyncs() {
		out = append(out, s.GetHost())
	}
	return out
}

// latestUpstreams returns the upstreams that announced themselves to the entry
// processes, each by its latest announcement.
func (t *entryTable) latestUpstreams() []*wire.Upstream {
	latest := map[string]*wire.Upstream{}
	for _, s := range t.recentSyncs() {
		for _, u := range s.GetUpstreams() {
			before := latest[u.GetId()]
			if before == nil || u.GetIncarnation() > before.GetIncarnation() ||
				u.GetIncarnation() == before.GetIncarnation() && u.GetSequence() > before.GetSequence() {
				latest[u.GetId()] = u
			}
		}
	}
	out := make([]*wire.Upstream, 0, len(latest))
	for _, u := range latest {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}
