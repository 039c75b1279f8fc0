package replicator

import (
	"sort"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// propose appends an entry for each command if this member is the leader and
// refuses them all otherwise.
func (c *Core) propose(now time.Duration, e Propose) {
	if c.role != Leader {
		c.output.RefusedProposals += len(e.Commands)
		return
	}
	for _, data := range e.Commands {
		c.appendAsLeader(&replication.Entry{Data: data})
		c.output.Accepted = append(c.output.Accepted, Position{Index: c.log.lastIndex(), Term: c.term})
	}
	c.sendNewEntries(now)
	c.commitByMajority(now)
}

// appendAsLeader gives the entries the next indexes and the current term and
// appends them to the log of this leader.
func (c *Core) appendAsLeader(entries ...*replication.Entry) {
	for _, e := range entries {
		e.Index = uint64(c.log.lastIndex() + 1)
		e.Term = uint64(c.term)
		c.log.entries = append(c.log.entries, e)
		c.unsaved = append(c.unsaved, e)
		c.adoptMembership(e)
	}
}

// broadcast sends an append to every other member. For a member that lacks no
// entries it is a heartbeat.
func (c *Core) broadcast(now time.Duration) {
	c.nextHeartbeat = now + c.config.HeartbeatInterval
	c.lastBroadcast = now
	for _, id := range c.otherMembers() {
		c.sendAppend(now, id)
	}
}

// sendNewEntries sends an append to each member that has not been sent all entries.
func (c *Core) sendNewEntries(now time.Duration) {
	for _, id := range c.otherMembers() {
		if c.progress[id].next <= c.log.lastIndex() {
			c.sendAppend(now, id)
		}
	}
}

// otherMembers returns the other members in ascending order, so that the
// messages of a leader come in a reproducible order.
func (c *Core) otherMembers() []MemberID {
	ids := make([]MemberID, 0, len(c.progress))
	for id := range c.progress {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// sendAppend sends the next batch of entries to a member, or a snapshot if
// those entries have been compacted. It advances next without waiting for the
// reply; tickLeader moves it back if no reply comes.
func (c *Core) sendAppend(now time.Duration, to MemberID) {
	p := c.progress[to]
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(now, to, p)
		return
	}
	entries := c.log.batch(p.next, c.config.BatchBytes)
	c.send(&replication.Message{
		Kind:     replication.MessageKind_MESSAGE_KIND_APPEND,
		To:       uint64(to),
		LogIndex: uint64(previous),
		LogTerm:  uint64(term),
		Entries:  entries,
		Commit:   uint64(c.commit),
		SentAt:   int64(now),
	})
	p.next += Index(len(entries))
}

// sendSnapshot sends the latest snapshot to a member whose next entry has been
// compacted. If one was sent less than an election timeout ago and the member's
// match index has not advanced since, it sends a heartbeat instead.
func (c *Core) sendSnapshot(now time.Duration, to MemberID, p *progress) {
	if now < p.nextSnapshotAt {
		c.send(&replication.Message{
			Kind:     replication.MessageKind_MESSAGE_KIND_APPEND,
			To:       uint64(to),
			LogIndex: uint64(c.log.baseIndex),
			LogTerm:  uint64(c.log.baseTerm),
			Commit:   uint64(min(c.commit, p.match)),
			SentAt:   int64(now),
		})
		return
	}
	p.nextSnapshotAt = now + c.config.ElectionTimeout
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:     uint64(to),
		SentAt: int64(now),
	})
}

// receiveAppend handles an append or heartbeat of the current term's leader.
// The hint of the reply is the match index. In a rejection it is the index after
// which the leader should send entries next.
func (c *Core) receiveAppend(now time.Duration, m *replication.Message) {
	c.followLeader(now, m)
	reply := &replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:     m.GetFrom(),
		SentAt: m.GetSentAt(),
	}
	previous := Index(m.GetLogIndex())
	if previous < c.commit && previous < c.log.baseIndex {
		// The entry at previous is compacted. It was committed, and the two logs
		// are identical up to the commit index.
		reply.Hint = uint64(c.commit)
		c.send(reply)
		return
	}
	term, ok := c.log.term(previous)
	if !ok || term != Term(m.GetLogTerm()) {
		reply.Rejected = true
		reply.Hint = uint64(c.findPossibleMatch(previous, Term(m.GetLogTerm())))
		c.send(reply)
		return
	}
	added := c.mergeEntries(m.GetEntries())
	matched := previous + Index(len(m.GetEntries()))
	c.advanceCommit(min(Index(m.GetCommit()), matched))
	if c.commit >= Index(m.GetCommit()) {
		c.currentAt = now
	}
	if !added && c.persistedTerm == c.term {
		// The entries are acknowledged when they are durable. Meanwhile the leader learns
		// that this member is in contact.
		matched = min(matched, c.persistedIndex)
	}
	reply.Hint = uint64(matched)
	c.send(reply)
}

// followLeader makes this member a follower of the sender, the leader of the
// current term, and restarts the election timeout.
func (c *Core) followLeader(now time.Duration, m *replication.Message) {
	if c.role != Follower || c.leader != MemberID(m.GetFrom()) {
		c.becomeFollower(now, c.term, MemberID(m.GetFrom()))
	}
	c.lastLeaderContact = now
	c.resetElectionTimeout(now)
}

