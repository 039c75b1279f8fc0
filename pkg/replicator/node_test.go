package replicator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

var errDiskFull = errors.New("no space left")

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
