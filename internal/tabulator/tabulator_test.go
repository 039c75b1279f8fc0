package tabulator

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const tableLease = 50 * time.Millisecond

func announcement(id string, incarnation registrar.Incarnation, state registrar.State) registrar.Upstream {
	return registrar.Upstream{
		ID: registrar.UpstreamID(id), Incarnation: incarnation, Sequence: 1, URL: "http://" + id,
		Kind: registrar.KindService, Serves: []string{"pool"}, State: state, AnnouncedAt: timer.Now(),
	}
}

// TestUpstreamTableLeaseExpiry lets the lease of every upstream end, as when a
// failure domain is cut off. It guards against a nil pointer in ChangesSince,
// which occurred when the method all removed an expired upstream from the registry
// but not from changes.
func TestUpstreamTableLeaseExpiry(t *testing.T) {
	tests := map[string]func(*Table){
		"expired by ChangesSince":         func(table *Table) { table.ChangesSince(Reader{WithRows: true}) },
		"expired by all":                  func(table *Table) { table.All() },
		"expired by all after takeUnsent": func(table *Table) { table.TakeUnsent(); table.All() },
	}
	for name, expire := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(tableLease)
			table.Update(announcement("a", 1, registrar.Serving), true)
			if reply, _ := table.ChangesSince(Reader{WithRows: true}); len(reply.GetUpstreams()) != 1 {
				t.Fatalf("%d upstreams before the end of the lease, want 1", len(reply.GetUpstreams()))
			}
			for end := timer.Now() + 2*tableLease; timer.Now() < end; {
				time.Sleep(tableLease / 10)
			}
			expire(table)
			if reply, _ := table.ChangesSince(Reader{WithRows: true}); len(reply.GetUpstreams()) != 0 {
				t.Errorf("%d upstreams after the end of the lease, want 0", len(reply.GetUpstreams()))
			}
		})
	}
}

// TestUpstreamTableChangesSince checks that a poll gets only the changes after its
// position, and everything if its position belongs to another table.
func TestUpstreamTableChangesSince(t *testing.T) {
	table := New(time.Minute)
	table.Update(announcement("a", 1, registrar.Serving), true)
	first, updated := table.ChangesSince(Reader{WithRows: true})
	if reply, _ := table.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true}); len(reply.GetUpstreams()) != 0 {
		t.Errorf("%d upstreams without a change, want 0", len(reply.GetUpstreams()))
	}
	table.Withdraw("a", 0)
	select {
	case <-updated:
	default:
		t.Error("channel is not closed after a change")
	}
	reply, _ := table.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true})
	if len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetState() != string(registrar.Leaving) {
		t.Errorf("upstreams after the withdrawal are %v, want one that is leaving", reply.GetUpstreams())
	}
	if reply, _ = table.ChangesSince(Reader{Table: first.GetTable() + 1, Position: first.GetPosition(), WithRows: true}); len(reply.GetUpstreams()) != 1 {
		t.Errorf("%d upstreams for a position of another table, want 1", len(reply.GetUpstreams()))
	}
}

// TestUpstreamTableDelayedAnnouncement checks that an announcement that arrives
// late neither revives an upstream that left nor gives its address to an older upstream.
func TestUpstreamTableDelayedAnnouncement(t *testing.T) {
	tests := map[string]struct {
		later   registrar.Upstream
		serving bool
	}{
		"announcement of the withdrawn incarnation":       {later: announcement("a", 1, registrar.Serving)},
		"announcement of a new incarnation":               {later: announcement("a", 2, registrar.Serving), serving: true},
		"announcement of an earlier incarnation":          {later: announcement("a", 0, registrar.Serving)},
		"announcement of another upstream at the address": {later: func() registrar.Upstream { u := announcement("b", 0, registrar.Serving); u.URL = "http://a"; return u }()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(time.Minute)
			table.Update(announcement("a", 1, registrar.Serving), true)
			table.Withdraw("a", 1)
			test.later.Sequence = 5
			table.Update(test.later, true)
			serving := false
			for _, u := range table.All() {
				serving = serving || u.GetState() == string(registrar.Serving)
			}
			if serving != test.serving {
				t.Errorf("serving upstream in the table: %t, want %t; table: %v", serving, test.serving, table.All())
			}
		})
	}
}