// findPossibleMatch returns the highest index below previous at which this log
// may match the leader's, whose entry at previous has the given term. Entries of
// a later term cannot match, so all of them are skipped in one step.
func (c *Core) findPossibleMatch(previous Index, term Term) Index {
	i := min(previous-1, c.log.lastIndex())
	for i > c.log.baseIndex {
		t, _ := c.log.term(i)
		if t <= term {
			break
		}
		i--
	}
	return max(i, c.log.baseIndex)
}

// mergeEntries appends the leader's entries that the log lacks, and reports whether there
// were any. If an entry of the log conflicts with a leader's entry, it and all entries after
// it are removed first. mergeEntries panics if a committed entry conflicts, which the
// protocol rules out.
func (c *Core) mergeEntries(entries []*replication.Entry) bool {
	for i, e := range entries {
		index := Index(e.GetIndex())
		if index <= c.log.baseIndex {
			continue
		}
		term, ok := c.log.term(index)
		if ok && term == Term(e.GetTerm()) {
			continue
		}
		if index <= c.commit {
			panic("a leader's entry conflicts with a committed one")
		}
		if ok {
			c.log.truncate(index)
			c.truncateUnsaved(index)
			c.rewrites++
			c.persistedIndex = min(c.persistedIndex, index-1)
			c.reloadMembership()
		}
		for _, added := range entries[i:] {
			c.log.entries = append(c.log.entries, added)
			c.unsaved = append(c.unsaved, added)
			c.adoptMembership(added)
		}
		return true
	}
	return false
}

// truncateUnsaved removes the unsaved entries from an index on, so that the next
// Output does not record them.
func (c *Core) truncateUnsaved(from Index) {
	for i, e := range c.unsaved {
		if Index(e.GetIndex()) >= from {
			c.unsaved = c.unsaved[:i]
			return
		}
	}
}

// receiveSnapshot replaces the log by the leader's snapshot. It keeps the log if
// everything up to the snapshot's index is committed here already, or if the log
// holds the last entry that the snapshot covers; that entry is then committed.
func (c *Core) receiveSnapshot(now time.Duration, m *replication.Message) {
	c.followLeader(now, m)
	header := m.GetSnapshot().GetHeader()
	index := Index(header.GetIndex())
	term, ok := c.log.term(index)
	switch {
	case index <= c.commit:
	case ok && term == Term(header.GetTerm()):
		// The entries after the snapshot stay: this member may have
		// acknowledged them.
		c.advanceCommit(index)
	default:
		c.log.reset(index, Term(header.GetTerm()))
		c.unsaved = nil
		c.rewrites++
		c.persistedIndex = 0
		c.baseMembership = header.GetMembership()
		c.reloadMembership()
		c.commit = index
		c.delivered = index
		c.hardStateChanged = true
		c.output.Committed = nil
		c.output.InstallSnapshot = m.GetSnapshot()
	}
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:     m.GetFrom(),
		SentAt: m.GetSentAt(),
		Hint:   uint64(c.commit),
	})
}

// receiveAppendReply updates the progress of a member from its reply to an
// append or snapshot and sends it further entries if it lacks some.
func (c *Core) receiveAppendReply(now time.Duration, m *replication.Message) {
	p, ok := c.progress[MemberID(m.GetFrom())]
	if c.role != Leader || !ok {
		return
	}
	p.lastContact = max(p.lastContact, time.Duration(m.GetSentAt()))
	p.answered = true
	hint := Index(m.GetHint())
	if m.GetRejected() {
		if hint >= p.match && hint+1 < p.next {
			p.next = hint + 1
			c.sendAppend(now, MemberID(m.GetFrom()))
		}
	} else if hint > p.match && hint <= c.log.lastIndex() {
		p.match = hint
		p.next = max(p.next, hint+1)
		p.matchAdvanced = true
		p.nextSnapshotAt = 0
		c.commitByMajority(now)
		if p.next <= c.log.lastIndex() {
			c.sendAppend(now, MemberID(m.GetFrom()))
		}
	}
	c.completeReads(now)
}

// commitByMajority commits the entries that a majority of the voters holds. As in
// Raft, the last of them must be of the current term: an entry of an earlier
// term could still be overwritten although a majority holds it. A leader that
// is no longer a voter in the committed membership steps down.
func (c *Core) commitByMajority(now time.Duration) {
	majorityMatch := majorityValue(c.voterSets(), c.Match)
	if term, ok := c.log.term(majorityMatch); !ok || term != c.term {
		return
	}
	oldCommit := c.commit
	c.advanceCommit(majorityMatch)
	if c.commit == oldCommit {
		return
	}
	c.completeReads(now)
	if !c.isVoter(c.config.ID) && c.membershipIndex <= c.commit {
		c.becomeFollower(now, c.term, 0)
	}
}

// majorityContact returns the latest time t such that lastContact is t or later
// for a majority of the voters. For a voter that has not answered in this term,
// lastContact is when its progress record was created; for the leader itself, now
// is used.
func (c *Core) majorityContact(now time.Duration) time.Duration {
	return majorityValue(c.voterSets(), func(id MemberID) time.Duration {
		if id == c.config.ID {
			return now
		}
		return c.progress[id].lastContact
	})
}
