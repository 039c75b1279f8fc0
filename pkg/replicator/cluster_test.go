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
	// disk is what survives a crash of a member.
	disk struct {
		hard     *replication.HardState
		snapshot *replication.Snapshot
		entries  []*replication.Entry
	}

	// member is one host of the simulated group.
	member struct {
		host        string
		id          MemberID
		disk        *disk
		core        *Core
		applied     Index
		frozenUntil time.Duration
		down        bool
		// clockOffset is how far this member's clock is ahead.
		clockOffset time.Duration
	}

	delivery struct {
		at      time.Duration
		message *replication.Message
	}

	// cluster simulates a group under faults drawn from a seed.
	cluster struct {
		t        *testing.T
		random   *rand.Rand
		now      time.Duration
		members  []*member
		inFlight []delivery
		cutLinks map[[2]string]bool
		lossy    bool
		nextID   MemberID

		leaders   map[Term]MemberID
		committed map[Index]string
		highest   Index
		acked     map[string]bool
		reads     map[ReadID]Index
		nextRead  ReadID
		proposed  int
	}
)

func newCluster(t *testing.T, seed int64, hosts int) *cluster {
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewSource(seed)),
		cutLinks:  map[[2]string]bool{},
		leaders:   map[Term]MemberID{},
		committed: map[Index]string{},
		acked:     map[string]bool{},
		reads:     map[ReadID]Index{},
	}
	founding := &replication.Membership{}
	for i := range hosts {
		c.nextID++
		m := &member{host: fmt.Sprintf("host-%d", i), id: c.nextID, clockOffset: time.Duration(c.random.Int63n(int64(time.Hour)))}
		c.members = append(c.members, m)
		founding.Members = append(founding.Members, &replication.Member{Id: uint64(m.id), Host: m.host, Voter: true})
	}
	for _, m := range c.members {
		m.disk = &disk{
			hard:     &replication.HardState{},
			snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{Membership: founding}},
		}
		c.start(m)
	}
	return c
}

func (c *cluster) clock(m *member) time.Duration { return c.now + m.clockOffset }

func (c *cluster) start(m *member) {
	m.down = false
	m.frozenUntil = 0
	m.core = NewCore(Config{
		ID: m.id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, BatchBytes: testBatchBytes,
		Random: c.random.Int63n,
	}, InitialState{
		HardState: m.disk.hard, Snapshot: m.disk.snapshot.GetHeader(), Entries: m.disk.entries,
	}, c.clock(m))
	m.applied = Index(m.disk.snapshot.GetHeader().GetIndex())
	c.handleOutput(m)
}

// wipe gives a member an empty disk and a new incarnation.
func (c *cluster) wipe(m *member) {
	c.nextID++
	m.id = c.nextID
	m.disk = &disk{hard: &replication.HardState{}, snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{}}}
	c.start(m)
}

func (c *cluster) running(m *member) bool { return !m.down && m.frozenUntil <= c.now }

func (c *cluster) step(m *member, e Event) {
	m.core.Step(c.clock(m), e)
	c.handleOutput(m)
}

// handleOutput does what a member's core asks for, as the driver must.
func (c *cluster) handleOutput(m *member) {
	out := m.core.TakeOutput()
	if out.InstallSnapshot != nil {
		m.disk.snapshot = out.InstallSnapshot
		m.applied = Index(out.InstallSnapshot.GetHeader().GetIndex())
		m.disk.entries = append([]*replication.Entry(nil), m.core.EntriesAfter(m.applied)...)
		m.disk.hard = m.core.HardState()
	} else if out.Record != nil {
		m.disk.hard = out.Record.GetHardState()
		m.disk.append(out.Record.GetEntries())
	}
	for _, message := range out.Messages {
		c.send(m, message)
	}
	for _, e := range out.Committed {
		c.apply(m, e)
	}
	for _, r := range out.Reads {
		if required, ok := c.reads[r.ID]; ok && !r.Refused && r.Index < required {
			c.t.Fatalf("read %d is served at index %d although %d was committed before", r.ID, r.Index, required)
		}
		delete(c.reads, r.ID)
	}
	c.checkLeader(m)
	if m.applied >= Index(m.disk.snapshot.GetHeader().GetIndex())+testSnapshotEntries {
		c.snapshot(m)
	}
}

func (d *disk) append(entries []*replication.Entry) {
	first := d.snapshot.GetHeader().GetIndex() + 1
	for _, e := range entries {
		if e.GetIndex() < first {
			continue
		}
		d.entries = append(d.entries[:e.GetIndex()-first:e.GetIndex()-first], e)
	}
}

func (c *cluster) snapshot(m *member) {
	m.disk.snapshot = &replication.Snapshot{Header: m.core.SnapshotHeader(m.applied), Data: []byte{1}}
	m.disk.entries = append([]*replication.Entry(nil), m.core.EntriesAfter(m.applied)...)
	m.disk.hard = m.core.HardState()
	m.core.Step(c.clock(m), Compact{Index: m.applied, Keep: testKeepEntries})
}

func (c *cluster) apply(m *member, e *replication.Entry) {
	index := Index(e.GetIndex())
	if index != m.applied+1 {
		c.t.Fatalf("%s applies entry %d after %d", m.host, index, m.applied)
	}
	m.applied = index
	content := fmt.Sprintf("%d:%s", e.GetTerm(), e.GetData())
	if before, ok := c.committed[index]; ok && before != content {
		c.t.Fatalf("entry %d is %q at %s but was committed as %q", index, content, m.host, before)
	}
	c.committed[index] = content
	c.highest = max(c.highest, index)
}

