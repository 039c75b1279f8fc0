package messenger

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// Exchange is a request with any number of replies, on a stream of its own. One goroutine may send
// and another one receive.
type Exchange struct {
	stream *yamux.Stream
	reader *bufio.Reader
	// ctx ends the reads and writes of the stream.
	ctx     context.Context
	cancel  context.CancelFunc
	address string
}

// newExchange returns an exchange that ends with ctx.
func newExchange(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, address string) *Exchange {
	x := &Exchange{stream: stream, reader: reader, address: address}
	x.ctx, x.cancel = context.WithCancel(ctx)
	endWhenDone(x.ctx, stream)
	return x
}

// Connect connects to the other process unless a connection is open.
func (c *Client) Connect(ctx context.Context) error {
	if _, err := c.connect(ctx); err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	return nil
}

// Open sends a request whose replies are read from the returned exchange, which ends with ctx and
// must be closed. The error is an *UnreachableError.
func (c *Client) Open(ctx context.Context, request *wire.Request) (*Exchange, error) {
	stream, err := c.openStream(ctx)
	if err != nil {
		return nil, &UnreachableError{Address: c.address, Cause: err}
	}
	x := newExchange(ctx, stream, bufio.NewReader(stream), c.address)
	if _, err = protodelim.MarshalTo(stream, request); err != nil {
		x.Close()
		return nil, &UnreachableError{Address: c.address, MayHaveArrived: true, Cause: err}
	}
	return x, nil
}

// Receive waits for the next reply. It returns an *UnreachableError or a *RemoteError on failure.
func (x *Exchange) Receive() (*wire.Reply, error) {
	reply := &wire.Reply{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(x.reader, reply); err != nil {
		if x.ctx.Err() != nil {
			err = x.ctx.Err()
		}
		return nil, &UnreachableError{Address: x.address, MayHaveArrived: true, Cause: err}
	}
	if f := reply.GetFailure(); f != nil {
		return nil, &RemoteError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	return reply, nil
}

// Send sends a reply. It blocks while the other end does not read.
func (x *Exchange) Send(reply *wire.Reply) error {
	var message bytes.Buffer
	if _, err := protodelim.MarshalTo(&message, reply); err != nil {
		return err
	}
	_, err := x.stream.Write(message.Bytes())
	return err
}

// SetWriteDeadline bounds the time for which Send may block.
func (x *Exchange) SetWriteDeadline(at time.Time) error {
	err := x.stream.SetWriteDeadline(at)
	if x.ctx.Err() != nil {
		return x.stream.SetWriteDeadline(time.Now())
	}
	return err
}

// untilClosed returns a context that is done once the other end has closed the exchange or sends
// something after its request.
func (x *Exchange) untilClosed() context.Context {
	go func() {
		defer x.cancel()
		_, _ = x.reader.ReadByte()
	}()
	return x.ctx
}

// Close ends the exchange. The other end receives what was sent before.
func (x *Exchange) Close() {
	_ = x.stream.Close()
	x.cancel()
}
