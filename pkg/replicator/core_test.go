package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// TestCoreUnderFaults runs groups under random message reordering, loss and
// duplication, one-way partitions, freezes, crashes and lost disks, reproducible
// by seed. The cluster fails the test if a committed entry changes, two members
// are leaders in one term or hold a lease at the same time, or a read misses an
// entry that was committed before it started.
func TestCoreUnderFaults(t *testing.T) {
	const (
		seeds  = 150
		rounds = 60
	)
	for seed := range int64(2 * seeds) {
		hosts := []int{3, 5, 1}[seed%3]
		// A spare host takes the place of any voter that does not answer.
		spares := int(seed / seeds)
		t.Run(fmt.Sprintf("seed=%d/hosts=%d/spares=%d", seed, hosts, spares), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, seed, hosts, spares)
			for range rounds {
				if hosts > 1 {
					c.injectFault()
				}
				for range 1 + c.random.Intn(int(4*testElectionTimeout/testTick)) {
					c.tick()
					if c.random.Intn(5) == 0 {
						c.proposeAndRead()
					}
				}
			}
			c.healAndConverge()
			if c.highestCommitted == 0 {
				t.Error("nothing was committed")
			}
		})
	}
}

// TestSecondFailureAfterRepair guards against the loss of committed entries when
// one host loses its disk, its new incarnation becomes a voter, and then another
// host fails for good.
func TestSecondFailureAfterRepair(t *testing.T) {
	for seed := range int64(30) {
		c := newCluster(t, seed, 3, 0)
		c.runFor(10 * testElectionTimeout)
		for range 50 {
			c.proposeAndRead()
			c.tick()
		}
		c.wipe(c.members[0])
		c.healAndConverge()
		before := c.highestCommitted
		c.crash(c.members[1])
		c.runFor(10 * testElectionTimeout)
		c.proposeAndRead()
		c.runFor(10 * testElectionTimeout)
		if c.highestCommitted <= before {
			t.Fatalf("seed %d: no entry was committed after the second failure", seed)
		}
		for _, m := range c.members {
			if !m.down && m.applied < before {
				t.Fatalf("seed %d: %s has applied only %d of %d committed entries", seed, m.host, m.applied, before)
			}
		}
	}
}

// runFor runs the cluster for a simulated duration.
func (c *cluster) runFor(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.tick()
	}
}

// TestWipedVoterHasNoVote guards against a wiped voter's new incarnation taking
// part in elections. An entry is committed by the leader and one follower; then
// the leader fails and the follower is wiped. If the new incarnation could vote,
// the third member, which lacks the entry, would be elected.
func TestWipedVoterHasNoVote(t *testing.T) {
	c := newCluster(t, 1, 3, 0)
	c.runFor(10 * testElectionTimeout)
	c.crash(c.members[2])
	c.proposeAndRead()
	c.runFor(testElectionTimeout)
	var leader, follower *member
	for _, m := range c.members[:2] {
		if m.core.Role() == Leader {
			leader = m
		} else {
			follower = m
		}
	}
	c.crash(leader)
	c.wipe(follower)
	c.start(c.members[2])
	c.runFor(50 * testElectionTimeout)
	if role := c.members[2].core.Role(); role == Leader {
		t.Error("a member without the committed entries was elected with the vote of a wiped voter")
	}
}

// TestChangesAtMostOneVoter checks which membership changes are allowed: those
// before and after which any two majorities overlap.
func TestChangesAtMostOneVoter(t *testing.T) {
	voter := func(id uint64) *replication.Member { return &replication.Member{Id: id, Voter: true} }
	before := &replication.Membership{Members: []*replication.Member{voter(1), voter(2), voter(3)}}
	tests := map[string]struct {
		after []*replication.Member
		// want is whether the change is allowed.
		want bool
	}{
		"add a learner":     {after: append(before.GetMembers(), &replication.Member{Id: 4}), want: true},
		"add a voter":       {after: append(before.GetMembers(), voter(4)), want: true},
		"remove a voter":    {after: before.GetMembers()[:2], want: true},
		"swap a voter":      {after: []*replication.Member{voter(1), voter(2), voter(4)}},
		"add two voters":    {after: append(before.GetMembers(), voter(4), voter(5))},
		"remove two voters": {after: before.GetMembers()[:1]},
		"remove all":        {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := changesAtMostOneVoter(before, &replication.Membership{Members: test.after}); got != test.want {
				t.Errorf("changesAtMostOneVoter() = %t, want %t", got, test.want)
			}
		})
	}
}

