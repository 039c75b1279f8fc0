package replicator

import (
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	kindVote         = replication.MessageKind_MESSAGE_KIND_VOTE
	kindVoteReply    = replication.MessageKind_MESSAGE_KIND_VOTE_REPLY
	kindPreVoteReply = replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	kindAppend       = replication.MessageKind_MESSAGE_KIND_APPEND
	kindAppendReply  = replication.MessageKind_MESSAGE_KIND_APPEND_REPLY
	kindSnapshot     = replication.MessageKind_MESSAGE_KIND_SNAPSHOT
)

// threeVoters returns a membership of voters 1, 2 and 3 on hosts a, b and c.
func threeVoters() *replication.Membership {
	return &replication.Membership{Members: []*replication.Member{
		{Id: 1, Host: "a", Voter: true}, {Id: 2, Host: "b", Voter: true}, {Id: 3, Host: "c", Voter: true},
	}}
}

// newTestCore returns voter 1 of a group of three, in the given term. Its log
// holds one uncommitted entry of each of the terms in terms.
func newTestCore(term uint64, terms ...uint64) *Core {
	var entries []*replication.Entry
	for i, t := range terms {
		entries = append(entries, &replication.Entry{Index: uint64(i + 1), Term: t, Data: []byte{byte(i)}})
	}
	return NewCore(Config{
		ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, BatchBytes: testBatchBytes,
		Random: func(int64) int64 { return 0 },
	}, InitialState{
		HardState: &replication.HardState{Term: term},
		Snapshot:  &replication.SnapshotHeader{Membership: threeVoters()},
		Entries:   entries,
	}, 0)
}

// persist makes the core's output durable, and returns it.
func persist(c *Core, now time.Duration) Output {
	out := c.TakeOutput()
	if out.Persisted != nil {
		c.Step(now, *out.Persisted)
	}
	return out
}

// makeLeader makes member 1 the leader of the next term, with the vote of member 2.
func makeLeader(c *Core, now time.Duration) {
	c.Step(now, Tick{})
	next := uint64(c.Term()) + 1
	c.Step(now, Receive{Message: &replication.Message{Kind: kindPreVoteReply, From: 2, To: 1, Term: next}})
	persist(c, now)
	c.Step(now, Receive{Message: &replication.Message{Kind: kindVoteReply, From: 2, To: 1, Term: next}})
	persist(c, now)
}

// TestEntriesOfEarlierTermsAreNotCommittedByMajority guards against a leader
// committing an entry of an earlier term as soon as a majority holds it: a later
// leader could still overwrite that entry.
func TestEntriesOfEarlierTermsAreNotCommittedByMajority(t *testing.T) {
	c := newTestCore(2, 1)
	makeLeader(c, 2*testElectionTimeout)
	if c.Role() != Leader || c.Term() != 3 {
		t.Fatalf("role %v in term %d, want leader in term 3", c.Role(), c.Term())
	}
	c.Step(2*testElectionTimeout, Receive{Message: &replication.Message{
		Kind: kindAppendReply, From: 2, To: 1, Term: 3, Hint: 1, SentAt: int64(2 * testElectionTimeout),
	}})
	if c.Commit() != 0 {
		t.Error("an entry of an earlier term was committed because a majority holds it")
	}
	c.Step(2*testElectionTimeout, Receive{Message: &replication.Message{
		Kind: kindAppendReply, From: 2, To: 1, Term: 3, Hint: 2, SentAt: int64(2 * testElectionTimeout),
	}})
	if c.Commit() != 2 {
		t.Errorf("commit index is %d, want 2, after a majority holds an entry of the current term", c.Commit())
	}
}

// TestSnapshotKeepsAcknowledgedEntries guards against a snapshot removing the
// entries after it from a log that matches it. The follower may have acknowledged
// them, and the leader may have committed them because of that.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newTestCore(1, 1, 1, 1, 1)
	c.Step(0, Receive{Message: &replication.Message{
		Kind: kindSnapshot, From: 2, To: 1, Term: 1,
		Snapshot: &replication.Snapshot{Header: &replication.SnapshotHeader{Index: 2, Term: 1, Membership: threeVoters()}},
	}})
	if c.LastIndex() != 4 || c.Commit() != 2 {
		t.Errorf("last index %d, commit index %d after a matching snapshot, want 4 and 2", c.LastIndex(), c.Commit())
	}
}

