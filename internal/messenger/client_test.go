package messenger

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// callTimeout is the time after which a call of a test ends, callMargin how much later it may return.
const (
	callTimeout = 200 * time.Millisecond
	callMargin  = 300 * time.Millisecond
)

// startServer serves requests at a loopback address and returns the address.
func startServer(t *testing.T, handle func(context.Context, *wire.Request) *wire.Reply) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = NewServer(l, Security{}, handle).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return l.Addr().String()
}

// TestCallEndsWithContext guards against calls that wait longer than their caller for a process that
// is connected and does not reply, such as a frozen one.
func TestCallEndsWithContext(t *testing.T) {
	address := startServer(t, func(ctx context.Context, _ *wire.Request) *wire.Reply {
		<-ctx.Done()
		return &wire.Reply{}
	})
	client := NewClient(address, Security{}, time.Second)
	defer client.Close()
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		began := time.Now()
		_, err := client.Call(ctx, &wire.Request{})
		cancel()
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !unreachable.MayHaveArrived || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want an UnreachableError for the deadline", err)
		}
		if took := time.Since(began); took > callTimeout+callMargin {
			t.Errorf("the call took %v, want %v", took, callTimeout)
		}
	}
}
