package controller

import (
	"google.golang.org/protobuf/proto"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxInlineBytes is the size up to which configuration changes are part of the reply to a
	// poll or sync request. Entry processes fetch larger ones.
	maxInlineBytes = 8 << 10
	// maxFetchBytes bounds the data in the reply to a fetch.
	maxFetchBytes = 64 << 10
)

// serveFetch serves a part of the changes of the configuration. It needs no confirmation by
// a majority, since what this process has applied is committed.
func (c *Controller) serveFetch(f *wire.Fetch) *wire.Reply {
	content, err := c.stateMachine.ContentBetween(configurer.Revision(f.GetHaveRevision()), configurer.Revision(f.GetRevision()), true)
	if err != nil {
		return failureReply(ReasonInvalid, err.Error())
	}
	size := int64(len(content.Data))
	reply := &wire.FetchReply{
		Revision: uint64(content.Revision), Digest: content.Digest, Size: size,
		RevisionAgeMillis: c.revisionAge().Milliseconds(),
	}
	if f.GetDigest() == content.Digest {
		reply.Offset = min(max(f.GetOffset(), 0), size)
	}
	length := min(max(f.GetMaxBytes(), 1), maxFetchBytes, size-reply.GetOffset())
	reply.Data = content.Data[reply.GetOffset() : reply.GetOffset()+length]
	return &wire.Reply{Kind: &wire.Reply_Fetch{Fetch: reply}}
}

// addChanges adds the changes of the configuration to the reply to a poll, or says that they
// are to be fetched.
func (c *Controller) addChanges(reply *wire.FollowReply, f *wire.Follow) error {
	content, err := c.stateMachine.ContentBetween(configurer.Revision(f.GetHaveRevision()), 0, f.GetFetchesChanges())
	if err != nil {
		return err
	}
	reply.Revision = uint64(content.Revision)
	if f.GetFetchesChanges() && len(content.Data) > maxInlineBytes {
		reply.Fetchable = true
		return nil
	}
	reply.Unconfirmed = content.Data
	return nil
}

// syncChanges returns a sync reply with the changes after a revision. They are left out if
// the entry process fetches changes and they are large.
func (c *Controller) syncChanges(s *wire.Sync) (*wire.SyncReply, error) {
	content, err := c.stateMachine.ContentBetween(configurer.Revision(s.GetHaveRevision()), 0, s.GetFetchesChanges())
	if err != nil {
		return nil, err
	}
	if len(content.Data) == 0 || s.GetFetchesChanges() && len(content.Data) > maxInlineBytes {
		return &wire.SyncReply{Revision: uint64(content.Revision), Fetchable: len(content.Data) > 0}, nil
	}
	reply := &wire.SyncReply{}
	return reply, errors.Wrap(proto.Unmarshal(content.Data, reply), "decoding the changes of the configuration")
}