// TestVoteIsDurableBeforeItIsSent guards against a member voting twice in a term,
// also after a restart: the output that sends a vote must record it too.
func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	c := newTestCore(1, 1)
	c.TakeOutput()
	c.Step(2*testElectionTimeout, Receive{Message: &replication.Message{
		Kind: kindVote, From: 3, To: 1, Term: 2, LogIndex: 1, LogTerm: 1,
	}})
	out := c.TakeOutput()
	if len(out.Messages) != 0 || len(out.AfterRecord) != 1 || out.AfterRecord[0].GetRejected() {
		t.Fatalf("messages %v, then %v, want one granted vote after the record", out.Messages, out.AfterRecord)
	}
	if out.Record.GetHardState().GetVote() != 3 || out.Record.GetHardState().GetTerm() != 2 {
		t.Errorf("the vote is sent without being recorded: %v", out.Record)
	}
	c.Step(2*testElectionTimeout, Receive{Message: &replication.Message{
		Kind: kindVote, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1,
	}})
	if out = c.TakeOutput(); !out.AfterRecord[0].GetRejected() {
		t.Error("a second vote was granted in one term")
	}
}

// TestVoteIsRejectedAfterLeaderContact checks that a member rejects vote requests
// for one election timeout after its start and after contact with a leader, and
// grants them from then on. The leader lease rests on this.
func TestVoteIsRejectedAfterLeaderContact(t *testing.T) {
	request := &replication.Message{Kind: kindVote, From: 3, To: 1, Term: 5, LogIndex: 9, LogTerm: 4}
	heartbeat := &replication.Message{Kind: kindAppend, From: 2, To: 1, Term: 1}
	tests := map[string]struct {
		prepare func(*Core)
		at      time.Duration
		granted bool
	}{
		"just after a restart":        {prepare: func(*Core) {}, at: testElectionTimeout - 1},
		"just after a heartbeat":      {prepare: func(c *Core) { c.Step(5*testElectionTimeout, Receive{Message: heartbeat}) }, at: 6*testElectionTimeout - 1},
		"one timeout after a restart": {prepare: func(*Core) {}, at: testElectionTimeout, granted: true},
		"one timeout after a heartbeat": {
			prepare: func(c *Core) { c.Step(5*testElectionTimeout, Receive{Message: heartbeat}) }, at: 6 * testElectionTimeout, granted: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(1, 1)
			test.prepare(c)
			c.TakeOutput()
			c.Step(test.at, Receive{Message: request})
			out := c.TakeOutput()
			if granted := !out.AfterRecord[0].GetRejected(); granted != test.granted {
				t.Errorf("vote granted is %t, want %t", granted, test.granted)
			}
		})
	}
}

// TestReadNeedsAMajorityAfterItArrived guards against stale reads at a leader that
// was frozen while another leader was elected. A read that arrives before the
// thawed leader has received any message must not be served until a majority
// answers an append sent after the read arrived.
func TestReadNeedsAMajorityAfterItArrived(t *testing.T) {
	c := newTestCore(1, 1)
	now := 2 * testElectionTimeout
	makeLeader(c, now)
	confirm := func(at time.Duration) {
		c.Step(at, Receive{Message: &replication.Message{
			Kind: kindAppendReply, From: 2, To: 1, Term: 2, Hint: 2, SentAt: int64(at),
		}})
	}
	confirm(now)
	c.TakeOutput()
	now += 10 * testElectionTimeout
	c.Step(now, Read{ID: 7})
	if out := c.TakeOutput(); len(out.Reads) > 0 {
		t.Fatalf("read was answered without a majority: %v", out.Reads)
	}
	confirm(now)
	if out := c.TakeOutput(); len(out.Reads) != 1 || out.Reads[0].Refused || out.Reads[0].Index != 2 {
		t.Errorf("read was not answered after a majority confirmed it: %v", out.Reads)
	}
}

// TestOneMembershipChangeAtATime guards against a membership change before the
// leader has committed an entry of its term, or while another one is in progress.
// The majorities of two such memberships might not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := newTestCore(1, 1)
	now := 2 * testElectionTimeout
	makeLeader(c, now)
	withLearner := func(id uint64) *replication.Membership {
		m := cloneMembership(c.Membership())
		m.Members = append(m.Members, &replication.Member{Id: id, Host: "d"})
		return m
	}
	c.Step(now, ProposeMembership{Membership: withLearner(4)})
	if c.LastIndex() != 2 {
		t.Fatal("a membership change was appended before the leader had committed an entry of its term")
	}
	c.Step(now, Receive{Message: &replication.Message{
		Kind: kindAppendReply, From: 2, To: 1, Term: 2, Hint: 2, SentAt: int64(now),
	}})
	c.Step(now, ProposeMembership{Membership: withLearner(4)})
	c.Step(now, ProposeMembership{Membership: withLearner(5)})
	if c.LastIndex() != 3 {
		t.Errorf("last index %d: a second change was appended while the first was not committed", c.LastIndex())
	}
}

