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

func TestNote(t *testing.T) {
	type told struct {
		at     time.Duration
		source gatherer.Source
		loads  map[string]gatherer.Load
	}
	tests := map[string]struct {
		told  []told
		after time.Duration
		want  map[string]gatherer.Load
	}{
		"a share replaces the one before": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 3000}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 3000}},
		},
		"what a share leaves out is zero": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"two": {Requests: 1}}},
			},
			want: map[string]gatherer.Load{"one": {}, "two": {Requests: 1}},
		},
		"a silent source counts no more": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 5}}},
				{at: time.Second, source: "b", loads: map[string]gatherer.Load{"one": {Requests: 2}}},
			},
			after: 1500 * time.Millisecond,
			want:  map[string]gatherer.Load{"one": {Requests: 2}},
		},
		"a small change of the tokens is not told": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 5000}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 4900}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 5000}},
		},
		"the last token is told": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1, PendingTokens: 100}}},
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1}}},
			},
			want: map[string]gatherer.Load{"one": {Requests: 1}},
		},
		"idle things are forgotten": {
			told: []told{
				{source: "a", loads: map[string]gatherer.Load{"one": {Requests: 1}}},
				{source: "a"},
			},
			after: time.Minute,
			want:  map[string]gatherer.Load{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gatherer.New[string](time.Second)
			for _, s := range test.told {
				g.Update(s.at, s.source, s.loads)
			}
			got, _ := g.Since(test.after, 0)
			if !maps.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestReaderKeepsUp checks that a reader that takes only what is new holds the
// same sums as one that takes everything.
func TestReaderKeepsUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // The same sequence each time.
	g := gatherer.New[int](time.Second)
	held := map[int]gatherer.Load{}
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
		maps.Copy(held, changed)
		all, _ := g.Since(now, 0)
		for key, load := range held {
			if all[key] != load {
				t.Fatalf("step %d: the reader holds %v of %d, the sum is %v", step, load, key, all[key])
			}
		}
		for key, load := range all {
			if held[key] != load {
				t.Fatalf("step %d: the reader holds %v of %d, the sum is %v", step, held[key], key, load)
			}
		}
	}
}
