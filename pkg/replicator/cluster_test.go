package replicator

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	testHeartbeat       = 10 * time.Millisecond
	testElectionTimeout = 100 * time.Millisecond
	testTick            = 2 * time.Millisecond
	testBatchBytes      = 64
	testKeepEntries     = 4
	testSnapshotEntries = 20
)

type (
	// disk is the durable state of a member, which survives a restart.
	disk struct {
		hardState *replication.HardState
		snapshot  *replication.Snapshot
		entries   []*replication.Entry
	}

	// member is the process on one host of the simulated group. Its id changes when
	// its disk is wiped.
	member struct {
		host    string
		id      MemberID
		disk    *disk
		core    *Core
		applied Index
		// snapshotIndex is the last entry that the latest snapshot covers.
		snapshotIndex Index
		// frozenUntil is the simulated time until which the member does not run but
		// keeps its memory.
		frozenUntil time.Duration
		down        bool
		// writes are those that the disk has not finished, in their order.
		writes []diskWrite
		// diskSlowUntil is the simulated time until which writes take up to writeTime.
		diskSlowUntil, writeTime time.Duration
		// clockOffset is how far this member's clock is ahead of the simulated time.
		clockOffset time.Duration
	}

	// diskWrite is a write to a disk and what the driver does once it is done.
	diskWrite struct {
		doneAt time.Duration
		write  func(*disk)
		// messages are sent and event is passed to the core once the write is done.
		messages []*replication.Message
		event    Event
	}

	// delivery is a message on its way.
	delivery struct {
		deliverAt time.Duration
		message   *replication.Message
	}

	// cluster runs a group of cores in simulated time. All random choices,
	// including the faults, come from one seed, so that a failure can be reproduced.
	cluster struct {
		t        *testing.T
		random   *rand.Rand
		now      time.Duration
		members  []*member
		inFlight []delivery
		// partitions holds the pairs of hosts (sender, receiver) between which
		// messages are dropped.
		partitions map[[2]string]bool
		// unreliable makes the network drop, duplicate and delay messages at random.
		unreliable bool
		nextID     MemberID

		// leaders holds the leader seen in each term.
		leaders map[Term]MemberID
		// committed holds the term and data of each committed entry as one string.
		committed        map[Index]string
		highestCommitted Index
		acked            map[string]bool
		// requiredIndex holds, for each pending read, the highest index committed
		// when it started.
		requiredIndex map[ReadID]Index
		lastReadID    ReadID
		proposalCount int
	}
)

