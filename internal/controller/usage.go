package controller

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// usageInterval is the time between two commits of usage pushes.
	usageInterval = time.Second
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
