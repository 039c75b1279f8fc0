package router

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/assembler"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/fetcher"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// partServer stands for a control process that hands out parts of one content.
type partServer struct {
	revision uint64
	data     []byte
	// failAt is the offset from which parts do not come; zero for none.
	failAt int64
	// recovered ends the effect of failAt; one that is silent sends no part at all.
	recovered, silent atomic.Bool
	// delay is the time that each part takes.
	delay time.Duration
	// change is the only change after the revision; nil for none.
	change *state.Revised
	// sent counts the bytes of all parts.
	sent atomic.Int64
}

func (s *partServer) handle(ctx context.Context, r *wire.Request) *wire.Reply {
	f := r.GetFetch()
	if f == nil {
		return &wire.Reply{Failure: &wire.Failure{Reason: "noLeader"}}
	}
	revision, data := s.revision, s.data
	if s.change != nil && f.GetHaveRevision() == s.revision {
		revision = s.change.GetRevision()
		data, _ = proto.Marshal(&wire.SyncReply{Revision: revision, Changes: []*state.Revised{s.change}})
	}
	digest := uint64(len(data)) + revision
	reply := &wire.FetchReply{Revision: revision, Digest: digest, Size: int64(len(data))}
	if f.GetDigest() == digest {
		reply.Offset = f.GetOffset()
	}
	if s.silent.Load() || s.failAt > 0 && reply.GetOffset() >= s.failAt && !s.recovered.Load() {
		<-ctx.Done()
		return nil
	}
	timer.Sleep(ctx, s.delay)
	reply.Data = data[reply.GetOffset():min(reply.GetOffset()+f.GetMaxBytes(), int64(len(data)))]
	s.sent.Add(int64(len(reply.GetData())))
	return &wire.Reply{Kind: &wire.Reply_Fetch{Fetch: reply}}
}

// encodedConfiguration returns a whole configuration of some hundred kilobytes.
func encodedConfiguration(t *testing.T, revision uint64, routes int) []byte {
	t.Helper()
	d := documentWithRoutes(1, routes)
	data, err := proto.Marshal(&wire.SyncReply{Revision: revision, Whole: true, Configuration: d.GetConfiguration()})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newRouterOf returns an entry process that is not running, and knows control processes.
func newRouterOf(t *testing.T, servers ...*partServer) *Router {
	t.Helper()
	s := &settings.Settings{
		Host:  &settings.Host{Id: "e", FailureDomain: "a"},
		Entry: &settings.Entry{Freshness: durationpb.New(20 * time.Second)},
	}
	for _, server := range servers {
		s.Entry.ControlAddresses = append(s.Entry.ControlAddresses, startControl(t, server.handle))
	}
	validator.FillDefaults(s)
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.controlClients.Close)
	return r
}

// TestInterruptedFetchContinues guards against a fetch that begins again whenever a control
// process fails, so that a large configuration never arrives over a slow link.
func TestInterruptedFetchContinues(t *testing.T) {
	data := encodedConfiguration(t, 7, 2000)
	if len(data) < 4*assembler.PartBytes {
		t.Fatalf("the configuration has %d bytes, want several parts", len(data))
	}
	tests := map[string]struct {
		servers []*partServer
		// most is the number of bytes that may be sent in all.
		most int
	}{
		"nothing fails": {servers: []*partServer{{revision: 7, data: data}}, most: len(data)},
		"the first control process hangs": {
			servers: []*partServer{{revision: 7, data: data, failAt: 2 * assembler.PartBytes}, {revision: 7, data: data}}, most: len(data),
		},
		"the first one lags behind": {
			servers: []*partServer{{revision: 0, data: data[:1]}, {revision: 7, data: data}}, most: len(data) + 1,
		},
		"the second one has other changes": {
			servers: []*partServer{
				{revision: 6, data: encodedConfiguration(t, 6, 1000), failAt: 2 * assembler.PartBytes}, {revision: 7, data: data},
			},
			most: len(data) + 2*assembler.PartBytes,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRouterOf(t, test.servers...)
			r.fetcher.Request(7, r.controlClients.Preferred().Address())
			current := &fetcher.Fetch{}
			for r.controlPlane.revision() < 7 && t.Context().Err() == nil {
				current = r.fetcher.ContinueAtAny(t.Context(), current)
			}
			sent := 0
			for _, server := range test.servers {
				sent += int(server.sent.Load())
			}
			if sent > test.most {
				t.Errorf("%d bytes were sent, want at most %d", sent, test.most)
			}
			if route := r.controlPlane.catalog.Load().Route("host.example", "/route-001999/"); route == nil {
				t.Error("the last route is missing")
			}
			if target, _ := r.fetcher.Wanted(); target != 0 {
				t.Errorf("revision %d is still wanted", target)
			}
		})
	}
}