// gossip passes what one table has to send on to another one, and returns whether that has
// All it needs.
func gossip(from, to *Table) bool {
	complete := true
	for _, u := range from.TakeUnsent() {
		to.Update(announcer.FromWire(u, timer.Now()), false)
	}
	for _, r := range from.TakeRenewals() {
		complete = to.Renew(r) && complete
	}
	return complete
}

// TestRenewalsAreCompact guards against control traffic that grows with upstreams times
// hosts: announcements without a change must reach neither the entry processes nor the
// other control processes as whole rows.
func TestRenewalsAreCompact(t *testing.T) {
	const upstreams = 3000
	near, far := New(time.Minute), New(time.Minute)
	announce := func(sequence registrar.Sequence) {
		for i := range upstreams {
			u := announcement(fmt.Sprint("engine-", i), 1, registrar.Serving)
			u.Sequence = sequence
			near.Update(u, true)
		}
	}
	announce(1)
	gossip(near, far)
	first, _ := near.ChangesSince(Reader{WithRows: true})
	if len(first.GetUpstreams()) != upstreams || !first.GetWholeTable() || len(far.All()) != upstreams {
		t.Fatalf("%d upstreams in the first reply and %d at the other process, want %d", len(first.GetUpstreams()), len(far.All()), upstreams)
	}
	announce(2)
	reply, _ := near.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true})
	reply.Renewals = near.RenewalsNow()
	if size := proto.Size(reply); size > 100 {
		t.Errorf("a reply without changes has %d bytes, want at most 100", size)
	}
	changed, renewals := near.TakeUnsent(), near.TakeRenewals()
	if len(changed) != 0 || len(renewals) != 0 {
		t.Errorf("%d changes and %d renewals are sent before a renewal is due", len(changed), len(renewals))
	}
}

// TestRenewalsFindLostChanges guards against announcements that stay unknown or out of date
// at another control process because one gossip message was lost.
func TestRenewalsFindLostChanges(t *testing.T) {
	tests := map[string]struct {
		// lost is the change that the other process has missed.
		lost     registrar.Upstream
		complete bool
	}{
		"nothing":             {lost: announcement("a", 1, registrar.Serving), complete: true},
		"a new upstream":      {lost: announcement("b", 1, registrar.Serving)},
		"a new incarnation":   {lost: announcement("a", 2, registrar.Serving)},
		"a change of the URL": {lost: movedAnnouncement()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// A lease so short that every renewal is due.
			near, far := New(time.Minute), New(time.Minute)
			near.lease, near.registry = 0, registrar.NewExclusive(time.Minute)
			near.Update(announcement("a", 1, registrar.Serving), true)
			gossip(near, far)
			test.lost.Sequence = 2
			near.Update(test.lost, true)
			near.TakeUnsent()
			test.lost.Sequence = 3
			near.Update(test.lost, true)
			if complete := gossip(near, far); complete != test.complete {
				t.Errorf("the other process has all it needs: %t, want %t", complete, test.complete)
			}
		})
	}
}

func movedAnnouncement() registrar.Upstream {
	u := announcement("a", 1, registrar.Serving)
	u.URL = "http://elsewhere"
	return u
}

// TestRemovalsReachPollers checks that an entry process learns which upstreams were removed
// from the table, and gets the whole table if that is not known any more.
func TestRemovalsReachPollers(t *testing.T) {
	table := New(tableLease)
	table.Update(announcement("a", 1, registrar.Serving), true)
	first, _ := table.ChangesSince(Reader{WithRows: true})
	var reply *wire.FollowReply
	for end := timer.Now() + time.Minute; timer.Now() < end && len(reply.GetRemoved()) == 0; {
		reply, _ = table.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true})
	}
	if len(reply.GetRemoved()) != 1 || reply.GetRemoved()[0] != "a" || reply.GetWholeTable() {
		t.Fatalf("reply %v, want the removal of one upstream", reply)
	}
	table.expire(timer.Now() + 2*removalRetention)
	if reply, _ = table.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true}); !reply.GetWholeTable() {
		t.Errorf("reply %v to a position from before the removal, want the whole table", reply)
	}
	if reply, _ = table.ChangesSince(Reader{Table: reply.GetTable(), Position: reply.GetPosition(), WithRows: true}); reply.GetWholeTable() {
		t.Errorf("reply %v to the latest position, want no whole table", reply)
	}
}

