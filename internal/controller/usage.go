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
	// entryReportTimeout is the time after which a silent entry process is not shown any more.
	entryReportTimeout = 30 * time.Second
	// lightShareStep is the change of the light classes' part of the work that is told.
	lightShareStep = 0.07
	// workObservationTime is how long work must have been seen before its parts are told.
	workObservationTime = 6 * time.Second
)

type (
	// usageCollector holds the pushes that are not committed yet, the latest of each incarnation.
	usageCollector struct {
		mu     sync.Mutex
		pushes map[string]receivedUsage
	}

	receivedUsage struct {
		usage      *state.Usage
		receivedAt time.Time
	}

	// entryTable holds what the entry processes reported last.
	entryTable struct {
		mu      sync.Mutex
		entries map[string]entryReport
		// refusalCounters holds the refusal counters that were seen last.
		refusalCounters map[refusalKey]uint64
		// reportedLightShares are the parts of the work that light classes have, by service, as told last.
		reportedLightShares map[string]float64
		// workFirstSeen is when work of a service was seen first.
		workFirstSeen map[string]time.Time
	}

	refusalKey struct {
		incarnation string
		pool        string
	}

	entryReport struct {
		request    *wire.Sync
		receivedAt time.Time
	}
)

func newUsageCollector() *usageCollector {
	return &usageCollector{pushes: map[string]receivedUsage{}}
}

func (u *usageCollector) add(usage *state.Usage) {
	if usage == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	received := receivedUsage{usage: usage, receivedAt: time.Now()}
	if earlier, found := u.pushes[usage.GetIncarnation()]; found {
		waited := time.Since(earlier.receivedAt).Milliseconds()
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
		p.usage.UnreportedMillis += time.Since(p.receivedAt).Milliseconds()
		out = append(out, p.usage)
	}
	u.pushes = map[string]receivedUsage{}
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
	return &entryTable{entries: map[string]entryReport{}, refusalCounters: map[refusalKey]uint64{}, reportedLightShares: map[string]float64{}, workFirstSeen: map[string]time.Time{}}
}

func (t *entryTable) record(s *wire.Sync) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[s.GetHost()] = entryReport{request: s, receivedAt: time.Now()}
}

// recentReports returns the recent reports and forgets the others.
func (t *entryTable) recentReports() []*wire.Sync {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.Sync
	for host, e := range t.entries {
		if time.Since(e.receivedAt) > entryReportTimeout {
			delete(t.entries, host)
			continue
		}
		out = append(out, e.request)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetHost() < out[j].GetHost() })
	return out
}

// lightShares returns the part of the work that light classes have over all
// entry processes. It changes in steps, so that all of them choose alike.
func (t *entryTable) lightShares() map[string]float64 {
	light, all := map[string]float64{}, map[string]float64{}
	for _, s := range t.recentReports() {
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
		if work == 0 || time.Since(t.workFirstSeen[service]) < workObservationTime {
			continue
		}
		part := light[service] / work
		if told, found := t.reportedLightShares[service]; !found || math.Abs(part-told) > lightShareStep {
			t.reportedLightShares[service] = part
		}
		out[service] = t.reportedLightShares[service]
	}
	return out
}

func (t *entryTable) hosts() []string {
	var out []string
	for _, s := range t.recentReports() {
		out = append(out, s.GetHost())
	}
	return out
}

// latestUpstreams returns the announced latestUpstreams, the latest announcement of each.
func (t *entryTable) latestUpstreams() []*wire.Upstream {
	latest := map[string]*wire.Upstream{}
	for _, s := range t.recentReports() {
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
