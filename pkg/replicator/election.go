package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// retryDivisor shortens the wait of a candidate that won no election.
const retryDivisor = 4

func isPreVote(m *replication.Message) bool {
	return m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE ||
		m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY && !m.GetRejected()
}

func voteReply(kind replication.MessageKind) replication.MessageKind {
	if kind == replication.MessageKind_MESSAGE_KIND_PRE_VOTE {
		return replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	return replication.MessageKind_MESSAGE_KIND_VOTE_REPLY
}

// campaign starts a pre-vote or a vote.
func (c *Core) campaign(now time.Duration, role Role) {
	c.role = role
	c.leader = 0
	// The others have waited as long already, so a lost vote is repeated sooner.
	again := c.config.ElectionTimeout / retryDivisor
	c.electionDeadline = now + again + time.Duration(c.config.Random(int64(c.config.ElectionTimeout/2)))
	c.votes = map[MemberID]bool{c.config.ID: true}
	kind := replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	term := c.term + 1
	if role == Candidate {
		kind = replication.MessageKind_MESSAGE_KIND_VOTE
		c.term = term
		c.vote = c.config.ID
		c.hardChanged = true
	}
	if c.wonVotes() {
		c.winVotes(now)
		return
	}
	for _, m := range c.membership.GetMembers() {
		if !m.GetVoter() || MemberID(m.GetId()) == c.config.ID {
			continue
		}
		c.send(&replication.Message{
			Kind:     kind,
			To:       m.GetId(),
			Term:     uint64(term),
			LogIndex: uint64(c.log.lastIndex()),
			LogTerm:  uint64(c.log.lastTerm()),
		})
	}
}

// refusesVote reports whether a request for a vote comes too early after a
// leader's heartbeat. The leader lease rests on this refusal.
func (c *Core) refusesVote(now time.Duration, m *replication.Message) bool {
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
	default:
		return false
	}
	if c.role == Leader {
		return now < c.LeaseUntil(now) || now-c.quorumConfirmed(now) <= c.config.ElectionTimeout
	}
	return now-c.heardLeader < c.config.ElectionTimeout
}

func (c *Core) receiveVote(now time.Duration, m *replication.Message) {
	upToDate := c.log.upToDate(Index(m.GetLogIndex()), Term(m.GetLogTerm()))
	preVote := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	free := c.vote == 0 || c.vote == MemberID(m.GetFrom())
	granted := upToDate && (preVote || free)
	reply := &replication.Message{Kind: voteReply(m.GetKind()), To: m.GetFrom(), Rejected: !granted}
	if granted {
		reply.Term = m.GetTerm()
	}
	if granted && !preVote {
		c.vote = MemberID(m.GetFrom())
		c.hardChanged = true
		c.resetElection(now)
	}
	c.send(reply)
}

func (c *Core) receiveVoteReply(now time.Duration, m *replication.Message) {
	preVote := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	if preVote != (c.role == PreCandidate) || !preVote && c.role != Candidate {
		return
	}
	if preVote && Term(m.GetTerm()) != c.term+1 {
		return
	}
	if m.GetRejected() {
		return
	}
	c.votes[MemberID(m.GetFrom())] = true
	if c.wonVotes() {
		c.winVotes(now)
	}
}

func (c *Core) wonVotes() bool {
	granted := 0
	voters := 0
	for _, m := range c.membership.GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if c.votes[MemberID(m.GetId())] {
			granted++
		}
	}
	return granted > voters/2
}

func (c *Core) winVotes(now time.Duration) {
	if c.role == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.lead(now)
}

// lead makes the member the leader of its term.
func (c *Core) lead(now time.Duration) {
	c.role = Leader
	c.leader = c.config.ID
	c.votes = nil
	c.progress = map[MemberID]*progress{}
	c.reads = nil
	c.followMembership(now)
	c.termStart = c.log.lastIndex() + 1
	c.appendEntries(&replication.Entry{})
	c.broadcast(now)
	c.commitByQuorum(now)
}
