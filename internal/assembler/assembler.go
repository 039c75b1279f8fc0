// Package assembler fetches a content that is too large for one message from a control process, in
// parts.
package assembler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// PartBytes is the size of the parts. On a slow link a part delays other messages of the
	// control processes by little.
	PartBytes = 32 << 10
	// minPartBytes is the size of the parts on the slowest link, which carries one within PartTimeout.
	minPartBytes = 8 << 10
	// PartTimeout bounds the fetch of one part.
	PartTimeout = time.Second
	// maxBytes bounds the size of a content.
	maxBytes = 256 << 20
)

// Transfer collects the parts of a content.
type Transfer struct {
	digest uint64
	size   int64
	// shrunk is how often the size of the parts has been halved.
	shrunk int
	// Data holds the parts that have been added.
	Data []byte
}

// NextPart completes a request for the next part. The request stays the same when parts are added.
func (t *Transfer) NextPart(request *wire.Fetch) *wire.Fetch {
	return t.partAt(request, int64(len(t.Data)))
}

func (t *Transfer) partAt(request *wire.Fetch, offset int64) *wire.Fetch {
	request.Digest, request.Offset, request.MaxBytes = t.digest, offset, t.partBytes()
	return request
}

func (t *Transfer) partBytes() int64 { return max(int64(PartBytes)>>t.shrunk, minPartBytes) }

// Shrink halves the size of the parts, after one has not come in time: the link may be too slow for it.
func (t *Transfer) Shrink() { t.shrunk++ }

// FetchPart sends a request for a part.
func FetchPart(ctx context.Context, client *messenger.Client, request *wire.Fetch) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, PartTimeout)
	defer cancel()
	reply, err := client.Call(ctx, &wire.Request{Kind: &wire.Request_Fetch{Fetch: request}})
	return reply.GetFetch(), err
}

// Add adds a part. If it belongs to another content than the parts before, for example
// because the control process does not keep that any more, the transfer begins again with it.
func (t *Transfer) Add(part *wire.FetchReply) error {
	if part.GetSize() > maxBytes || len(part.GetData()) == 0 {
		return errors.Errorf("a part of %d bytes of a content of %d bytes", len(part.GetData()), part.GetSize())
	}
	if part.GetDigest() != t.digest || part.GetSize() != t.size {
		*t = Transfer{digest: part.GetDigest(), size: part.GetSize(), shrunk: t.shrunk}
	}
	if part.GetOffset() != int64(len(t.Data)) || part.GetOffset()+int64(len(part.GetData())) > t.size {
		return errors.Errorf("a part at %d of a content of %d bytes follows %d bytes", part.GetOffset(), t.size, len(t.Data))
	}
	t.Data = append(t.Data, part.GetData()...)
	return nil
}

// Complete reports whether all parts have been added.
func (t *Transfer) Complete() bool { return t.size > 0 && int64(len(t.Data)) == t.size }
