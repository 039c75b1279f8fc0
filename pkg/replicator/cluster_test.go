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
	testHeartbeat = 10 * time.Millisecond
	testElection  = 100 * time.Millisecond
	testStep      = 2 * time.Millisecond
	testBatch     = 64
	testKeep      = 4
	testSnapshot  = 20
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
		host   string
		id     MemberID
		disk   *disk
		core   *Core
		index  Index
		frozen time.Duration
		down   bool
		// offset is how far this member's clock is ahead.
		offset time.Duration
	}

	delivery struct {
		at      time.Duration
		message *replication.Message
	}

	// cluster simulates a group under faults drawn from a seed.
	cluster struct {
		t       *testing.T
		random  *rand.Rand
		now     time.Duration
		members []*member
		flight  []delivery
		cut     map[[2]string]bool
		lossy   bool
		nextID  MemberID

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
		cut:       map[[2]string]bool{},
		leaders:   map[Term]MemberID{},
		committed: map[Index]string{},
		acked:     map[string]bool{},
		reads:     map[ReadID]Index{},
	}
	founding := &replication.Membership{}
	for i := range hosts {
		c.nextID++
		m := &member{host: fmt.Sprintf("host-%d", i), id: c.nextID, offset: time.Duration(c.random.Int63n(int64(time.Hour)))}
		c.members = append(c.members, m)
		founding.Members = append(founding.Members, &replication.Member{Id: uint64(m.id), Host: m.host, Voter: true})
	}
	for _, m := range c.members {
		m.disk = &disk{
			hard:     &replication.HardState{},
			snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{Membership: founding}},
		}
		c.boot(m)
	}
	return c
}

func (c *cluster) clock(m *member) time.Duration { return c.now + m.offset }

func (c *cluster) boot(m *member) {
	m.down = false
	m.frozen = 0
	m.core = NewCore(Config{
		ID: m.id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, BatchBytes: testBatch,
		Random: c.random.Int63n,
	}, InitialState{
		HardState: m.disk.hard, Snapshot: m.disk.snapshot.GetHeader(), Entries: m.disk.entries,
	}, c.clock(m))
	m.index = Index(m.disk.snapshot.GetHeader().GetIndex())
	c.take(m)
}

// wipe gives a member an empty disk and a new incarnation.
func (c *cluster) wipe(m *member) {
	c.nextID++
	m.id = c.nextID
	m.disk = &disk{hard: &replication.HardState{}, snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{}}}
	c.boot(m)
}

func (c *cluster) running(m *member) bool { return !m.down && m.frozen <= c.now }

func (c *cluster) step(m *member, e Event) {
	m.core.Step(c.clock(m), e)
	c.take(m)
}

