package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// appendOf returns an append of a leader with entries of its term after an index.
func appendOf(leader MemberID, term, previous, previousTerm uint64, entries int) *replication.Message {
	m := &replication.Message{Kind: kindAppend, From: uint64(leader), To: 1, Term: term, LogIndex: previous, LogTerm: previousTerm}
	for i := range entries {
		m.Entries = append(m.Entries, &replication.Entry{Index: previous + uint64(i) + 1, Term: term, Data: []byte{1}})
	}
	return m
}

// hintOf returns the hint of the only message, or -1 if there is not exactly one.
func hintOf(messages []*replication.Message) int {
	if len(messages) != 1 {
		return -1
	}
	return int(messages[0].GetHint())
}

// TestAcknowledgementsFollowTheRecord guards against members that acknowledge entries, or
// a term, that they may forget: what is not durable is acknowledged with the record only.
func TestAcknowledgementsFollowTheRecord(t *testing.T) {
	now := 2 * testElectionTimeout
	tests := map[string]struct {
		// before are received and persisted, then message is received.
		before  []*replication.Message
		message *replication.Message
		// first and after are the hints of the replies that are sent at once and after the
		// record, -1 for none.
		first, after int
	}{
		"new entries":              {before: []*replication.Message{appendOf(2, 1, 1, 1, 0)}, message: appendOf(2, 1, 1, 1, 2), first: -1, after: 3},
		"heartbeat":                {before: []*replication.Message{appendOf(2, 1, 1, 1, 2)}, message: appendOf(2, 1, 3, 1, 0), first: 3, after: -1},
		"heartbeat in a new term":  {message: appendOf(2, 2, 1, 1, 0), first: -1, after: 1},
		"entries in a new term":    {message: appendOf(2, 2, 1, 1, 2), first: -1, after: 3},
		"entries known already":    {before: []*replication.Message{appendOf(2, 1, 1, 1, 2)}, message: appendOf(2, 1, 1, 1, 2), first: 3, after: -1},
		"entries take the place":   {before: []*replication.Message{appendOf(2, 1, 1, 1, 2), appendOf(3, 2, 1, 1, 0)}, message: appendOf(3, 2, 1, 1, 1), first: -1, after: 2},
		"a stale leader is told":   {before: []*replication.Message{appendOf(3, 2, 1, 1, 0)}, message: appendOf(2, 1, 1, 1, 0), first: 0, after: -1},
		"entries do not match yet": {before: []*replication.Message{appendOf(2, 1, 1, 1, 0)}, message: appendOf(2, 1, 9, 1, 0), first: 1, after: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(1, 1)
			for _, m := range test.before {
				c.Step(now, Receive{Message: m})
				persist(c, now)
			}
			c.Step(now, Receive{Message: test.message})
			out := c.TakeOutput()
			if first, after := hintOf(out.Messages), hintOf(out.AfterRecord); first != test.first || after != test.after {
				t.Errorf("replies with hint %d at once and %d after the record, want %d and %d", first, after, test.first, test.after)
			}
		})
	}
}

// TestContactDuringSlowWrite guards against a leader that loses its followers while these
// write entries: they answer its heartbeats with what is durable.
func TestContactDuringSlowWrite(t *testing.T) {
	now := 2 * testElectionTimeout
	c := newTestCore(1, 1)
	c.Step(now, Receive{Message: appendOf(2, 1, 1, 1, 2)})
	written := c.TakeOutput()
	heartbeat := appendOf(2, 1, 1, 1, 2)
	heartbeat.SentAt = 7
	c.Step(now, Receive{Message: heartbeat})
	out := c.TakeOutput()
	if hintOf(out.Messages) != 1 || out.Messages[0].GetSentAt() != 7 {
		t.Fatalf("replies %v while entries are written, want one with hint 1", out.Messages)
	}
	c.Step(now, *written.Persisted)
	c.Step(now, Receive{Message: heartbeat})
	if out = c.TakeOutput(); hintOf(out.Messages) != 3 {
		t.Errorf("replies %v after entries were written, want one with hint 3", out.Messages)
	}
}

// TestRewrittenEntriesAreNotDurable guards against a member that takes entries for durable
// because earlier ones in their place were, when writes end in the order A, B, A of the
// entries' terms and only the first has ended.
func TestRewrittenEntriesAreNotDurable(t *testing.T) {
	now := 2 * testElectionTimeout
	c := newTestCore(1, 1)
	c.Step(now, Receive{Message: appendOf(2, 2, 1, 1, 2)})
	first := c.TakeOutput()
	c.Step(now, Receive{Message: appendOf(3, 3, 1, 1, 2)})
	c.TakeOutput()
	again := appendOf(2, 4, 1, 1, 0)
	again.Entries = appendOf(2, 2, 1, 1, 2).GetEntries()
	c.Step(now, Receive{Message: again})
	last := c.TakeOutput()
	c.Step(now, *first.Persisted)
	if got := c.Match(1); got != 1 {
		t.Errorf("entries up to %d are durable after the first write, want 1", got)
	}
	c.Step(now, *last.Persisted)
	if got := c.Match(1); got != 3 {
		t.Errorf("entries up to %d are durable after the last write, want 3", got)
	}
}

