// Package identifier identifies requests that are the same although they come again at another
// entry process, without telling what is in them.
//
// The identity is a keyed hash. Processes agree on the oldest key that any of them knows, so that
// it stays the same while processes come and go, and identities of different systems cannot be
// linked.
package identifier

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	keyBytes = 16
	// identityBytes is the length of an identity before its encoding.
	identityBytes = 12
)

// Identifier holds the key. It is safe for concurrent use.
type Identifier struct {
	mu        sync.Mutex
	secret    []byte
	createdAt int64
}

// New returns an identifier without a key. It identifies nothing until Merge was called.
func New() *Identifier { return &Identifier{} }

// NewWithKey returns an identifier with a key of its own that was created at a time.
func NewWithKey(now time.Time) *Identifier {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // It never returns an error.
	return &Identifier{secret: secret, createdAt: now.UnixMilli()}
}

// Merge takes the key of another process if it is older, and reports whether it did.
func (i *Identifier) Merge(k *wire.IdentityKey) bool {
	if len(k.GetSecret()) != keyBytes {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	older := i.secret == nil || k.GetCreatedMillis() < i.createdAt ||
		k.GetCreatedMillis() == i.createdAt && string(k.GetSecret()) < string(i.secret)
	if older {
		i.secret, i.createdAt = k.GetSecret(), k.GetCreatedMillis()
	}
	return older
}

// Key returns the key, or nil if there is none.
func (i *Identifier) Key() *wire.IdentityKey {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.secret == nil {
		return nil
	}
	return &wire.IdentityKey{Secret: i.secret, CreatedMillis: i.createdAt}
}

// Identify returns the identity of a request with the given fields and body. It is empty if
// there is no key.
func (i *Identifier) Identify(body []byte, fields ...string) isolator.PartID {
	key := i.Key()
	if key == nil {
		return ""
	}
	h := hmac.New(sha256.New, key.GetSecret())
	for _, field := range fields {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return isolator.PartID(isolator.RequestPrefix + hex.EncodeToString(h.Sum(nil)[:identityBytes]))
}

// IsIdentity reports whether an id is the identity of a request.
func IsIdentity(id isolator.PartID) bool { return id.IsRequest() }
