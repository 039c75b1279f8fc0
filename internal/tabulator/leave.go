package tabulator

import "github.com/comfreybend/comfreybend/pkg/registrar"

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
