package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// driftDivisor shortens the leader lease by 1/driftDivisor of the election
	// timeout, for clocks that run at different rates.
	driftDivisor = 8
)

type (
	// Core is the protocol state of one member.
	Core struct {
		config Config

		role   Role
		term   Term
		vote   MemberID
		leader MemberID

		log        entryLog
		commit     Index
		delivered  Index
		membership *replication.Membership
		// membershipIndex is the entry that set the membership.
		membershipIndex Index
		// baseMembership is the membership at the base of the log.
		baseMembership *replication.Membership

		// heardLeader is when a leader's message last arrived.
		heardLeader      time.Duration
		electionDeadline time.Duration
		votes            map[MemberID]bool

		progress      map[MemberID]*progress
		nextHeartbeat time.Duration
		// termStart is the index of the entry that opened the leader's term.
		termStart Index
		reads     []pendingRead
		// roundAt is when the latest round of appends to every member was sent.
		roundAt time.Duration

		hardChanged bool
		appended    []*replication.Entry
		output      Output
	}

	// progress is what a leader knows about another member.
	progress struct {
		match Index
		next  Index
		// confirmed is the sending time of the latest append that was answered in this term.
		confirmed time.Duration
		// moved reports that match grew since the last heartbeat.
		moved bool
		// snapshotUntil is the time before which no other snapshot is sent.
		snapshotUntil time.Duration
	}

	pendingRead struct {
		id    ReadID
		at    time.Duration
		index Index
	}
)

// NewCore returns a member that continues from its durable state. It grants no
// vote for one election timeout, since it may have answered a heartbeat just
// before it was restarted.
func NewCore(config Config, restored InitialState, now time.Duration) *Core {
	c := &Core{config: config, heardLeader: now}
	c.term = Term(restored.HardState.GetTerm())
	c.vote = MemberID(restored.HardState.GetVote())
	c.log.reset(Index(restored.Snapshot.GetIndex()), Term(restored.Snapshot.GetTerm()))
	c.log.entries = append(c.log.entries, restored.Entries...)
	c.baseMembership = restored.Snapshot.GetMembership()
	c.findMembership()
	c.commit = c.log.baseIndex
	c.delivered = c.log.baseIndex
	c.advanceCommit(min(Index(restored.HardState.GetCommit()), c.log.lastIndex()))
	c.hardChanged = false
	c.resetElection(now)
	return c
}

// Step feeds one event to the core. What has to be done is collected for Take.
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
	}
}

// Take returns what has to be done and forgets it.
func (c *Core) Take() Output {
	if c.hardChanged || len(c.appended) > 0 {
		c.output.Record = &replication.Record{HardState: c.HardState(), Entries: c.appended}
	}
	out := c.output
	c.output = Output{}
	c.hardChanged = false
	c.appended = nil
	return out
}

// HardState returns the state that must be durable before messages leave.
func (c *Core) HardState() *replication.HardState {
	return &replication.HardState{Term: uint64(c.term), Vote: uint64(c.vote), Commit: uint64(c.commit)}
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.term }