// take does what a member's core asks for, as the driver must.
func (c *cluster) take(m *member) {
	out := m.core.Take()
	if out.Install != nil {
		m.disk.snapshot = out.Install
		m.index = Index(out.Install.GetHeader().GetIndex())
		m.disk.entries = append([]*replication.Entry(nil), m.core.EntriesAfter(m.index)...)
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
		if required, found := c.reads[r.ID]; found && !r.Refused && r.Index < required {
			c.t.Fatalf("read %d is served at index %d although %d was committed before", r.ID, r.Index, required)
		}
		delete(c.reads, r.ID)
	}
	c.checkLeader(m)
	if m.index >= Index(m.disk.snapshot.GetHeader().GetIndex())+testSnapshot {
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
	m.disk.snapshot = &replication.Snapshot{Header: m.core.SnapshotHeader(m.index), Data: []byte{1}}
	m.disk.entries = append([]*replication.Entry(nil), m.core.EntriesAfter(m.index)...)
	m.disk.hard = m.core.HardState()
	m.core.Step(c.clock(m), Compact{Index: m.index, Keep: testKeep})
}

func (c *cluster) apply(m *member, e *replication.Entry) {
	index := Index(e.GetIndex())
	if index != m.index+1 {
		c.t.Fatalf("%s applies entry %d after %d", m.host, index, m.index)
	}
	m.index = index
	content := fmt.Sprintf("%d:%s", e.GetTerm(), e.GetData())
	if before, found := c.committed[index]; found && before != content {
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
	if other, found := c.leaders[term]; found && other != m.id {
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
	target := c.byID(MemberID(message.GetTo()))
	if target == nil || c.cut[[2]string{from.host, target.host}] {
		return
	}
	copies := 1
	if c.lossy {
		copies = [...]int{0, 1, 1, 1, 1, 2}[c.random.Intn(6)]
	}
	for range copies {
		delay := time.Duration(c.random.Int63n(int64(testHeartbeat)))
		if c.lossy && c.random.Intn(20) == 0 {
			delay += time.Duration(c.random.Int63n(int64(3 * testElection)))
		}
		c.flight = append(c.flight, delivery{at: c.now + delay, message: copied})
	}
}

func (c *cluster) byID(id MemberID) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// tick advances time by one step and delivers what is due.
func (c *cluster) tick() {
	c.now += testStep
	sort.SliceStable(c.flight, func(i, j int) bool { return c.flight[i].at < c.flight[j].at })
	for len(c.flight) > 0 && c.flight[0].at <= c.now {
		d := c.flight[0]
		c.flight = c.flight[1:]
		target := c.byID(MemberID(d.message.GetTo()))
		if target == nil || target.down {
			continue
		}
		if !c.running(target) {
			c.flight = append(c.flight, delivery{at: target.frozen + testStep, message: d.message})
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
			reachable := !c.cut[[2]string{other.host, m.host}] && c.running(other)
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

// work proposes and reads at every member that believes to lead.
func (c *cluster) work() {
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

// fault draws one fault. At most a minority is down, frozen or wiped at a time.
func (c *cluster) fault() {
	m := c.members[c.random.Intn(len(c.members))]
	other := c.members[c.random.Intn(len(c.members))]
	switch c.random.Intn(8) {
	case 0:
		m.down = true
	case 1:
		m.frozen = c.now + time.Duration(c.random.Int63n(int64(5*testElection)))
	case 2:
		c.cut[[2]string{m.host, other.host}] = true
	case 3:
		c.cut = map[[2]string]bool{}
	case 4:
		c.lossy = !c.lossy
	case 5:
		if c.mayWipe(m) {
			c.wipe(m)
		}
	default:
		for _, candidate := range c.members {
			if candidate.down {
				c.boot(candidate)
			}
		}
	}
}

// mayWipe reports whether the group survives the loss of a member's disk: a
// majority of the voters of the latest membership must still hold theirs.
func (c *cluster) mayWipe(m *member) bool {
	for _, other := range c.members {
		if other != m && (other.down || !FindMember(other.core.Membership(), other.id).GetVoter()) {
			return false
		}
		for _, voter := range other.core.Membership().GetMembers() {
			if c.byID(MemberID(voter.GetId())) == nil {
				return false
			}
		}
	}
	return FindMember(m.core.Membership(), m.id).GetVoter()
}

// settle heals everything and waits until all members have applied the same log.
func (c *cluster) settle() {
	c.cut = map[[2]string]bool{}
	c.lossy = false
	for _, m := range c.members {
		m.frozen = 0
		if m.down {
			c.boot(m)
		}
	}
	const limit = 200 * testElection
	for end := c.now + limit; c.now < end; {
		c.tick()
		if c.converged() {
			return
		}
	}
	for _, m := range c.members {
		c.t.Logf("%s: member %d, %v, term %d, applied %d, membership %v",
			m.host, m.id, m.core.Role(), m.core.Term(), m.index, m.core.Membership())
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
		if m.index != c.members[0].index || m.index < c.highest || !FindMember(m.core.Membership(), m.id).GetVoter() {
			return false
		}
	}
	return leaders == 1
}
