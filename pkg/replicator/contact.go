package replicator

import (
	"time"
)

// LastContact returns, at a leader, the sending time of the latest message that
// each other member has answered. For a member that has not answered in this
// term, it is when the member joined or the leader was elected.
func (c *Core) LastContact() map[MemberID]time.Duration {
	out := make(map[MemberID]time.Duration, len(c.progress))
	for id, p := range c.progress {
		out[id] = p.lastContact
	}
	return out
}

// Contact returns, at a leader, whether a member answers. A member that has not answered
// within an election timeout does not; until a new leader has waited for that long, it
// does not know.
func (c *Core) Contact(now time.Duration, id MemberID) Contact {
	if id == c.config.ID {
		return ContactAnswers
	}
	p := c.progress[id]
	switch {
	case p == nil:
		return ContactUnknown
	case now-p.lastContact >= c.config.ElectionTimeout:
		return ContactSilent
	case !p.answered:
		return ContactUnknown
	default:
		return ContactAnswers
	}
}

// contacts returns the result of Contact for all members but this one.
func (c *Core) contacts(now time.Duration) map[MemberID]Contact {
	out := make(map[MemberID]Contact, len(c.progress))
	for id := range c.progress {
		out[id] = c.Contact(now, id)
	}
	return out
}

// CurrentAt returns the time as of which this member knows all committed entries: for a
// leader the sending of the heartbeats that a majority has answered, for any other member the
// arrival of the latest message of a leader after which it lacks none. Until the first such
// message it is when the Core was created.
func (c *Core) CurrentAt(now time.Duration) time.Duration {
	if c.role == Leader && c.commit >= c.termStart {
		c.currentAt = max(c.currentAt, c.majorityContact(now))
	}
	return c.currentAt
}
