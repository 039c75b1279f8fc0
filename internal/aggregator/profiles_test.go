package aggregator

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func sumsOf(upstream string, attempts, failures int32) *wire.UpstreamSums {
	return &wire.UpstreamSums{Upstream: upstream, Incarnation: 1, Attempts: attempts, Failures: failures}
}

// TestObservationsArePooled guards against observations that stay at the control process that an entry
// process polls, or that count twice: 30 hosts see 4 attempts each at an upstream that fails half of
// them, 15 of them through each control process.
func TestObservationsArePooled(t *testing.T) {
	tables := [2]*Table{New(), New()}
	for host := range 30 {
		tables[host%2].RecordEntry(fmt.Sprint("entry-", host), &wire.LoadShare{Sums: []*wire.UpstreamSums{
			sumsOf("failing", 4, 2), sumsOf("sound-1", 4, 0), sumsOf("sound-2", 4, 0),
		}})
	}
	out := [2]*wire.LoadShare{tables[0].TakeOutgoing(), tables[1].TakeOutgoing()}
	if again := tables[0].TakeOutgoing(); len(again.GetSums()) > 0 {
		t.Errorf("%v is sent a second time", again)
	}
	for i, table := range tables {
		table.RecordPeer("other", out[1-i])
		places := tabulator.Places{"failing": {Serves: "s"}, "sound-1": {Serves: "s"}, "sound-2": {Serves: "s"}}
		reply := &wire.FollowReply{Table: 7}
		table.FillProfiles(reply, nil, "", places)
		changed := reply.GetProfiles().GetProfiles()
		// The lower bound of 60 failures of 120 by 3 standard errors is 0.37, that of 30 of 60 is 0.32.
		if len(changed) != 1 || changed[0].GetUpstream() != "failing" || changed[0].GetExcessPermille() < 355 || changed[0].GetExcessPermille() > 369 {
			t.Errorf("control process %d: profiles %v, want one of the upstream that fails", i, changed)
		}
		next := &wire.FollowReply{Table: 7}
		table.FillProfiles(next, &wire.LoadShare{ProfileTable: 7, ProfilePosition: reply.GetProfiles().GetPosition()}, "", places)
		if len(next.GetProfiles().GetProfiles()) != 0 {
			t.Errorf("control process %d: %v is sent again", i, next)
		}
	}
}

// TestProfilesAreBounded guards against messages that grow with all upstreams, at 12,000 upstreams of
// 17 failure domains that all have changed: replies have only rows of the domain of the entry process,
// and messages to other control processes a bounded number of rows.
func TestProfilesAreBounded(t *testing.T) {
	const (
		upstreams, domains = 12_000, 17
		// An entry process polls every 400 ms; 30 KB a second are allowed for all control traffic.
		maxReplyBytes, maxGossipBytes = 4_000, 10_000
	)
	table, places, share := New(), tabulator.Places{}, &wire.LoadShare{}
	for i := range upstreams {
		id := fmt.Sprint("engine-of-a-long-name-", i)
		places[registrar.UpstreamID(id)] = tabulator.Place{Domain: registrar.FailureDomain(fmt.Sprint(i % domains)), Serves: fmt.Sprint("m", i%170)}
		share.Sums = append(share.Sums, &wire.UpstreamSums{
			Upstream: id, Incarnation: 1 << 40, Weight: 100, LogSpeed: 40 * float32(i/170%2), Square: 16 * float32(i/170%2), Attempts: 30,
		})
	}
	table.RecordEntry("entry", share)
	bytes := proto.Size(table.TakeOutgoing())
	t.Logf("a message to another control process has %d bytes", bytes)
	if bytes > maxGossipBytes {
		t.Errorf("a message to another control process has %d bytes, want %d at most", bytes, maxGossipBytes)
	}
	named, position := map[string]bool{}, uint64(0)
	for range upstreams/maxReplyProfiles + 1 {
		reply := &wire.FollowReply{Table: 7}
		table.FillProfiles(reply, &wire.LoadShare{ProfileTable: 7, ProfilePosition: position}, "3", places)
		position = reply.GetProfiles().GetPosition()
		bytes = proto.Size(reply)
		t.Logf("a reply has %d bytes", bytes)
		if bytes > maxReplyBytes {
			t.Errorf("a reply has %d bytes, want %d at most", bytes, maxReplyBytes)
		}
		for _, p := range reply.GetProfiles().GetProfiles() {
			if named[p.GetUpstream()] || places[registrar.UpstreamID(p.GetUpstream())].Domain != "3" {
				t.Errorf("%s is named twice or of another domain", p.GetUpstream())
			}
			named[p.GetUpstream()] = true
		}
	}
	if len(named) < upstreams/domains/3 {
		t.Errorf("%d profiles of the domain were sent, want about half of %d", len(named), upstreams/domains)
	}
}
