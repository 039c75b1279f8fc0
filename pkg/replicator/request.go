package replicator

import (
	"context"

	"github.com/comfreybend/comfreybend/schema/replication"
)

type (
	// proposal is a call of Propose.
	proposal[R any] struct {
		data     []byte
		position Position
		done     chan proposalResult[R]
	}

	proposalResult[R any] struct {
		value R
		err   error
	}

	// readRequest is a call of Barrier.
	readRequest struct {
		// index must be applied before the read completes.
		index Index
		done  chan error
	}
)

// Propose appends a command to the log, waits until this node has applied it and
// returns the result of Apply.
//
// An *InDoubtError means that the command may or may not take effect. It can wrap
// a *NotLeaderError or *StoppedError, so test for it first. Otherwise a
// *NotLeaderError, *NotCommittedError or *StoppedError means that the command has
// and will have no effect. A *NotLeaderError without a leader is also returned if
// ctx ends before the proposal is queued.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var zero R
	p := &proposal[R]{data: data, done: make(chan proposalResult[R], 1)}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return zero, &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return zero, &NotLeaderError{}
	}
	select {
	case result := <-p.done:
		return result.value, result.err
	case <-n.stopped:
		return zero, &InDoubtError{Cause: &StoppedError{Cause: n.stopCause}}
	case <-ctx.Done():
		return zero, &InDoubtError{Cause: ctx.Err()}
	}
}

// ProposeMembership asks for a change of the membership without waiting for it;
// see the event of that name for its conditions. The request is dropped if
// another one is queued. Status shows whether it took effect.
func (n *Node[R]) ProposeMembership(m *replication.Membership) {
	select {
	case n.membershipProposals <- m:
	default:
	}
}

// Barrier returns nil once the state machine has applied everything that was
// committed when Barrier was called and a majority of the voters has confirmed
// that this member was still the leader. A read of the state machine is then
// linearizable. The error is a *NotLeaderError, a *StoppedError or ctx.Err().
func (n *Node[R]) Barrier(ctx context.Context) error {
	r := &readRequest{done: make(chan error, 1)}
	select {
	case n.readRequests <- r:
	case <-n.stopped:
		return &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-r.done:
		return err
	case <-n.stopped:
		return &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// propose appends the given proposal and other queued ones, up to
// maxProposalsPerBatch, so that they share one synced write of the journal. If
// this member is not the leader, it fails them.
func (n *Node[R]) propose(first *proposal[R]) {
	batch := []*proposal[R]{first}
	for len(batch) < maxProposalsPerBatch && len(n.proposals) > 0 {
		batch = append(batch, <-n.proposals)
	}
	if n.core.Role() != Leader {
		for _, p := range batch {
			p.done <- proposalResult[R]{err: &NotLeaderError{Leader: n.core.Leader()}}
		}
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.data)
	}
	start := n.core.LastIndex()
	for i, p := range batch {
		p.position = Position{Index: start + Index(i) + 1, Term: n.core.Term()}
		n.pendingProposals[p.position.Index] = p
	}
	n.step(Propose{Commands: commands})
}

// read starts the given read and all other queued ones.
func (n *Node[R]) read(first *readRequest) {
	n.startRead(first)
	for range len(n.readRequests) {
		n.startRead(<-n.readRequests)
	}
}

func (n *Node[R]) startRead(r *readRequest) {
	n.lastReadID++
	n.pendingReads[n.lastReadID] = r
	n.step(Read{ID: n.lastReadID})
}

// completeProposal completes the proposal at the index of an applied entry, if
// there is one. If the entry's term differs, another leader's entry has taken the
// proposal's place.
func (n *Node[R]) completeProposal(index Index, term Term, value R) {
	p, ok := n.pendingProposals[index]
	if !ok {
		return
	}
	delete(n.pendingProposals, index)
	if p.position.Term != term {
		p.done <- proposalResult[R]{err: &NotCommittedError{Index: index}}
		return
	}
	p.done <- proposalResult[R]{value: value}
}

// failPendingProposals completes all pending proposals with an error, after this
// member has ceased to be the leader. Whether the next leader commits them is not
// known.
func (n *Node[R]) failPendingProposals() {
	for index, p := range n.pendingProposals {
		delete(n.pendingProposals, index)
		p.done <- proposalResult[R]{err: &InDoubtError{Cause: &NotLeaderError{Leader: n.core.Leader()}}}
	}
}

// handleReadResults completes the reads that the core refused with an error and
// lets the confirmed ones wait until their index is applied.
func (n *Node[R]) handleReadResults(results []ReadResult) {
	for _, result := range results {
		r := n.pendingReads[result.ID]
		delete(n.pendingReads, result.ID)
		if result.Refused {
			r.done <- &NotLeaderError{Leader: n.core.Leader()}
			continue
		}
		r.index = result.Index
		n.confirmedReads = append(n.confirmedReads, r)
	}
	n.completeAppliedReads()
}

// completeAppliedReads completes the confirmed reads whose index is applied.
func (n *Node[R]) completeAppliedReads() {
	kept := n.confirmedReads[:0]
	for _, r := range n.confirmedReads {
		if r.index > n.applied {
			kept = append(kept, r)
			continue
		}
		r.done <- nil
	}
	n.confirmedReads = kept
}
