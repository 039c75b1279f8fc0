// Package mailer keeps what an entry process has still to send to its peers.
package mailer

import (
	"sync"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxCacheEvents bounds the queue of cache events for one peer.
const maxCacheEvents = 1000

// Mailer keeps announcements and cache events for each peer, by its number. It is safe for concurrent
// use.
type Mailer struct {
	mu sync.Mutex
	// announcements holds, for each peer, those that it has not acknowledged yet.
	announcements []map[registrar.UpstreamID]registrar.Upstream
	// cacheEvents holds, for each peer, the cache events to send next. They are not sent again after
	// a failure; the receiver detects lost events by a gap in the sequence numbers.
	cacheEvents [][]*wire.CacheEvent
}

// New returns an empty mailer for a number of peers.
func New(peers int) *Mailer {
	m := &Mailer{cacheEvents: make([][]*wire.CacheEvent, peers)}
	for range peers {
		m.announcements = append(m.announcements, map[registrar.UpstreamID]registrar.Upstream{})
	}
	return m
}

// QueueAnnouncement queues, for every peer, an announcement that an upstream sent.
func (m *Mailer) QueueAnnouncement(u registrar.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, out := range m.announcements {
		out[u.ID] = u
	}
}

// QueueCacheEvent queues, for every peer, a cache event that an upstream sent. A peer whose
// queue is full does not get it.
func (m *Mailer) QueueCacheEvent(e *wire.CacheEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.cacheEvents {
		if len(m.cacheEvents[i]) < maxCacheEvents {
			m.cacheEvents[i] = append(m.cacheEvents[i], e)
		}
	}
}

// Take removes and returns what a peer has to get.
func (m *Mailer) Take(peer int) (map[registrar.UpstreamID]registrar.Upstream, []*wire.CacheEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	announcements, events := m.announcements[peer], m.cacheEvents[peer]
	m.announcements[peer], m.cacheEvents[peer] = map[registrar.UpstreamID]registrar.Upstream{}, nil
	return announcements, events
}

// Requeue queues announcements again after a failed exchange, except those that a newer one of the
// same upstream has replaced meanwhile.
func (m *Mailer) Requeue(peer int, announcements map[registrar.UpstreamID]registrar.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, u := range announcements {
		if _, newer := m.announcements[peer][id]; !newer {
			m.announcements[peer][id] = u
		}
	}
}
