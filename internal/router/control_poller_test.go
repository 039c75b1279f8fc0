package router

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestLoadShareInterval makes two requests within the load interval, as happens when polls
// return immediately. Only the first may contain the load, and the cursor after the second
// must keep the positions in the cluster load.
func TestLoadShareInterval(t *testing.T) {
	r := newTestRouter(t)
	p := newControlPoller(r)
	first := p.newRequest(cursor{}, 0)
	if first.GetLoadShare() == nil {
		t.Fatal("the first request contains no load share")
	}
	reply := &wire.FollowReply{Table: 7, Position: 3, LoadPosition: 40, HeldPosition: 5}
	r.dispatcher.applyClusterLoad(first.GetLoadShare(), reply)
	next := cursorAfter(first, reply)
	second := p.newRequest(next, 0)
	if second.GetLoadShare() != nil {
		t.Error("the second request contains a load share although none is due")
	}
	next = cursorAfter(second, &wire.FollowReply{Table: 7, Position: 4})
	if want := (cursor{tableID: 7, position: 4, loadPosition: 40, cachedPartsPosition: 5}); next != want {
		t.Errorf("cursor %+v, want %+v", next, want)
	}
	if next = cursorAfter(second, &wire.FollowReply{Table: 8}); next.loadPosition != 0 || next.cachedPartsPosition != 0 {
		t.Errorf("cursor %+v in a new table, want zero load positions", next)
	}
	if p.newRequest(next, 1).GetLoadShare() != nil {
		t.Error("a request to the second control process contains a load share")
	}
}

// TestConfigurationWithoutQuorum guards against a change that was acknowledged and does
// not arrive because the group has lost its quorum meanwhile: the control processes that
// have applied it must hand it out, and a poll must ask for it.
func TestConfigurationWithoutQuorum(t *testing.T) {
	r := newTestRouter(t)
	p := newControlPoller(r)
	whole := func(revision uint64) *wire.SyncReply {
		return &wire.SyncReply{Revision: revision, Whole: true, Configuration: &state.Configuration{}}
	}
	if p.newRequest(cursor{}, 0).GetWantUnconfirmed() {
		t.Error("a process that has just started does not wait for a confirmed configuration")
	}
	if err := r.controlPlane.applyConfiguration(whole(7), delivery{}); err != nil {
		t.Fatal(err)
	}
	request := p.newRequest(cursor{}, 0)
	if !request.GetWantUnconfirmed() || request.GetHaveRevision() != 7 {
		t.Errorf("request %v, want one for the changes after revision 7", request)
	}
	encoded, err := proto.Marshal(whole(9))
	if err != nil {
		t.Fatal(err)
	}
	p.apply("", request, &wire.FollowReply{Revision: 9, Unconfirmed: encoded})
	if r.controlPlane.revision() != 9 {
		t.Errorf("revision %d after the reply, want 9", r.controlPlane.revision())
	}
	if r.controlPlane.fresh() {
		t.Error("a reply without a quorum made the configuration fresh")
	}
	select {
	case <-r.controlPlane.syncRequested:
		t.Error("a sync was requested although nothing is missing")
	default:
	}
	p.apply("", request, &wire.FollowReply{Revision: 8, UnconfirmedMessage: whole(8)})
	if r.controlPlane.revision() != 9 {
		t.Errorf("revision %d after an earlier one, want 9", r.controlPlane.revision())
	}
	if p.newRequest(cursor{}, 1).GetWantUnconfirmed() {
		t.Error("the second control process is asked for changes although the first one answers")
	}
	if behind := (cursor{behindSince: timer.Now() - 2*changeDelay}); !p.newRequest(behind, 1).GetWantUnconfirmed() {
		t.Error("the second control process is not asked for changes that the first one has not sent")
	}
}

