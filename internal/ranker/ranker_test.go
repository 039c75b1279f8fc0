package ranker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// TestOrder checks in which order control processes are tried.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		lagging, failed []string
		want            []string
	}{
		"all work":                       {want: []string{"a", "b", "c"}},
		"one failed":                     {failed: []string{"a"}, want: []string{"b", "c", "a"}},
		"one lags":                       {lagging: []string{"a"}, want: []string{"b", "c", "a"}},
		"two lag":                        {lagging: []string{"a", "b"}, want: []string{"c", "a", "b"}},
		"one that does not lag failed":   {lagging: []string{"a"}, failed: []string{"b"}, want: []string{"c", "a", "b"}},
		"the others have failed":         {lagging: []string{"a"}, failed: []string{"b", "c"}, want: []string{"a", "b", "c"}},
		"all lag, as during an election": {lagging: []string{"a", "b", "c"}, want: []string{"c", "a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addresses := []string{"a", "b", "c"}
			r := New(&settings.Entry{ControlAddresses: addresses, Freshness: durationpb.New(time.Second)}, messenger.Security{})
			clientOf := func(address string) *messenger.Client {
				return r.All()[slices.IndexFunc(r.All(), func(c *messenger.Client) bool { return c.Address() == address })]
			}
			for _, address := range test.failed {
				r.MarkFailed(clientOf(address))
			}
			for _, address := range test.lagging {
				r.MarkLagging(clientOf(address))
			}
			r.SetAddresses(addresses)
			var got []string
			for _, c := range r.All() {
				got = append(got, c.Address())
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}
