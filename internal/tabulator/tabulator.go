// Package tabulator holds the table of the upstreams that announce themselves to the control
// processes: what one has received, what it has to pass on to the others, and what has changed for
// each entry process that polls it.
package tabulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/sequencer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// gossipedRenewalsPerLease is how often within a lease the renewals of unchanged upstreams
	// are passed on to the other control processes.
	gossipedRenewalsPerLease = 6
	// wholeTablesPerLease is how often within a lease entry processes that do not accept
	// renewals get the whole table.
	wholeTablesPerLease = 4
	// overdueDivisor sets when an announcement is overdue: at 1/overdueDivisor of the lease.
	// That leaves time for a heartbeat, a gossiped renewal and a gossip interval.
	overdueDivisor = 2
	// removalRetention is the time for which the removal of an upstream is kept for the
	// entry processes that poll.
	removalRetention = time.Minute
	// maxRows is the number of upstreams in one reply to a poll, unless that is for the whole
	// table: on a slow link the reply arrives within the timeout of the poll.
	maxRows = 512
	// rowBytes, leavingBytes and removalBytes are about the sizes of a row, of the run of an
	// upstream that is leaving, and of a removal.
	rowBytes     = 144
	leavingBytes = 28
	removalBytes = 16
	// maxPageBytes bounds the changes in one reply.
	maxPageBytes = maxRows * rowBytes
	// cacheTime is the time for which the renewals for entry processes and the places are
	// computed once.
	cacheTime = 200 * time.Millisecond
	// expiriesPerLease is how often within a lease the table looks for leases that have ended.
	expiriesPerLease = 100
)

// Table holds the upstreams that announce themselves to the control
// processes. It numbers their changes, so that entry processes that poll it get
// only what has changed since their last request. An announcement without a change
// is passed on as a renewal. The table is kept in memory only: a
// restarted process begins with an empty table, and entry processes keep the
// upstreams that they know.
type Table struct {
	lease time.Duration
	now   func() time.Duration
	// createdAt is the time at which the empty table was created.
	createdAt time.Duration

	mu       sync.Mutex
	registry *registrar.Registry
	// tableID distinguishes this table from those of earlier processes on the same host.
	tableID uint64
	// changes numbers the changes of upstreams. One that is not in the registry was removed.
	changes *sequencer.Sequencer[registrar.UpstreamID]
	// removals holds the latest removals, oldest first.
	removals []upstreamRemoval
	// forgottenPosition is the greatest position of a removal that is not kept any more.
	// Who has not got further needs the whole table.
	forgottenPosition sequencer.Position
	// expiredAt is when the table last looked for leases that have ended.
	expiredAt time.Duration
	// updated is closed and replaced at each change.
	updated chan struct{}
	// unsent holds the changed announcements to send to the other control processes.
	unsent map[registrar.UpstreamID]bool
	// renewable holds the unchanged announcements received since the last renewal that was
	// sent to the other control processes, renewalSentAt the time of that by upstream.
	renewable     map[registrar.UpstreamID]bool
	renewalSentAt map[registrar.UpstreamID]time.Duration
	// renewals is the cached result of RenewalsNow, computed at renewalsAtTime.
	renewals       *wire.Renewals
	renewalsAtTime time.Duration
	// encoded holds the latest encoded tables, oldest first.
	encoded []*Encoded
	// places is the cached result of Places, computed at placesAt.
	places   Places
	placesAt time.Duration
	// wholeSentAt holds, by host, when an entry process that does not accept renewals last
	// got the whole table.
	wholeSentAt map[string]time.Duration
	// OnLeaving is called, with the mutex held, when an upstream is found to be leaving, with
	// how that was learnt.
	OnLeaving func(u *registrar.Upstream, source LeaveSource)
}

// Reader is a process that reads the changes of a table.
type Reader struct {
	// Table is the table that the reader has read, and Position the position that it has reached there.
	Table, Position uint64
	// WithRows is whether a reply for the whole table holds its rows.
	WithRows bool
	// AcceptsLeaving is whether the reader gets the runs of upstreams that are leaving in place of
	// their rows.
	AcceptsLeaving bool
}

// Place is a failure domain and what is served there.
type Place struct {
	Domain registrar.FailureDomain
	Serves string
}

// Places holds the place of each upstream.
type Places map[registrar.UpstreamID]Place

// LeaveSource is how a control process has learnt that an upstream is leaving.
type LeaveSource string

// The values of LeaveSource.
const (
	LeaveAnnounced LeaveSource = "announcement"
	LeaveWithdrawn LeaveSource = "withdrawal"
	LeaveGossiped  LeaveSource = "gossip"
	LeaveCommitted LeaveSource = "log"
)

