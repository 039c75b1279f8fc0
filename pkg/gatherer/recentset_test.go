package gatherer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
)

func TestRecentSet(t *testing.T) {
	type addition struct {
		at  time.Duration
		key string
		// published is the result that Add must return.
		published bool
	}
	tests := map[string]struct {
		additions []addition
		maxKeys   int
		// at is the time at which the set is read.
		at   time.Duration
		want []string
	}{
		"new keys":             {additions: []addition{{key: "a", published: true}, {key: "b", published: true}}, want: []string{"a", "b"}},
		"key added again soon": {additions: []addition{{key: "a", published: true}, {at: time.Second, key: "a"}}, at: time.Second, want: []string{"a"}},
		"key added again after a third of the lifetime": {additions: []addition{{key: "a", published: true}, {at: 4 * time.Second, key: "a", published: true}}, at: 12 * time.Second, want: []string{"a"}},
		"key not added again":                           {additions: []addition{{key: "a", published: true}}, at: 11 * time.Second},
		"new key while the set is full":                 {additions: []addition{{key: "a", published: true}, {key: "b"}}, maxKeys: 1, want: []string{"a"}},
		"new key after one has expired":                 {additions: []addition{{key: "a", published: true}, {at: 11 * time.Second, key: "b", published: true}}, maxKeys: 1, at: 11 * time.Second, want: []string{"b"}},
		"key added again while the set is full":         {additions: []addition{{key: "a", published: true}, {at: 5 * time.Second, key: "a", published: true}}, maxKeys: 1, at: 5 * time.Second, want: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			maxKeys := test.maxKeys
			if maxKeys == 0 {
				maxKeys = 100
			}
			r := gatherer.NewRecentSet[string](10*time.Second, maxKeys)
			for _, a := range test.additions {
				if published := r.Add(a.at, a.key); published != a.published {
					t.Errorf("Add(%v, %s) = %t, want %t", a.at, a.key, published, a.published)
				}
			}
			got, position := r.Since(test.at, 0)
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("Since(%v, 0) = %v, want %v", test.at, got, test.want)
			}
			if more, _ := r.Since(test.at, position); len(more) != 0 {
				t.Errorf("Since(%v, latest position) = %v, want no keys", test.at, more)
			}
		})
	}
}