// TestLeasesAreRenewed checks that a renewal extends the leases of the upstreams in the
// table and of no others, and that an upstream whose lease has ended here is asked for by
// its id, since the whole table has thousands of rows.
func TestLeasesAreRenewed(t *testing.T) {
	r := newTestRouter(t)
	p := newControlPoller(r)
	now := r.dispatcher.now()
	row := func(id string, age time.Duration) *wire.Upstream {
		return &wire.Upstream{
			Id: id, Incarnation: 1, Sequence: 1, Url: "http://" + id, Kind: string(registrar.KindService), Serves: []string{"s"},
			State: string(registrar.Serving), AgeMillis: age.Milliseconds(),
		}
	}
	view := &tableView{}
	first := &wire.FollowReply{Table: 7, Position: 3, WholeTable: true, Upstreams: []*wire.Upstream{
		row("renewed", 3*time.Second), row("overdue", 3*time.Second), row("removed", 3*time.Second),
	}}
	p.apply("", &wire.Follow{}, first)
	if p.renewLeases(view, first); len(view.lacking) > 0 {
		t.Errorf("%v are asked for right after the whole table came", view.lacking)
	}
	renewal := &wire.FollowReply{Table: 7, Position: 4, Removed: []string{"removed"}, Renewals: &wire.Renewals{AgeMillis: 500, Overdue: []string{"overdue"}}}
	if p.renewLeases(view, renewal); len(view.lacking) > 0 {
		t.Errorf("%v are asked for although nothing is lacking", view.lacking)
	}
	for id, renewed := range map[registrar.UpstreamID]bool{"renewed": true, "overdue": false, "removed": false} {
		if got := r.dispatcher.registry.Get(id).AnnouncedAt > now-time.Second; got != renewed {
			t.Errorf("lease of %s renewed: %t, want %t", id, got, renewed)
		}
	}
	r.dispatcher.registry.Expire(now + time.Hour)
	if p.renewLeases(view, &wire.FollowReply{Table: 7, Renewals: &wire.Renewals{Overdue: []string{"overdue"}}}); len(view.lacking) != 1 || view.lacking[0] != "renewed" {
		t.Errorf("%v are asked for, want the one upstream whose lease has ended here", view.lacking)
	}
	found := &wire.FollowReply{Table: 7, Upstreams: []*wire.Upstream{row("renewed", 0)}}
	p.apply("", &wire.Follow{}, found)
	if p.renewLeases(view, found); len(view.lacking) != 0 || r.dispatcher.registry.Get("renewed") == nil {
		t.Errorf("%v are asked for after the row came", view.lacking)
	}
}

// TestMeanLoadOfOtherDomains checks that the load of an upstream in another failure domain
// is the mean there without this process's own load, if only the sum is known, and that of
// an upstream in the own domain its row.
func TestMeanLoadOfOtherDomains(t *testing.T) {
	r := newTestRouter(t)
	d := r.dispatcher
	for id, domain := range map[registrar.UpstreamID]registrar.FailureDomain{"near": "a", "far-1": "b", "far-2": "b"} {
		d.applyAnnouncement(registrar.Upstream{
			ID: id, Incarnation: 1, Sequence: 1, URL: "http://" + string(id), FailureDomain: domain, Kind: registrar.KindService,
			Serves: []string{"s"}, State: registrar.Serving, AnnouncedAt: d.now(),
		})
	}
	share := &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: "far-1", Requests: 4, Tokens: 8000, BegunTokens: 8000}}}
	reply := &wire.FollowReply{
		Table:       7,
		Loads:       []*wire.UpstreamLoad{{Upstream: "near", Requests: 3, Tokens: 100, BegunTokens: 200}},
		DomainLoads: []*wire.DomainLoad{{FailureDomain: "b", Serves: "s", Upstreams: 2, Requests: 14, Tokens: 28_000, BegunTokens: 48_000}},
	}
	d.applyClusterLoad(share, reply)
	mean := gatherer.Load{Requests: 5, PendingTokens: 10_000, UncachedTokens: 20_000}
	for id, want := range map[registrar.UpstreamID]gatherer.Load{
		"near": {Requests: 3, PendingTokens: 100, UncachedTokens: 200}, "far-1": mean, "far-2": mean,
	} {
		if got, known := d.clusterLoad.LoadOfOthers(d.now(), d.registry.Get(id)); !known || got != want {
			t.Errorf("load of the others on %s is %+v, want %+v", id, got, want)
		}
	}
	reply.DomainLoads = nil
	d.applyClusterLoad(share, reply)
	if got, _ := d.clusterLoad.LoadOfOthers(d.now(), d.registry.Get("far-2")); got != (gatherer.Load{}) {
		t.Errorf("load of the others on far-2 is %+v after rows came in place of sums, want none", got)
	}
}
