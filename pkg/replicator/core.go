package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// clockDriftDivisor shortens the leader lease by 1/clockDriftDivisor of the
	// election timeout, because the members' clocks may run at different rates.
	clockDriftDivisor = 8
)

type (
	// Core is the protocol state of one member of the group. It is not safe for
	// concurrent use.
	//
	// The argument now of its methods is a reading of the member's monotonic
	// clock. The clocks of different members need not agree, because a member
	// compares only readings of its own.
	Core struct {
		config Config

		role   Role
		term   Term
		vote   MemberID
		leader MemberID

		log    entryLog
		commit Index
		// delivered is the index of the last entry added to Output.Committed or
		// covered by a snapshot.
		delivered Index
		// persistedIndex is the index up to which the log is durable, and persistedTerm the
		// term of the latest durable hard state.
		persistedIndex Index
		persistedTerm  Term
		// rewrites counts the times that entries were removed from the log.
		rewrites uint64
		// membership is the current one: the latest in the log, committed or not.
		membership *replication.Membership
		// membershipIndex is the index of the entry that set the membership.
		membershipIndex Index
		// baseMembership is the membership as of the last compacted entry.
		baseMembership *replication.Membership

		// lastLeaderContact is when a message from a leader last arrived, or when
		// the Core was created if none has arrived.
		lastLeaderContact time.Duration
		// currentAt is when a message of a leader last showed that this member knows all
		// committed entries, or when the Core was created if none has.
		currentAt time.Duration
		// electionDeadline is when a voter starts a campaign unless a message from a
		// leader arrives before.
		electionDeadline time.Duration
		// votes holds the members that granted their vote in the current campaign.
		votes map[MemberID]bool

		// progress holds what a leader knows about each other member.
		progress      map[MemberID]*progress
		nextHeartbeat time.Duration
		// termStart is the index of the empty entry that a leader appends at the
		// start of its term.
		termStart Index
		// pendingReads are in order of arrival.
		pendingReads []pendingRead
		// lastBroadcast is when an append was last sent to every other member.
		lastBroadcast time.Duration

		// hardStateChanged reports that the hard state has changed since the last
		// TakeOutput.
		hardStateChanged bool
		// unsaved are the entries appended to the log since the last TakeOutput.
		unsaved []*replication.Entry
		output  Output
	}

	// progress is what a leader knows about another member.
	progress struct {
		// match is the highest index up to which the member's log is known to be
		// identical to the leader's.
		match Index
		// next is the index of the next entry to send.
		next Index
		// lastContact is the sending time of the latest message that the member
		// has answered in this term. It starts as the time at which this record
		// was created.
		lastContact time.Duration
		// answered reports that the member has answered in this term.
		answered bool
		// matchAdvanced reports that match has advanced since the last heartbeat.
		matchAdvanced bool
		// nextSnapshotAt is the time before which no other snapshot is sent.
		nextSnapshotAt time.Duration
	}

	// pendingRead is a read that waits until a majority confirms the leader.
	pendingRead struct {
		id         ReadID
		receivedAt time.Duration
		// index must be applied before the read is served.
		index Index
	}
)

// NewCore returns a follower that continues from its durable state. It grants
// no vote for one election timeout, because it may have answered a heartbeat
// just before it was restarted and the leader's lease rests on that answer.
func NewCore(config Config, initial InitialState, now time.Duration) *Core {
	c := &Core{config: config, lastLeaderContact: now, currentAt: now}
	c.term = Term(initial.HardState.GetTerm())
	c.vote = MemberID(initial.HardState.GetVote())
	c.log.reset(Index(initial.Snapshot.GetIndex()), Term(initial.Snapshot.GetTerm()))
	c.log.entries = append(c.log.entries, initial.Entries...)
	c.persistedTerm, c.persistedIndex = c.term, c.log.lastIndex()
	c.baseMembership = initial.Snapshot.GetMembership()
	c.reloadMembership()
	c.commit = c.log.baseIndex
	c.delivered = c.log.baseIndex
	c.advanceCommit(min(Index(initial.HardState.GetCommit()), c.log.lastIndex()))
	c.hardStateChanged = false
	c.resetElectionTimeout(now)
	return c
}

