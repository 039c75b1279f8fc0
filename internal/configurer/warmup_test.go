package configurer_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestCheckWarmUps guards against rates and durations that no host can keep to, and against errors
// that do not tell the field.
func TestCheckWarmUps(t *testing.T) {
	tests := map[string]struct {
		warmUp *state.WarmUp
		path   string
	}{
		"absent":                        {},
		"valid":                         {warmUp: &state.WarmUp{Rate: 5.2, Duration: durationpb.New(3 * time.Second), HealthPath: "/healthz"}},
		"negative rate":                 {warmUp: &state.WarmUp{Rate: -1}, path: "$.pools[0].warmUp.rate"},
		"rate that is no number":        {warmUp: &state.WarmUp{Rate: math.NaN()}, path: "$.pools[0].warmUp.rate"},
		"infinite rate":                 {warmUp: &state.WarmUp{Rate: math.Inf(1)}, path: "$.pools[0].warmUp.rate"},
		"negative duration":             {warmUp: &state.WarmUp{Duration: durationpb.New(-1)}, path: "$.pools[0].warmUp.duration"},
		"duration beyond its bounds":    {warmUp: &state.WarmUp{Duration: &durationpb.Duration{Seconds: math.MaxInt64}}, path: "$.pools[0].warmUp.duration"},
		"a health path that is no path": {warmUp: &state.WarmUp{HealthPath: "healthz"}, path: "$.pools[0].warmUp.healthPath"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &state.Configuration{Pools: []*state.Pool{{Name: "p", WarmUp: test.warmUp}}}
			for _, o := range []*state.Operation{
				{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: c}},
				{Kind: &state.Operation_Replace{Replace: &state.Document{Configuration: c}}},
			} {
				var invalid *configurer.InvalidConfigurationError
				err := configurer.CheckOperation(o)
				if errors.As(err, &invalid) != (test.path != "") || invalid != nil && invalid.Errors[0].Path != test.path {
					t.Errorf("error %v, want one at %q", err, test.path)
				}
			}
		})
	}
}
