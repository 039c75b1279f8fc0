package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// campaignRetryDivisor sets the minimum delay from the start of a campaign that
// is not won to the next one: 1/campaignRetryDivisor of the election timeout.
const campaignRetryDivisor = 4

// hasProspectiveTerm reports whether m carries the term that a pre-candidate
// would campaign in. The pre-candidate itself has not entered that term, so the
// receiver must not adopt it.
func hasProspectiveTerm(m *replication.Message) bool {
	return m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE ||
		m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY && !m.GetRejected()
}

// voteReplyKind returns the kind of the reply to a vote or pre-vote request.
func voteReplyKind(kind replication.MessageKind) replication.MessageKind {
	if kind == replication.MessageKind_MESSAGE_KIND_PRE_VOTE {
		return replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	return replication.MessageKind_MESSAGE_KIND_VOTE_REPLY
}

// campaign starts a pre-vote (role PreCandidate) or an election (role Candidate).
// Only an election increments the term.
func (c *Core) campaign(now time.Duration, role Role) {
	c.role = role
	c.leader = 0
	// This member has already waited for a full election timeout, and the others
	// have usually been without a leader for as long, so that they no longer reject
	// votes. If this campaign is not won, the next one therefore starts sooner.
	retryDelay := c.config.ElectionTimeout / campaignRetryDivisor
	c.electionDeadline = now + retryDelay + time.Duration(c.config.Random(int64(c.config.ElectionTimeout/2)))
	c.votes = map[MemberID]bool{c.config.ID: true}
	kind := replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	term := c.term + 1
	if role == Candidate {
		kind = replication.MessageKind_MESSAGE_KIND_VOTE
		c.term = term
		c.vote = c.config.ID
		c.hardStateChanged = true
	}
	if c.hasMajorityOfVotes() {
		c.winCampaign(now)
		return
	}
	for _, m := range c.membership.GetMembers() {
		if !c.isVoter(MemberID(m.GetId())) || MemberID(m.GetId()) == c.config.ID {
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

// mustRejectVote reports whether m is a vote or pre-vote request that arrives
// within one election timeout of contact with a leader or, if this member is the
// leader, of contact with a majority of the voters. The leader lease is safe only
// because such a request is rejected, whatever its term.
func (c *Core) mustRejectVote(now time.Duration, m *replication.Message) bool {
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
	default:
		return false
	}
	if c.role == Leader {
		return now < c.LeaseUntil(now) || now-c.majorityContact(now) <= c.config.ElectionTimeout
	}
	return now-c.lastLeaderContact < c.config.ElectionTimeout
}

// receiveVoteRequest grants a vote or pre-vote if the candidate's log is at least
// as up to date as this member's. A member votes for one candidate in a term; a
// granted pre-vote does not count as its vote.
func (c *Core) receiveVoteRequest(now time.Duration, m *replication.Message) {
	upToDate := c.log.upToDate(Index(m.GetLogIndex()), Term(m.GetLogTerm()))
	preVote := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	canVote := c.vote == 0 || c.vote == MemberID(m.GetFrom())
	granted := upToDate && (preVote || canVote)
	reply := &replication.Message{Kind: voteReplyKind(m.GetKind()), To: m.GetFrom(), Rejected: !granted}
	if granted {
		reply.Term = m.GetTerm()
	}
	if granted && !preVote {
		c.vote = MemberID(m.GetFrom())
		c.hardStateChanged = true
		c.resetElectionTimeout(now)
	}
	c.send(reply)
}

// receiveVoteReply counts a vote granted in the current campaign.
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
	if c.hasMajorityOfVotes() {
		c.winCampaign(now)
	}
}

// hasMajorityOfVotes reports whether a majority of the voters granted their vote.
func (c *Core) hasMajorityOfVotes() bool {
	granted := func(id MemberID) int {
		if c.votes[id] {
			return 1
		}
		return 0
	}
	return majorityValue(c.voterSets(), granted) == 1
}

// winCampaign starts an election after a won pre-vote, and makes this member the
// leader after a won election.
func (c *Core) winCampaign(now time.Duration) {
	if c.role == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader makes this member the leader of its term. It appends an empty
// entry, since entries of earlier terms are committed only along with one of
// the current term.
func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.leader = c.config.ID
	c.votes = nil
	c.progress = map[MemberID]*progress{}
	c.pendingReads = nil
	c.syncProgress(now)
	c.termStart = c.log.lastIndex() + 1
	c.appendAsLeader(&replication.Entry{})
	c.broadcast(now)
	c.commitByMajority(now)
}
