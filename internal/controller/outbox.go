package controller

import (
	"slices"
	"sync"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// maxOutboxMessages bounds the number of messages that wait for one peer, and
	// maxOutboxBytes the size of their entries. The latest message is kept in any case.
	maxOutboxMessages = 256
	maxOutboxBytes    = 4 << 20
)

// outbox holds the messages that wait to be sent to one peer. Beyond the limits the earliest
// are dropped: later messages of a leader repeat what was not acknowledged.
type outbox struct {
	// added receives a value when there are messages to take.
	added chan struct{}

	mu       sync.Mutex
	messages []*replication.Message
	// entryBytes is the size of the entries in messages.
	entryBytes int
}

func newOutbox() *outbox { return &outbox{added: make(chan struct{}, 1)} }

// add adds a message. A snapshot replaces an earlier one.
func (o *outbox) add(m *replication.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.GetSnapshot() != nil {
		o.messages = slices.DeleteFunc(o.messages, func(earlier *replication.Message) bool { return earlier.GetSnapshot() != nil })
	}
	o.messages = append(o.messages, m)
	o.entryBytes += entryBytes(m)
	if len(o.messages) > maxOutboxMessages {
		o.drop(0)
	}
	for o.entryBytes > maxOutboxBytes {
		earliest := slices.IndexFunc(o.messages, func(m *replication.Message) bool { return entryBytes(m) > 0 })
		if earliest == len(o.messages)-1 {
			break
		}
		o.drop(earliest)
	}
	select {
	case o.added <- struct{}{}:
	default:
	}
}

func (o *outbox) drop(i int) {
	o.entryBytes -= entryBytes(o.messages[i])
	o.messages = slices.Delete(o.messages, i, i+1)
}

// take removes all messages and returns them, earliest first.
func (o *outbox) take() []*replication.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.messages
	o.messages, o.entryBytes = nil, 0
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