// upstreamRemoval is the removal of an upstream.
type upstreamRemoval struct {
	id        registrar.UpstreamID
	position  sequencer.Position
	removedAt time.Duration
}

// New returns an empty table of upstreams whose announcements hold for a lease.
func New(lease time.Duration) *Table {
	registry := registrar.NewExclusive(lease)
	// One that has ended is removed when it is overdue, rather than listed as overdue.
	registry.LeavingLease = lease / overdueDivisor
	return &Table{
		lease:     lease,
		now:       timer.Now,
		createdAt: timer.Now(),
		registry:  registry,
		// Never zero, the value in a request that names no table.
		tableID:       rand.Uint64() | 1,
		changes:       sequencer.New[registrar.UpstreamID](),
		updated:       make(chan struct{}),
		unsent:        map[registrar.UpstreamID]bool{},
		renewable:     map[registrar.UpstreamID]bool{},
		renewalSentAt: map[registrar.UpstreamID]time.Duration{},
		wholeSentAt:   map[string]time.Duration{},
		OnLeaving:     func(*registrar.Upstream, LeaveSource) {},
	}
}

// IsComplete reports whether every upstream has had time to announce itself since the table was
// created, for which half of the lease is allowed.
func (t *Table) IsComplete() bool { return t.now()-t.createdAt >= t.lease/2 }

// Update applies an announcement. A direct one, received from the upstream itself,
// is passed on to the other control processes.
func (t *Table) Update(u registrar.Upstream, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	before := t.registry.Get(u.ID)
	if before != nil && before.EquivalentTo(&u) {
		// An end of the warm-up that moves a little with each announcement is compared with the
		// one that was passed on.
		u.WarmUpEndsAt = before.WarmUpEndsAt
	}
	if !t.registry.Announce(now, u) {
		return
	}
	after := t.registry.Get(u.ID)
	changed := before == nil || !before.EquivalentTo(after)
	if after.State == registrar.Leaving && (before == nil || before.State != after.State || before.Incarnation != after.Incarnation) {
		source := LeaveGossiped
		if direct {
			source = LeaveAnnounced
		}
		t.OnLeaving(after, source)
	}
	if direct {
		// Leaving upstreams are few, and each lost message about them matters.
		if changed || after.State == registrar.Leaving {
			t.unsent[u.ID] = true
		} else {
			t.renewable[u.ID] = true
		}
	}
	if changed {
		t.recordChange(u.ID)
	}
}

// recordChange gives the change of an upstream the next position and wakes the polls
// that wait for one.
func (t *Table) recordChange(id registrar.UpstreamID) {
	t.changes.Record(id)
	close(t.updated)
	t.updated = make(chan struct{})
}

// ChangesSince returns the upstreams that changed after the reader's position and those
// that were removed, and a channel that is closed at the next change. A position of
// another table, or one whose removals are not known any more, counts as zero; the reply
// is then for the whole table, which holds its rows only if the reader wants them; see
// EncodedUpstreams. The same holds if the changes are most of the table: entry processes fetch one
// whole table at a time, but read the changes of several control processes at once. Otherwise the
// reply is for the earliest changes, up to its position.
func (t *Table) ChangesSince(r Reader) (reply *wire.FollowReply, updated <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	after := sequencer.Position(r.Position)
	reply = &wire.FollowReply{
		Table: t.tableID, Position: uint64(t.changes.Position()),
		WholeTable: r.Table != t.tableID || after < t.forgottenPosition || after == 0 || t.mostChangedSince(after, r),
	}
	if reply.WholeTable {
		if r.WithRows {
			reply.Upstreams = t.rows(now)
		}
		return reply, t.updated
	}
	changed, reached := t.changes.Since(after, maxPageBytes/removalBytes)
	size := 0
	for i, id := range changed {
		if size += t.sizeOf(id, r); size > maxPageBytes {
			reached = t.changes.PositionOf(changed[i-1])
			break
		}
		switch u := t.registry.Get(id); {
		case u == nil:
			reply.Removed = append(reply.Removed, string(id))
		case r.sendsRun(u):
			reply.Leaving = append(reply.Leaving, &wire.UpstreamRun{Id: string(id), Incarnation: uint64(u.Incarnation)})
		default:
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(u, now))
		}
	}
	reply.Position = uint64(reached)
	return reply, t.updated
}

