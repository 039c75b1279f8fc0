package controller

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

func loadOf(upstream string, requests int32, tokens int64) *wire.LoadShare {
	return &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: upstream, Requests: requests, Tokens: tokens}}}
}

// TestLoadTableSums checks that each entry process's share counts once, wherever it tells it.
func TestLoadTableSums(t *testing.T) {
	near, far := newLoadTable(), newLoadTable()
	near.recordEntryLoad("entry-1", loadOf("engine", 2, 9000))
	near.recordEntryLoad("entry-2", loadOf("engine", 1, 3000))
	near.recordEntryLoad("entry-3", nil)
	near.recordEntryLoad("entry-1", &wire.LoadShare{
		Loads: loadOf("engine", 2, 9000).GetLoads(), Held: []*wire.HeldPart{{Part: "part", Upstream: "engine"}},
	})
	far.recordEntryLoad("entry-4", loadOf("engine", 4, 1000))
	for range 3 {
		near.recordPeerLoad("far", far.takeOutgoing())
		far.recordPeerLoad("near", near.takeOutgoing())
	}
	for name, table := range map[string]*loadTable{"near": near, "far": far} {
		told := &wire.FollowReply{}
		table.fillReply(told, 0, 0)
		if changed := told.GetLoads(); len(changed) != 1 || changed[0].GetRequests() != 7 || changed[0].GetTokens() != 13000 {
			t.Errorf("%s: the sums are %v, want 7 requests and 13000 tokens", name, changed)
		}
		if held := told.GetHeld(); len(held) != 1 || held[0].GetPart() != "part" || held[0].GetUpstream() != "engine" {
			t.Errorf("%s: held are %v, want one part by one engine", name, held)
		}
		again := &wire.FollowReply{}
		table.fillReply(again, told.GetLoadPosition(), told.GetHeldPosition())
		if len(again.GetLoads()) != 0 || len(again.GetHeld()) != 0 {
			t.Errorf("%s: told again: %v", name, again)
		}
	}
}

// TestLoadTableOutgoingEmpty checks that an empty share is told once, and then nothing.
func TestLoadTableOutgoingEmpty(t *testing.T) {
	table := newLoadTable()
	if table.takeOutgoing() != nil {
		t.Error("a share is told although nobody ever had load")
	}
	table.recordEntryLoad("entry", loadOf("engine", 1, 500))
	if len(table.takeOutgoing().GetLoads()) != 1 {
		t.Error("the share is not told")
	}
	table.recordEntryLoad("entry", &wire.LoadShare{})
	if share := table.takeOutgoing(); share == nil || len(share.GetLoads()) != 0 {
		t.Errorf("the end of the load is told as %v", share)
	}
	if table.takeOutgoing() != nil {
		t.Error("an empty share is told again and again")
	}
}
