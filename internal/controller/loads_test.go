package controller

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

func shareOf(upstream string, requests int32, tokens int64) *wire.LoadShare {
	return &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: upstream, Requests: requests, Tokens: tokens}}}
}

// TestLoadTable checks that each entry process's share counts once, wherever it tells it.
func TestLoadTable(t *testing.T) {
	near, far := newLoadTable(), newLoadTable()
	near.note("entry-1", shareOf("engine", 2, 9000))
	near.note("entry-2", shareOf("engine", 1, 3000))
	near.note("entry-3", nil)
	near.note("entry-1", &wire.LoadShare{
		Loads: shareOf("engine", 2, 9000).GetLoads(), Held: []*wire.HeldPart{{Part: "part", Upstream: "engine"}},
	})
	far.note("entry-4", shareOf("engine", 4, 1000))
	for range 3 {
		near.receive("far", far.outgoing())
		far.receive("near", near.outgoing())
	}
	for name, table := range map[string]*loadTable{"near": near, "far": far} {
		told := &wire.FollowReply{}
		table.tell(told, 0, 0)
		if changed := told.GetLoads(); len(changed) != 1 || changed[0].GetRequests() != 7 || changed[0].GetTokens() != 13000 {
			t.Errorf("%s: the sums are %v, want 7 requests and 13000 tokens", name, changed)
		}
		if held := told.GetHeld(); len(held) != 1 || held[0].GetPart() != "part" || held[0].GetUpstream() != "engine" {
			t.Errorf("%s: held are %v, want one part by one engine", name, held)
		}
		again := &wire.FollowReply{}
		table.tell(again, told.GetLoadPosition(), told.GetHeldPosition())
		if len(again.GetLoads()) != 0 || len(again.GetHeld()) != 0 {
			t.Errorf("%s: told again: %v", name, again)
		}
	}
}

// TestLoadTableTellsOfIdleness checks that an empty share is told once, and then nothing.
func TestLoadTableTellsOfIdleness(t *testing.T) {
	table := newLoadTable()
	if table.outgoing() != nil {
		t.Error("a share is told although nobody ever had load")
	}
	table.note("entry", shareOf("engine", 1, 500))
	if len(table.outgoing().GetLoads()) != 1 {
		t.Error("the share is not told")
	}
	table.note("entry", &wire.LoadShare{})
	if share := table.outgoing(); share == nil || len(share.GetLoads()) != 0 {
		t.Errorf("the end of the load is told as %v", share)
	}
	if table.outgoing() != nil {
		t.Error("an empty share is told again and again")
	}
}
