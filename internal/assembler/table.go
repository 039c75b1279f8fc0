package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxPartFailures is how often in a row a part of a table may fail before the fetch does.
	maxPartFailures = 2
	// partsInFlight is the number of parts that are asked for at the same time.
	partsInFlight = 2
	// stallTime is the time after which a table is fetched beside another one that does not progress.
	stallTime = PartTimeout / 2
)

type (
	// Tables fetches whole tables of upstreams, one at a time, since they share the link. One that does not
	// progress does not hold others up.
	Tables struct {
		// Apply applies a table that was fetched from a control process.
		Apply func(control string, table *wire.FollowReply)

		mu sync.Mutex
		// latest is the meter of the fetch that was started last, nil once it has ended.
		latest *Meter
	}

	// TableFetch is a fetch of the table of a control process, in the background.
	TableFetch struct {
		// Table identifies the table.
		Table uint64

		// done is closed at the end; reply and err are set then.
		done  chan struct{}
		reply *wire.FollowReply
		err   error
	}
)

// Start begins to fetch the table of a control process and returns the fetch, or nil if there is one
// that progresses.
func (t *Tables) Start(ctx context.Context, client *messenger.Client, table uint64) *TableFetch {
	meter := t.begin(timer.Now(), client)
	if meter == nil {
		return nil
	}
	f := &TableFetch{Table: table, done: make(chan struct{}), reply: &wire.FollowReply{Table: table, WholeTable: true}}
	go func() {
		defer close(f.done)
		defer t.end(meter)
		if f.err = f.fetch(ctx, client); f.err == nil {
			t.Apply(client.Address(), f.reply)
		}
	}()
	return f
}

// begin returns the meter of a fetch that may start, or nil if it may not.
func (t *Tables) begin(now time.Duration, client *messenger.Client) *Meter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest != nil && (t.latest.Age(now) < stallTime || t.latest.Progresses(now)) {
		return nil
	}
	t.latest = NewMeter(now, client.Received)
	return t.latest
}

func (t *Tables) end(meter *Meter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest == meter {
		t.latest = nil
	}
}

// fetch fetches the parts. What has arrived is kept when a part does not arrive in time, since all of
// it takes seconds on a slow link.
func (f *TableFetch) fetch(ctx context.Context, client *messenger.Client) error {
	table := &Transfer{}
	for failures := 0; !table.Complete(); {
		before := len(table.Data)
		err := f.fetchParts(ctx, client, table)
		if len(table.Data) > before {
			failures = 0
		}
		if err == nil {
			continue
		}
		table.Shrink()
		if failures++; failures > maxPartFailures || ctx.Err() != nil {
			return err
		}
	}
	f.reply.EncodedUpstreams = table.Data
	return DecodeUpstreams(f.reply)
}

// fetchParts fetches the next parts at the same time and adds them in their order.
func (f *TableFetch) fetchParts(ctx context.Context, client *messenger.Client, table *Transfer) error {
	var (
		parts   [partsInFlight]*wire.FetchReply
		errs    [partsInFlight]error
		running sync.WaitGroup
		asked   int
	)
	// The size is known after the first part.
	for offset := int64(len(table.Data)); asked < partsInFlight && (asked == 0 || offset < table.size); offset += table.partBytes() {
		i, request := asked, table.partAt(&wire.Fetch{Upstreams: true}, offset)
		running.Go(func() { parts[i], errs[i] = FetchPart(ctx, client, request) })
		asked++
	}
	running.Wait()
	for i, part := range parts[:asked] {
		if errs[i] != nil {
			return errs[i]
		}
		if err := table.Add(part); err != nil {
			return err
		}
		f.reply.Position, f.reply.EncodedAgeMillis = part.GetTablePosition(), part.GetTableAgeMillis()
	}
	return nil
}

// Wait waits for the end of the fetch, at most for a time. It returns nil if the fetch goes on, and
// else a reply to a poll with the whole table, or the error.
func (f *TableFetch) Wait(ctx context.Context, longest time.Duration) (*wire.FollowReply, error) {
	if f == nil {
		timer.Sleep(ctx, longest)
		return nil, nil
	}
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	select {
	case <-f.done:
		if f.err != nil {
			return nil, f.err
		}
		return f.reply, nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	return nil, nil
}

// DecodeUpstreams moves the encoded upstreams of a reply to its list of upstreams.
func DecodeUpstreams(reply *wire.FollowReply) error {
	if len(reply.GetEncodedUpstreams()) == 0 {
		return nil
	}
	all := &wire.Upstreams{}
	if err := proto.Unmarshal(reply.GetEncodedUpstreams(), all); err != nil {
		return errors.Wrap(err, "decoding the upstreams")
	}
	for _, u := range all.GetUpstreams() {
		u.AgeMillis = (announcer.Stated(u.GetAgeMillis()) + announcer.Stated(reply.GetEncodedAgeMillis())).Milliseconds()
	}
	reply.Upstreams = append(reply.GetUpstreams(), all.GetUpstreams()...)
	reply.EncodedUpstreams = nil
	return nil
}
