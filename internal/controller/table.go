package controller

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// refreshesPerLease is how often within a lease an unchanged upstream is sent to the entry
// processes that poll this process.
const refreshesPerLease = 4

// upstreamTable holds the upstreams that announce themselves to the control
// processes. It numbers their changes, so that entry processes that poll it get
// only what has changed since their last request. It is kept in memory only: a
// restarted process begins with an empty table, and entry processes keep the
// upstreams that they know.
type upstreamTable struct {
	lease time.Duration
	// createdAt is the time at which the empty table was created.
	createdAt time.Duration

	mu       sync.Mutex
	registry *registrar.Registry
	// tableID distinguishes this table from those of earlier processes on the same host.
	tableID uint64
	// position is the number of the latest change.
	position uint64
	// changes holds the latest change of each upstream.
	changes map[registrar.UpstreamID]upstreamChange
	// updated is closed and replaced at each change.
	updated chan struct{}
	// unsentAnnouncements holds the announcements to send to the other control processes.
	unsentAnnouncements map[registrar.UpstreamID]registrar.Upstream
}

// upstreamChange is the position and time of the latest change or refresh of an upstream.
type upstreamChange struct {
	position  uint64
	changedAt time.Duration
}

func newUpstreamTable(lease time.Duration) *upstreamTable {
	return &upstreamTable{
		lease:     lease,
		createdAt: timer.Now(),
		registry:  registrar.NewExclusive(lease),
		// Never zero, the value in a request that names no table.
		tableID:             rand.Uint64() | 1,
		changes:             map[registrar.UpstreamID]upstreamChange{},
		updated:             make(chan struct{}),
		unsentAnnouncements: map[registrar.UpstreamID]registrar.Upstream{},
	}
}

// update applies an announcement. A direct one, received from the upstream itself,
// is passed on to the other control processes.
func (t *upstreamTable) update(u registrar.Upstream, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	before := t.registry.Get(u.ID)
	if !t.registry.Announce(now, u) {
		return
	}
	if direct {
		t.unsentAnnouncements[u.ID] = *t.registry.Get(u.ID)
	}
	refreshDue := now-t.changes[u.ID].changedAt > t.lease/refreshesPerLease
	if before != nil && before.EquivalentTo(t.registry.Get(u.ID)) && !refreshDue {
		return
	}
	t.recordChange(now, u.ID)
}

// recordChange gives the change of an upstream the next position and wakes the polls
// that wait for one.
func (t *upstreamTable) recordChange(now time.Duration, id registrar.UpstreamID) {
	t.position++
	t.changes[id] = upstreamChange{position: t.position, changedAt: now}
	close(t.updated)
	t.updated = make(chan struct{})
}

// withdraw marks an upstream as leaving and passes that on to the other control
// processes. An incarnation of zero means the current one.
func (t *upstreamTable) withdraw(id registrar.UpstreamID, incarnation registrar.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	if known := t.registry.Get(id); known != nil && known.State == registrar.Leaving {
		return
	}
	if leaving, accepted := t.registry.Withdraw(now, id, incarnation); accepted {
		t.unsentAnnouncements[id] = leaving
		t.recordChange(now, id)
	}
}

// changesSince returns the upstreams that changed after a position of a table,
// and a channel that is closed at the next change. A position of another table
// counts as zero.
func (t *upstreamTable) changesSince(table, position uint64) (reply *wire.FollowReply, updated <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.expire(now)
	if table != t.tableID {
		position = 0
	}
	reply = &wire.FollowReply{Table: t.tableID, Position: t.position}
	for id, c := range t.changes {
		if c.position > position {
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(t.registry.Get(id), now))
		}
	}
	return reply, t.updated
}

// expire removes the upstreams whose lease has expired.
func (t *upstreamTable) expire(now time.Duration) {
	for _, id := range t.registry.Expire(now) {
		delete(t.changes, id)
		delete(t.unsentAnnouncements, id)
	}
}

// takeUnsent returns the announcements to send to the other control processes and clears them.
func (t *upstreamTable) takeUnsent() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	var out []*wire.Upstream
	for id, u := range t.unsentAnnouncements {
		out = append(out, announcer.ToWire(&u, now))
		delete(t.unsentAnnouncements, id)
	}
	return out
}

// isEmpty reports whether the table holds no upstream.
func (t *upstreamTable) isEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.registry.All()) == 0
}

// all returns all upstreams whose lease has not expired.
func (t *upstreamTable) all() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.expire(now)
	var out []*wire.Upstream
	for _, u := range t.registry.All() {
		out = append(out, announcer.ToWire(u, now))
	}
	return out
}
