package router

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestUnreachableUpstreamCostsNoRefusal guards against a request that is refused although its deadline is far away, since
// the time for its first token has passed while a connection to an upstream that is gone was awaited.
func TestUnreachableUpstreamCostsNoRefusal(t *testing.T) {
	tests := map[string]struct {
		avoid   []registrar.UpstreamID
		granted bool
	}{
		"new request":                      {},
		"after an attempt that has failed": {avoid: []registrar.UpstreamID{"gone"}, granted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChargeTest(t)
			c.request.class = &state.Class{Name: "c", Tier: 1, Target: &state.Target{FirstToken: durationpb.New(300 * time.Millisecond)}}
			c.request.arrived -= 305 * time.Millisecond
			c.request.pick.Avoid = test.avoid
			g, refusal := c.dispatcher.acquire(t.Context(), c.request)
			if granted := g != nil; granted != test.granted {
				t.Errorf("granted: %t, refusal: %v", granted, refusal)
			}
		})
	}
}
