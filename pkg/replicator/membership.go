package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// Applicant is a process that is not yet a member.
type Applicant struct {
	ID   MemberID
	Host string
	// Address is where the other members reach it; empty where the settings name it.
	Address string
}

// minimumVoters is the number of voters below which none is removed.
const minimumVoters = 3

// RemoveSilentVoter returns the membership without one voter that is silent, or nil if
// there is none. silent reports that a member has not answered for longer than
// a short disruption lasts; one that is only cut off or frozen introduces itself
// again later and learns what it has missed before it votes.
//
// Hosts that are gone for good must leave, or a group that gets successors would
// need ever more voters for a majority. It does not shrink below three voters,
// and the voters that answer stay a majority with and without the one that leaves.
func RemoveSilentVoter(m *replication.Membership, silent func(MemberID) bool) *replication.Membership {
	voters := votersOf(m)
	answering := 0
	for _, member := range m.GetMembers() {
		if member.GetVoter() && !silent(MemberID(member.GetId())) {
			answering++
		}
	}
	if voters <= minimumVoters || answering <= voters/2 {
		return nil
	}
	for _, member := range m.GetMembers() {
		if member.GetVoter() && silent(MemberID(member.GetId())) {
			return withoutMember(m, member.GetId())
		}
	}
	return nil
}

func votersOf(m *replication.Membership) int {
	voters := 0
	for _, member := range m.GetMembers() {
		if member.GetVoter() {
			voters++
		}
	}
	return voters
}

// FindMember returns the member with an id, or nil.
func FindMember(m *replication.Membership, id MemberID) *replication.Member {
	for _, member := range m.GetMembers() {
		if MemberID(member.GetId()) == id {
			return member
		}
	}
	return nil
}

// NextMembership returns the next single change that brings the membership
// towards the applicants, or nil if none is due. An applicant joins as a
// learner. Once its log has caught up, an earlier incarnation of its host is
// removed, and then it gets its vote. caughtUp reports whether a learner holds
// all committed entries.
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
		if next := replaceLearner(m, a); next != nil {
			return next
		}
	}
	for _, learner := range m.GetMembers() {
		if learner.GetVoter() || !caughtUp(MemberID(learner.GetId())) {
			continue
		}
		return promoteOrRemove(m, learner)
	}
	return nil
}

// replaceLearner removes a learner whose host has come back with yet another disk.
func replaceLearner(m *replication.Membership, a Applicant) *replication.Membership {
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

func promoteOrRemove(m *replication.Membership, learner *replication.Member) *replication.Membership {
	for _, other := range m.GetMembers() {
		if other.GetHost() == learner.GetHost() && other.GetVoter() {
			return withoutMember(m, other.GetId())
		}
	}
	next := cloneMembership(m)
	FindMember(next, MemberID(learner.GetId())).Voter = true
	return next
}

func withoutMember(m *replication.Membership, id uint64) *replication.Membership {
	next := &replication.Membership{}
	for _, member := range cloneMembership(m).GetMembers() {
		if member.GetId() != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

func hasLearner(m *replication.Membership, host string) bool {
	for _, member := range m.GetMembers() {
		if member.GetHost() == host && !member.GetVoter() {
			return true
		}
	}
	return false
}

// proposeMembership appends a change of the membership if no other is in
// progress and this term has committed an entry.
func (c *Core) proposeMembership(now time.Duration, m *replication.Membership) {
	if c.role != Leader || c.commit < c.termStart || c.membershipIndex > c.commit {
		return
	}
	if !oneStep(c.membership, m) {
		return
	}
	c.appendEntries(&replication.Entry{Membership: cloneMembership(m)})
	c.followMembership(now)
	c.broadcast(now)
	c.commitByQuorum(now)
}

// oneStep reports whether at most one voter is added or removed.
func oneStep(before, after *replication.Membership) bool {
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

func (c *Core) isVoter(id MemberID) bool {
	return FindMember(c.membership, id).GetVoter()
}

// noteMembership puts a membership into force as soon as its entry is appended.
func (c *Core) noteMembership(e *replication.Entry) {
	if e.GetMembership() == nil {
		return
	}
	c.membership = e.GetMembership()
	c.membershipIndex = Index(e.GetIndex())
}

// findMembership sets the membership to the latest one in the log.
func (c *Core) findMembership() {
	c.membership = c.baseMembership
	c.membershipIndex = c.log.baseIndex
	for _, e := range c.log.entries {
		c.noteMembership(e)
	}
}

func (c *Core) membershipAt(i Index) *replication.Membership {
	found := c.baseMembership
	for _, e := range c.log.entries {
		if Index(e.GetIndex()) <= i && e.GetMembership() != nil {
			found = e.GetMembership()
		}
	}
	return found
}

// followMembership keeps the leader's progress records in line with the membership.
func (c *Core) followMembership(now time.Duration) {
	for _, m := range c.membership.GetMembers() {
		id := MemberID(m.GetId())
		if id == c.config.ID || c.progress[id] != nil {
			continue
		}
		c.progress[id] = &progress{next: c.log.lastIndex() + 1, confirmed: now}
	}
	for id := range c.progress {
		if FindMember(c.membership, id) == nil {
			delete(c.progress, id)
		}
	}
}
