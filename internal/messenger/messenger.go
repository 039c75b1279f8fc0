// Package messenger exchanges protobuf messages between the system's own
// processes over yamux sessions, one stream for each exchange.
package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maximumMessageBytes bounds one message; snapshots are the largest.
	maximumMessageBytes = 256 << 20
	keepAliveInterval   = time.Second
	writeTimeout        = 2 * time.Second
	streamOpenTimeout   = 2 * time.Second
	acceptBacklog       = 1024
)

// Security holds the seams that supply TLS configurations. A nil field means
// that connections are not encrypted.
type Security struct {
	// Server returns the configuration for accepted connections.
	Server func() *tls.Config
	// Client returns the configuration for dialled connections.
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

// closeWhenDone closes c when ctx ends; the returned function releases the watch.
func closeWhenDone(ctx context.Context, c io.Closer) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}
