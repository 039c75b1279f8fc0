// Package messenger sends protobuf requests and replies between entry and control
// processes over yamux sessions, with one stream for each request.
package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxMessageBytes limits the size of a message. The largest messages are snapshots.
	maxMessageBytes   = 256 << 20
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	streamOpenTimeout = 2 * time.Second
	acceptBacklog     = 1024
)

// Security supplies the TLS configurations. If a field is nil, the connections in that
// direction are not encrypted.
type Security struct {
	// Server returns the configuration for accepted connections.
	Server func() *tls.Config
	// Client returns the configuration for outgoing connections.
	Client func() *tls.Config
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamOpenTimeout
	c.LogOutput = io.Discard
	return c
}

// endWhenDone ends the reads and writes of a stream once ctx is done. Closing it would end the writes
// only. The returned function is the stop function of context.AfterFunc.
func endWhenDone(ctx context.Context, stream *yamux.Stream) func() bool {
	return context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
}

// closeWhenDone closes c once ctx is done. The returned function is the stop function of
// context.AfterFunc: it cancels the closing and reports whether it did.
func closeWhenDone(ctx context.Context, c io.Closer) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}