// sendsRun reports whether all that a reader has to know of an upstream is that its run is leaving.
func (r Reader) sendsRun(u *registrar.Upstream) bool {
	return r.AcceptsLeaving && u.State == registrar.Leaving && u.Incarnation != 0 && u.ShutdownAt == 0
}

// sizeOf returns the size of what a reader gets of an upstream that has changed.
func (t *Table) sizeOf(id registrar.UpstreamID, r Reader) int {
	switch u := t.registry.Get(id); {
	case u == nil:
		return removalBytes
	case r.sendsRun(u):
		return leavingBytes
	default:
		return rowBytes
	}
}

// mostChangedSince reports whether the changes after a position are more than a page, and more than half of
// the table.
func (t *Table) mostChangedSince(after sequencer.Position, r Reader) bool {
	if t.changes.Position()-min(after, t.changes.Position()) <= maxRows {
		return false
	}
	size, most := 0, max(maxPageBytes, t.registry.Len()*rowBytes/2)
	changed, _ := t.changes.Since(after, math.MaxInt)
	for _, id := range changed {
		if size += t.sizeOf(id, r); size > most {
			return true
		}
	}
	return false
}

// rows returns the rows of all upstreams, ordered by id.
func (t *Table) rows(now time.Duration) []*wire.Upstream {
	out := make([]*wire.Upstream, 0, t.registry.Len())
	for _, u := range t.registry.All() {
		out = append(out, announcer.ToWire(u, now))
	}
	return out
}

// RenewalsNow returns the renewals of the leases of all upstreams in the table. The result
// must not be modified.
func (t *Table) RenewalsNow() *wire.Renewals {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.renewals != nil && now-t.renewalsAtTime < cacheTime {
		return &wire.Renewals{AgeMillis: t.renewals.GetAgeMillis() + (now - t.renewalsAtTime).Milliseconds(), Overdue: t.renewals.GetOverdue()}
	}
	t.renewals, t.renewalsAtTime = &wire.Renewals{}, now
	t.registry.Each(func(u *registrar.Upstream) {
		age := now - u.AnnouncedAt
		if age > t.lease/overdueDivisor {
			t.renewals.Overdue = append(t.renewals.Overdue, string(u.ID))
			return
		}
		t.renewals.AgeMillis = max(t.renewals.AgeMillis, age.Milliseconds())
	})
	return t.renewals
}

// WholeTableDue reports whether the whole table has to be sent to an entry process that
// does not accept renewals.
func (t *Table) WholeTableDue(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now-t.wholeSentAt[host] < t.lease/wholeTablesPerLease {
		return false
	}
	t.wholeSentAt[host] = now
	return true
}

// expire removes the upstreams whose lease has expired, and forgets old removals. It does so a number of
// times within a lease, since polls are many.
func (t *Table) expire(now time.Duration) {
	if now-t.expiredAt < t.lease/expiriesPerLease {
		return
	}
	t.expiredAt = now
	for _, id := range t.registry.Expire(now) {
		t.removals = append(t.removals, upstreamRemoval{id: id, position: t.changes.Record(id), removedAt: now})
		delete(t.unsent, id)
		delete(t.renewable, id)
		delete(t.renewalSentAt, id)
	}
	old := 0
	for _, r := range t.removals {
		if now-r.removedAt <= removalRetention {
			break
		}
		old++
		if t.changes.PositionOf(r.id) == r.position {
			t.changes.Forget(r.id)
			t.forgottenPosition = max(t.forgottenPosition, r.position)
		}
	}
	t.removals = t.removals[old:]
}

// Places returns the place of each upstream. The result must not be modified.
func (t *Table) Places() Places {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.places != nil && now-t.placesAt < cacheTime {
		return t.places
	}
	t.places, t.placesAt = make(Places, t.registry.Len()), now
	t.registry.Each(func(u *registrar.Upstream) {
		place := Place{Domain: u.FailureDomain}
		if len(u.Serves) > 0 {
			place.Serves = u.Serves[0]
		}
		t.places[u.ID] = place
	})
	return t.places
}

// AddLacking adds the upstreams with the given ids to a reply, as far as they are in the table.
func (t *Table) AddLacking(reply *wire.FollowReply, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if u := t.registry.Get(registrar.UpstreamID(id)); u != nil {
			reply.Upstreams = append(reply.Upstreams, announcer.ToWire(u, t.now()))
		}
	}
}

// Has reports whether an upstream is known.
func (t *Table) Has(id registrar.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Get(id) != nil
}

// Len returns the number of upstreams in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Len()
}

// All returns all upstreams whose lease has not expired.
func (t *Table) All() []*wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	return t.rows(now)
}
