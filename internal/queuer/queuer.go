// Package queuer holds the messages of the replicated log that wait to be sent to one member.
package queuer

import (
	"slices"
	"sync"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// MaxMessages bounds the number of messages that wait.
	MaxMessages = 256
	// MaxBytes bounds the size of their entries. The latest message is kept in any case.
	MaxBytes = 4 << 20
)

// Queue holds messages. Beyond the limits the earliest are dropped: later messages of a leader
// repeat what was not acknowledged. It is safe for concurrent use.
type Queue struct {
	// Added receives a value when there are messages to take.
	Added chan struct{}

	mu       sync.Mutex
	messages []*replication.Message
	// entryBytes is the size of the entries in messages.
	entryBytes int
}

// New returns an empty queue.
func New() *Queue { return &Queue{Added: make(chan struct{}, 1)} }

// Add adds a message. A snapshot replaces an earlier one.
func (q *Queue) Add(m *replication.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.GetSnapshot() != nil {
		q.messages = slices.DeleteFunc(q.messages, func(earlier *replication.Message) bool { return earlier.GetSnapshot() != nil })
	}
	q.messages = append(q.messages, m)
	q.entryBytes += entryBytes(m)
	if len(q.messages) > MaxMessages {
		q.drop(0)
	}
	for q.entryBytes > MaxBytes {
		earliest := slices.IndexFunc(q.messages, func(m *replication.Message) bool { return entryBytes(m) > 0 })
		if earliest == len(q.messages)-1 {
			break
		}
		q.drop(earliest)
	}
	select {
	case q.Added <- struct{}{}:
	default:
	}
}

func (q *Queue) drop(i int) {
	q.entryBytes -= entryBytes(q.messages[i])
	q.messages = slices.Delete(q.messages, i, i+1)
}

// Take removes all messages and returns them, earliest first.
func (q *Queue) Take() []*replication.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.messages
	q.messages, q.entryBytes = nil, 0
	return taken
}

// entryBytes returns the size of the entries in a message.
func entryBytes(m *replication.Message) int {
	size := 0
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}
