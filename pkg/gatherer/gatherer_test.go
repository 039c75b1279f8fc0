package gatherer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
)

func Example() {
	g := gatherer.New[string](time.Second)
	g.Update(0, "a", map[string]gatherer.Load{"one": {Requests: 2, PendingTokens: 9000}})
	g.Update(0, "b", map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 4000}})
	sums, position := g.Since(0, 0)
	fmt.Println(sums["one"].Requests, sums["one"].PendingTokens)
	sums, _ = g.Since(0, position)
	fmt.Println(len(sums))
	// Output:
	// 3 13000
	// 0
}

func TestUpdate(t *testing.T) {
	type update struct {
		at     time.Duration
		source gatherer.Source
		loads  map[string]gatherer.Load
	}
	tests := map[string]struct {
		updates []update
		// readAt is the time at which the sums are read.
		readAt time.Duration
		want   map[string]gatherer.Load
	}{
		"a report replaces the previous one": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 3000}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 3000}},
		},
		"a key missing from a report is zero": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"two": {Requests: 1}}},
			},
			want: map[string]gatherer.Load{"one": {}, "two": {Requests: 1}},
		},
		"a source that stopped reporting is left out": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5}}},
				{at: time.Second, source: "b", loads: map[string]gatherer.Load{"one": {Requests: 2}}},
			},
			readAt: 1500 * time.Millisecond,
			want:   map[string]gatherer.Load{"one": {Requests: 2}},
		},
		"a small change of pending tokens is not published": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 4900}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 5000}},
		},
		"the end of pending tokens is published": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 100}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1}},
		},
		"a sum that has long been zero is dropped": {
			updates: []update{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1}}},
				{source: "a"},
			},
			readAt: time.Minute,
			want:   map[string]gatherer.Load{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gatherer.New[string](time.Second)
			for _, u := range test.updates {
				g.Update(u.at, u.source, u.loads)
			}
			got, _ := g.Since(test.readAt, 0)
			if !maps.Equal(got, test.want) {
				t.Errorf("Since(%v, 0) = %v, want %v", test.readAt, got, test.want)
			}
		})
	}
}

// TestIncrementalReads checks that a reader that reads only the changes has the
// same sums as one that reads all sums each time.
func TestIncrementalReads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // A fixed seed, for reproducible runs.
	g := gatherer.New[int](time.Second)
	sums := map[int]gatherer.Load{}
	position := gatherer.Position(0)
	now := time.Duration(0)
	for step := range 2000 {
		now += time.Duration(random.IntN(300)) * time.Millisecond
		loads := map[int]gatherer.Load{}
		for range random.IntN(4) {
			loads[random.IntN(6)] = gatherer.Load{Requests: random.IntN(3), PendingTokens: random.IntN(5000)}
		}
		g.Update(now, gatherer.Source(rune('a'+random.IntN(4))), loads)
		var changed map[int]gatherer.Load
		changed, position = g.Since(now, position)
		maps.Copy(sums, changed)
		all, _ := g.Since(now, 0)
		for key, load := range sums {
			if all[key] != load {
				t.Fatalf("step %d: incremental sum is %v for key %d, full sum is %v", step, load, key, all[key])
			}
		}
		for key, load := range all {
			if sums[key] != load {
				t.Fatalf("step %d: incremental sum is %v for key %d, full sum is %v", step, sums[key], key, load)
			}
		}
	}
}