// TestOvertakenFetchEnds guards against a configuration that is never in force since a later revision was
// confirmed while a large one was fetched and no control process sent the rest at once.
func TestOvertakenFetchEnds(t *testing.T) {
	tests := map[string]struct {
		held *wire.SyncReply
	}{
		"an earlier configuration is in force": {held: &wire.SyncReply{Revision: 6, Whole: true}},
		"the process has just started":         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := &partServer{revision: 7, data: encodedConfiguration(t, 7, 2000), failAt: 2 * assembler.PartBytes, change: revisedOrganisation(8)}
			r := newRouterOf(t, server)
			p := r.controlPlane
			if test.held != nil {
				if err := p.applyConfiguration(test.held, delivery{}); err != nil {
					t.Fatal(err)
				}
			}
			address := r.controlClients.Preferred().Address()
			r.fetcher.Request(7, address)
			current := r.fetcher.ContinueAtAny(t.Context(), &fetcher.Fetch{})
			p.confirm(8, p.now())
			server.recovered.Store(true)
			r.fetcher.Request(8, address)
			for passes := 0; p.revision() < 8 && passes < 5; passes++ {
				if current = r.fetcher.ContinueAtAny(t.Context(), current); test.held == nil && p.revision() == 7 {
					t.Error("revision 7 is in force, which is known to be outdated")
				}
			}
			if p.revision() != 8 || !p.fresh() {
				t.Fatalf("revision %d, fresh %t; want 8, fresh", p.revision(), p.fresh())
			}
			if p.catalog.Load().Route("host.example", "/route-001999/") == nil || p.catalog.Load().Organisation("8") == nil {
				t.Error("a part of the configuration is missing")
			}
		})
	}
}

// TestFetchWithoutItsSource guards against a configuration that is never in force since the only control
// process that had a later one is gone.
func TestFetchWithoutItsSource(t *testing.T) {
	gone := &partServer{revision: 8, data: encodedConfiguration(t, 8, 2000), failAt: 2 * assembler.PartBytes}
	r := newRouterOf(t, gone, &partServer{revision: 7, data: encodedConfiguration(t, 7, 2000)})
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 6, Whole: true}, delivery{}); err != nil {
		t.Fatal(err)
	}
	r.fetcher.Request(8, r.controlClients.Preferred().Address())
	current := r.fetcher.ContinueAtAny(t.Context(), &fetcher.Fetch{})
	gone.silent.Store(true)
	for passes := 0; r.controlPlane.revision() < 7 && passes < 3; passes++ {
		current = r.fetcher.ContinueAtAny(t.Context(), current)
	}
	if r.controlPlane.revision() != 7 {
		t.Errorf("revision %d is in force, want 7", r.controlPlane.revision())
	}
}

// TestFetchSparesSlowControl guards against changes that are in force late since one control process, of
// several that have them, is slow or silent.
func TestFetchSparesSlowControl(t *testing.T) {
	const slow, silent = 800 * time.Millisecond, time.Hour
	data := encodedConfiguration(t, 7, 1400)
	tests := map[string][]time.Duration{
		"the first one is slow":            {slow, 0, 0},
		"the first one is silent":          {silent, 0, 0},
		"two are slow":                     {slow, slow, 0},
		"two are silent":                   {silent, silent, 0},
		"one is silent, two are slow":      {silent, slow, slow, 0, 0},
		"four of eight are slow or silent": {slow, silent, slow, silent, 0, 0, 0, 0},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*partServer
			for _, delay := range delays {
				servers = append(servers, &partServer{revision: 7, data: data, delay: delay})
			}
			r := newRouterOf(t, servers...)
			if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 6, Whole: true}, delivery{}); err != nil {
				t.Fatal(err)
			}
			startedAt := timer.Now()
			r.fetcher.Request(7, r.controlClients.Preferred().Address())
			for current := (&fetcher.Fetch{}); r.controlPlane.revision() < 7; {
				current = r.fetcher.ContinueAtAny(t.Context(), current)
			}
			if took := timer.Now() - startedAt; took > inForceTimeout {
				t.Errorf("the changes are in force after %v, want %v at most", took, inForceTimeout)
			}
		})
	}
}

// TestFreshOnceFetched guards against keys that are accepted by a configuration that is known
// to be outdated: the confirmation of a revision counts only once that is in use.
func TestFreshOnceFetched(t *testing.T) {
	server := &partServer{revision: 7, data: encodedConfiguration(t, 7, 2000)}
	r := newRouterOf(t, server)
	p := r.controlPlane
	if err := p.applyConfiguration(&wire.SyncReply{Revision: 6, Whole: true}, delivery{}); err != nil {
		t.Fatal(err)
	}
	sentAt := p.now()
	result := syncResult{client: r.controlClients.Preferred(), reply: &wire.SyncReply{Revision: 7, Fetchable: true}}
	if err := p.applyReply(sentAt, 6, result); err != nil || p.fresh() {
		t.Fatalf("error %v, fresh %t before the fetch; want neither", err, p.fresh())
	}
	r.fetcher.ContinueAtAny(t.Context(), &fetcher.Fetch{})
	if p.revision() != 7 || time.Duration(p.freshUntil.Load()) != sentAt+p.freshness {
		t.Errorf("revision %d, fresh for %v after the request; want 7 and %v", p.revision(), time.Duration(p.freshUntil.Load())-sentAt, p.freshness)
	}
}