// Step processes one event. What the driver must do as a result is collected
// for TakeOutput.
func (c *Core) Step(now time.Duration, event Event) {
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case Receive:
		c.receive(now, e.Message)
	case Propose:
		c.propose(now, e)
	case ProposeMembership:
		c.proposeMembership(now, e.Membership)
	case Read:
		c.read(now, e.ID)
	case Compact:
		c.compact(e)
	case Persisted:
		c.recordPersisted(now, e)
	}
}

// TakeOutput returns what the driver must do because of the steps since the
// last call, and clears it.
func (c *Core) TakeOutput() Output {
	if c.hardStateChanged || len(c.unsaved) > 0 {
		c.output.Record = &replication.Record{HardState: c.HardState(), Entries: c.unsaved}
	}
	if c.output.Record != nil || c.output.InstallSnapshot != nil {
		c.output.Persisted = &Persisted{Term: c.term, Last: c.log.lastIndex(), rewrites: c.rewrites}
	}
	out := c.output
	c.output = Output{}
	c.hardStateChanged = false
	c.unsaved = nil
	return out
}

// HardState returns the term, vote and commit index.
func (c *Core) HardState() *replication.HardState {
	return &replication.HardState{Term: uint64(c.term), Vote: uint64(c.vote), Commit: uint64(c.commit)}
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.term }

// Leader returns the leader of the current term, or zero if it is not known.
func (c *Core) Leader() MemberID { return c.leader }

// Commit returns the commit index: the highest index known to be committed.
func (c *Core) Commit() Index { return c.commit }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() Index { return c.log.lastIndex() }

// Membership returns the current membership, which is the latest one in the log,
// committed or not. The caller must not modify it.
func (c *Core) Membership() *replication.Membership { return c.membership }

// MembershipCommitted reports whether the current membership is committed, so
// that no change is in progress.
func (c *Core) MembershipCommitted() bool { return c.membershipIndex <= c.commit }

// Match returns, at a leader, the match index of a member: the highest index up
// to which the member's durable log is known to be identical to the leader's. It is
// zero for a member that the leader does not know.
func (c *Core) Match(id MemberID) Index {
	if id == c.config.ID {
		return c.persistedIndex
	}
	if p, ok := c.progress[id]; ok {
		return p.match
	}
	return 0
}

// SnapshotHeader returns the header for a snapshot of the state machine after
// entry i, which must be committed and not yet compacted.
func (c *Core) SnapshotHeader(i Index) *replication.SnapshotHeader {
	term, _ := c.log.term(i)
	return &replication.SnapshotHeader{
		Index:      uint64(i),
		Term:       uint64(term),
		Membership: c.membershipAt(i),
	}
}

// EntriesAfter returns the entries after index i, which must not lie before the
// last compacted entry. The caller must not modify them.
func (c *Core) EntriesAfter(i Index) []*replication.Entry {
	return c.log.slice(i+1, c.log.lastIndex())
}

// LeaseUntil returns the time until which no other member can be elected leader.
// It is zero if this member is not the leader or has not yet committed an entry
// of its term. The lease rests on a majority of the voters having answered an
// append: each of them rejects vote requests for one election timeout after it
// received that append.
func (c *Core) LeaseUntil(now time.Duration) time.Duration {
	if c.role != Leader || c.commit < c.termStart {
		return 0
	}
	margin := c.config.ElectionTimeout / clockDriftDivisor
	return c.majorityContact(now) + c.config.ElectionTimeout - margin
}

// tick does the periodic work of a leader. At any other member it starts a
// campaign if the member is a voter and its election deadline has passed.
func (c *Core) tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.campaign(now, PreCandidate)
	}
}

// tickLeader steps down if no majority of the voters has answered within an
// election timeout, and sends the heartbeats. If a member's match index has not
// advanced since the last heartbeat, the entries after it are sent again, because
// messages may be lost.
func (c *Core) tickLeader(now time.Duration) {
	if now-c.majorityContact(now) > c.config.ElectionTimeout {
		c.becomeFollower(now, c.term, 0)
		return
	}
	if now < c.nextHeartbeat {
		return
	}
	for _, p := range c.progress {
		if !p.matchAdvanced && p.next > p.match+1 {
			p.next = p.match + 1
		}
		p.matchAdvanced = false
	}
	c.broadcast(now)
}

