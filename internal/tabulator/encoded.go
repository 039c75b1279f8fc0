package tabulator

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// encodedCacheTime is the time for which the encoded table is used.
	encodedCacheTime = time.Second
	// maxEncodedTables is the number of encoded tables that are kept for entry processes that
	// are fetching them.
	maxEncodedTables = 16
)

// Encoded holds all upstreams as an encoded wire.Upstreams.
type Encoded struct {
	Data   []byte
	Digest uint64
	// Position is the position of the table that was encoded.
	Position uint64
	at       time.Duration
}

// EncodedUpstreams returns all upstreams in their encoded form, and how long ago they were
// encoded: the one with a digest if that is still kept, or else the latest. Changes after its
// position have to be sent as well. It is encoded at most once within encodedCacheTime:
// hundreds of entry processes that start at a time need the same bytes, and a slow one has
// time to fetch them all.
func (t *Table) EncodedUpstreams(digest uint64) (*Encoded, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, e := range t.encoded {
		if e.Digest == digest {
			return e, now - e.at, nil
		}
	}
	if n := len(t.encoded); n > 0 && now-t.encoded[n-1].at < encodedCacheTime {
		return t.encoded[n-1], now - t.encoded[n-1].at, nil
	}
	data, err := proto.Marshal(&wire.Upstreams{Upstreams: t.rows(now)})
	if err != nil {
		return nil, 0, errors.Wrap(err, "encoding the upstreams")
	}
	e := &Encoded{Data: data, Digest: xxhash.Sum64(data), Position: uint64(t.changes.Position()), at: now}
	if len(data) == 0 {
		return e, 0, nil
	}
	t.encoded = append(t.encoded, e)
	if len(t.encoded) > maxEncodedTables {
		t.encoded = append([]*Encoded(nil), t.encoded[1:]...)
	}
	return e, 0, nil
}
