package tabulator

import (
	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/sequencer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// LeavesSince returns the upstreams that were found to be leaving after the reader's position in the
// leaves, or all that are leaving if the reader has none in this table, and a channel that is closed at the
// next change.
func (t *Table) LeavesSince(r Reader) (reply *wire.FollowReply, updated <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	after := sequencer.Position(r.Position)
	if r.Table != t.tableID {
		after = 0
	}
	reply = &wire.FollowReply{Table: t.tableID, Standby: true}
	r.AcceptsLeaving = true
	changed, reached := t.changes.Since(after, len(t.removals)+t.registry.Len()+1)
	for _, id := range changed {
		switch u := t.registry.Get(id); {
		case u == nil || u.State != registrar.Leaving:
		case r.sendsRun(u):
			reply.Leaving = append(reply.Leaving, &wire.UpstreamRun{Id: string(id), Incarnation: uint64(u.Incarnation)})
		default:
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(u, now))
		}
	}
	reply.LeavesPosition = uint64(reached)
	return reply, t.updated
}

// Withdraw marks an upstream as leaving and passes that on to the other control
// processes. An incarnation of zero means the current one. It returns the departure, or
// false if the upstream or its incarnation is not known.
func (t *Table) Withdraw(id registrar.UpstreamID, incarnation registrar.Incarnation) (registrar.Departure, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.registry.Get(id)
	if known == nil || incarnation != 0 && incarnation != known.Incarnation {
		return registrar.Departure{ID: id, Incarnation: incarnation}, false
	}
	departure := registrar.Departure{ID: id, Incarnation: known.Incarnation}
	if known.State == registrar.Leaving {
		return departure, true
	}
	if u, accepted := t.registry.Withdraw(t.now(), id, incarnation); accepted {
		t.OnLeaving(&u, LeaveWithdrawn)
		t.unsent[id] = true
		t.recordChange(id)
	}
	return departure, true
}

// WithdrawOutdated marks the upstreams of another version as leaving that an announcement shows to be
// over, whether or not it can be applied itself.
func (t *Table) WithdrawOutdated(u *registrar.Upstream) {
	t.mu.Lock()
	outdated := t.registry.Outdated(u)
	t.mu.Unlock()
	for _, known := range outdated {
		t.Withdraw(known.ID, known.Incarnation)
	}
}

// Depart records a committed departure.
func (t *Table) Depart(d registrar.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.registry.Depart(t.now(), d) {
		t.OnLeaving(t.registry.Get(d.ID), LeaveCommitted)
		t.recordChange(d.ID)
	}
}
