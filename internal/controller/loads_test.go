package controller

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

func loadOf(upstream string, requests int32, tokens int64) *wire.LoadShare {
	return &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: upstream, Requests: requests, Tokens: tokens}}}
}

// TestLoadTableSums checks that the load of each entry process counts exactly
// once, whichever control process it is reported to.
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
		first := &wire.FollowReply{}
		table.fillReply(first, 0, 0)
		if changed := first.GetLoads(); len(changed) != 1 || changed[0].GetRequests() != 7 || changed[0].GetTokens() != 13000 {
			t.Errorf("%s: the sums are %v, want 7 requests and 13000 tokens", name, changed)
		}
		if held := first.GetHeld(); len(held) != 1 || held[0].GetPart() != "part" || held[0].GetUpstream() != "engine" {
			t.Errorf("%s: cached parts are %v, want one part at one upstream", name, held)
		}
		second := &wire.FollowReply{}
		table.fillReply(second, first.GetLoadPosition(), first.GetHeldPosition())
		if len(second.GetLoads()) != 0 || len(second.GetHeld()) != 0 {
			t.Errorf("%s: reply without changes repeats %v", name, second)
		}
	}
}

// TestLoadTableOutgoingEmpty checks that an empty load is sent once, so that
// other processes learn of it, and not again.
func TestLoadTableOutgoingEmpty(t *testing.T) {
	table := newLoadTable()
	if table.takeOutgoing() != nil {
		t.Error("outgoing share is not nil before any load")
	}
	table.recordEntryLoad("entry", loadOf("engine", 1, 500))
	if len(table.takeOutgoing().GetLoads()) != 1 {
		t.Error("outgoing share misses the load")
	}
	table.recordEntryLoad("entry", &wire.LoadShare{})
	if share := table.takeOutgoing(); share == nil || len(share.GetLoads()) != 0 {
		t.Errorf("outgoing share after the load ended is %v, want an empty one", share)
	}
	if table.takeOutgoing() != nil {
		t.Error("empty share is sent a second time")
	}
}