// Leader returns the known leader of the term, or zero.
func (c *Core) Leader() MemberID { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() Index { return c.commit }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() Index { return c.log.lastIndex() }

// Membership returns the membership in force.
func (c *Core) Membership() *replication.Membership { return c.membership }

// MembershipCommitted reports that no membership change is in progress.
func (c *Core) MembershipCommitted() bool { return c.membershipIndex <= c.commit }

// Match returns the index up to which a leader knows that a member's log is identical.
func (c *Core) Match(id MemberID) Index {
	if id == c.config.ID {
		return c.log.lastIndex()
	}
	if p, found := c.progress[id]; found {
		return p.match
	}
	return 0
}

// LastContact returns, at a leader, the sending time of the latest message that
// each other member answered.
func (c *Core) LastContact() map[MemberID]time.Duration {
	out := make(map[MemberID]time.Duration, len(c.progress))
	for id, p := range c.progress {
		out[id] = p.confirmed
	}
	return out
}

// SnapshotHeader describes a snapshot of the state machine after index i, which must be committed.
func (c *Core) SnapshotHeader(i Index) *replication.SnapshotHeader {
	term, _ := c.log.term(i)
	return &replication.SnapshotHeader{
		Index:      uint64(i),
		Term:       uint64(term),
		Membership: c.membershipAt(i),
	}
}

// EntriesAfter returns the entries after index i.
func (c *Core) EntriesAfter(i Index) []*replication.Entry {
	return c.log.slice(i+1, c.log.lastIndex())
}

// LeaseUntil returns the time until which no other member can be leader; zero if this one is none.
func (c *Core) LeaseUntil(now time.Duration) time.Duration {
	if c.role != Leader || c.commit < c.termStart {
		return 0
	}
	margin := c.config.ElectionTimeout / driftDivisor
	return c.quorumConfirmed(now) + c.config.ElectionTimeout - margin
}

func (c *Core) tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.campaign(now, PreCandidate)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if now-c.quorumConfirmed(now) > c.config.ElectionTimeout {
		c.follow(now, c.term, 0)
		return
	}
	if now < c.nextHeartbeat {
		return
	}
	for _, p := range c.progress {
		if !p.moved && p.next > p.match+1 {
			p.next = p.match + 1
		}
		p.moved = false
	}
	c.broadcast(now)
}

func (c *Core) receive(now time.Duration, m *replication.Message) {
	if MemberID(m.GetTo()) != c.config.ID {
		return
	}
	if c.refusesVote(now, m) {
		c.send(&replication.Message{Kind: voteReply(m.GetKind()), To: m.GetFrom(), Rejected: true})
		return
	}
	if Term(m.GetTerm()) > c.term && !isPreVote(m) {
		c.follow(now, Term(m.GetTerm()), 0)
	}
	if Term(m.GetTerm()) < c.term {
		c.answerOldTerm(m)
		return
	}
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
		c.receiveVote(now, m)
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

// answerOldTerm tells a deposed leader or candidate the current term.
func (c *Core) answerOldTerm(m *replication.Message) {
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_APPEND, replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.send(&replication.Message{
			Kind:     replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			To:       m.GetFrom(),
			Rejected: true,
			Hint:     uint64(c.commit),
		})
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
		c.send(&replication.Message{Kind: voteReply(m.GetKind()), To: m.GetFrom(), Rejected: true})
	}
}

// follow makes the member a follower in a term.
func (c *Core) follow(now time.Duration, term Term, leader MemberID) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.hardChanged = true
	}
	wasLeader := c.role == Leader
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	if wasLeader {
		c.refuseReads()
	}
	c.resetElection(now)
}

func (c *Core) refuseReads() {
	for _, r := range c.reads {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Refused: true})
	}
	c.reads = nil
}

func (c *Core) resetElection(now time.Duration) {
	spread := c.config.Random(int64(c.config.ElectionTimeout))
	c.electionDeadline = now + c.config.ElectionTimeout + time.Duration(spread)
}

func (c *Core) send(m *replication.Message) {
	m.From = uint64(c.config.ID)
	if m.Term == 0 {
		m.Term = uint64(c.term)
	}
	c.output.Messages = append(c.output.Messages, m)
}

func (c *Core) advanceCommit(i Index) {
	if i <= c.commit {
		return
	}
	c.commit = i
	c.hardChanged = true
	c.output.Committed = append(c.output.Committed, c.log.slice(c.delivered+1, i)...)
	c.delivered = i
}

func (c *Core) compact(e Compact) {
	if e.Index > c.delivered || e.Index <= c.log.baseIndex {
		return
	}
	target := e.Index
	if Index(e.Keep) >= target {
		return
	}
	target -= Index(e.Keep)
	if target <= c.log.baseIndex {
		return
	}
	c.baseMembership = c.membershipAt(target)
	c.log.compact(target)
}

func cloneMembership(m *replication.Membership) *replication.Membership {
	if m == nil {
		return &replication.Membership{}
	}
	return proto.Clone(m).(*replication.Membership)
}