// TestOverdueUpstreamsAreNotRenewed checks that an upstream that has stopped announcing
// itself gets no renewal from the others.
func TestOverdueUpstreamsAreNotRenewed(t *testing.T) {
	const lease = time.Minute
	table := New(lease)
	silent := announcement("silent", 1, registrar.Serving)
	silent.AnnouncedAt -= lease * 2 / 3
	table.Update(silent, true)
	table.Update(announcement("a", 1, registrar.Serving), true)
	renewals := table.RenewalsNow()
	if len(renewals.GetOverdue()) != 1 || renewals.GetOverdue()[0] != "silent" || renewals.GetAgeMillis() > (lease/overdueDivisor).Milliseconds() {
		t.Errorf("renewals %v, want the silent upstream overdue and a small age", renewals)
	}
}

// TestEndedUpstreamsAreRemoved guards against lists of overdue upstreams that every entry process gets
// with each renewal: upstreams that have left and ended are removed once they are overdue, and those that
// go on to announce that they are leaving are kept.
func TestEndedUpstreamsAreRemoved(t *testing.T) {
	const lease = time.Minute
	now := time.Hour
	table := New(lease)
	table.now = func() time.Duration { return now }
	announce := func(id string, state registrar.State) {
		u := announcement(id, 1, state)
		u.AnnouncedAt, u.Sequence = now, registrar.Sequence(now)
		table.Update(u, true)
	}
	for _, id := range []string{"ended", "finishing", "serving"} {
		announce(id, registrar.Serving)
	}
	start := uint64(table.changes.Position())
	announce("ended", registrar.Leaving)
	for range 6 {
		announce("finishing", registrar.Leaving)
		announce("serving", registrar.Serving)
		now += lease / overdueDivisor / 5
	}
	reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: start})
	if len(reply.GetRemoved()) != 1 || reply.GetRemoved()[0] != "ended" || len(reply.GetUpstreams()) != 1 {
		t.Errorf("removals %v and %d rows, want the one that has ended, and the other one that leaves", reply.GetRemoved(), len(reply.GetUpstreams()))
	}
	if overdue := table.RenewalsNow().GetOverdue(); len(overdue) > 0 {
		t.Errorf("%v are overdue, want none", overdue)
	}
}

// TestRenewalsKeepLeases runs two control processes at their real pace in simulated time.
// Upstreams announce themselves to one of them only; neither may ever count one that goes on
// announcing itself as overdue, or its lease would end at the entry processes.
func TestRenewalsKeepLeases(t *testing.T) {
	const (
		heartbeat = 1200 * time.Millisecond
		lease     = 10 * heartbeat
		upstreams = 20
		step      = 50 * time.Millisecond
		// gossipInterval is the time between two gossip messages with renewals.
		gossipInterval = time.Second
	)
	now := time.Hour
	near, far := New(lease), New(lease)
	near.now, far.now = func() time.Duration { return now }, func() time.Duration { return now }
	for end := now + 10*lease; now < end; now += step {
		for i := range upstreams {
			// Each upstream announces itself at a time of its own within the interval.
			offset := time.Duration(i) * heartbeat / upstreams / step * step
			if (now-offset)%heartbeat != 0 {
				continue
			}
			u := announcement(fmt.Sprint("engine-", i), 1, registrar.Serving)
			u.Sequence, u.AnnouncedAt = registrar.Sequence(now/heartbeat), now
			near.Update(u, true)
		}
		for _, u := range near.TakeUnsent() {
			far.Update(announcer.FromWire(u, now), false)
		}
		if now%gossipInterval != 0 {
			continue
		}
		for _, r := range near.TakeRenewals() {
			if !far.Renew(r) {
				t.Fatalf("%v: the other process lacks %s", now-time.Hour, r.GetId())
			}
		}
		for name, table := range map[string]*Table{"near": near, "far": far} {
			if overdue := table.RenewalsNow().GetOverdue(); len(overdue) > 0 {
				t.Fatalf("%v: %s counts %v as overdue", now-time.Hour, name, overdue)
			}
		}
	}
	if reply, _ := far.ChangesSince(Reader{WithRows: true}); len(reply.GetUpstreams()) != upstreams {
		t.Errorf("the other process knows %d upstreams, want %d", len(reply.GetUpstreams()), upstreams)
	}
}

