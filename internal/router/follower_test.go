package router

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestLoadIsToldAtItsOwnPace asks twice within the pace, as it goes when
// answers come at once: the load is told once, and the place in its sums kept.
func TestLoadIsToldAtItsOwnPace(t *testing.T) {
	r := newTestRouter(t)
	f := newFollower(r)
	first := f.question(place{}, 0)
	if first.GetLoadShare() == nil {
		t.Fatal("the first question tells no load")
	}
	reply := &wire.FollowReply{Table: 7, Position: 3, LoadPosition: 40, HeldPosition: 5}
	r.dispatcher.learnFleet(first.GetLoadShare(), reply)
	at := placeAfter(first, reply)
	second := f.question(at, 0)
	if second.GetLoadShare() != nil {
		t.Error("the load is told again at once")
	}
	at = placeAfter(second, &wire.FollowReply{Table: 7, Position: 4})
	if want := (place{table: 7, position: 4, loads: 40, held: 5}); at != want {
		t.Errorf("place %+v, want %+v", at, want)
	}
	if at = placeAfter(second, &wire.FollowReply{Table: 8}); at.loads != 0 || at.held != 0 {
		t.Errorf("place %+v in a table that is new", at)
	}
	if f.question(at, 1).GetLoadShare() != nil {
		t.Error("the load is told to the second control process too")
	}
}
