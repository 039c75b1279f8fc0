package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// Applicant is a process that asks to become a member or to get a vote.
type Applicant struct {
	ID   MemberID
	Host string
	// Address is the IP:port at which the other members reach it, empty if the
	// settings state it.
	Address string
}

// minVoters is the least number of voters that RemoveSilentVoter leaves.
const minVoters = 3

// RemoveSilentVoter returns a copy of the membership without its first silent
// voter, or nil if no voter may be removed. silent reports whether a member has
// not answered for so long that a short disruption cannot be the cause. A member
// that was removed although it was only disconnected or frozen asks to join again
// later, and gets its vote back when its log has caught up.
//
// Voters whose hosts are gone for good must be removed: otherwise each
// replacement adds a voter and raises the number that a majority needs. At least
// three voters remain. A voter is removed only if the answering voters are a
// majority before the removal, and hence also after it.
func RemoveSilentVoter(m *replication.Membership, silent func(MemberID) bool) *replication.Membership {
	voters := countVoters(m)
	answering := 0
	for _, member := range m.GetMembers() {
		if member.GetVoter() && !silent(MemberID(member.GetId())) {
			answering++
		}
	}
	if voters <= minVoters || answering <= voters/2 {
		return nil
	}
	for _, member := range m.GetMembers() {
		if member.GetVoter() && silent(MemberID(member.GetId())) {
			return withoutMember(m, member.GetId())
		}
	}
	return nil
}

// countVoters returns the number of voters.
func countVoters(m *replication.Membership) int {
	voters := 0
	for _, member := range m.GetMembers() {
		if member.GetVoter() {
			voters++
		}
	}
	return voters
}

// FindMember returns the member with the given ID, or nil if there is none.
func FindMember(m *replication.Membership, id MemberID) *replication.Member {
	for _, member := range m.GetMembers() {
		if MemberID(member.GetId()) == id {
			return member
		}
	}
	return nil
}

// NextMembership returns the membership after the next single change that is
// needed to admit the applicants, or nil if no change is due. An applicant joins
// as a learner, at most one for each host. Once the learner has caught up, the
// voter with an earlier incarnation of the same host's disk is removed; then the
// learner becomes a voter. A learner is removed when another incarnation of its
// host's disk applies. caughtUp reports whether a learner's log holds all
// committed entries.
func NextMembership(
	m *replication.Membership,
	applicants []Applicant,
	caughtUp func(MemberID) bool,
) *replication.Membership {
	for _, a := range applicants {
		if FindMember(m, a.ID) == nil && !hasLearner(m, a.Host) {
			next := cloneMembership(m)
			next.Members = append(next.Members, &replication.Member{Id: uint64(a.ID), Host: a.Host, Address: a.Address})
			return next
		}
	}
	for _, a := range applicants {
		if next := removeReplacedLearner(m, a); next != nil {
			return next
		}
	}
	for _, learner := range m.GetMembers() {
		if learner.GetVoter() || !caughtUp(MemberID(learner.GetId())) {
			continue
		}
		return promoteLearner(m, learner)
	}
	return nil
}

// removeReplacedLearner returns the membership without the learner on the
// applicant's host, or nil if there is none or the applicant is a member. Such a
// learner's disk was lost, and the applicant is the next incarnation of it.
func removeReplacedLearner(m *replication.Membership, a Applicant) *replication.Membership {
	if FindMember(m, a.ID) != nil {
		return nil
	}
	for _, member := range m.GetMembers() {
		if member.GetHost() == a.Host && !member.GetVoter() {
			return withoutMember(m, member.GetId())
		}
	}
	return nil
}

// promoteLearner returns the membership in which the learner is a voter. If an
// earlier incarnation of its host's disk is still a voter, that voter is removed
// instead, so that each change affects only one voter.
func promoteLearner(m *replication.Membership, learner *replication.Member) *replication.Membership {
	for _, other := range m.GetMembers() {
		if other.GetHost() == learner.GetHost() && other.GetVoter() {
			return withoutMember(m, other.GetId())
		}
	}
	next := cloneMembership(m)
	FindMember(next, MemberID(learner.GetId())).Voter = true
	return next
}

// withoutMember returns a copy of the membership without the given member.
func withoutMember(m *replication.Membership, id uint64) *replication.Membership {
	next := &replication.Membership{}
	for _, member := range cloneMembership(m).GetMembers() {
		if member.GetId() != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// hasLearner reports whether the membership has a learner on the host.
func hasLearner(m *replication.Membership, host string) bool {
	for _, member := range m.GetMembers() {
		if member.GetHost() == host && !member.GetVoter() {
			return true
		}
	}
	return false
}

// proposeMembership appends an entry with a new membership. It does nothing
// unless this member is the leader and has committed an entry of its term, no
// other change is in progress and at most one voter changes. These are Raft's
// conditions for single-server membership changes.
func (c *Core) proposeMembership(now time.Duration, m *replication.Membership) {
	if c.role != Leader || c.commit < c.termStart || c.membershipIndex > c.commit {
		return
	}
	if !changesAtMostOneVoter(c.membership, m) {
		return
	}
	c.appendAsLeader(&replication.Entry{Membership: cloneMembership(m)})
	c.syncProgress(now)
	c.broadcast(now)
	c.commitByMajority(now)
}

// changesAtMostOneVoter reports whether at most one voter is added or removed
// and at least one remains.
func changesAtMostOneVoter(before, after *replication.Membership) bool {
	changed := 0
	voters := 0
	for _, m := range after.GetMembers() {
		old := FindMember(before, MemberID(m.GetId()))
		if m.GetVoter() {
			voters++
		}
		if m.GetVoter() != old.GetVoter() {
			changed++
		}
	}
	for _, m := range before.GetMembers() {
		if m.GetVoter() && FindMember(after, MemberID(m.GetId())) == nil {
			changed++
		}
	}
	return changed <= 1 && voters > 0
}

// isVoter reports whether a member is a voter in the current membership.
func (c *Core) isVoter(id MemberID) bool {
	return FindMember(c.membership, id).GetVoter()
}

// adoptMembership makes the membership of an entry, if it has one, the current
// one. As in Raft, this happens when the entry is appended, not when it is
// committed.
func (c *Core) adoptMembership(e *replication.Entry) {
	if e.GetMembership() == nil {
		return
	}
	c.membership = e.GetMembership()
	c.membershipIndex = Index(e.GetIndex())
}

// reloadMembership makes the latest membership in the log the current one, after
// entries were replaced or loaded.
func (c *Core) reloadMembership() {
	c.membership = c.baseMembership
	c.membershipIndex = c.log.baseIndex
	for _, e := range c.log.entries {
		c.adoptMembership(e)
	}
}

// membershipAt returns the membership as of entry i.
func (c *Core) membershipAt(i Index) *replication.Membership {
	membership := c.baseMembership
	for _, e := range c.log.entries {
		if Index(e.GetIndex()) <= i && e.GetMembership() != nil {
			membership = e.GetMembership()
		}
	}
	return membership
}

// syncProgress adds progress records for the members that lack one and removes
// those of members that have left. A new record counts as contact now, which
// gives the member time to answer.
func (c *Core) syncProgress(now time.Duration) {
	for _, m := range c.membership.GetMembers() {
		id := MemberID(m.GetId())
		if id == c.config.ID || c.progress[id] != nil {
			continue
		}
		c.progress[id] = &progress{next: c.log.lastIndex() + 1, lastContact: now}
	}
	for id := range c.progress {
		if FindMember(c.membership, id) == nil {
			delete(c.progress, id)
		}
	}
}