// receive processes a message from another member. A message for another
// incarnation of this host's disk is ignored.
func (c *Core) receive(now time.Duration, m *replication.Message) {
	if MemberID(m.GetTo()) != c.config.ID {
		return
	}
	if c.mustRejectVote(now, m) {
		c.send(&replication.Message{Kind: voteReplyKind(m.GetKind()), To: m.GetFrom(), Rejected: true})
		return
	}
	if Term(m.GetTerm()) > c.term && !hasProspectiveTerm(m) {
		c.becomeFollower(now, Term(m.GetTerm()), 0)
	}
	if Term(m.GetTerm()) < c.term {
		c.replyToStaleTerm(m)
		return
	}
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
		c.receiveVoteRequest(now, m)
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, replication.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.receiveVoteReply(now, m)
	case replication.MessageKind_MESSAGE_KIND_APPEND:
		c.receiveAppend(now, m)
	case replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.receiveSnapshot(now, m)
	case replication.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.receiveAppendReply(now, m)
	}
}

// replyToStaleTerm rejects a request of an earlier term. Its answer carries the
// current term, so that a deposed leader or a candidate steps down. Replies of an
// earlier term are ignored.
func (c *Core) replyToStaleTerm(m *replication.Message) {
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_APPEND, replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.send(&replication.Message{
			Kind:     replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			To:       m.GetFrom(),
			Rejected: true,
			Hint:     uint64(c.commit),
		})
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
		c.send(&replication.Message{Kind: voteReplyKind(m.GetKind()), To: m.GetFrom(), Rejected: true})
	}
}

// becomeFollower makes this member a follower in a term. leader is zero if it is
// not known.
func (c *Core) becomeFollower(now time.Duration, term Term, leader MemberID) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.hardStateChanged = true
	}
	wasLeader := c.role == Leader
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	if wasLeader {
		c.failPendingReads()
	}
	c.resetElectionTimeout(now)
}

// failPendingReads refuses the pending reads of a leader that steps down.
func (c *Core) failPendingReads() {
	for _, r := range c.pendingReads {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Refused: true})
	}
	c.pendingReads = nil
}

// resetElectionTimeout sets the election deadline to between one and two
// election timeouts from now, at random, so that members rarely campaign at the
// same time.
func (c *Core) resetElectionTimeout(now time.Duration) {
	jitter := c.config.Random(int64(c.config.ElectionTimeout))
	c.electionDeadline = now + c.config.ElectionTimeout + time.Duration(jitter)
}

// send adds a message to the output. A message without a term gets the current
// one.
func (c *Core) send(m *replication.Message) {
	m.From = uint64(c.config.ID)
	if m.Term == 0 {
		m.Term = uint64(c.term)
	}
	if c.mustFollowRecord(m) {
		c.output.AfterRecord = append(c.output.AfterRecord, m)
		return
	}
	c.output.Messages = append(c.output.Messages, m)
}

// advanceCommit raises the commit index to i and adds the entries up to i to the
// output. A lower i has no effect.
func (c *Core) advanceCommit(i Index) {
	if i <= c.commit {
		return
	}
	c.commit = i
	c.hardStateChanged = true
	c.output.Committed = append(c.output.Committed, c.log.slice(c.delivered+1, i)...)
	c.delivered = i
}

// compact removes the entries that a stored snapshot covers from the log, except
// for the last e.Keep of them.
func (c *Core) compact(e Compact) {
	if e.Index > c.delivered || e.Index <= c.log.baseIndex {
		return
	}
	c.persistedIndex = max(c.persistedIndex, e.Index)
	newBase := e.Index
	if Index(e.Keep) >= newBase {
		return
	}
	newBase -= Index(e.Keep)
	if newBase <= c.log.baseIndex {
		return
	}
	c.baseMembership = c.membershipAt(newBase)
	c.log.compact(newBase)
}

// cloneMembership returns a deep copy of m; nil stands for an empty membership.
func cloneMembership(m *replication.Membership) *replication.Membership {
	if m == nil {
		return &replication.Membership{}
	}
	return proto.Clone(m).(*replication.Membership)
}
