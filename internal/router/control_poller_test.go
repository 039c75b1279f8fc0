package router

import (
	"testing"

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
