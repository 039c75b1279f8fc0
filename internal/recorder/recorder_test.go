package recorder

import (
	"slices"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func syncOf(host, incarnation string, refused uint64) *wire.Sync {
	return &wire.Sync{
		Host: host, FailureDomain: "a", Usage: &state.Usage{Incarnation: incarnation},
		Demands: []*wire.PoolDemand{{Pool: "engine/m", Requests: 2, Refused: refused}},
	}
}

// TestRefusalsCountOnce guards against orders for refusals that were counted before, which the cumulative
// counters of entry processes contain, and against demand that is counted for each sync request.
func TestRefusalsCountOnce(t *testing.T) {
	table := New()
	for i, step := range []struct {
		sync *wire.Sync
		want planner.Pool
	}{
		{sync: syncOf("one", "1", 5), want: planner.Pool{Requests: 2, Refused: 5}},
		{sync: syncOf("two", "2", 3), want: planner.Pool{Requests: 4, Refused: 3}},
		{sync: syncOf("one", "1", 7), want: planner.Pool{Requests: 4, Refused: 2}},
		{sync: syncOf("one", "3", 1), want: planner.Pool{Requests: 4, Refused: 1}},
	} {
		table.Record(step.sync)
		pools := table.Pools(nil)
		if len(pools) != 1 || pools[0].Requests != step.want.Requests || pools[0].Refused != step.want.Refused {
			t.Errorf("step %d: pools %+v, want %d requests and %d refused", i, pools, step.want.Requests, step.want.Refused)
		}
	}
	if hosts := table.Hosts(); !slices.Equal(hosts, []string{"one", "two"}) {
		t.Errorf("hosts %v, want both", hosts)
	}
}