// TestSnapshotIsNotDurableAtOnce guards against a member that acknowledges entries after a
// snapshot because earlier ones in their place were durable.
func TestSnapshotIsNotDurableAtOnce(t *testing.T) {
	now := 2 * testElectionTimeout
	c := newTestCore(1, 1, 1, 1, 1)
	header := &replication.SnapshotHeader{Index: 2, Term: 2, Membership: threeVoters()}
	c.Step(now, Receive{Message: &replication.Message{
		Kind: kindSnapshot, From: 2, To: 1, Term: 2, Snapshot: &replication.Snapshot{Header: header},
	}})
	c.Step(now, Receive{Message: appendOf(2, 2, 2, 2, 1)})
	c.Step(now, Receive{Message: appendOf(2, 2, 2, 2, 1)})
	c.persistedTerm = 2
	c.Step(now, Receive{Message: appendOf(2, 2, 2, 2, 1)})
	out := c.TakeOutput()
	for _, m := range out.Messages {
		if m.GetHint() > 0 {
			t.Errorf("an index up to %d is acknowledged before the snapshot is durable", m.GetHint())
		}
	}
	c.Step(now, *out.Persisted)
	if got := c.Match(1); got != 3 {
		t.Errorf("entries up to %d are durable after the snapshot, want 3", got)
	}
}

// TestOwnEntriesCountOnceDurable guards against a leader that commits entries with its own
// copy before that is durable.
func TestOwnEntriesCountOnceDurable(t *testing.T) {
	now := 2 * testElectionTimeout
	c := newTestCore(1, 1)
	makeLeader(c, now)
	c.Step(now, Propose{Commands: [][]byte{{1}}})
	out := c.TakeOutput()
	if len(out.Messages) != 2 {
		t.Errorf("%d appends are sent while the leader writes, want 2", len(out.Messages))
	}
	c.Step(now, Receive{Message: &replication.Message{Kind: kindAppendReply, From: 2, To: 1, Term: 2, Hint: 3, SentAt: int64(now)}})
	if c.Commit() == 3 {
		t.Error("an entry is committed that only one member holds")
	}
	c.Step(now, *out.Persisted)
	if c.Commit() != 3 {
		t.Errorf("commit index %d once the leader's entry is durable, want 3", c.Commit())
	}
}

// TestTermIsDurableBeforeItLeads guards against two leaders in one term: a single voter that
// has elected itself sends nothing in its term before its vote is durable.
func TestTermIsDurableBeforeItLeads(t *testing.T) {
	c := NewCore(Config{
		ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, BatchBytes: testBatchBytes,
		Random: func(int64) int64 { return 0 },
	}, InitialState{HardState: &replication.HardState{}, Snapshot: &replication.SnapshotHeader{Membership: &replication.Membership{
		Members: []*replication.Member{{Id: 1, Host: "a", Voter: true}, {Id: 2, Host: "b"}},
	}}}, 0)
	now := 2 * testElectionTimeout
	c.Step(now, Tick{})
	out := c.TakeOutput()
	if c.Role() != Leader || len(out.Messages) > 0 || len(out.AfterRecord) != 1 {
		t.Errorf("%v, messages %v, then %v; want a leader that sends one append after the record", c.Role(), out.Messages, out.AfterRecord)
	}
}

// TestCoreOnSlowDisks runs groups whose disks are slow all the time while members crash and
// lose contact, so that most crashes lose writes. The cluster checks them as in
// TestCoreUnderFaults.
func TestCoreOnSlowDisks(t *testing.T) {
	const (
		seeds  = 30
		rounds = 40
	)
	for seed := range int64(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1000+seed, 3+2*int(seed%2), 0)
			for range rounds {
				for _, m := range c.members {
					c.slowDisk(m, c.now+100*testElectionTimeout, testElectionTimeout/2)
				}
				m := c.members[c.random.Intn(len(c.members))]
				if c.random.Intn(2) == 0 {
					m.frozenUntil = c.now + time.Duration(c.random.Int63n(int64(3*testElectionTimeout)))
				} else {
					c.crash(m)
					c.start(m)
				}
				for range c.random.Intn(int(10 * testElectionTimeout / testTick)) {
					c.tick()
					if c.random.Intn(5) == 0 {
						c.proposeAndRead()
					}
				}
			}
			c.healAndConverge()
			if c.highestCommitted == 0 {
				t.Error("nothing was committed")
			}
		})
	}
}
