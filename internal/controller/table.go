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

// renewalsPerLease is how often within a lease a follower hears of an upstream that does not change.
const renewalsPerLease = 4

// upstreamTable holds the upstreams that announce themselves to the control
// processes, and the order in which they changed, so that followers get
// what is new. It is soft state: a process that restarts begins with an empty
// table, which takes nothing from the followers.
type upstreamTable struct {
	lease time.Duration
	// begun is when the table was empty.
	begun time.Duration

	mu        sync.Mutex
	registrar *registrar.Registrar
	// id tells this table from the one of an earlier process.
	id       uint64
	position uint64
	changed  map[registrar.UpstreamID]change
	// news is closed when the position moves.
	news chan struct{}
	// outgoing holds what the other control processes have not been told.
	outgoing map[registrar.UpstreamID]registrar.Upstream
}

type change struct {
	position uint64
	at       time.Duration
}

func newUpstreamTable(lease time.Duration) *upstreamTable {
	return &upstreamTable{
		lease:     lease,
		begun:     timer.Now(),
		registrar: registrar.NewExclusive(lease),
		id:        rand.Uint64() | 1,
		changed:   map[registrar.UpstreamID]change{},
		news:      make(chan struct{}),
		outgoing:  map[registrar.UpstreamID]registrar.Upstream{},
	}
}

// announce takes an announcement. own ones are passed on to the other control processes.
func (t *upstreamTable) announce(u registrar.Upstream, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	before := t.registrar.Get(u.ID)
	if !t.registrar.Announce(now, u) {
		return
	}
	if own {
		t.outgoing[u.ID] = *t.registrar.Get(u.ID)
	}
	stale := now-t.changed[u.ID].at > t.lease/renewalsPerLease
	if before != nil && before.SameOffer(t.registrar.Get(u.ID)) && !stale {
		return
	}
	t.position++
	t.changed[u.ID] = change{position: t.position, at: now}
	close(t.news)
	t.news = make(chan struct{})
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
	t.announce(gone, true)
}

// since returns the announcements after a position of a table, and the channel that tells of the next one.
func (t *upstreamTable) since(table, position uint64) (reply *wire.FollowReply, news <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.expire(now)
	if table != t.id {
		position = 0
	}
	reply = &wire.FollowReply{Table: t.id, Position: t.position}
	for id, c := range t.changed {
		if c.position > position {
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(t.registrar.Get(id), now))
		}
	}
	return reply, t.news
}

// expire forgets the upstreams whose lease has ended.
func (t *upstreamTable) expire(now time.Duration) {
	for _, id := range t.registrar.Expire(now) {
		delete(t.changed, id)
		delete(t.outgoing, id)
	}
}

// takeOutgoing returns what the other control processes have not been told.
func (t *upstreamTable) takeOutgoing() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	var out []*wire.Upstream
	for id, u := range t.outgoing {
		out = append(out, announcer.ToWire(&u, now))
		delete(t.outgoing, id)
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
