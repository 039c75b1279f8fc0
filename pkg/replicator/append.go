package replicator

import (
	"sort"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func (c *Core) propose(now time.Duration, e Propose) {
	if c.role != Leader {
		c.output.RefusedProposals += len(e.Payloads)
		return
	}
	for _, data := range e.Payloads {
		c.appendEntries(&replication.Entry{Data: data})
		c.output.Accepted = append(c.output.Accepted, Position{Index: c.log.lastIndex(), Term: c.term})
	}
	c.sendNew(now)
	c.commitByQuorum(now)
}

// appendEntries appends a leader's own entries.
func (c *Core) appendEntries(entries ...*replication.Entry) {
	for _, e := range entries {
		e.Index = uint64(c.log.lastIndex() + 1)
		e.Term = uint64(c.term)
		c.log.entries = append(c.log.entries, e)
		c.appended = append(c.appended, e)
		c.noteMembership(e)
	}
}

// broadcast sends an append to every other member, as a heartbeat where there is nothing new.
func (c *Core) broadcast(now time.Duration) {
	c.nextHeartbeat = now + c.config.HeartbeatInterval
	c.roundAt = now
	for _, id := range c.others() {
		c.sendAppend(now, id)
	}
}

// sendNew sends an append to each member that lacks entries.
func (c *Core) sendNew(now time.Duration) {
	for _, id := range c.others() {
		if c.progress[id].next <= c.log.lastIndex() {
			c.sendAppend(now, id)
		}
	}
}

// others returns the other members in ascending order, so that outputs are reproducible.
func (c *Core) others() []MemberID {
	ids := make([]MemberID, 0, len(c.progress))
	for id := range c.progress {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (c *Core) sendAppend(now time.Duration, to MemberID) {
	p := c.progress[to]
	previous := p.next - 1
	term, found := c.log.term(previous)
	if !found {
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

// sendSnapshot sends a snapshot, or a heartbeat while one is on its way.
func (c *Core) sendSnapshot(now time.Duration, to MemberID, p *progress) {
	if now < p.snapshotUntil {
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
	p.snapshotUntil = now + c.config.ElectionTimeout
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:     uint64(to),
		SentAt: int64(now),
	})
}

func (c *Core) receiveAppend(now time.Duration, m *replication.Message) {
	c.hearLeader(now, m)
	reply := &replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:     m.GetFrom(),
		SentAt: m.GetSentAt(),
	}
	previous := Index(m.GetLogIndex())
	if previous < c.commit && previous < c.log.baseIndex {
		reply.Hint = uint64(c.commit)
		c.send(reply)
		return
	}
	term, found := c.log.term(previous)
	if !found || term != Term(m.GetLogTerm()) {
		reply.Rejected = true
		reply.Hint = uint64(c.retryFrom(previous, Term(m.GetLogTerm())))
		c.send(reply)
		return
	}
	c.storeEntries(m.GetEntries())
	matched := previous + Index(len(m.GetEntries()))
	c.advanceCommit(min(Index(m.GetCommit()), matched))
	reply.Hint = uint64(matched)
	c.send(reply)
}

func (c *Core) hearLeader(now time.Duration, m *replication.Message) {
	if c.role != Follower || c.leader != MemberID(m.GetFrom()) {
		c.follow(now, c.term, MemberID(m.GetFrom()))
	}
	c.heardLeader = now
	c.resetElection(now)
}

// retryFrom returns the highest index at or below previous where the two logs may agree.
func (c *Core) retryFrom(previous Index, term Term) Index {
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

// storeEntries appends a leader's entries, removing own ones that conflict.
func (c *Core) storeEntries(entries []*replication.Entry) {
	for i, e := range entries {
		index := Index(e.GetIndex())
		if index <= c.log.baseIndex {
			continue
		}
		term, found := c.log.term(index)
		if found && term == Term(e.GetTerm()) {
			continue
		}
		if index <= c.commit {
			panic("a leader's entry conflicts with a committed one")
		}
		if found {
			c.log.truncate(index)
			c.dropAppended(index)
			c.findMembership()
		}
		for _, added := range entries[i:] {
			c.log.entries = append(c.log.entries, added)
			c.appended = append(c.appended, added)
			c.noteMembership(added)
		}
		return
	}
}

// dropAppended removes entries from the record that is not yet taken.
func (c *Core) dropAppended(from Index) {
	for i, e := range c.appended {
		if Index(e.GetIndex()) >= from {
			c.appended = c.appended[:i]
			return
		}
	}
}

func (c *Core) receiveSnapshot(now time.Duration, m *replication.Message) {
	c.hearLeader(now, m)
	header := m.GetSnapshot().GetHeader()
	index := Index(header.GetIndex())
	term, found := c.log.term(index)
	switch {
	case index <= c.commit:
	case found && term == Term(header.GetTerm()):
		// The entries after the snapshot may have been acknowledged already.
		c.advanceCommit(index)
	default:
		c.log.reset(index, Term(header.GetTerm()))
		c.appended = nil
		c.baseMembership = header.GetMembership()
		c.findMembership()
		c.commit = index
		c.delivered = index
		c.hardChanged = true
		c.output.Committed = nil
		c.output.Install = m.GetSnapshot()
	}
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:     m.GetFrom(),
		SentAt: m.GetSentAt(),
		Hint:   uint64(c.commit),
	})
}

func (c *Core) receiveAppendReply(now time.Duration, m *replication.Message) {
	p, found := c.progress[MemberID(m.GetFrom())]
	if c.role != Leader || !found {
		return
	}
	p.confirmed = max(p.confirmed, time.Duration(m.GetSentAt()))
	hint := Index(m.GetHint())
	if m.GetRejected() {
		if hint >= p.match && hint+1 < p.next {
			p.next = hint + 1
			c.sendAppend(now, MemberID(m.GetFrom()))
		}
	} else if hint > p.match && hint <= c.log.lastIndex() {
		p.match = hint
		p.next = max(p.next, hint+1)
		p.moved = true
		p.snapshotUntil = 0
		c.commitByQuorum(now)
		if p.next <= c.log.lastIndex() {
			c.sendAppend(now, MemberID(m.GetFrom()))
		}
	}
	c.completeReads(now)
}

// commitByQuorum commits what a majority of the voters holds, if it is of this term.
func (c *Core) commitByQuorum(now time.Duration) {
	var matches []Index
	for _, m := range c.membership.GetMembers() {
		if m.GetVoter() {
			matches = append(matches, c.Match(MemberID(m.GetId())))
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	candidate := matches[len(matches)/2]
	if term, found := c.log.term(candidate); !found || term != c.term {
		return
	}
	before := c.commit
	c.advanceCommit(candidate)
	if c.commit == before {
		return
	}
	c.completeReads(now)
	if !c.isVoter(c.config.ID) && c.membershipIndex <= c.commit {
		c.follow(now, c.term, 0)
	}
}

// quorumConfirmed returns the latest sending time that a majority of the voters has answered.
func (c *Core) quorumConfirmed(now time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range c.membership.GetMembers() {
		if !m.GetVoter() {
			continue
		}
		if MemberID(m.GetId()) == c.config.ID {
			times = append(times, now)
			continue
		}
		times = append(times, c.progress[MemberID(m.GetId())].confirmed)
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[len(times)/2]
}
