package aggregator

import (
	"fmt"
	"testing"

	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func loadOf(upstream string, requests int32, tokens int64) *wire.LoadShare {
	return &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: upstream, Requests: requests, Tokens: tokens}}}
}

// TestLoadTableSums checks that the load of each entry process counts exactly
// once, whichever control process it is reported to.
func TestLoadTableSums(t *testing.T) {
	control1, control2 := New(), New()
	control1.RecordEntry("entry-1", loadOf("engine", 2, 9000))
	control1.RecordEntry("entry-2", loadOf("engine", 1, 3000))
	control1.RecordEntry("entry-3", nil)
	control1.RecordEntry("entry-1", &wire.LoadShare{
		Loads: loadOf("engine", 2, 9000).GetLoads(), Held: []*wire.HeldPart{{Part: "part", Upstream: "engine"}},
	})
	control2.RecordEntry("entry-4", loadOf("engine", 4, 1000))
	for range 3 {
		control1.RecordPeer("far", control2.TakeOutgoing())
		control2.RecordPeer("near", control1.TakeOutgoing())
	}
	for name, table := range map[string]*Table{"near": control1, "far": control2} {
		first := &wire.FollowReply{}
		table.FillReply(first, 0, 0, "", nil)
		if changed := first.GetLoads(); len(changed) != 1 || changed[0].GetRequests() != 7 || changed[0].GetTokens() != 13000 {
			t.Errorf("%s: the sums are %v, want 7 requests and 13000 tokens", name, changed)
		}
		if held := first.GetHeld(); len(held) != 1 || held[0].GetPart() != "part" || held[0].GetUpstream() != "engine" {
			t.Errorf("%s: cached parts are %v, want one part at one upstream", name, held)
		}
		second := &wire.FollowReply{}
		table.FillReply(second, first.GetLoadPosition(), first.GetHeldPosition(), "", nil)
		if len(second.GetLoads()) != 0 || len(second.GetHeld()) != 0 {
			t.Errorf("%s: reply without changes repeats %v", name, second)
		}
	}
}

// TestLoadTableOutgoingEmpty checks that an empty load is sent once, so that
// other processes learn of it, and not again.
func TestLoadTableOutgoingEmpty(t *testing.T) {
	table := New()
	if table.TakeOutgoing() != nil {
		t.Error("outgoing load is not nil before any load")
	}
	table.RecordEntry("entry", loadOf("engine", 1, 500))
	if len(table.TakeOutgoing().GetLoads()) != 1 {
		t.Error("outgoing load lacks the entry process's load")
	}
	table.RecordEntry("entry", &wire.LoadShare{})
	if load := table.TakeOutgoing(); load == nil || len(load.GetLoads()) != 0 {
		t.Errorf("outgoing load after the load ended is %v, want an empty one", load)
	}
	if table.TakeOutgoing() != nil {
		t.Error("empty load is sent a second time")
	}
}

// TestLoadOfManyUpstreams guards against load messages that grow with all upstreams: beyond
// a number of them an entry process gets the rows and cached parts of its own failure domain
// and one sum for each of the others.
func TestLoadOfManyUpstreams(t *testing.T) {
	const (
		upstreams = 3000
		domains   = 6
	)
	table, places := New(), tabulator.Places{}
	share := &wire.LoadShare{}
	for i := range upstreams {
		id := fmt.Sprint("engine-", i)
		places[registrar.UpstreamID(id)] = tabulator.Place{Domain: registrar.FailureDomain(fmt.Sprint(i % domains)), Serves: "m"}
		share.Loads = append(share.Loads, &wire.UpstreamLoad{Upstream: id, Requests: 2, Tokens: 3000, BegunTokens: 4000})
		share.Held = append(share.Held, &wire.HeldPart{Part: "part", Upstream: id})
	}
	table.RecordEntry("entry", share)
	reply := &wire.FollowReply{}
	table.FillReply(reply, 0, 0, "0", places)
	if len(reply.GetLoads()) != upstreams/domains || len(reply.GetHeld()) != upstreams/domains {
		t.Errorf("%d rows and %d cached parts, want %d of each", len(reply.GetLoads()), len(reply.GetHeld()), upstreams/domains)
	}
	if len(reply.GetDomainLoads()) != domains-1 {
		t.Fatalf("%d sums, want %d", len(reply.GetDomainLoads()), domains-1)
	}
	for _, load := range reply.GetDomainLoads() {
		const count = upstreams / domains
		if load.GetUpstreams() != count || load.GetRequests() != 2*count || load.GetTokens() != 3000*count || load.GetBegunTokens() != 4000*count {
			t.Errorf("sum %v, want that of %d upstreams", load, count)
		}
	}
}
