package router

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/proposer"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// startControl starts a control process that replies with handle, and returns
// its address.
func startControl(t *testing.T, handle func(context.Context, *wire.Request) *wire.Reply) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- messenger.NewServer(l, messenger.Security{}, handle).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// wholeConfiguration returns a sync reply with an empty configuration.
func wholeConfiguration(revision uint64) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Sync{Sync: &wire.SyncReply{
		Revision: revision, Whole: true, Configuration: &state.Configuration{},
	}}}
}

// TestHedgedSync checks that a sync request succeeds without waiting for control
// processes that accept connections but never reply.
func TestHedgedSync(t *testing.T) {
	hanging := func(ctx context.Context, _ *wire.Request) *wire.Reply {
		<-ctx.Done()
		return nil
	}
	replying := func(context.Context, *wire.Request) *wire.Reply { return wholeConfiguration(7) }
	tests := map[string][]func(context.Context, *wire.Request) *wire.Reply{
		"the first replies": {replying, hanging},
		"the first hangs":   {hanging, replying},
		"two of three hang": {hanging, hanging, replying},
		"one refuses, one hangs": {func(context.Context, *wire.Request) *wire.Reply {
			return &wire.Reply{Failure: &wire.Failure{Reason: "noLeader"}}
		}, hanging, replying},
	}
	for name, handlers := range tests {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{
				Host:  &settings.Host{Id: "e", FailureDomain: "a"},
				Entry: &settings.Entry{Freshness: durationpb.New(20 * time.Second)},
			}
			for _, handle := range handlers {
				s.Entry.ControlAddresses = append(s.Entry.ControlAddresses, startControl(t, handle))
			}
			validator.FillDefaults(s)
			r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
			if err != nil {
				t.Fatal(err)
			}
			defer r.controlClients.Close()
			started := time.Now()
			r.controlPlane.syncOnce(t.Context(), false)
			if r.controlPlane.revision() != 7 {
				t.Fatalf("revision %d after %v, want 7", r.controlPlane.revision(), time.Since(started))
			}
			// Without hedging, a control process that hangs would use up the whole
			// timeout of a sync request, 5 s.
			if took := time.Since(started); took > 4*time.Second {
				t.Errorf("the sync request took %v, want at most 4 s", took)
			}
		})
	}
}

// TestControlOrder checks the order in which control processes are asked: seeds
// are always kept, failed ones are tried last for a time, and reported addresses
// that are no longer reported are removed.
func TestControlOrder(t *testing.T) {
	tests := map[string]struct {
		change func(*ranker.Ranker)
		want   []string
	}{
		"seeds only":                               {change: func(*ranker.Ranker) {}, want: []string{"a", "b"}},
		"reported ones go first":                   {change: func(c *ranker.Ranker) { c.SetAddresses([]string{"c"}) }, want: []string{"c", "a", "b"}},
		"a failed one goes last":                   {change: func(c *ranker.Ranker) { c.MarkFailed(c.Preferred()) }, want: []string{"b", "a"}},
		"a failed one stays last for a while":      {change: func(c *ranker.Ranker) { c.MarkFailed(c.Preferred()); c.SetAddresses([]string{"a", "b"}) }, want: []string{"b", "a"}},
		"an address no longer reported is removed": {change: func(c *ranker.Ranker) { c.SetAddresses([]string{"c"}); c.SetAddresses([]string{"d"}) }, want: []string{"d", "a", "b"}},
		"new seeds follow the known addresses":     {change: func(c *ranker.Ranker) { c.SetAddresses([]string{"c"}); c.SetSeeds([]string{"x"}) }, want: []string{"c", "a", "b", "x"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &settings.Entry{ControlAddresses: []string{"a", "b"}, Freshness: durationpb.New(5 * time.Second)}
			c := ranker.New(e, messenger.Security{})
			test.change(c)
			var got []string
			for _, client := range c.All() {
				got = append(got, client.Address())
			}
			if len(got) != len(test.want) {
				t.Fatalf("order %v, want %v", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Fatalf("order %v, want %v", got, test.want)
				}
			}
		})
	}
}

