package replicator

import (
	"cmp"
	"slices"
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

// Contact is what a leader knows of a member's answers.
type Contact int

// The values of Contact.
const (
	// ContactUnknown means that the leader has not waited long enough to tell.
	ContactUnknown Contact = iota
	// ContactAnswers means that the member has answered lately.
	ContactAnswers
	// ContactSilent means that the member has not answered within an election timeout.
	ContactSilent
)

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
	all := voters(m)
	answering := 0
	for _, id := range all {
		if !silent(id) {
			answering++
		}
	}
	if m.GetJoint() || len(all) <= minVoters || answering <= len(all)/2 {
		return nil
	}
	for _, id := range all {
		if silent(id) {
			return withoutMember(m, uint64(id))
		}
	}
	return nil
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
// as a learner, at most one for each host. Once the learner has caught up, it becomes
// a voter. It then replaces, in one joint change, the voter with an earlier incarnation
// of its host's disk, or else a voter that does not answer, so that a voter that is
// gone does not raise the number that a majority needs. A learner is removed when
// another incarnation of its host's disk applies.
//
// caughtUp reports whether a learner's log holds all committed entries. contact returns
// whether a voter answers; as long as that is unknown for one, no learner is promoted
// beside it.
func NextMembership(
	m *replication.Membership,
	applicants []Applicant,
	caughtUp func(MemberID) bool,
	contact func(MemberID) Contact,
) *replication.Membership {
	if m.GetJoint() {
		return withoutFormerVoters(m)
	}
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
		return promoteLearner(m, learner, contact)
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

// promoteLearner returns the membership in which the learner is a voter: a joint one if
// it replaces an earlier incarnation of its host's disk or else the first voter that is
// silent. It returns nil if it is unknown whether a voter is.
func promoteLearner(m *replication.Membership, learner *replication.Member, contact func(MemberID) Contact) *replication.Membership {
	replaced := earlierIncarnation(m, learner)
	if replaced == nil {
		for _, id := range voters(m) {
			switch contact(id) {
			case ContactUnknown:
				return nil
			case ContactSilent:
				replaced = FindMember(m, id)
			case ContactAnswers:
			}
			if replaced != nil {
				break
			}
		}
	}
	next := cloneMembership(m)
	if replaced != nil {
		next.Joint = true
		for _, member := range next.GetMembers() {
			member.FormerVoter = member.GetVoter()
		}
		FindMember(next, MemberID(replaced.GetId())).Voter = false
	}
	FindMember(next, MemberID(learner.GetId())).Voter = true
	return next
}

// earlierIncarnation returns the voter with an earlier incarnation of the learner's
// disk, or nil.
func earlierIncarnation(m *replication.Membership, learner *replication.Member) *replication.Member {
	for _, other := range m.GetMembers() {
		if other.GetHost() == learner.GetHost() && other.GetVoter() {
			return other
		}
	}
	return nil
}

// withoutFormerVoters returns the membership that follows a joint one.
func withoutFormerVoters(m *replication.Membership) *replication.Membership {
	next := &replication.Membership{}
	for _, member := range cloneMembership(m).GetMembers() {
		if member.GetVoter() || !member.GetFormerVoter() {
			member.FormerVoter = false
			next.Members = append(next.Members, member)
		}
	}
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
// other change is in progress and the change is a safe one.
func (c *Core) proposeMembership(now time.Duration, m *replication.Membership) {
	if c.role != Leader || c.commit < c.termStart || c.membershipIndex > c.commit {
		return
	}
	if !isSafeChange(c.membership, m) {
		return
	}
	c.appendAsLeader(&replication.Entry{Membership: cloneMembership(m)})
	c.syncProgress(now)
	c.broadcast(now)
	c.commitByMajority(now)
}

// isSafeChange reports whether every majority before a change shares a member with
// every majority after it. As in Raft, that holds if at most one voter changes, if a
// joint membership keeps the voters before it as its former voters, and if the one
// after it keeps the joint one's voters.
func isSafeChange(before, after *replication.Membership) bool {
	switch {
	case before.GetJoint() && after.GetJoint():
		return false
	case before.GetJoint():
		return sameMembers(voters(before), voters(after))
	case after.GetJoint():
		return sameMembers(voters(before), formerVoters(after)) && len(voters(after)) > 0
	default:
		return changesAtMostOneVoter(before, after)
	}
}

// voters returns the voters of a membership, for a joint one those that remain.
func voters(m *replication.Membership) []MemberID {
	return membersWith(m, (*replication.Member).GetVoter)
}

// formerVoters returns the voters of the membership that a joint one replaces.
func formerVoters(m *replication.Membership) []MemberID {
	return membersWith(m, (*replication.Member).GetFormerVoter)
}

func membersWith(m *replication.Membership, has func(*replication.Member) bool) []MemberID {
	var out []MemberID
	for _, member := range m.GetMembers() {
		if has(member) {
			out = append(out, MemberID(member.GetId()))
		}
	}
	return out
}

func sameMembers(a, b []MemberID) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// voterSets returns the sets of voters of which a decision needs a majority each: two
// if the membership is joint, else one.
func (c *Core) voterSets() [][]MemberID {
	sets := [][]MemberID{voters(c.membership)}
	if c.membership.GetJoint() {
		sets = append(sets, formerVoters(c.membership))
	}
	return sets
}

// majorityValue returns the greatest value that a majority of each set of voters has
// reached, or the zero value if there is no voter.
func majorityValue[V cmp.Ordered](sets [][]MemberID, of func(MemberID) V) V {
	var lowest V
	for i, set := range sets {
		if len(set) == 0 {
			continue
		}
		values := make([]V, 0, len(set))
		for _, id := range set {
			values = append(values, of(id))
		}
		slices.SortFunc(values, func(a, b V) int { return cmp.Compare(b, a) })
		if reached := values[len(set)/2]; i == 0 || reached < lowest {
			lowest = reached
		}
	}
	return lowest
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

// isVoter reports whether a member is a voter in the current membership or, if that is
// joint, in the one before.
func (c *Core) isVoter(id MemberID) bool {
	member := FindMember(c.membership, id)
	return member.GetVoter() || c.membership.GetJoint() && member.GetFormerVoter()
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
