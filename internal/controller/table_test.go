package controller

import (
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

const tableLease = 50 * time.Millisecond

func announcement(id string, incarnation registrar.Incarnation, state registrar.State) registrar.Upstream {
	return registrar.Upstream{
		ID: registrar.UpstreamID(id), Incarnation: incarnation, Sequence: 1, URL: "http://" + id,
		Kind: registrar.KindService, Serves: []string{"pool"}, State: state, AnnouncedAt: timer.Now(),
	}
}

// TestUpstreamTableLeaseExpiry lets the lease of every upstream end, as when a
// failure domain is cut off. It guards against a nil pointer in changesSince,
// which occurred when the method all removed an expired upstream from the registry
// but not from changes.
func TestUpstreamTableLeaseExpiry(t *testing.T) {
	tests := map[string]func(*upstreamTable){
		"expired by changesSince":         func(table *upstreamTable) { table.changesSince(0, 0) },
		"expired by all":                  func(table *upstreamTable) { table.all() },
		"expired by all after takeUnsent": func(table *upstreamTable) { table.takeUnsent(); table.all() },
	}
	for name, expire := range tests {
		t.Run(name, func(t *testing.T) {
			table := newUpstreamTable(tableLease)
			table.update(announcement("a", 1, registrar.Serving), true)
			if reply, _ := table.changesSince(0, 0); len(reply.GetUpstreams()) != 1 {
				t.Fatalf("%d upstreams before the end of the lease, want 1", len(reply.GetUpstreams()))
			}
			for end := timer.Now() + 2*tableLease; timer.Now() < end; {
				time.Sleep(tableLease / 10)
			}
			expire(table)
			if reply, _ := table.changesSince(0, 0); len(reply.GetUpstreams()) != 0 {
				t.Errorf("%d upstreams after the end of the lease, want 0", len(reply.GetUpstreams()))
			}
		})
	}
}

// TestUpstreamTableChangesSince checks that a poll gets only the changes after its
// position, and everything if its position belongs to another table.
func TestUpstreamTableChangesSince(t *testing.T) {
	table := newUpstreamTable(time.Minute)
	table.update(announcement("a", 1, registrar.Serving), true)
	first, updated := table.changesSince(0, 0)
	if reply, _ := table.changesSince(first.GetTable(), first.GetPosition()); len(reply.GetUpstreams()) != 0 {
		t.Errorf("%d upstreams without a change, want 0", len(reply.GetUpstreams()))
	}
	table.withdraw("a", 0)
	select {
	case <-updated:
	default:
		t.Error("channel is not closed after a change")
	}
	reply, _ := table.changesSince(first.GetTable(), first.GetPosition())
	if len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetState() != string(registrar.Leaving) {
		t.Errorf("upstreams after the withdrawal are %v, want one that is leaving", reply.GetUpstreams())
	}
	if reply, _ = table.changesSince(first.GetTable()+1, first.GetPosition()); len(reply.GetUpstreams()) != 1 {
		t.Errorf("%d upstreams for a position of another table, want 1", len(reply.GetUpstreams()))
	}
}

// TestUpstreamTableDelayedAnnouncement checks that an announcement that arrives
// late neither revives an upstream that left nor gives its address to an older upstream.
func TestUpstreamTableDelayedAnnouncement(t *testing.T) {
	tests := map[string]struct {
		later   registrar.Upstream
		serving bool
	}{
		"announcement of the withdrawn incarnation":       {later: announcement("a", 1, registrar.Serving)},
		"announcement of a new incarnation":               {later: announcement("a", 2, registrar.Serving), serving: true},
		"announcement of an earlier incarnation":          {later: announcement("a", 0, registrar.Serving)},
		"announcement of another upstream at the address": {later: func() registrar.Upstream { u := announcement("b", 0, registrar.Serving); u.URL = "http://a"; return u }()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newUpstreamTable(time.Minute)
			table.update(announcement("a", 1, registrar.Serving), true)
			table.withdraw("a", 1)
			test.later.Sequence = 5
			table.update(test.later, true)
			serving := false
			for _, u := range table.all() {
				serving = serving || u.GetState() == string(registrar.Serving)
			}
			if serving != test.serving {
				t.Errorf("serving upstream in the table: %t, want %t; table: %v", serving, test.serving, table.all())
			}
		})
	}
}
