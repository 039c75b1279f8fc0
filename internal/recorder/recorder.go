// Package recorder records in a control process the latest sync request of each entry process, and
// answers from them which entry processes there are, how much work each pool has and which upstreams
// announced themselves there. It owns these requests, which are kept in memory only, and the counters and
// shares that are derived from them. It decides on no order and calls neither the controller nor the
// replicated log.
package recorder

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
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
	// Table holds the latest sync request of each entry process.
	Table struct {
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

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]entrySync{}, refusalCounters: map[refusalKey]uint64{}, sentLightShares: map[string]float64{}, workFirstSeen: map[string]time.Time{}}
}

// Record replaces the sync request of an entry process.
func (t *Table) Record(s *wire.Sync) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[s.GetHost()] = entrySync{request: s, receivedAt: time.Now()}
}

// recentSyncs drops the expired sync requests and returns the others, ordered by host.
func (t *Table) recentSyncs() []*wire.Sync {
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

// LightShares returns, by service, the share of light classes, those with short
// prompts, in the work of all entry processes in tokens per second. A single entry process
// sees too few requests to estimate the share, and with their own estimates entry
// processes would choose different upstreams for light classes. The value changes
// in steps, so that all entry processes use the same one.
func (t *Table) LightShares() map[string]float64 {
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

// Hosts returns the hosts of the entry processes that sent a sync request recently.
func (t *Table) Hosts() []string {
	var out []string
	for _, s := range t.recentSyncs() {
		out = append(out, s.GetHost())
	}
	return out
}

// LatestUpstreams returns the upstreams that announced themselves to the entry
// processes, each by its latest announcement.
func (t *Table) LatestUpstreams() []*wire.Upstream {
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

// BusyUpstreams returns, by service, how many upstreams the load of all entry
// processes would keep fully busy.
func (t *Table) BusyUpstreams() map[string]float64 {
	out := map[string]float64{}
	for _, s := range t.recentSyncs() {
		for _, d := range s.GetDemands() {
			out[d.GetService()] += d.GetBusy()
		}
	}
	return out
}

// FailureDomains returns the failure domains of the entry processes that sent a sync request recently.
func (t *Table) FailureDomains() []planner.FailureDomain {
	seen := map[string]bool{}
	var out []planner.FailureDomain
	for _, s := range t.recentSyncs() {
		if !seen[s.GetFailureDomain()] {
			seen[s.GetFailureDomain()] = true
			out = append(out, planner.FailureDomain(s.GetFailureDomain()))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Pools returns the state of each pool: the demand that entry processes report
// and the given upstreams. Pools are named kind/service here. Each call counts the
// refusals since the previous call, so it must have one caller only.
func (t *Table) Pools(upstreams []*wire.Upstream) []planner.Pool {
	byName := map[string]*planner.Pool{}
	pool := func(name string) *planner.Pool {
		if byName[name] == nil {
			byName[name] = &planner.Pool{Name: planner.PoolName(name)}
		}
		return byName[name]
	}
	for _, s := range t.recentSyncs() {
		for _, d := range s.GetDemands() {
			p := pool(d.GetPool())
			p.Requests += int(d.GetRequests())
			p.Refused += t.newRefusals(s, d)
		}
	}
	for _, u := range upstreams {
		for _, name := range u.GetServes() {
			p := pool(u.GetKind() + "/" + name)
			p.Upstreams = append(p.Upstreams, planner.Upstream{
				ID:            planner.UpstreamID(u.GetId()),
				FailureDomain: planner.FailureDomain(u.GetFailureDomain()),
				Preemptible:   u.GetPreemptible(),
				Version:       u.GetVersion(),
				Slots:         int(u.GetLoad().GetSlots()),
				Load:          int(u.GetLoad().GetRunning() + u.GetLoad().GetWaiting()),
				Leaving:       u.GetState() == "leaving",
			})
		}
	}
	out := make([]planner.Pool, 0, len(byName))
	for _, p := range byName {
		out = append(out, *p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// newRefusals returns how many requests of a pool an entry process has refused
// since the previous call. The reported counter is cumulative.
func (t *Table) newRefusals(s *wire.Sync, d *wire.PoolDemand) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := refusalKey{incarnation: s.GetUsage().GetIncarnation(), pool: d.GetPool()}
	before := t.refusalCounters[key]
	t.refusalCounters[key] = d.GetRefused()
	return int(d.GetRefused() - min(before, d.GetRefused()))
}
