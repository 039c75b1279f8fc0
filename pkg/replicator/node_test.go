package replicator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

var (
	errDiskFull = errors.New("no space left")
	testStart   = time.Now()
)

// TestFullDisk guards against a full disk that ends the node or loses a proposal.
// In a group with one member, nothing is acknowledged and Run goes on while the
// disk is full; afterwards the waiting proposal is committed.
func TestFullDisk(t *testing.T) {
	var full atomic.Bool
	var failedWrites atomic.Int64
	failWhileFull := func() error {
		if full.Load() {
			failedWrites.Add(1)
			return errDiskFull
		}
		return nil
	}
	membership := &replication.Membership{Members: []*replication.Member{{Id: 1, Host: "a", Voter: true}}}
	started := time.Now()
	n, err := NewNode(NodeConfig[int]{
		Core: Config{
			ID: 1, HeartbeatInterval: 5 * time.Millisecond, ElectionTimeout: 30 * time.Millisecond,
			BatchBytes: 1 << 20, Random: func(int64) int64 { return 0 },
		},
		InitialState: InitialState{
			HardState: &replication.HardState{}, Snapshot: &replication.SnapshotHeader{Membership: membership},
		},
		Now:    func() time.Duration { return time.Since(started) },
		Append: func(*replication.Record) error { return failWhileFull() },
		SaveSnapshot: func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error {
			return failWhileFull()
		},
		Retryable:       func(err error) bool { return errors.Is(err, errDiskFull) },
		Send:            func([]*replication.Message) {},
		Apply:           func(_ Index, data []byte) int { return len(data) },
		Snapshot:        func() ([]byte, error) { return nil, nil },
		Restore:         func([]byte) error { return nil },
		SnapshotEntries: 2,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	propose := func() <-chan error {
		done := make(chan error, 1)
		go func() {
			var proposeErr error
			for ctx.Err() == nil {
				_, proposeErr = n.Propose(ctx, []byte("x"))
				if !errors.As(proposeErr, new(*NotLeaderError)) {
					break
				}
				time.Sleep(time.Millisecond)
			}
			done <- proposeErr
		}()
		return done
	}
	if err = <-propose(); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	waiting := propose()
	for failedWrites.Load() < 3 {
		select {
		case err = <-waiting:
			t.Fatalf("Propose returned while the disk was full: %v", err)
		case err = <-ended:
			t.Fatalf("Run returned while the disk was full: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	full.Store(false)
	if err = <-waiting; err != nil {
		t.Errorf("the proposal failed after the disk had space again: %v", err)
	}
	cancel()
	if err = <-ended; err != nil {
		t.Error(err)
	}
}

// TestFullDiskTakesNoFurtherEntries guards against a member that runs out of memory while its
// disk is full, since the leader sends the same entries again and again.
func TestFullDiskTakesNoFurtherEntries(t *testing.T) {
	const messages = 64
	n, err := NewNode(NodeConfig[int]{
		Core: Config{
			ID: 1, HeartbeatInterval: time.Second, ElectionTimeout: time.Hour, BatchBytes: 1 << 20, Random: func(int64) int64 { return 0 },
		},
		InitialState: InitialState{
			HardState: &replication.HardState{Term: 1}, Snapshot: &replication.SnapshotHeader{Membership: threeVoters()},
		},
		Now:             func() time.Duration { return time.Since(testStart) },
		Append:          func(*replication.Record) error { return errDiskFull },
		Retryable:       func(error) bool { return true },
		Send:            func([]*replication.Message) {},
		SnapshotEntries: 2 * messages,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	data := make([]byte, 1<<20)
	for index := range uint64(messages) {
		m := appendOf(2, 1, index, min(index, 1), 1)
		m.Entries[0].Data = data
		n.Deliver(m)
	}
	for len(n.inbox) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if waiting := len(n.inbox); waiting > 0 {
		t.Errorf("%d messages with entries wait", waiting)
	}
	cancel()
	if err = <-ended; err != nil {
		t.Error(err)
	}
	var bytes int
	for _, e := range n.core.EntriesAfter(0) {
		bytes += len(e.GetData())
	}
	if bytes > maxUnwrittenBytes+2*len(data) {
		t.Errorf("the log holds %d bytes that are not durable, want about %d", bytes, maxUnwrittenBytes)
	}
}

// slowGroup is a group of nodes in one process whose writes to the journal can be slowed down.
type slowGroup struct {
	nodes map[MemberID]*Node[int]
	// delay is the time that each write takes, in nanoseconds.
	delay atomic.Int64
}

// startSlowGroup starts three voters that run until the test ends.
func startSlowGroup(t *testing.T, electionTimeout time.Duration) *slowGroup {
	t.Helper()
	g := &slowGroup{nodes: map[MemberID]*Node[int]{}}
	write := func() error {
		time.Sleep(time.Duration(g.delay.Load()))
		return nil
	}
	for _, m := range threeVoters().GetMembers() {
		n, err := NewNode(NodeConfig[int]{
			Core: Config{
				ID: MemberID(m.GetId()), HeartbeatInterval: electionTimeout / 10, ElectionTimeout: electionTimeout,
				BatchBytes: 1 << 20, Random: rand.Int64N,
			},
			InitialState: InitialState{
				HardState: &replication.HardState{}, Snapshot: &replication.SnapshotHeader{Membership: threeVoters()},
			},
			Now:          func() time.Duration { return time.Since(testStart) },
			Append:       func(*replication.Record) error { return write() },
			SaveSnapshot: func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error { return write() },
			Send: func(messages []*replication.Message) {
				for _, message := range messages {
					g.nodes[MemberID(message.GetTo())].Deliver(message)
				}
			},
			Apply:           func(_ Index, data []byte) int { return len(data) },
			Snapshot:        func() ([]byte, error) { return nil, nil },
			Restore:         func([]byte) error { return nil },
			SnapshotEntries: 4,
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		g.nodes[MemberID(m.GetId())] = n
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(g.nodes))
	for _, n := range g.nodes {
		go func() { ended <- n.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range g.nodes {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	return g
}

// leader returns the node that all nodes know to be the leader, once there is one.
func (g *slowGroup) leader(t *testing.T) *Node[int] {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		leaders := map[MemberID]bool{}
		for _, n := range g.nodes {
			leaders[n.Status().Leader] = true
		}
		if len(leaders) == 1 && !leaders[0] {
			for id := range leaders {
				return g.nodes[id]
			}
		}
	}
	t.Fatal("no leader")
	return nil
}

// TestSlowDisksKeepLeader guards against a group that loses its leader whenever the disks are
// slow: the members exchange heartbeats while they write entries and snapshots.
func TestSlowDisksKeepLeader(t *testing.T) {
	const (
		electionTimeout = 500 * time.Millisecond
		writeTime       = 2 * time.Second
		proposals       = 6
	)
	g := startSlowGroup(t, electionTimeout)
	leader := g.leader(t)
	term := leader.Status().Term
	g.delay.Store(int64(writeTime))
	for range proposals {
		if _, err := leader.Propose(t.Context(), []byte("x")); err != nil {
			t.Errorf("a proposal failed: %v", err)
		}
	}
	for id, n := range g.nodes {
		if got := n.Status().Term; got != term {
			t.Errorf("member %d is in term %d, want %d", id, got, term)
		}
	}
}