// TestFetchCountsAlthoughOvertaken guards against a whole configuration that is fetched over a slow
// link and then discarded, because a later revision was confirmed meanwhile: it has to be fetched
// again then, whole, though it differs from the later one by little.
func TestFetchCountsAlthoughOvertaken(t *testing.T) {
	server := &partServer{revision: 7, data: encodedConfiguration(t, 7, 2000)}
	r := newRouterOf(t, server)
	p := r.controlPlane
	if err := p.applyConfiguration(&wire.SyncReply{Revision: 6, Whole: true}, delivery{}); err != nil {
		t.Fatal(err)
	}
	current := &fetcher.Fetch{From: 6, Least: 7}
	if _, err := r.fetcher.FetchFrom(t.Context(), r.controlClients.All(), current); err != nil {
		t.Fatal(err)
	}
	p.confirm(8, p.now())
	r.fetcher.Deliver("control", current, 0)
	if p.revision() != 7 || p.fresh() {
		t.Errorf("revision %d, fresh %t; want 7, which is not the latest", p.revision(), p.fresh())
	}
	if err := p.applyReply(p.now(), 7, syncResult{client: r.controlClients.Preferred(), reply: &wire.SyncReply{
		Revision: 8, Changes: []*state.Revised{revisedOrganisation(8)},
	}}); err != nil || p.revision() != 8 || !p.fresh() {
		t.Errorf("error %v, revision %d, fresh %t after the last change; want 8, fresh", err, p.revision(), p.fresh())
	}
}

// revisedOrganisation returns a change that adds an organisation.
func revisedOrganisation(revision uint64) *state.Revised {
	return &state.Revised{Revision: revision, Operation: &state.Operation{
		Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: fmt.Sprint(revision)}},
	}}
}

// TestOverlappingReplies guards against replies that are rejected since another one has
// brought a part of their changes meanwhile.
func TestOverlappingReplies(t *testing.T) {
	group := func(first, last uint64) *wire.SyncReply {
		reply := &wire.SyncReply{Revision: last}
		for revision := first; revision <= last; revision++ {
			reply.Changes = append(reply.Changes, revisedOrganisation(revision))
		}
		return reply
	}
	r := newRouterOf(t, &partServer{})
	client := r.controlClients.Preferred()
	for _, step := range []struct {
		held  configurer.Revision
		reply *wire.SyncReply
		want  configurer.Revision
	}{
		{held: 0, reply: group(1, 3), want: 3},
		{held: 1, reply: group(2, 5), want: 5},
		{held: 2, reply: group(3, 4), want: 5},
		{held: 5, reply: group(6, 6), want: 6},
	} {
		if err := r.controlPlane.applyReply(1, step.held, syncResult{client: client, reply: step.reply}); err != nil || r.controlPlane.revision() != step.want {
			t.Errorf("changes up to %d after %d: error %v, revision %d, want %d", step.reply.GetRevision(), step.held, err, r.controlPlane.revision(), step.want)
		}
	}
	if err := r.controlPlane.applyReply(1, 6, syncResult{client: client, reply: group(5, 5)}); err == nil {
		t.Error("a control process that has lost a revision is not noticed")
	}
}

// TestRestartKeepsConfirmedRevision guards against a restarted process that goes back to an
// earlier configuration: whatever a control process that lags behind hands out, nothing
// before the revision that a quorum has confirmed is applied.
func TestRestartKeepsConfirmedRevision(t *testing.T) {
	lagging := func() *partServer { return &partServer{revision: 6, data: encodedConfiguration(t, 6, 100)} }
	latest := func() *partServer { return &partServer{revision: 7, data: encodedConfiguration(t, 7, 100)} }
	tests := map[string]struct {
		servers []*partServer
		want    configurer.Revision
	}{
		"only a control process that lags behind": {servers: []*partServer{lagging()}},
		"one that lags behind comes first":        {servers: []*partServer{lagging(), latest()}, want: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRouterOf(t, test.servers...)
			p := r.controlPlane
			result := syncResult{client: r.controlClients.Preferred(), reply: &wire.SyncReply{Revision: 7, Fetchable: true}}
			if err := p.applyReply(p.now(), 0, result); err != nil {
				t.Fatal(err)
			}
			r.fetcher.ContinueAtAny(t.Context(), &fetcher.Fetch{})
			if p.revision() != test.want {
				t.Errorf("revision %d after a fetch, want %d", p.revision(), test.want)
			}
			polled := &wire.SyncReply{Revision: 5, Whole: true}
			r.controlPoller.applyUnconfirmed("control", &wire.FollowReply{UnconfirmedMessage: polled})
			if p.revision() != test.want {
				t.Errorf("revision %d after a poll, want %d", p.revision(), test.want)
			}
		})
	}
}
