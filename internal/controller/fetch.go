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
	// maxInlineTableBytes is the size up to which the whole table of upstreams is part of the
	// reply to a poll.
	maxInlineTableBytes = 32 << 10
	// maxInlineRows is the number of upstreams above which a table is larger than that without
	// looking.
	maxInlineRows = 1024
	// maxFetchBytes bounds the data in the reply to a fetch.
	maxFetchBytes = 64 << 10
)

// serveFetch serves a part of the changes of the configuration or of the table of upstreams.
// It needs no confirmation by a majority, since the changes that this process has applied are
// committed.
func (c *Controller) serveFetch(f *wire.Fetch) *wire.Reply {
	if f.GetUpstreams() {
		return c.serveTableFetch(f)
	}
	content, err := c.stateMachine.ContentBetween(configurer.Revision(f.GetHaveRevision()), configurer.Revision(f.GetRevision()), true)
	if err != nil {
		return failureReply(ReasonInvalid, err.Error())
	}
	reply := partOf(f, content.Data, content.Digest)
	reply.Revision = uint64(content.Revision)
	reply.RevisionAgeMillis = c.revisionAge().Milliseconds()
	return &wire.Reply{Kind: &wire.Reply_Fetch{Fetch: reply}}
}

func (c *Controller) serveTableFetch(f *wire.Fetch) *wire.Reply {
	table, age, err := c.upstreamTable.EncodedUpstreams(f.GetDigest())
	if err != nil {
		return failureReply(ReasonInvalid, err.Error())
	}
	reply := partOf(f, table.Data, table.Digest)
	reply.TablePosition, reply.TableAgeMillis = table.Position, age.Milliseconds()
	return &wire.Reply{Kind: &wire.Reply_Fetch{Fetch: reply}}
}

// partOf returns the part of a content that is asked for, or its start if the entry process
// has the start of another one.
func partOf(f *wire.Fetch, data []byte, digest uint64) *wire.FetchReply {
	size := int64(len(data))
	reply := &wire.FetchReply{Digest: digest, Size: size}
	if f.GetDigest() == digest {
		reply.Offset = min(max(f.GetOffset(), 0), size)
	}
	length := min(max(f.GetMaxBytes(), 1), maxFetchBytes, size-reply.GetOffset())
	reply.Data = data[reply.GetOffset() : reply.GetOffset()+length]
	return reply
}

// addWholeTable adds the whole table of upstreams to the reply to a poll, or says that it is
// to be fetched.
func (c *Controller) addWholeTable(reply *wire.FollowReply, f *wire.Follow) error {
	// A large table is encoded for a fetch only, not for each poll beside that.
	if f.GetFetchesChanges() && c.upstreamTable.Len() > maxInlineRows {
		reply.TableFetchable = true
		return nil
	}
	table, age, err := c.upstreamTable.EncodedUpstreams(0)
	if err != nil {
		return err
	}
	if f.GetFetchesChanges() && len(table.Data) > maxInlineTableBytes {
		reply.TableFetchable = true
		return nil
	}
	reply.Position = table.Position
	reply.EncodedUpstreams, reply.EncodedAgeMillis = table.Data, age.Milliseconds()
	return nil
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