// TestReplacementOfLostVoters guards against voters that are gone and still count. A
// voter is lost for good and a new host takes its place, then another voter loses its
// disk: the group must have a quorum of those that are left, and go on. Control groups
// of three lost their quorum for good that way.
func TestReplacementOfLostVoters(t *testing.T) {
	for seed := range int64(30) {
		c := newCluster(t, seed, 3, 0)
		c.runFor(10 * testElectionTimeout)
		lost := c.members[0]
		c.crash(lost)
		c.runFor(3 * testElectionTimeout)
		c.nextID++
		successor := &member{host: "successor", id: c.nextID, disk: &disk{hardState: &replication.HardState{}}}
		c.members = append(c.members, successor)
		c.start(successor)
		c.runFor(20 * testElectionTimeout)
		c.proposeAndRead()
		c.runFor(2 * testElectionTimeout)
		before := c.highestCommitted
		c.wipe(c.members[1])
		c.crash(c.members[1])
		c.runFor(10 * testElectionTimeout)
		c.proposeAndRead()
		c.runFor(10 * testElectionTimeout)
		if c.highestCommitted <= before {
			t.Fatalf("seed %d: no entry was committed after the second loss; membership %v", seed, successor.core.Membership())
		}
		for _, m := range []*member{c.members[2], successor} {
			if m.applied < before {
				t.Fatalf("seed %d: %s has applied only %d of %d committed entries", seed, m.host, m.applied, before)
			}
		}
	}
}

// TestIsSafeChange checks the changes to and from joint memberships.
func TestIsSafeChange(t *testing.T) {
	plain := func(voters ...uint64) *replication.Membership {
		m := &replication.Membership{}
		for _, id := range voters {
			m.Members = append(m.Members, &replication.Member{Id: id, Voter: true})
		}
		return m
	}
	joint := func(former, voters []uint64) *replication.Membership {
		m := plain(voters...)
		m.Joint = true
		for _, id := range former {
			if FindMember(m, MemberID(id)) == nil {
				m.Members = append(m.Members, &replication.Member{Id: id})
			}
			FindMember(m, MemberID(id)).FormerVoter = true
		}
		return m
	}
	swap := joint([]uint64{1, 2, 3}, []uint64{2, 3, 4})
	tests := map[string]struct {
		before, after *replication.Membership
		want          bool
	}{
		"swap through a joint one":             {before: plain(1, 2, 3), after: swap, want: true},
		"end of the joint one":                 {before: swap, after: plain(2, 3, 4), want: true},
		"swap in one plain change":             {before: plain(1, 2, 3), after: plain(2, 3, 4)},
		"joint one with other former voters":   {before: plain(1, 2, 5), after: swap},
		"joint one without voters":             {before: plain(1, 2, 3), after: joint([]uint64{1, 2, 3}, nil)},
		"from one joint membership to another": {before: swap, after: joint([]uint64{2, 3, 4}, []uint64{3, 4, 5})},
		"back to the former voters":            {before: swap, after: plain(1, 2, 3)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isSafeChange(test.before, test.after); got != test.want {
				t.Errorf("isSafeChange() = %t, want %t", got, test.want)
			}
		})
	}
}

// TestCurrentAt guards against members that take themselves for current although they are
// cut off from the majority, and against current members that do not know it.
func TestCurrentAt(t *testing.T) {
	for seed := range int64(20) {
		c := newCluster(t, seed, 5, 0)
		c.runFor(10 * testElectionTimeout)
		cut := c.members[:2]
		for _, m := range cut {
			for _, other := range c.members[2:] {
				c.partitions[[2]string{m.host, other.host}] = true
				c.partitions[[2]string{other.host, m.host}] = true
			}
		}
		began := c.now
		for range 10 {
			c.runFor(testElectionTimeout)
			c.proposeAndRead()
		}
		for i, m := range c.members {
			at := m.core.CurrentAt(c.clock(m)) - m.clockOffset
			// A leader that is cut off keeps its lease for an election timeout, in which the others
			// commit nothing. Its last message takes up to a heartbeat interval.
			if isCut := i < len(cut); isCut && at > began+testElectionTimeout+testHeartbeat || !isCut && c.now-at > 3*testHeartbeat {
				t.Fatalf("seed %d: %s (cut off: %t) is current as of %v, cut at %v, now %v", seed, m.host, isCut, at, began, c.now)
			}
		}
	}
}

// TestMemberThatLacksEntriesIsNotCurrent guards against a member that is in contact with the
// leader, as after a restart, and lacks committed entries.
func TestMemberThatLacksEntriesIsNotCurrent(t *testing.T) {
	const (
		started = time.Second
		later   = 2 * time.Second
	)
	c := NewCore(Config{ID: 2, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, Random: func(int64) int64 { return 0 }},
		InitialState{}, started)
	appendOf := func(commit uint64, entries ...*replication.Entry) Receive {
		return Receive{Message: &replication.Message{
			Kind: replication.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, Commit: commit, Entries: entries,
		}}
	}
	entry := func(index uint64) *replication.Entry { return &replication.Entry{Index: index, Term: 1} }
	c.Step(later, appendOf(3, entry(1), entry(2)))
	if at := c.CurrentAt(later); at != started {
		t.Errorf("current as of %v with entries 1 and 2 of 3, want %v", at, started)
	}
	c.Step(later, appendOf(3, entry(1), entry(2), entry(3)))
	if at := c.CurrentAt(later); at != later {
		t.Errorf("current as of %v with all entries, want %v", at, later)
	}
}
