package replicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// inboxCapacity is the number of received messages that may be queued for Run.
	inboxCapacity = 1024
	// requestQueueCapacity is the number of proposals, and of reads, that may be
	// queued for Run.
	requestQueueCapacity = 1024
	// maxProposalsPerBatch is the number of proposals that may share one synced
	// write of the journal.
	maxProposalsPerBatch = 512
	// ticksPerHeartbeat is the number of Tick events in a heartbeat interval.
	ticksPerHeartbeat = 4
	// diskRetryInterval is the time between attempts at a write that fails with a
	// retryable error, for example on a full disk.
	diskRetryInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the least time from a snapshot that failed with a
	// retryable error to the next attempt.
	snapshotRetryInterval = time.Second
	// maxUnwrittenBytes is the size of the entries that are not yet written above which a node
	// takes no further entries and proposals.
	maxUnwrittenBytes = 16 << 20
)

type (
	// NodeConfig configures a Node whose commands have results of type R. Append and
	// SaveSnapshot are called one at a time, and so are the other functions; NewNode calls
	// Now and Restore before Run does.
	NodeConfig[R any] struct {
		Core         Config
		InitialState InitialState
		// Now reads a monotonic clock that also advances while the host is suspended.
		Now func() time.Duration
		// Append appends a record to the journal and makes it durable.
		Append func(*replication.Record) error
		// SaveSnapshot makes a snapshot durable. The hard state and the entries
		// after the snapshot replace all earlier records of the journal.
		SaveSnapshot func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error
		// Retryable reports whether the call of Append or SaveSnapshot that returned
		// the error is to be made again. It may be true only if the journal still
		// holds all earlier records and no part of the failed one; a failed
		// SaveSnapshot may have stored the snapshot. If Retryable is nil, no error is
		// retryable.
		Retryable func(error) bool
		// Send sends messages to other members. It must not block; messages may be lost.
		Send func([]*replication.Message)
		// Apply applies a committed command to the state machine and returns its result.
		Apply func(Index, []byte) R
		// Snapshot encodes the state machine.
		Snapshot func() ([]byte, error)
		// Restore replaces the state machine by the one that Snapshot encoded.
		Restore func([]byte) error
		// SnapshotEntries is the number of entries applied since the last snapshot
		// at which a new one is taken. The last SnapshotEntries entries that the new
		// snapshot covers stay in memory for slow followers.
		SnapshotEntries int
		// SnapshotBytes is the total size, in bytes, of the commands applied since
		// the last snapshot above which a new one is taken. None of the entries that
		// this snapshot covers stays in memory. Zero means no limit.
		SnapshotBytes int
	}

	// Node drives a Core: it writes the journal, sends messages, applies committed
	// commands and completes proposals and reads. It goes on while the journal is written,
	// so that slow disks do not interrupt the heartbeats. Run must be called once; the
	// other methods are safe for concurrent use.
	Node[R any] struct {
		config NodeConfig[R]
		core   *Core
		writer *journalWriter

		inbox               chan *replication.Message
		proposals           chan *proposal[R]
		membershipProposals chan *replication.Membership
		readRequests        chan *readRequest
		// stopped is closed when Run ends, after stopCause is set.
		stopped   chan struct{}
		stopCause error

		// pendingProposals holds the proposals in the log that are not yet applied.
		pendingProposals map[Index]*proposal[R]
		// pendingReads holds the reads that the core has neither confirmed nor refused.
		pendingReads map[ReadID]*readRequest
		lastReadID   ReadID
		// confirmedReads holds the reads that a majority has confirmed and that wait
		// until their index is applied.
		confirmedReads []*readRequest

		// applied is the index of the last applied entry.
		applied Index
		// snapshotIndex is the index of the last entry that the latest snapshot covers.
		snapshotIndex Index
		// savingSnapshot reports that a snapshot is being written.
		savingSnapshot bool
		// bytesSinceSnapshot is the total size, in bytes, of the commands applied
		// since the latest snapshot.
		bytesSinceSnapshot int
		// bytesInSnapshot is how much of that the snapshot being written covers.
		bytesInSnapshot int
		lastSnapshot    *replication.Snapshot
		status          atomic.Pointer[Status]
		// runContext is the context of Run. Retries of writes stop when it ends.
		runContext context.Context //nolint:containedctx // It is Run's own.
		// nextSnapshotAt is the time before which no snapshot is taken after a
		// retryable error.
		nextSnapshotAt time.Duration
	}
)

// NewNode returns a node that continues from its durable state. snapshot is the
// one whose header InitialState holds, or nil. If it has data, NewNode restores
// the state machine from it, and returns an error if this fails.
func NewNode[R any](config NodeConfig[R], snapshot *replication.Snapshot) (*Node[R], error) {
	n := &Node[R]{
		config:              config,
		core:                NewCore(config.Core, config.InitialState, config.Now()),
		inbox:               make(chan *replication.Message, inboxCapacity),
		proposals:           make(chan *proposal[R], requestQueueCapacity),
		membershipProposals: make(chan *replication.Membership, 1),
		readRequests:        make(chan *readRequest, requestQueueCapacity),
		stopped:             make(chan struct{}),
		pendingProposals:    map[Index]*proposal[R]{},
		pendingReads:        map[ReadID]*readRequest{},
		lastSnapshot:        snapshot,
	}
	n.writer = newJournalWriter(config.Append, config.SaveSnapshot, n.isRetryable)
	if snapshot != nil {
		n.applied = Index(snapshot.GetHeader().GetIndex())
		n.snapshotIndex = n.applied
	}
	if len(snapshot.GetData()) > 0 {
		if err := config.Restore(snapshot.GetData()); err != nil {
			return nil, errors.Wrap(err, "restoring the snapshot")
		}
	}
	n.publish()
	return n, nil
}

