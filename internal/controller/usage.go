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
	// usageInterval is the time between commits of usage counters.
	usageInterval = time.Second
	// entryLifetime is the time after which a silent entry process is not shown any more.
	entryLifetime = 30 * time.Second
	// lightPartStep is the change of the light classes' part of the work that is told.
	lightPartStep = 0.07
	// workKnownAfter is how long work must have been seen before its parts are told.
	workKnownAfter = 6 * time.Second
)

type (
	// usageCollector holds the pushes that are not committed yet, the latest of each incarnation.
	usageCollector struct {
		mu     sync.Mutex
		pushes map[string]receivedPush
	}

	receivedPush struct {
		usage *state.Usage
		at    time.Time
	}

	// entryTable holds what the entry processes reported last.
	entryTable struct {
		mu      sync.Mutex
		entries map[string]entryReport
		// refused holds the refusal counters that were seen last.
		refused map[refusedKey]uint64
		// lightParts are the parts of the work that light classes have, by service, as told last.
		lightParts map[string]float64
		// workSince is when work of a service was seen first.
		workSince map[string]time.Time
	}

	refusedKey struct {
		incarnation string
		pool        string
	}

	entryReport struct {
		sync *wire.Sync
		at   time.Time
	}
)

func newUsageCollector() *usageCollector {
	return &usageCollector{pushes: map[string]receivedPush{}}
}

func (u *usageCollector) push(usage *state.Usage) {
	if usage == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	received := receivedPush{usage: usage, at: time.Now()}
	if earlier, found := u.pushes[usage.GetIncarnation()]; found {
		waited := time.Since(earlier.at).Milliseconds()
		usage.UnreportedMillis = max(usage.GetUnreportedMillis(), earlier.usage.GetUnreportedMillis()+waited)
	}
	u.pushes[usage.GetIncarnation()] = received
}

// take returns the pushes in a stable order and forgets them.
func (u *usageCollector) take() []*state.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]*state.Usage, 0, len(u.pushes))
	for _, p := range u.pushes {
		p.usage.UnreportedMillis += time.Since(p.at).Milliseconds()
		out = append(out, p.usage)
	}
	u.pushes = map[string]receivedPush{}
	sort.Slice(out, func(i, j int) bool { return out[i].GetIncarnation() < out[j].GetIncarnation() })
	return out
}

// runUsage commits what the entry processes pushed. A push that a failed
// commit loses is covered by the next one, since counters are cumulative.
func (c *Controller) runUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Sleep(ctx, usageInterval)
		if c.node.Status().Role != replicator.Leader {
			continue
		}
		pushes := c.collector.take()
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
	return &entryTable{entries: map[string]entryReport{}, refused: map[refusedKey]uint64{}, lightParts: map[string]float64{}, workSince: map[string]time.Time{}}
}

func (t *entryTable) note(s *wire.Sync) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[s.GetHost()] = entryReport{sync: s, at: time.Now()}
}

// fresh returns the recent reports and forgets the others.
func (t *entryTable) fresh() []*wire.Sync {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.Sync
	for host, e := range t.entries {
		if time.Since(e.at) > entryLifetime {
			delete(t.entries, host)
			continue
		}
		out = append(out, e.sync)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetHost() < out[j].GetHost() })
	return out
}

// lightPartsNow returns the part of the work that light classes have over all
// entry processes. It changes in steps, so that all of them choose alike.
func (t *entryTable) lightPartsNow() map[string]float64 {
	light, all := map[string]float64{}, map[string]float64{}
	for _, s := range t.fresh() {
		for _, d := range s.GetDemands() {
			light[d.GetService()] += d.GetLightWork()
			all[d.GetService()] += d.GetWork()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for service, work := range all {
		if t.workSince[service].IsZero() && work > 0 {
			t.workSince[service] = time.Now()
		}
		if work == 0 || time.Since(t.workSince[service]) < workKnownAfter {
			continue
		}
		part := light[service] / work
		if told, found := t.lightParts[service]; !found || math.Abs(part-told) > lightPartStep {
			t.lightParts[service] = part
		}
		out[service] = t.lightParts[service]
	}
	return out
}

func (t *entryTable) hosts() []string {
	var out []string
	for _, s := range t.fresh() {
		out = append(out, s.GetHost())
	}
	return out
}

// upstreams returns the announced upstreams, the latest announcement of each.
func (t *entryTable) upstreams() []*wire.Upstream {
	latest := map[string]*wire.Upstream{}
	for _, s := range t.fresh() {
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
