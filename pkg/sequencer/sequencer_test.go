package sequencer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/sequencer"
)

func Example() {
	s := sequencer.New[string]()
	s.Record("a")
	position := s.Record("b")
	s.Record("a")
	fmt.Println(s.Since(0, 10))
	fmt.Println(s.Since(position, 10))
	// Output:
	// [b a] 3
	// [a] 3
}

// TestSince compares a sequencer with the plain rule: a reader gets the keys whose latest change is later
// than its position, in pages that leave out nothing, whatever was recorded and forgotten before.
func TestSince(t *testing.T) {
	const keys = 40
	random := rand.New(rand.NewPCG(7, 1)) //nolint:gosec // A fixed seed, for reproducible runs.
	s, latest := sequencer.New[int](), map[int]sequencer.Position{}
	for step := range 20_000 {
		key := random.IntN(keys)
		if random.IntN(5) == 0 {
			s.Forget(key)
			delete(latest, key)
		} else {
			latest[key] = s.Record(key)
		}
		if s.PositionOf(key) != latest[key] {
			t.Fatalf("step %d: position %d of key %d, want %d", step, s.PositionOf(key), key, latest[key])
		}
		after := s.Position() - min(s.Position(), sequencer.Position(random.IntN(2*keys)))
		want := slices.SortedFunc(maps.Keys(latest), func(a, b int) int { return int(latest[a]) - int(latest[b]) })
		want = slices.DeleteFunc(want, func(k int) bool { return latest[k] <= after })
		limit := 1 + random.IntN(keys)
		if got := s.CountSince(after, limit); got != min(limit, len(want)) {
			t.Fatalf("step %d: %d keys have changed after %d, want %d", step, got, after, min(limit, len(want)))
		}
		var got []int
		for position := after; position < s.Position(); {
			page, reached := s.Since(position, limit)
			if len(page) > limit || reached <= position {
				t.Fatalf("step %d: %d keys up to %d after %d, want at most %d", step, len(page), reached, position, limit)
			}
			got, position = append(got, page...), reached
		}
		if !slices.Equal(got, want) {
			t.Fatalf("step %d: keys %v after %d, want %v", step, got, after, want)
		}
	}
}

// BenchmarkSince measures one change among many keys and a reader that gets it.
func BenchmarkSince(b *testing.B) {
	for _, keys := range []int{1000, 12_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			s := sequencer.New[int]()
			for key := range keys {
				s.Record(key)
			}
			position := s.Position()
			for i := range b.N {
				s.Record(i % keys)
				_, position = s.Since(position, keys)
			}
		})
	}
}
