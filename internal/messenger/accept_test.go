package messenger

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	failures atomic.Int32
	cause    error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.cause)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a process that ends since it has no descriptor for the connection of
// another process.
func TestAcceptWithoutDescriptors(t *testing.T) {
	tests := map[string]struct {
		cause error
		ends  bool
	}{
		"no descriptor":          {cause: syscall.EMFILE},
		"none on the host":       {cause: syscall.ENFILE},
		"no memory":              {cause: syscall.ENOMEM},
		"ended connection":       {cause: syscall.ECONNABORTED},
		"listener of other kind": {cause: syscall.EINVAL, ends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &failingListener{Listener: l, cause: test.cause}
			listener.failures.Store(3)
			pauses := 0
			server := NewServer(listener, Security{}, func(context.Context, *wire.Request) *wire.Reply { return &wire.Reply{} })
			server.OnPause = func(error) { pauses++ }
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- server.Run(ctx) }()
			if test.ends {
				cancelled := time.AfterFunc(10*time.Second, cancel)
				if err = <-ended; err == nil {
					t.Error("the server goes on, want an error")
				}
				cancelled.Stop()
				cancel()
				_ = l.Close()
				return
			}
			client := NewClient(l.Addr().String(), Security{}, 10*time.Second)
			if _, err = client.Call(ctx, &wire.Request{}); err != nil {
				t.Errorf("a request after the failures: %v", err)
			}
			client.Close()
			cancel()
			if err = <-ended; err != nil || pauses != 1 {
				t.Errorf("error %v, %d pauses; want none and one", err, pauses)
			}
		})
	}
}