// checkLeader fails when two members lead one term or hold a lease at once.
func (c *cluster) checkLeader(m *member) {
	if m.core.Role() != Leader {
		return
	}
	term := m.core.Term()
	if other, ok := c.leaders[term]; ok && other != m.id {
		c.t.Fatalf("members %d and %d lead term %d", other, m.id, term)
	}
	c.leaders[term] = m.id
	if m.core.LeaseUntil(c.clock(m)) <= c.clock(m) {
		return
	}
	for _, other := range c.members {
		if other != m && !other.down && other.core.Role() == Leader && other.core.LeaseUntil(c.clock(other)) > c.clock(other) {
			c.t.Fatalf("%s and %s hold a lease at once", m.host, other.host)
		}
	}
}

func (c *cluster) send(from *member, message *replication.Message) {
	copied := proto.Clone(message).(*replication.Message)
	if copied.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
		copied.Snapshot = from.disk.snapshot
	}
	target := c.memberByID(MemberID(message.GetTo()))
	if target == nil || c.cutLinks[[2]string{from.host, target.host}] {
		return
	}
	copies := 1
	if c.lossy {
		copies = [...]int{0, 1, 1, 1, 1, 2}[c.random.Intn(6)]
	}
	for range copies {
		delay := time.Duration(c.random.Int63n(int64(testHeartbeat)))
		if c.lossy && c.random.Intn(20) == 0 {
			delay += time.Duration(c.random.Int63n(int64(3 * testElectionTimeout)))
		}
		c.inFlight = append(c.inFlight, delivery{at: c.now + delay, message: copied})
	}
}

func (c *cluster) memberByID(id MemberID) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// tick advances time by one step and delivers what is due.
func (c *cluster) tick() {
	c.now += testTick
	sort.SliceStable(c.inFlight, func(i, j int) bool { return c.inFlight[i].at < c.inFlight[j].at })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		d := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		target := c.memberByID(MemberID(d.message.GetTo()))
		if target == nil || target.down {
			continue
		}
		if !c.running(target) {
			c.inFlight = append(c.inFlight, delivery{at: target.frozenUntil + testTick, message: d.message})
			continue
		}
		c.step(target, Receive{Message: proto.Clone(d.message).(*replication.Message)})
	}
	for _, m := range c.members {
		if c.running(m) {
			c.step(m, Tick{})
		}
	}
	c.manageMembership()
}

// manageMembership brings wiped members back, as the leader's driver does.
func (c *cluster) manageMembership() {
	for _, m := range c.members {
		if !c.running(m) || m.core.Role() != Leader {
			continue
		}
		var applicants []Applicant
		for _, other := range c.members {
			reachable := !c.cutLinks[[2]string{other.host, m.host}] && c.running(other)
			if reachable && !FindMember(other.core.Membership(), other.id).GetVoter() {
				applicants = append(applicants, Applicant{ID: other.id, Host: other.host})
			}
		}
		caughtUp := func(id MemberID) bool { return m.core.Match(id) >= m.core.Commit() }
		if next := NextMembership(m.core.Membership(), applicants, caughtUp); next != nil {
			c.step(m, ProposeMembership{Membership: next})
		}
	}
}

// proposeAndRead proposes and reads at every member that believes to lead.
func (c *cluster) proposeAndRead() {
	for _, m := range c.members {
		if !c.running(m) || m.core.Role() != Leader {
			continue
		}
		c.proposed++
		c.step(m, Propose{Payloads: [][]byte{[]byte(fmt.Sprint(c.proposed))}})
		c.nextRead++
		c.reads[c.nextRead] = c.highest
		c.step(m, Read{ID: c.nextRead})
	}
}

// injectFault draws one injectFault. At most a minority is down, frozen or wiped at a time.
func (c *cluster) injectFault() {
	m := c.members[c.random.Intn(len(c.members))]
	other := c.members[c.random.Intn(len(c.members))]
	switch c.random.Intn(8) {
	case 0:
		m.down = true
	case 1:
		m.frozenUntil = c.now + time.Duration(c.random.Int63n(int64(5*testElectionTimeout)))
	case 2:
		c.cutLinks[[2]string{m.host, other.host}] = true
	case 3:
		c.cutLinks = map[[2]string]bool{}
	case 4:
		c.lossy = !c.lossy
	case 5:
		if c.canWipe(m) {
			c.wipe(m)
		}
	default:
		for _, candidate := range c.members {
			if candidate.down {
				c.start(candidate)
			}
		}
	}
}

// canWipe reports whether the group survives the loss of a member's disk: a
// majority of the voters of the latest membership must still hold theirs.
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

// healAndConverge heals everything and waits until all members have applied the same log.
func (c *cluster) healAndConverge() {
	c.cutLinks = map[[2]string]bool{}
	c.lossy = false
	for _, m := range c.members {
		m.frozenUntil = 0
		if m.down {
			c.start(m)
		}
	}
	const limit = 200 * testElectionTimeout
	for end := c.now + limit; c.now < end; {
		c.tick()
		if c.converged() {
			return
		}
	}
	for _, m := range c.members {
		c.t.Logf("%s: member %d, %v, term %d, applied %d, membership %v",
			m.host, m.id, m.core.Role(), m.core.Term(), m.applied, m.core.Membership())
	}
	c.t.Fatal("the group does not converge after all faults have ended")
}

func (c *cluster) converged() bool {
	leaders := 0
	for _, m := range c.members {
		if m.core.Role() == Leader {
			leaders++
			if len(m.core.Membership().GetMembers()) != len(c.members) {
				return false
			}
		}
		if m.applied != c.members[0].applied || m.applied < c.highest || !FindMember(m.core.Membership(), m.id).GetVoter() {
			return false
		}
	}
	return leaders == 1
}
