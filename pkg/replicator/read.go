package replicator

import "time"

// read registers a linearizable read. It completes once a majority has
// answered an append that was sent after the read arrived.
func (c *Core) read(now time.Duration, id ReadID) {
	if c.role != Leader {
		c.output.Reads = append(c.output.Reads, ReadResult{ID: id, Refused: true})
		return
	}
	index := max(c.commit, c.termStart)
	c.reads = append(c.reads, pendingRead{id: id, at: now, index: index})
	if len(c.reads) == 1 {
		c.broadcast(now)
	}
	c.completeReads(now)
}

// completeReads answers the reads that a majority has confirmed and starts the
// next round for those that arrived after the last one was sent.
func (c *Core) completeReads(now time.Duration) {
	if c.role != Leader || len(c.reads) == 0 {
		return
	}
	confirmed := c.quorumConfirmed(now)
	done := 0
	for done < len(c.reads) && c.reads[done].at <= confirmed {
		r := c.reads[done]
		c.output.Reads = append(c.output.Reads, ReadResult{ID: r.id, Index: r.index})
		done++
	}
	if done == 0 {
		return
	}
	c.reads = append([]pendingRead(nil), c.reads[done:]...)
	if len(c.reads) > 0 && c.reads[len(c.reads)-1].at > c.roundAt {
		c.broadcast(now)
	}
}