// Run drives the node until ctx ends, the journal fails or the state machine
// cannot be encoded or restored. It returns nil if ctx was canceled.
func (n *Node[R]) Run(ctx context.Context) error {
	ticker := time.NewTicker(n.config.Core.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	n.runContext = ctx
	err := n.handleOutput()
	for err == nil {
		proposals := n.proposals
		if n.writer.unwrittenBytes > maxUnwrittenBytes {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
			continue
		case <-ticker.C:
			n.step(Tick{})
		case m := <-n.inbox:
			n.receive(m)
		case p := <-proposals:
			n.propose(p)
		case m := <-n.membershipProposals:
			n.step(ProposeMembership{Membership: m})
		case r := <-n.readRequests:
			n.read(r)
		case result := <-n.writer.done:
			err = n.finishWrites(result)
		}
		if err == nil {
			err = n.handleOutput()
		}
	}
	if writeErr := n.writer.wait(); errors.Is(err, context.Canceled) && writeErr != nil && !n.isRetryable(writeErr) {
		err = writeErr
	}
	n.stop(err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Deliver passes a message from another member to the node. It does not block: if
// too many messages are queued, this one is dropped, which the protocol tolerates.
func (n *Node[R]) Deliver(m *replication.Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Status returns the latest published view of the node, which is never nil.
func (n *Node[R]) Status() *Status {
	return n.status.Load()
}

// step passes an event to the core at the current time.
func (n *Node[R]) step(e Event) {
	n.core.Step(n.config.Now(), e)
}

// receive passes the given message and all other queued ones to the core, so that
// they share one synced write of the journal. Messages with entries are dropped, which the
// protocol tolerates, while too many entries are not written.
func (n *Node[R]) receive(first *replication.Message) {
	received := 0
	receiveOne := func(m *replication.Message) {
		size := entryBytes(m.GetEntries())
		if size > 0 && n.writer.unwrittenBytes+received > maxUnwrittenBytes {
			return
		}
		received += size
		n.step(Receive{Message: m})
	}
	receiveOne(first)
	for range len(n.inbox) {
		receiveOne(<-n.inbox)
	}
}

// handleOutput does what the core asks for until it asks for nothing more.
func (n *Node[R]) handleOutput() error {
	for {
		out := n.core.TakeOutput()
		if err := n.persist(out); err != nil {
			return err
		}
		n.send(out.Messages)
		n.apply(out.Committed)
		n.handleReadResults(out.Reads)
		if n.core.Role() != Leader {
			n.failPendingProposals()
		}
		if err := n.takeSnapshot(); err != nil {
			return err
		}
		n.writer.start(n.runContext)
		n.publish()
		if len(out.Committed) == 0 && len(out.Messages) == 0 && out.Persisted == nil {
			return nil
		}
	}
}

// persist starts to make a record durable, or waits until a leader's snapshot is. The
// messages that acknowledge it follow.
func (n *Node[R]) persist(out Output) error {
	if out.InstallSnapshot != nil {
		if err := n.installSnapshot(out.InstallSnapshot); err != nil {
			return err
		}
		n.step(*out.Persisted)
	}
	switch {
	case out.InstallSnapshot == nil && out.Record != nil:
		n.writer.add(journalWrite{record: out.Record, persisted: out.Persisted, messages: out.AfterRecord})
	case n.writer.isIdle():
		n.send(out.AfterRecord)
	case len(out.AfterRecord) > 0:
		n.writer.add(journalWrite{messages: out.AfterRecord})
	}
	return nil
}

// finishWrites does what follows writes to the journal that have ended with a result.
func (n *Node[R]) finishWrites(result error) error {
	for _, write := range n.writer.takeStarted() {
		if write.snapshot != nil {
			if err := n.finishSnapshot(write.snapshot, result); err != nil {
				return err
			}
			continue
		}
		if result != nil {
			return result
		}
		n.send(write.messages)
		if write.persisted != nil {
			n.step(*write.persisted)
		}
	}
	return nil
}

func (n *Node[R]) isRetryable(err error) bool {
	return n.config.Retryable != nil && n.config.Retryable(err)
}

// send sends messages to other members.
func (n *Node[R]) send(messages []*replication.Message) {
	n.attachSnapshots(messages)
	if len(messages) > 0 {
		n.config.Send(messages)
	}
}

// apply applies committed entries and completes the proposals and reads that
// waited for them.
func (n *Node[R]) apply(entries []*replication.Entry) {
	for _, e := range entries {
		index := Index(e.GetIndex())
		var value R
		if len(e.GetData()) > 0 {
			value = n.config.Apply(index, e.GetData())
			n.bytesSinceSnapshot += len(e.GetData())
		}
		n.applied = index
		n.completeProposal(index, Term(e.GetTerm()), value)
	}
	n.completeAppliedReads()
}

// stop makes the calls that wait for Run, and all later ones, fail with the cause.
func (n *Node[R]) stop(cause error) {
	n.stopCause = cause
	close(n.stopped)
}