// TestTableIsEncodedOnce checks that many entry processes that start at a time get the same
// bytes, that no change after them is lost, and that single rows can be asked for.
func TestTableIsEncodedOnce(t *testing.T) {
	now := time.Hour
	table := New(time.Minute)
	table.now = func() time.Duration { return now }
	announce := func(id string) {
		u := announcement(id, 1, registrar.Serving)
		u.AnnouncedAt = now
		table.Update(u, true)
	}
	announce("a")
	first, _, err := table.EncodedUpstreams(0)
	if err != nil {
		t.Fatal(err)
	}
	now += encodedCacheTime / 2
	second, age, err := table.EncodedUpstreams(0)
	if err != nil || first != second || age != encodedCacheTime/2 {
		t.Errorf("age %v, error %v; want the same bytes, encoded %v ago", age, err, encodedCacheTime/2)
	}
	announce("b")
	second, _, err = table.EncodedUpstreams(0)
	if err != nil || first != second {
		t.Errorf("error %v; want the same bytes within %v", err, encodedCacheTime)
	}
	if reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: second.Position}); len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetId() != "b" {
		t.Errorf("changes after these bytes are %v, want the new upstream", reply.GetUpstreams())
	}
	now += encodedCacheTime / 2
	third, age, err := table.EncodedUpstreams(0)
	decoded := &wire.Upstreams{}
	if err != nil || proto.Unmarshal(third.Data, decoded) != nil || len(decoded.GetUpstreams()) != 2 || age != 0 {
		t.Errorf("%v, age %v, error %v; want two upstreams, just encoded", decoded, age, err)
	}
	if kept, _, err := table.EncodedUpstreams(first.Digest); err != nil || kept != first {
		t.Errorf("error %v; want the bytes that an entry process is fetching", err)
	}
	if reply, _ := table.ChangesSince(Reader{}); !reply.GetWholeTable() || len(reply.GetUpstreams()) != 0 {
		t.Errorf("reply %v, want one for the whole table without rows", reply)
	}
	reply := &wire.FollowReply{}
	if table.AddLacking(reply, []string{"a", "gone"}); len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetId() != "a" {
		t.Errorf("rows %v, want that of the known upstream", reply.GetUpstreams())
	}
}

// TestChangesComeInPages checks that a reply holds a bounded number of changes, and that an entry
// process that goes on from its position gets all of them, removals too.
func TestChangesComeInPages(t *testing.T) {
	now := time.Hour
	table := New(time.Minute)
	table.now = func() time.Duration { return now }
	announce := func(i int, incarnation registrar.Incarnation) {
		u := announcement(strconv.Itoa(i), incarnation, registrar.Serving)
		u.AnnouncedAt, u.Sequence = now, registrar.Sequence(now/time.Second)
		table.Update(u, true)
	}
	// Upstreams that do not change are most of the table.
	unchanged := func() {
		for i := range 6 * maxRows {
			announce(-1-i, 1)
		}
	}
	unchanged()
	start := uint64(table.changes.Position())
	for i := range 3 * maxRows {
		announce(i, 2)
	}
	for range 4 {
		now += table.lease / 2
		unchanged()
	}
	table.All()
	for i := range 2 * maxRows {
		announce(i, 3)
	}
	whole, _ := table.ChangesSince(Reader{WithRows: true})
	rowBytes := proto.Size(whole) / len(whole.GetUpstreams())
	position, rows, removed := start, map[string]bool{}, map[string]bool{}
	for position != uint64(table.changes.Position()) {
		reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: position})
		if reply.GetWholeTable() || reply.GetPosition() <= position || proto.Size(reply) > maxRows*rowBytes {
			t.Fatalf("%d rows and %d removals up to %d after %d, %d bytes, whole table: %t; want at most the %d bytes of %d rows",
				len(reply.GetUpstreams()), len(reply.GetRemoved()), reply.GetPosition(), position, proto.Size(reply), reply.GetWholeTable(), maxRows*rowBytes, maxRows)
		}
		position = reply.GetPosition()
		for _, u := range reply.GetUpstreams() {
			rows[u.GetId()] = true
		}
		for _, id := range reply.GetRemoved() {
			removed[id] = true
		}
	}
	if len(rows) != 2*maxRows || len(removed) != maxRows {
		t.Errorf("%d rows and %d removals, want %d and %d", len(rows), len(removed), 2*maxRows, maxRows)
	}
}

