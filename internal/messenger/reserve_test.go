package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestRelayWithoutMemory guards against large requests that are taken from another process although no memory is left,
// or refused so that they count as perhaps run, and against others that are refused or wait for it.
func TestRelayWithoutMemory(t *testing.T) {
	const large = 1 << 20
	relay := func(size int) *wire.Request {
		return &wire.Request{Kind: &wire.Request_Relay{Relay: &wire.Relay{Body: make([]byte, size)}}}
	}
	tests := map[string]struct {
		request *wire.Request
		left    bool
		refused bool
	}{
		"large, memory left":    {request: relay(large), left: true},
		"large, no memory left": {request: relay(large), refused: true},
		"small, no memory left": {request: relay(100)},
		"large of another kind": {request: &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: string(make([]byte, large))}}}},
		"empty":                 {request: &wire.Request{}},
		"one byte more":         {request: &wire.Request{Kind: &wire.Request_Sync{Sync: &wire.Sync{}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var released sync.WaitGroup
			server := NewServer(l, Security{}, func(context.Context, *wire.Request) *wire.Reply { return &wire.Reply{} })
			server.HandleRelay = func(_ context.Context, _ *wire.Relay, x *Exchange) { _ = x.Send(&wire.Reply{}) }
			server.ReserveRelay = func(bytes int64) (func(), bool) {
				if bytes < large {
					t.Errorf("memory for %d bytes", bytes)
				}
				if !test.left {
					return nil, false
				}
				released.Add(1)
				return released.Done, true
			}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = server.Run(ctx) })
			defer running.Wait()
			defer cancel()
			client := NewClient(l.Addr().String(), Security{}, time.Second)
			defer client.Close()
			callCtx, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			_, err = client.Call(callCtx, test.request)
			if errors.As(err, new(*RemoteError)) != test.refused || !test.refused && err != nil {
				t.Errorf("error %v, want a refusal: %t", err, test.refused)
			}
			released.Wait()
		})
	}
}