// newCluster starts a group in which each host is a voter with its own clock, and spare
// hosts with empty disks that ask to join it.
func newCluster(t *testing.T, seed int64, hosts, spares int) *cluster {
	c := &cluster{
		t:             t,
		random:        rand.New(rand.NewSource(seed)),
		partitions:    map[[2]string]bool{},
		leaders:       map[Term]MemberID{},
		committed:     map[Index]string{},
		acked:         map[string]bool{},
		requiredIndex: map[ReadID]Index{},
	}
	initial := &replication.Membership{}
	for i := range hosts {
		c.nextID++
		m := &member{host: fmt.Sprintf("host-%d", i), id: c.nextID, clockOffset: time.Duration(c.random.Int63n(int64(time.Hour)))}
		c.members = append(c.members, m)
		initial.Members = append(initial.Members, &replication.Member{Id: uint64(m.id), Host: m.host, Voter: true})
	}
	for _, m := range c.members {
		m.disk = &disk{
			hardState: &replication.HardState{},
			snapshot:  &replication.Snapshot{Header: &replication.SnapshotHeader{Membership: initial}},
		}
		c.start(m)
	}
	for i := range spares {
		c.nextID++
		m := &member{
			host: fmt.Sprintf("spare-%d", i), id: c.nextID, clockOffset: time.Duration(c.random.Int63n(int64(time.Hour))),
			disk: &disk{hardState: &replication.HardState{}},
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

// clock returns the time of a member's clock.
func (c *cluster) clock(m *member) time.Duration { return c.now + m.clockOffset }

// start starts or restarts a member from its disk.
func (c *cluster) start(m *member) {
	m.down = false
	m.frozenUntil = 0
	m.writes = nil
	m.core = NewCore(Config{
		ID: m.id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, BatchBytes: testBatchBytes,
		Random: c.random.Int63n,
	}, InitialState{
		HardState: m.disk.hardState, Snapshot: m.disk.snapshot.GetHeader(), Entries: m.disk.entries,
	}, c.clock(m))
	m.applied = Index(m.disk.snapshot.GetHeader().GetIndex())
	m.snapshotIndex = m.applied
	c.handleOutput(m)
}

// wipe restarts a member with an empty disk, which makes it a new incarnation.
func (c *cluster) wipe(m *member) {
	c.nextID++
	m.id = c.nextID
	m.disk = &disk{hardState: &replication.HardState{}, snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{}}}
	c.start(m)
}

func (c *cluster) isRunning(m *member) bool { return !m.down && m.frozenUntil <= c.now }

func (c *cluster) step(m *member, e Event) {
	m.core.Step(c.clock(m), e)
	c.handleOutput(m)
}

// handleOutput does what a member's core asks for, as a driver must, and checks
// the results.
func (c *cluster) handleOutput(m *member) {
	out := m.core.TakeOutput()
	switch {
	case out.InstallSnapshot != nil:
		for len(m.writes) > 0 {
			c.finishWrite(m)
		}
		m.disk.snapshot = out.InstallSnapshot
		m.applied = Index(out.InstallSnapshot.GetHeader().GetIndex())
		m.snapshotIndex = m.applied
		m.disk.entries = append([]*replication.Entry(nil), m.core.EntriesAfter(m.applied)...)
		m.disk.hardState = m.core.HardState()
		c.addWrite(m, diskWrite{messages: out.AfterRecord, event: *out.Persisted})
	case out.Record != nil:
		c.addWrite(m, diskWrite{messages: out.AfterRecord, event: *out.Persisted, write: func(d *disk) {
			d.hardState = out.Record.GetHardState()
			d.append(out.Record.GetEntries())
		}})
	case len(out.AfterRecord) > 0:
		c.addWrite(m, diskWrite{messages: out.AfterRecord})
	}
	for _, message := range out.Messages {
		c.send(m, message)
	}
	for _, e := range out.Committed {
		c.apply(m, e)
	}
	for _, r := range out.Reads {
		if required, ok := c.requiredIndex[r.ID]; ok && !r.Refused && r.Index < required {
			c.t.Fatalf("read %d is served at index %d although entry %d was committed before it started", r.ID, r.Index, required)
		}
		delete(c.requiredIndex, r.ID)
	}
	c.checkLeadership(m)
	c.takeSnapshot(m)
	c.finishWrites(m)
}

// addWrite adds a write to those of a member's disk.
func (c *cluster) addWrite(m *member, w diskWrite) {
	w.doneAt = c.now
	if m.diskSlowUntil > c.now {
		w.doneAt += time.Duration(c.random.Int63n(int64(m.writeTime)))
	}
	if n := len(m.writes); n > 0 {
		w.doneAt = max(w.doneAt, m.writes[n-1].doneAt)
	}
	m.writes = append(m.writes, w)
}

// slowDisk makes the writes of a member take up to a time.
func (c *cluster) slowDisk(m *member, until, writeTime time.Duration) {
	m.diskSlowUntil, m.writeTime = until, writeTime
}

// finishWrites finishes the writes of a member that are done by now.
func (c *cluster) finishWrites(m *member) {
	for len(m.writes) > 0 && m.writes[0].doneAt <= c.now {
		c.finishWrite(m)
		c.handleOutput(m)
	}
}

// finishWrite finishes the first write of a member.
func (c *cluster) finishWrite(m *member) {
	w := m.writes[0]
	m.writes = m.writes[1:]
	if w.write != nil {
		w.write(m.disk)
	}
	for _, message := range w.messages {
		c.send(m, message)
	}
	if w.event != nil {
		m.core.Step(c.clock(m), w.event)
	}
}

// crash ends a member. Some of the writes that its disk has not finished may be on it.
func (c *cluster) crash(m *member) {
	m.down = true
	for _, w := range m.writes[:c.random.Intn(len(m.writes)+1)] {
		if w.write != nil {
			w.write(m.disk)
		}
	}
	m.writes = nil
}

// append stores entries. An entry replaces the one at its index and all after it.
func (d *disk) append(entries []*replication.Entry) {
	first := d.snapshot.GetHeader().GetIndex() + 1
	for _, e := range entries {
		if e.GetIndex() < first {
			continue
		}
		d.entries = append(d.entries[:e.GetIndex()-first:e.GetIndex()-first], e)
	}
}

// takeSnapshot stores a snapshot on a member's disk and compacts its log, if one is due.
func (c *cluster) takeSnapshot(m *member) {
	if m.applied < m.snapshotIndex+testSnapshotEntries {
		return
	}
	m.snapshotIndex = m.applied
	taken := &disk{
		snapshot:  &replication.Snapshot{Header: m.core.SnapshotHeader(m.applied), Data: []byte{1}},
		entries:   append([]*replication.Entry(nil), m.core.EntriesAfter(m.applied)...),
		hardState: m.core.HardState(),
	}
	c.addWrite(m, diskWrite{
		write: func(d *disk) { *d = *taken },
		event: Compact{Index: Index(taken.snapshot.GetHeader().GetIndex()), Keep: testKeepEntries},
	})
}

// apply applies an entry at a member. It fails the test if the entry is out of
// order or another entry was committed at its index.
func (c *cluster) apply(m *member, e *replication.Entry) {
	index := Index(e.GetIndex())
	if index != m.applied+1 {
		c.t.Fatalf("%s applies entry %d right after entry %d", m.host, index, m.applied)
	}
	m.applied = index
	content := fmt.Sprintf("%d:%s", e.GetTerm(), e.GetData())
	if before, ok := c.committed[index]; ok && before != content {
		c.t.Fatalf("entry %d is committed as %q at %s, but as %q elsewhere", index, content, m.host, before)
	}
	c.committed[index] = content
	c.highestCommitted = max(c.highestCommitted, index)
}

// checkLeadership fails the test if two members are leaders in one term, or hold
// a lease at the same time.
func (c *cluster) checkLeadership(m *member) {
	if m.core.Role() != Leader {
		return
	}
	term := m.core.Term()
	if other, ok := c.leaders[term]; ok && other != m.id {
		c.t.Fatalf("members %d and %d are both leaders in term %d", other, m.id, term)
	}
	c.leaders[term] = m.id
	if m.core.LeaseUntil(c.clock(m)) <= c.clock(m) {
		return
	}
	for _, other := range c.members {
		if other != m && !other.down && other.core.Role() == Leader && other.core.LeaseUntil(c.clock(other)) > c.clock(other) {
			c.t.Fatalf("%s and %s hold a lease at the same time", m.host, other.host)
		}
	}
}

// send schedules the delivery of a message, unless the simulated network drops it.
func (c *cluster) send(from *member, message *replication.Message) {
	copied := proto.Clone(message).(*replication.Message)
	if copied.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
		copied.Snapshot = from.disk.snapshot
	}
	target := c.memberByID(MemberID(message.GetTo()))
	if target == nil || c.partitions[[2]string{from.host, target.host}] {
		return
	}
	copies := 1
	if c.unreliable {
		copies = [...]int{0, 1, 1, 1, 1, 2}[c.random.Intn(6)]
	}
	for range copies {
		delay := time.Duration(c.random.Int63n(int64(testHeartbeat)))
		if c.unreliable && c.random.Intn(20) == 0 {
			delay += time.Duration(c.random.Int63n(int64(3 * testElectionTimeout)))
		}
		c.inFlight = append(c.inFlight, delivery{deliverAt: c.now + delay, message: copied})
	}
}

// memberByID returns the member that currently has the ID, or nil.
func (c *cluster) memberByID(id MemberID) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// tick advances the simulated time by testTick, delivers the messages that are due
// and passes a Tick to each running member. Messages to a frozen member wait.
func (c *cluster) tick() {
	c.now += testTick
	sort.SliceStable(c.inFlight, func(i, j int) bool { return c.inFlight[i].deliverAt < c.inFlight[j].deliverAt })
	for len(c.inFlight) > 0 && c.inFlight[0].deliverAt <= c.now {
		d := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		target := c.memberByID(MemberID(d.message.GetTo()))
		if target == nil || target.down {
			continue
		}
		if !c.isRunning(target) {
			c.inFlight = append(c.inFlight, delivery{deliverAt: target.frozenUntil + testTick, message: d.message})
			continue
		}
		c.step(target, Receive{Message: proto.Clone(d.message).(*replication.Message)})
	}
	for _, m := range c.members {
		if c.isRunning(m) {
			c.finishWrites(m)
			c.step(m, Tick{})
		}
	}
	c.manageMembership()
}

// manageMembership makes each leader propose the next membership change towards
// making voters of the reachable members that have no vote or know no leader, such as
// wiped and replaced ones, as the driver of a leader does.
func (c *cluster) manageMembership() {
	for _, m := range c.members {
		if !c.isRunning(m) || m.core.Role() != Leader {
			continue
		}
		var applicants []Applicant
		for _, other := range c.members {
			reachable := !c.partitions[[2]string{other.host, m.host}] && c.isRunning(other)
			if reachable && (other.core.Leader() == 0 || !FindMember(other.core.Membership(), other.id).GetVoter()) {
				applicants = append(applicants, Applicant{ID: other.id, Host: other.host})
			}
		}
		caughtUp := func(id MemberID) bool { return m.core.Match(id) >= m.core.Commit() }
		contact := func(id MemberID) Contact { return m.core.Contact(c.clock(m), id) }
		if next := NextMembership(m.core.Membership(), applicants, caughtUp, contact); next != nil {
			c.step(m, ProposeMembership{Membership: next})
		}
	}
}

// proposeAndRead starts a proposal and a read at each member that considers
// itself the leader.
func (c *cluster) proposeAndRead() {
	for _, m := range c.members {
		if !c.isRunning(m) || m.core.Role() != Leader {
			continue
		}
		c.proposalCount++
		c.step(m, Propose{Commands: [][]byte{[]byte(fmt.Sprint(c.proposalCount))}})
		c.lastReadID++
		c.requiredIndex[c.lastReadID] = c.highestCommitted
		c.step(m, Read{ID: c.lastReadID})
	}
}

// injectFault injects one random fault, or ends all faults of one kind. Any number
// of members may be down or frozen at a time; a disk is wiped only if canWipe
// allows it.
func (c *cluster) injectFault() {
	m := c.members[c.random.Intn(len(c.members))]
	other := c.members[c.random.Intn(len(c.members))]
	switch c.random.Intn(10) {
	case 0:
		c.crash(m)
	case 1:
		m.frozenUntil = c.now + time.Duration(c.random.Int63n(int64(5*testElectionTimeout)))
	case 2:
		c.partitions[[2]string{m.host, other.host}] = true
	case 3:
		c.partitions = map[[2]string]bool{}
	case 4:
		c.unreliable = !c.unreliable
	case 5:
		if c.canWipe(m) {
			c.wipe(m)
		}
	case 6, 7:
		c.slowDisk(m, c.now+time.Duration(c.random.Int63n(int64(10*testElectionTimeout))), 3*testElectionTimeout)
	default:
		for _, candidate := range c.members {
			if candidate.down {
				c.start(candidate)
			}
		}
	}
}

// canWipe reports whether the group must survive the loss of a member's disk. It
// must if the member is a voter, all other members are up and voters, and no
// member's membership still lists an incarnation whose disk was wiped. A majority
// of the voters of the latest membership then still have their disks.
func (c *cluster) canWipe(m *member) bool {
	for _, other := range c.members {
		if other != m && (other.down || !FindMember(other.core.Membership(), other.id).GetVoter()) {
			return false
		}
		for _, voter := range other.core.Membership().GetMembers() {
			if c.memberByID(MemberID(voter.GetId())) == nil {
				return false
			}
		}
	}
	return FindMember(m.core.Membership(), m.id).GetVoter()
}

// healAndConverge ends all faults and waits until all members have applied the
// same entries. It fails the test if this takes too long.
func (c *cluster) healAndConverge() {
	c.partitions = map[[2]string]bool{}
	c.unreliable = false
	for _, m := range c.members {
		m.frozenUntil = 0
		m.diskSlowUntil = 0
		if m.down {
			c.start(m)
		}
	}
	const limit = 200 * testElectionTimeout
	for end := c.now + limit; c.now < end; {
		c.tick()
		if c.hasConverged() {
			return
		}
	}
	for _, m := range c.members {
		c.t.Logf("%s: member %d, %v, term %d, applied %d, membership %v",
			m.host, m.id, m.core.Role(), m.core.Term(), m.applied, m.core.Membership())
	}
	c.t.Fatal("the group has not converged after all faults have ended")
}

// hasConverged reports whether there is exactly one leader, its membership lists
// each host once, and all members are voters and have applied all committed
// entries.
func (c *cluster) hasConverged() bool {
	leaders := 0
	for _, m := range c.members {
		if m.core.Role() == Leader {
			leaders++
			if len(m.core.Membership().GetMembers()) != len(c.members) {
				return false
			}
		}
		if m.applied != c.members[0].applied || m.applied < c.highestCommitted || !FindMember(m.core.Membership(), m.id).GetVoter() {
			return false
		}
	}
	return leaders == 1
}
