package assembler

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const awaitTimeout = 30 * time.Second

// startTable serves the parts of a table. fails tells for each request whether its reply is late.
func startTable(t *testing.T, data []byte, fails func(request int) bool) *messenger.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var (
		mu       sync.Mutex
		requests int
	)
	server := messenger.NewServer(l, messenger.Security{}, func(ctx context.Context, r *wire.Request) *wire.Reply {
		mu.Lock()
		late := fails(requests)
		requests++
		mu.Unlock()
		if late {
			timer.Sleep(ctx, 2*PartTimeout)
		}
		from := r.GetFetch().GetOffset()
		part := &wire.FetchReply{Digest: 1, Offset: from, Size: int64(len(data)), Data: data[from:min(from+r.GetFetch().GetMaxBytes(), int64(len(data)))]}
		return &wire.Reply{Kind: &wire.Reply_Fetch{Fetch: part}}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx) })
	client := messenger.NewClient(l.Addr().String(), messenger.Security{}, awaitTimeout)
	t.Cleanup(func() {
		client.Close()
		cancel()
		running.Wait()
	})
	return client
}

// TestLatePartKeepsProgress guards against a fetch that begins again when one part is late, and so
// does not end on a slow link, and against one that never fails.
func TestLatePartKeepsProgress(t *testing.T) {
	table := &wire.Upstreams{}
	for i := range 2000 {
		table.Upstreams = append(table.Upstreams, &wire.Upstream{Id: fmt.Sprint("upstream-", i), Url: "http://10.0.0.1:8000"})
	}
	data, err := proto.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) <= PartBytes {
		t.Fatalf("the table has %d bytes, want more than one part", len(data))
	}
	tests := map[string]struct {
		late func(request int) bool
		want int
	}{
		"no part is late":                    {late: func(int) bool { return false }, want: 2000},
		"the second part is late":            {late: func(request int) bool { return request == 1 }, want: 2000},
		"all parts after the first are late": {late: func(request int) bool { return request > 0 }, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := startTable(t, data, test.late)
			applied := 0
			tables := &Tables{Apply: func(_ string, table *wire.FollowReply) { applied = len(table.GetUpstreams()) }}
			reply, err := tables.Start(t.Context(), client, 7).Wait(t.Context(), awaitTimeout)
			if (err == nil) != (test.want > 0) || applied != test.want || len(reply.GetUpstreams()) != test.want {
				t.Errorf("%d upstreams applied, %d in the reply, error %v; want %d", applied, len(reply.GetUpstreams()), err, test.want)
			}
		})
	}
}

// TestSlowTableGivesWay guards against a control process that sends its table slowly or not at all and holds up
// the table of another one, and against tables that are fetched at the same time while the first one comes.
func TestSlowTableGivesWay(t *testing.T) {
	data := make([]byte, 4*PartBytes)
	slow := startTable(t, data, func(int) bool { return true })
	other := startTable(t, data, func(int) bool { return true })
	tables := &Tables{Apply: func(string, *wire.FollowReply) {}}
	first := tables.Start(t.Context(), slow, 1)
	if tables.Start(t.Context(), other, 2) != nil {
		t.Error("two tables are fetched at the same time from the start")
	}
	for tables.Start(t.Context(), other, 2) == nil {
		timer.Sleep(t.Context(), PartTimeout/100)
	}
	select {
	case <-first.done:
		t.Error("the table of another one waits for the end of the fetch from the slow one")
	default:
	}
	if tables.Start(t.Context(), slow, 3) != nil {
		t.Error("a third table is fetched at the same time")
	}
}
