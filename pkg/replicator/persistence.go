package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// recordPersisted records what is durable. The entries of a record do not count if some of
// them have been removed from the log since.
func (c *Core) recordPersisted(now time.Duration, e Persisted) {
	c.persistedTerm = max(c.persistedTerm, e.Term)
	if e.rewrites == c.rewrites {
		c.persistedIndex = max(c.persistedIndex, e.Last)
	}
	if c.role == Leader {
		c.commitByMajority(now)
	}
}

// mustFollowRecord reports whether a message may be sent only once all records up to the
// next output's are durable, since it acknowledges or relies on what they hold. Appends do not
// rely on the entries that they carry, which count for this leader only when they are durable
// here too, but on the leader's vote for itself.
func (c *Core) mustFollowRecord(m *replication.Message) bool {
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return false
	case replication.MessageKind_MESSAGE_KIND_APPEND, replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return c.persistedTerm != c.term
	case replication.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		return c.persistedTerm != c.term || !m.GetRejected() && Index(m.GetHint()) > c.persistedIndex
	default:
		return true
	}
}
