package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

type (
	// Status is a consistent view of a node at one point in time. Readers must not
	// modify it.
	Status struct {
		ID   MemberID
		Role Role
		Term Term
		// Leader is the leader of the term, or zero if it is not known.
		Leader MemberID
		// Commit is the highest index known to be committed.
		Commit Index
		// Applied is the index of the last applied entry.
		Applied Index
		// LastIndex is the index of the last entry in the log.
		LastIndex Index
		// Membership is the latest one in the log, committed or not.
		Membership *replication.Membership
		// MembershipCommitted reports whether Membership is committed, so that no
		// change is in progress.
		MembershipCommitted bool
		// LeaseUntil is the time of the node's clock until which no other member can
		// be elected leader. It is zero if this member is not the leader or has not
		// yet committed an entry of its term.
		LeaseUntil time.Duration
		// CurrentAt is the time of the node's clock as of which it has applied all committed
		// entries, or its start if it never has.
		CurrentAt time.Duration
		// Matches holds, at a leader, each member's match index: the highest index up
		// to which its durable log is known to be identical to the leader's.
		Matches map[MemberID]Index
		// LastContact holds, at a leader, the sending time of the latest message that
		// each other member has answered, by the node's clock. For a member that has
		// not answered in this term, it is when the member joined or the leader was
		// elected.
		LastContact map[MemberID]time.Duration
		// Contacts holds, at a leader, whether each other member answers.
		Contacts map[MemberID]Contact
	}
)

// publish updates the view that Status returns.
func (n *Node[R]) publish() {
	s := &Status{
		ID:         n.config.Core.ID,
		Role:       n.core.Role(),
		Term:       n.core.Term(),
		Leader:     n.core.Leader(),
		Commit:     n.core.Commit(),
		Applied:    n.applied,
		LastIndex:  n.core.LastIndex(),
		Membership: n.core.Membership(),
		LeaseUntil: n.core.LeaseUntil(n.config.Now()),
		CurrentAt:  n.core.CurrentAt(n.config.Now()),

		MembershipCommitted: n.core.MembershipCommitted(),
	}
	if s.Role == Leader {
		s.Matches = map[MemberID]Index{}
		s.LastContact = n.core.LastContact()
		s.Contacts = n.core.contacts(n.config.Now())
		for _, m := range s.Membership.GetMembers() {
			s.Matches[MemberID(m.GetId())] = n.core.Match(MemberID(m.GetId()))
		}
	}
	n.status.Store(s)
}