// TestPollsDespiteHangingControl checks that each announcement of a leaving
// upstream arrives within 2 s although one of the two control processes that are
// polled accepts connections but never replies.
func TestPollsDespiteHangingControl(t *testing.T) {
	hanging := func(ctx context.Context, _ *wire.Request) *wire.Reply {
		<-ctx.Done()
		return nil
	}
	var position atomic.Uint64
	replying := func(_ context.Context, r *wire.Request) *wire.Reply {
		if r.GetFollow() == nil {
			return wholeConfiguration(1)
		}
		reply := &wire.FollowReply{Revision: 1, Table: 1, Position: position.Load(), EntryHosts: 1}
		for n := r.GetFollow().GetPosition() + 1; n <= reply.GetPosition(); n++ {
			reply.Upstreams = append(reply.Upstreams, &wire.Upstream{
				Id: fmt.Sprint("upstream-", n), Incarnation: 1, Sequence: 1, Url: fmt.Sprint("http://127.0.0.1:", n),
				Kind: "service", Serves: []string{"pool"}, State: "leaving",
			})
		}
		return &wire.Reply{Kind: &wire.Reply_Follow{Follow: reply}}
	}
	for name, handlers := range map[string][]func(context.Context, *wire.Request) *wire.Reply{
		"the preferred one hangs": {hanging, replying, hanging},
		"the second one hangs":    {replying, hanging, hanging},
	} {
		t.Run(name, func(t *testing.T) {
			position.Store(0)
			s := &settings.Settings{
				Host: &settings.Host{Id: "e", FailureDomain: "a"},
				Entry: &settings.Entry{
					Freshness: durationpb.New(20 * time.Second), FollowControl: true,
					AnnouncementLease: durationpb.New(time.Minute),
				},
			}
			for _, handle := range handlers {
				s.Entry.ControlAddresses = append(s.Entry.ControlAddresses, startControl(t, handle))
			}
			validator.FillDefaults(s)
			r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
			if err != nil {
				t.Fatal(err)
			}
			defer r.controlClients.Close()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- r.controlPoller.run(ctx) }()
			for n := uint64(1); n <= 3; n++ {
				position.Store(n)
				// A leaving upstream must get no new requests two seconds after its announcement.
				end := time.Now().Add(2 * time.Second)
				for !r.dispatcher.knowsUpstream(fmt.Sprint("upstream-", n)) {
					if time.Now().After(end) {
						t.Fatalf("announcement %d did not arrive within 2 s", n)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// knowsUpstream reports whether the dispatcher knows an upstream with the id.
func (d *dispatcher) knowsUpstream(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Get(registrar.UpstreamID(id)) != nil
}

// TestProposalWaitsForLeader guards against calls that are refused while the control processes elect
// a leader, as after a planned stop of the one before, and against refusals that are late when there
// will be none.
func TestProposalWaitsForLeader(t *testing.T) {
	tests := map[string]struct {
		// election is the time until there is a leader.
		election time.Duration
		accepted bool
	}{
		"a leader":                  {accepted: true},
		"a short election":          {election: proposer.LeaderWait / 2, accepted: true},
		"no leader for a long time": {election: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			handle := func(context.Context, *wire.Request) *wire.Reply {
				if time.Since(began) < test.election {
					return &wire.Reply{Failure: &wire.Failure{Reason: "noLeader"}}
				}
				return &wire.Reply{Kind: &wire.Reply_Propose{Propose: &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true}}}}
			}
			r := newTestRouter(t)
			r.controlClients.SetSeeds([]string{startControl(t, handle), startControl(t, handle)})
			t.Cleanup(r.controlClients.Close)
			reply, err := r.proposer.Propose(t.Context(), &state.Command{})
			if reply.GetOutcome().GetAccepted() != test.accepted || (err == nil) != test.accepted {
				t.Errorf("reply %v, error %v after %v", reply, err, time.Since(began))
			}
			if took := time.Since(began); !test.accepted && took > proposer.Timeout {
				t.Errorf("the failure took %v, want at most %v", took, proposer.Timeout)
			}
		})
	}
}
