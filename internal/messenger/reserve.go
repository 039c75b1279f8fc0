package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// smallMessageBytes is the size up to which a request needs no memory of those that are passed on.
	smallMessageBytes = 64 << 10
	// relayTimeout bounds the time in which a large request that is passed on must arrive whole.
	relayTimeout = 30 * time.Second
	// reasonNoMemory is the reason of the failure that answers such a request.
	reasonNoMemory = "noMemory"
)

// relayField is the number of the field of a wire.Request that holds a request which is passed on.
var relayField = (&wire.Request{}).ProtoReflect().Descriptor().Fields().ByName("relay").Number()

// receive reads a request, and reports whether it was received. A large one that another process passes on needs memory,
// which release gives back.
func (s *Server) receive(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, request *wire.Request) (release func(), received bool) {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	size, isRelay := peek(reader)
	if s.ReserveRelay == nil || !isRelay || size <= smallMessageBytes {
		return func() {}, options.UnmarshalFrom(reader, request) == nil
	}
	release, reserved := s.ReserveRelay(size)
	if !reserved {
		discard(ctx, stream, reader)
		return nil, false
	}
	_ = stream.SetReadDeadline(time.Now().Add(relayTimeout))
	if err := options.UnmarshalFrom(reader, request); err != nil {
		release()
		return nil, false
	}
	_ = stream.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		// The deadline that ended the reads of the stream has been removed.
		_ = stream.SetDeadline(time.Now())
	}
	return release, true
}

// peek returns the size of the message that is next, in bytes, and whether it begins with a request that another process
// passes on. It waits for no more than the size and the first byte.
func peek(reader *bufio.Reader) (size int64, isRelay bool) {
	for length := 1; length <= binary.MaxVarintLen32; length++ {
		head, err := reader.Peek(length)
		if err != nil {
			return 0, false
		}
		bytes, n := protowire.ConsumeVarint(head)
		if n < 0 {
			continue
		}
		if bytes == 0 || bytes > maxMessageBytes {
			return 0, false
		}
		if head, err = reader.Peek(length + 1); err != nil {
			return 0, false
		}
		field, _, tag := protowire.ConsumeTag(head[length:])
		return int64(bytes), tag > 0 && field == relayField
	}
	return 0, false
}

// discard reads a message without keeping it, and answers that it was not taken. Without an answer the other process
// would have to assume that the request may have run, and an answer before its end would not be read.
func discard(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader) {
	_ = stream.SetReadDeadline(time.Now().Add(relayTimeout))
	if ctx.Err() != nil {
		return
	}
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return
	}
	if _, err = io.CopyN(io.Discard, reader, int64(size)); err != nil {
		return
	}
	failure := &wire.Failure{Reason: reasonNoMemory, Detail: "no memory is left for a request that is passed on"}
	_, _ = protodelim.MarshalTo(stream, &wire.Reply{Failure: failure})
}
