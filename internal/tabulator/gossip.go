package tabulator

import (
	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Renew applies the renewal of an announcement by another control process. It returns
// false if this process does not hold the same announcement.
func (t *Table) Renew(r *wire.Renewal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.registry.Get(registrar.UpstreamID(r.GetId()))
	if known == nil || known.Incarnation < registrar.Incarnation(r.GetIncarnation()) {
		return false
	}
	if known.Incarnation > registrar.Incarnation(r.GetIncarnation()) || known.Sequence >= registrar.Sequence(r.GetSequence()) {
		// This process knows a later announcement.
		return true
	}
	now := t.now()
	renewed := *known
	renewed.Sequence = registrar.Sequence(r.GetSequence())
	renewed.AnnouncedAt = max(known.AnnouncedAt, now-announcer.Stated(r.GetAgeMillis()))
	same := known.Fingerprint() == r.GetFingerprint()
	if same || known.State == registrar.Leaving {
		t.registry.Announce(now, renewed)
	}
	return same || known.State == registrar.Leaving
}

// TakeUnsent returns the changed announcements to send to the other control processes and
// clears them.
func (t *Table) TakeUnsent() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var changed []*wire.Upstream
	for id := range t.unsent {
		changed = append(changed, announcer.ToWire(t.registry.Get(id), now))
		t.renewalSentAt[id] = now
		delete(t.renewable, id)
	}
	clear(t.unsent)
	return changed
}

// TakeRenewals returns the renewals of unchanged announcements that are due for the other
// control processes, a few within each lease.
func (t *Table) TakeRenewals() []*wire.Renewal {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var renewals []*wire.Renewal
	for id := range t.renewable {
		if now-t.renewalSentAt[id] < t.lease/gossipedRenewalsPerLease {
			continue
		}
		u := t.registry.Get(id)
		renewals = append(renewals, &wire.Renewal{
			Id: string(id), Incarnation: uint64(u.Incarnation), Sequence: uint64(u.Sequence),
			AgeMillis: (now - u.AnnouncedAt).Milliseconds(), Fingerprint: u.Fingerprint(),
		})
		t.renewalSentAt[id] = now
		delete(t.renewable, id)
	}
	return renewals
}