// TestLeavesAreCompact guards against a whole table for every entry process when many upstreams leave at
// once: an entry process gets their runs, and the rows of those that say when they are shut down.
func TestLeavesAreCompact(t *testing.T) {
	const upstreams = 3000
	now := time.Hour
	table := New(time.Minute)
	table.now = func() time.Duration { return now }
	announce := func(id string, incarnation registrar.Incarnation, state registrar.State, shutdownAt time.Duration) {
		u := announcement(id, incarnation, state)
		u.AnnouncedAt, u.Sequence, u.ShutdownAt = now, registrar.Sequence(now), shutdownAt
		table.Update(u, true)
	}
	for i := range upstreams {
		announce(fmt.Sprintf("i-%010x", i), registrar.Incarnation(1_700_000_000_000+i), registrar.Serving, 0)
	}
	announce("reclaimed", 7, registrar.Serving, 0)
	announce("unnumbered", 0, registrar.Serving, 0)
	whole, _ := table.ChangesSince(Reader{WithRows: true})
	start := uint64(table.changes.Position())
	now += time.Second
	for i := range upstreams {
		announce(fmt.Sprintf("i-%010x", i), registrar.Incarnation(1_700_000_000_000+i), registrar.Leaving, 0)
	}
	announce("reclaimed", 7, registrar.Leaving, now+time.Second)
	announce("unnumbered", 0, registrar.Leaving, 0)
	if reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: start}); !reply.GetWholeTable() {
		t.Error("a reader that does not accept runs gets rows, though all of the table has changed")
	}
	leaving, rows, bytes := map[string]uint64{}, map[string]bool{}, 0
	for r := (Reader{Table: table.tableID, Position: start, AcceptsLeaving: true}); r.Position != uint64(table.changes.Position()); {
		reply, _ := table.ChangesSince(r)
		if reply.GetWholeTable() || reply.GetPosition() <= r.Position {
			t.Fatalf("whole table: %t, position %d after %d", reply.GetWholeTable(), reply.GetPosition(), r.Position)
		}
		r.Position = reply.GetPosition()
		bytes += proto.Size(reply)
		for _, run := range reply.GetLeaving() {
			leaving[run.GetId()] = run.GetIncarnation()
		}
		for _, u := range reply.GetUpstreams() {
			rows[u.GetId()] = u.GetState() == string(registrar.Leaving)
		}
	}
	if len(leaving) != upstreams || leaving["i-0000000005"] != 1_700_000_000_005 || len(rows) != 2 || !rows["reclaimed"] || !rows["unnumbered"] {
		t.Errorf("%d runs and the rows %v, want %d runs, and the rows of those that are reclaimed or not numbered", len(leaving), rows, upstreams)
	}
	if most := proto.Size(whole) / 3; bytes > most {
		t.Errorf("the leaves take %d bytes, want a third of the table at most: %d", bytes, most)
	}
}

