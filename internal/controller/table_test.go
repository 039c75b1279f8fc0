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
		Kind: registrar.KindService, Serves: []string{"pool"}, State: state, HeardAt: timer.Now(),
	}
}

// TestUpstreamTableLeaseExpiry lets the lease of every upstream end, as in a failure
// domain that is cut off: whoever notices first, the others still get answers.
func TestUpstreamTableLeaseExpiry(t *testing.T) {
	tests := map[string]func(*upstreamTable){
		"noticed by a follower":   func(table *upstreamTable) { table.changesSince(0, 0) },
		"noticed by the orders":   func(table *upstreamTable) { table.all() },
		"noticed by other tables": func(table *upstreamTable) { table.takeOutgoing(); table.all() },
	}
	for name, notice := range tests {
		t.Run(name, func(t *testing.T) {
			table := newUpstreamTable(tableLease)
			table.update(announcement("a", 1, registrar.Serving), true)
			if reply, _ := table.changesSince(0, 0); len(reply.GetUpstreams()) != 1 {
				t.Fatalf("%d upstreams before the end of the lease", len(reply.GetUpstreams()))
			}
			for end := timer.Now() + 2*tableLease; timer.Now() < end; {
				time.Sleep(tableLease / 10)
			}
			notice(table)
			if reply, _ := table.changesSince(0, 0); len(reply.GetUpstreams()) != 0 {
				t.Errorf("%d upstreams after the lease", len(reply.GetUpstreams()))
			}
		})
	}
}

// TestUpstreamTableChangesSince tells a follower what is new to it and nothing else.
func TestUpstreamTableChangesSince(t *testing.T) {
	table := newUpstreamTable(time.Minute)
	table.update(announcement("a", 1, registrar.Serving), true)
	first, news := table.changesSince(0, 0)
	if reply, _ := table.changesSince(first.GetTable(), first.GetPosition()); len(reply.GetUpstreams()) != 0 {
		t.Errorf("%d upstreams told twice", len(reply.GetUpstreams()))
	}
	table.withdraw("a", 0)
	select {
	case <-news:
	default:
		t.Error("the follower was not told that there is news")
	}
	reply, _ := table.changesSince(first.GetTable(), first.GetPosition())
	if len(reply.GetUpstreams()) != 1 || reply.GetUpstreams()[0].GetState() != string(registrar.Leaving) {
		t.Errorf("told %v", reply.GetUpstreams())
	}
	if reply, _ = table.changesSince(first.GetTable()+1, first.GetPosition()); len(reply.GetUpstreams()) != 1 {
		t.Errorf("a follower of an earlier table was told %d upstreams", len(reply.GetUpstreams()))
	}
}

// TestUpstreamTableDelayedAnnouncement brings an announcement that was held up: one that
// left stays gone, and an address belongs to its newest holder.
func TestUpstreamTableDelayedAnnouncement(t *testing.T) {
	tests := map[string]struct {
		later   registrar.Upstream
		serving bool
	}{
		"of one that left":           {later: announcement("a", 1, registrar.Serving)},
		"of a new incarnation":       {later: announcement("a", 2, registrar.Serving), serving: true},
		"of an earlier incarnation":  {later: announcement("a", 0, registrar.Serving)},
		"of an earlier one's holder": {later: func() registrar.Upstream { u := announcement("b", 0, registrar.Serving); u.URL = "http://a"; return u }()},
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
				t.Errorf("serving: %t; %v", serving, table.all())
			}
		})
	}
}
