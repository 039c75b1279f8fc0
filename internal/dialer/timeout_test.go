package dialer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/schema/state"
)

// TestTimeoutFor guards against requests that miss their target because a connection to an upstream that has gone
// without a word is awaited for as long as the target.
func TestTimeoutFor(t *testing.T) {
	tests := map[string]struct {
		target *state.Target
		limit  time.Duration
		want   time.Duration
	}{
		"no target":          {limit: 300 * time.Millisecond, want: 300 * time.Millisecond},
		"far target":         {target: &state.Target{FirstToken: durationpb.New(2 * time.Second)}, limit: 300 * time.Millisecond, want: 300 * time.Millisecond},
		"near target":        {target: &state.Target{FirstToken: durationpb.New(300 * time.Millisecond)}, limit: 300 * time.Millisecond, want: 150 * time.Millisecond},
		"very near target":   {target: &state.Target{WholeAnswer: durationpb.New(120 * time.Millisecond)}, limit: 300 * time.Millisecond, want: 100 * time.Millisecond},
		"shorter limit":      {target: &state.Target{WholeAnswer: durationpb.New(120 * time.Millisecond)}, limit: 50 * time.Millisecond, want: 50 * time.Millisecond},
		"whole answer alone": {target: &state.Target{WholeAnswer: durationpb.New(400 * time.Millisecond)}, limit: time.Second, want: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := TimeoutFor(test.target, test.limit); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