// TestMostChangesAreWholeTable checks that an entry process fetches the whole table when most of it
// has changed, and goes on from there.
func TestMostChangesAreWholeTable(t *testing.T) {
	now := time.Hour
	table := New(time.Minute)
	table.now = func() time.Duration { return now }
	announce := func(i int, incarnation registrar.Incarnation) {
		u := announcement(strconv.Itoa(i), incarnation, registrar.Serving)
		u.AnnouncedAt = now
		table.Update(u, true)
	}
	for i := range 4 * maxRows {
		announce(i, 1)
	}
	start := uint64(table.changes.Position())
	for i := range 2 * maxRows {
		announce(i, 2)
	}
	if reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: start}); reply.GetWholeTable() {
		t.Error("half of the table has changed, and the whole of it is to be fetched")
	}
	announce(2*maxRows, 2)
	reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: start})
	if !reply.GetWholeTable() || len(reply.GetUpstreams()) > 0 {
		t.Errorf("whole table: %t, with %d rows; want the whole table, without rows", reply.GetWholeTable(), len(reply.GetUpstreams()))
	}
	if reply, _ = table.ChangesSince(Reader{Table: table.tableID, Position: start, WithRows: true}); !reply.GetWholeTable() || len(reply.GetUpstreams()) != 4*maxRows {
		t.Errorf("whole table: %t, with %d rows; want %d", reply.GetWholeTable(), len(reply.GetUpstreams()), 4*maxRows)
	}
	if reply, _ = table.ChangesSince(Reader{Table: table.tableID, Position: uint64(table.changes.Position())}); reply.GetWholeTable() {
		t.Error("nothing has changed, and the whole table is to be fetched")
	}
}

// TestLeavesSince guards against a leave that a reader misses since it asks for leaves only, and against
// changes that it misses when it asks for all again.
func TestLeavesSince(t *testing.T) {
	table := New(time.Minute)
	update := func(id string, incarnation registrar.Incarnation, state registrar.State) {
		table.Update(announcement(id, incarnation, state), true)
	}
	leaving := func(r Reader) (ids []string, position uint64) {
		reply, _ := table.LeavesSince(r)
		for _, run := range reply.GetLeaving() {
			ids = append(ids, run.GetId())
		}
		if len(reply.GetUpstreams())+len(reply.GetRemoved()) > 0 || reply.GetWholeTable() || reply.GetPosition() != 0 || !reply.GetStandby() {
			t.Errorf("reply %v, want leaves only", reply)
		}
		return ids, reply.GetLeavesPosition()
	}
	update("a", 1, registrar.Serving)
	update("b", 1, registrar.Leaving)
	full := uint64(table.changes.Position())
	ids, position := leaving(Reader{})
	if fmt.Sprint(ids) != "[b]" {
		t.Errorf("%v are leaving to a new reader, want b", ids)
	}
	update("c", 1, registrar.Serving)
	if ids, _ = leaving(Reader{Table: table.tableID, Position: position}); len(ids) > 0 {
		t.Errorf("%v are leaving, want none since", ids)
	}
	_, updated := table.LeavesSince(Reader{Table: table.tableID, Position: position})
	update("a", 1, registrar.Leaving)
	select {
	case <-updated:
	default:
		t.Error("the reader is not told of a change")
	}
	if ids, _ = leaving(Reader{Table: table.tableID + 1, Position: position}); fmt.Sprint(ids) != "[b a]" {
		t.Errorf("%v are leaving to a reader of another table, want b and a", ids)
	}
	if ids, _ = leaving(Reader{Table: table.tableID, Position: position}); fmt.Sprint(ids) != "[a]" {
		t.Errorf("%v are leaving since, want a", ids)
	}
	if reply, _ := table.ChangesSince(Reader{Table: table.tableID, Position: full, AcceptsLeaving: true}); len(reply.GetUpstreams()) != 1 || len(reply.GetLeaving()) != 1 {
		t.Errorf("%v since the last full reply, want one row and one leave", reply)
	}
}

// TestWarmUpThatDoesNotEndIsPassedOn guards against a warm-up whose end moves a little with each
// announcement, and which entry processes take to be over since none of the changes is large.
func TestWarmUpThatDoesNotEndIsPassedOn(t *testing.T) {
	table := New(time.Minute)
	u := announcement("a", 1, registrar.Serving)
	u.WarmUpEndsAt = u.AnnouncedAt + time.Minute
	table.Update(u, true)
	first, _ := table.ChangesSince(Reader{WithRows: true})
	for range 10 {
		u.Sequence++
		u.WarmUpEndsAt += 200 * time.Millisecond
		table.Update(u, true)
	}
	reply, _ := table.ChangesSince(Reader{Table: first.GetTable(), Position: first.GetPosition(), WithRows: true})
	if len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetWarmupMillis() < 61_600 {
		t.Errorf("passed on %v, want a warm-up that ends 2 s later or a little before that", reply.GetUpstreams())
	}
}
