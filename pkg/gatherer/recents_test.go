package gatherer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
)

func TestRecents(t *testing.T) {
	type note struct {
		at  time.Duration
		key string
		// told reports that readers are to hear of it.
		told bool
	}
	tests := map[string]struct {
		notes []note
		most  int
		at    time.Duration
		want  []string
	}{
		"new things are told":                {notes: []note{{key: "a", told: true}, {key: "b", told: true}}, want: []string{"a", "b"}},
		"again soon is not told":             {notes: []note{{key: "a", told: true}, {at: time.Second, key: "a"}}, at: time.Second, want: []string{"a"}},
		"again late in the lifetime is told": {notes: []note{{key: "a", told: true}, {at: 4 * time.Second, key: "a", told: true}}, at: 12 * time.Second, want: []string{"a"}},
		"what is not noted any more is gone": {notes: []note{{key: "a", told: true}}, at: 11 * time.Second},
		"nothing beyond the bound":           {notes: []note{{key: "a", told: true}, {key: "b"}}, most: 1, want: []string{"a"}},
		"old things make room":               {notes: []note{{key: "a", told: true}, {at: 11 * time.Second, key: "b", told: true}}, most: 1, at: 11 * time.Second, want: []string{"b"}},
		"renewed at the bound":               {notes: []note{{key: "a", told: true}, {at: 5 * time.Second, key: "a", told: true}}, most: 1, at: 5 * time.Second, want: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			most := test.most
			if most == 0 {
				most = 100
			}
			r := gatherer.NewRecentSet[string](10*time.Second, most)
			for _, n := range test.notes {
				if told := r.Add(n.at, n.key); told != n.told {
					t.Errorf("%s at %v: told is %t", n.key, n.at, told)
				}
			}
			got, position := r.Since(test.at, 0)
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if again, _ := r.Since(test.at, position); len(again) != 0 {
				t.Errorf("told again: %v", again)
			}
		})
	}
}
