package replicator

import "time"

// read registers a linearizable read. It completes once a majority of the voters
// has answered an append sent at or after the arrival of the read, which proves
// that no other leader had been elected when it arrived. The index that must be
// applied first is at least that of the first entry of the term, because a new
// leader does not know yet which entries of earlier terms are committed.
func (c *Core) read(now time.Duration, id ReadID) {
	if c.role != Leader {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: id, Refused: true})
		return
	}
	index := max(c.commit, c.termStart)
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, receivedAt: now, index: index})
	if len(c.pendingReads) == 1 {
		c.broadcast(now)
	}
	c.completeReads(now)
}

// completeReads outputs the reads that a majority has confirmed. If there were
// some and other reads have arrived since the last broadcast, it broadcasts again
// to confirm those.
func (c *Core) completeReads(now time.Duration) {
	if c.role != Leader || len(c.pendingReads) == 0 {
		return
	}
	confirmed := c.majorityContact(now)
	done := 0
	for done < len(c.pendingReads) && c.pendingReads[done].receivedAt <= confirmed {
		r := c.pendingReads[done]
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Index: r.index})
		done++
	}
	if done == 0 {
		return
	}
	c.pendingReads = append([]pendingRead(nil), c.pendingReads[done:]...)
	if len(c.pendingReads) > 0 && c.pendingReads[len(c.pendingReads)-1].receivedAt > c.lastBroadcast {
		c.broadcast(now)
	}
}
