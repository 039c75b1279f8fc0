package replicator

import (
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// installSnapshot replaces the journal and the state machine by a leader's snapshot, after
// all writes to the journal.
func (n *Node[R]) installSnapshot(s *replication.Snapshot) error {
	for !n.writer.isIdle() {
		n.writer.start(n.runContext)
		if err := n.finishWrites(<-n.writer.done); err != nil {
			return err
		}
	}
	index := Index(s.GetHeader().GetIndex())
	err := n.writer.retry(n.runContext, func() error {
		return n.config.SaveSnapshot(s, n.core.HardState(), n.core.EntriesAfter(index))
	})
	if err != nil {
		return err
	}
	if err := n.config.Restore(s.GetData()); err != nil {
		return errors.Wrap(err, "restoring a leader's snapshot")
	}
	n.applied = index
	n.snapshotIndex = index
	n.bytesSinceSnapshot = 0
	n.bytesInSnapshot = 0
	n.lastSnapshot = s
	return nil
}

// attachSnapshots adds the latest snapshot to the snapshot messages.
func (n *Node[R]) attachSnapshots(messages []*replication.Message) {
	for _, m := range messages {
		if m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Snapshot = n.lastSnapshot
		}
	}
}

// takeSnapshot starts to save a snapshot of the state machine if enough entries or bytes
// were applied since the last one.
func (n *Node[R]) takeSnapshot() error {
	if n.applied < n.snapshotIndex+Index(n.config.SnapshotEntries) && !n.isOverSnapshotBytes() {
		return nil
	}
	if n.savingSnapshot || n.config.Now() < n.nextSnapshotAt {
		return nil
	}
	data, err := n.config.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encoding a snapshot")
	}
	n.savingSnapshot = true
	n.bytesInSnapshot = n.bytesSinceSnapshot
	n.writer.add(journalWrite{
		snapshot: &replication.Snapshot{Header: n.core.SnapshotHeader(n.applied), Data: data},
		record:   &replication.Record{HardState: n.core.HardState(), Entries: n.core.EntriesAfter(n.applied)},
	})
	return nil
}

func (n *Node[R]) isOverSnapshotBytes() bool {
	return n.config.SnapshotBytes > 0 && n.bytesSinceSnapshot > n.config.SnapshotBytes
}

// finishSnapshot compacts the log after a snapshot was saved. After a retryable error a
// snapshot is taken again later.
func (n *Node[R]) finishSnapshot(s *replication.Snapshot, result error) error {
	n.savingSnapshot = false
	if result != nil && n.isRetryable(result) {
		n.nextSnapshotAt = n.config.Now() + snapshotRetryInterval
		return nil
	}
	if result != nil {
		return result
	}
	keep := n.config.SnapshotEntries
	if n.isOverSnapshotBytes() {
		keep = 0
	}
	n.lastSnapshot = s
	n.snapshotIndex = Index(s.GetHeader().GetIndex())
	n.bytesSinceSnapshot -= n.bytesInSnapshot
	n.step(Compact{Index: n.snapshotIndex, Keep: keep})
	return nil
}
