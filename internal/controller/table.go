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

// refreshesPerLease is how often within a lease a follower hears of an upstream that does not change.
const refreshesPerLease = 4

// upstreamTable holds the upstreams that announce themselves to the control
// processes, and the order in which they changed, so that followers get
// what is new. It is soft state: a process that restarts begins with an empty
// table, which takes nothing from the followers.
type upstreamTable struct {
	lease time.Duration
	// createdAt is when the table was empty.
	createdAt time.Duration

	mu        sync.Mutex
	registrar *registrar.Registrar
	// tableID tells this table from the one of an earlier process.
	tableID  uint64
	position uint64
	changes  map[registrar.UpstreamID]change
	// updated is closed when the position moves.
	updated chan struct{}
	// unsent holds what the other control processes have not been told.
	unsent map[registrar.UpstreamID]registrar.Upstream
}

type change struct {
	position  uint64
	changedAt time.Duration
}

func newUpstreamTable(lease time.Duration) *upstreamTable {
	return &upstreamTable{
		lease:     lease,
		createdAt: timer.Now(),
		registrar: registrar.NewExclusive(lease),
		tableID:   rand.Uint64() | 1,
		changes:   map[registrar.UpstreamID]change{},
		updated:   make(chan struct{}),
		unsent:    map[registrar.UpstreamID]registrar.Upstream{},
	}
}

// update takes an announcement. own ones are passed on to the other control processes.
func (t *upstreamTable) update(u registrar.Upstream, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	before := t.registrar.Get(u.ID)
	if !t.registrar.Announce(now, u) {
		return
	}
	if own {
		t.unsent[u.ID] = *t.registrar.Get(u.ID)
	}
	stale := now-t.changes[u.ID].changedAt > t.lease/refreshesPerLease
	if before != nil && before.SameOffer(t.registrar.Get(u.ID)) && !stale {
		return
	}
	t.position++
	t.changes[u.ID] = change{position: t.position, changedAt: now}
	close(t.updated)
	t.updated = make(chan struct{})
}

// withdraw notes that an upstream is gone. An incarnation of zero stands for the one known.
func (t *upstreamTable) withdraw(id registrar.UpstreamID, incarnation registrar.Incarnation) {
	t.mu.Lock()
	known := t.registrar.Get(id)
	t.mu.Unlock()
	if known == nil || incarnation != 0 && incarnation != known.Incarnation {
		return
	}
	gone := *known
	gone.State = registrar.Leaving
	gone.Sequence++
	gone.HeardAt = timer.Now()
	t.update(gone, true)
}

// changesSince returns the announcements after a position of a table, and the channel that tells of the next one.
func (t *upstreamTable) changesSince(table, position uint64) (reply *wire.FollowReply, news <-chan struct{}) {
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
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(t.registrar.Get(id), now))
		}
	}
	return reply, t.updated
}

// expire forgets the upstreams whose lease has ended.
func (t *upstreamTable) expire(now time.Duration) {
	for _, id := range t.registrar.Expire(now) {
		delete(t.changes, id)
		delete(t.unsent, id)
	}
}

// takeOutgoing returns what the other control processes have not been told.
func (t *upstreamTable) takeOutgoing() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	var out []*wire.Upstream
	for id, u := range t.unsent {
		out = append(out, announcer.ToWire(&u, now))
		delete(t.unsent, id)
	}
	return out
}

// empty reports that no upstream announced itself to the control processes.
func (t *upstreamTable) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.registrar.All()) == 0
}

// all returns every upstream that is known.
func (t *upstreamTable) all() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.expire(now)
	var out []*wire.Upstream
	for _, u := range t.registrar.All() {
		out = append(out, announcer.ToWire(u, now))
	}
	return out
}