// TestNextMembership checks the steps by which a new incarnation replaces an earlier
// one, and a new host a voter that does not answer: it joins as a learner, catches up,
// and takes the other's place in a joint change, so that the number of voters stays.
func TestNextMembership(t *testing.T) {
	with := func(m *replication.Membership, added ...*replication.Member) *replication.Membership {
		m.Members = append(m.Members, added...)
		return m
	}
	newIncarnation, newHost := Applicant{ID: 9, Host: "c"}, Applicant{ID: 9, Host: "d"}
	replaced := promoteLearner(with(threeVoters(), &replication.Member{Id: 9, Host: "c"}), &replication.Member{Id: 9, Host: "c"}, nil)
	tests := map[string]struct {
		before    *replication.Membership
		applicant Applicant
		caughtUp  bool
		// contacts holds what is known of the voters that do not answer.
		contacts map[MemberID]Contact
		// voters, learners and former are the IDs of the members after the change; former
		// are the voters that a joint change replaces. If voters is nil, no change is due.
		voters, learners, former []MemberID
	}{
		"new incarnation joins as a learner": {before: threeVoters(), applicant: newIncarnation, voters: []MemberID{1, 2, 3}, learners: []MemberID{9}},
		"lagging learner is not promoted":    {before: with(threeVoters(), &replication.Member{Id: 9, Host: "c"}), applicant: newIncarnation},
		"it replaces the earlier incarnation": {
			before: with(threeVoters(), &replication.Member{Id: 9, Host: "c"}), applicant: newIncarnation, caughtUp: true,
			voters: []MemberID{1, 2, 9}, former: []MemberID{1, 2, 3},
		},
		"earlier incarnation before a silent voter": {
			before: with(threeVoters(), &replication.Member{Id: 9, Host: "c"}), applicant: newIncarnation, caughtUp: true, contacts: map[MemberID]Contact{1: ContactSilent},
			voters: []MemberID{1, 2, 9}, former: []MemberID{1, 2, 3},
		},
		"the joint change ends": {before: replaced, applicant: newIncarnation, voters: []MemberID{1, 2, 9}},
		"new host becomes an additional voter": {
			before: with(threeVoters(), &replication.Member{Id: 9, Host: "d"}), applicant: newHost, caughtUp: true,
			voters: []MemberID{1, 2, 3, 9},
		},
		"new host waits until a silent voter can be told": {
			before: with(threeVoters(), &replication.Member{Id: 9, Host: "d"}), applicant: newHost, caughtUp: true,
			contacts: map[MemberID]Contact{2: ContactUnknown},
		},
		"new host replaces a silent voter": {
			before: with(threeVoters(), &replication.Member{Id: 9, Host: "d"}), applicant: newHost, caughtUp: true, contacts: map[MemberID]Contact{1: ContactSilent},
			voters: []MemberID{2, 3, 9}, former: []MemberID{1, 2, 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next := NextMembership(test.before, []Applicant{test.applicant},
				func(MemberID) bool { return test.caughtUp }, func(id MemberID) Contact {
					if contact, found := test.contacts[id]; found {
						return contact
					}
					return ContactAnswers
				})
			if (next == nil) != (test.voters == nil) {
				t.Fatalf("next membership is %v, want a change: %t", next, test.voters != nil)
			}
			if next == nil {
				return
			}
			if !isSafeChange(test.before, next) {
				t.Errorf("the change to %v is not safe", next)
			}
			if !sameMembers(voters(next), test.voters) || !sameMembers(formerVoters(next), test.former) || next.GetJoint() != (test.former != nil) {
				t.Errorf("next membership is %v, want voters %v and former voters %v", next, test.voters, test.former)
			}
			for _, id := range test.learners {
				if m := FindMember(next, id); m == nil || m.GetVoter() {
					t.Errorf("member %d is not a learner in %v", id, next)
				}
			}
			if test.former == nil && len(next.GetMembers()) != len(test.voters)+len(test.learners) {
				t.Errorf("next membership is %v, want voters %v and learners %v", next, test.voters, test.learners)
			}
		})
	}
}

// TestLeaseEndsBeforeAnotherLeaderCanBeElected checks that a leader has no lease
// before it has committed an entry of its term, and that its lease then ends less
// than an election timeout after the sending of the append that a majority answered.
func TestLeaseEndsBeforeAnotherLeaderCanBeElected(t *testing.T) {
	c := newTestCore(1, 1)
	now := 2 * testElectionTimeout
	makeLeader(c, now)
	if c.LeaseUntil(now) != 0 {
		t.Error("a leader has a lease before it has committed an entry of its term")
	}
	c.Step(now+5*time.Millisecond, Receive{Message: &replication.Message{
		Kind: kindAppendReply, From: 2, To: 1, Term: 2, Hint: 2, SentAt: int64(now),
	}})
	if until := c.LeaseUntil(now + 5*time.Millisecond); until >= now+testElectionTimeout || until <= now {
		t.Errorf("lease until %v after an append sent at %v, want less than an election timeout later", until, now)
	}
}
