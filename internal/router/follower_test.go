package router

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestLoadShareInterval asks twice within the pace, as it goes when
// answers come at once: the load is told once, and the place in its sums kept.
func TestLoadShareInterval(t *testing.T) {
	r := newTestRouter(t)
	f := newControlPoller(r)
	first := f.newRequest(cursor{}, 0)
	if first.GetLoadShare() == nil {
		t.Fatal("the first question tells no load")
	}
	reply := &wire.FollowReply{Table: 7, Position: 3, LoadPosition: 40, HeldPosition: 5}
	r.dispatcher.applyClusterLoad(first.GetLoadShare(), reply)
	at := cursorAfter(first, reply)
	second := f.newRequest(at, 0)
	if second.GetLoadShare() != nil {
		t.Error("the load is told again at once")
	}
	at = cursorAfter(second, &wire.FollowReply{Table: 7, Position: 4})
	if want := (cursor{table: 7, position: 4, loadPosition: 40, heldPosition: 5}); at != want {
		t.Errorf("place %+v, want %+v", at, want)
	}
	if at = cursorAfter(second, &wire.FollowReply{Table: 8}); at.loadPosition != 0 || at.heldPosition != 0 {
		t.Errorf("place %+v in a table that is new", at)
	}
	if f.newRequest(at, 1).GetLoadShare() != nil {
		t.Error("the load is told to the second control process too")
	}
}
