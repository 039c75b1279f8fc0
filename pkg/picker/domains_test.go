package picker

import (
	"slices"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// TestLeaveFailedDomains guards against a further attempt in a failure domain that is being lost.
func TestLeaveFailedDomains(t *testing.T) {
	lost := []Candidate{{ID: "gone-1", Domain: "a"}, {ID: "gone-2", Domain: "a"}, {ID: "going", Domain: "a", Free: true, Ready: true}}
	tests := map[string]struct {
		failedAt  []registrar.UpstreamID
		elsewhere []Candidate
		want      []registrar.UpstreamID
	}{
		"a free upstream elsewhere": {
			failedAt:  []registrar.UpstreamID{"gone-1", "gone-2"},
			elsewhere: []Candidate{{ID: "free", Domain: "b", Free: true, Ready: true}, {ID: "starting", Domain: "b", Ready: true}},
			want:      []registrar.UpstreamID{"free"},
		},
		"an upstream in its slow start": {
			failedAt:  []registrar.UpstreamID{"gone-1", "gone-2"},
			elsewhere: []Candidate{{ID: "starting", Domain: "b", Ready: true}, {ID: "full", Domain: "c"}},
			want:      []registrar.UpstreamID{"starting"},
		},
		"none that is ready": {
			failedAt:  []registrar.UpstreamID{"gone-1", "gone-2"},
			elsewhere: []Candidate{{ID: "full", Domain: "b"}},
			want:      []registrar.UpstreamID{"going"},
		},
		"one failure": {
			failedAt:  []registrar.UpstreamID{"gone-1"},
			elsewhere: []Candidate{{ID: "starting", Domain: "b", Ready: true}},
			want:      []registrar.UpstreamID{"going"},
		},
		"another that failed": {
			failedAt:  []registrar.UpstreamID{"gone-1", "gone-2", "failing"},
			elsewhere: []Candidate{{ID: "failing", Domain: "b", Free: true, Ready: true}},
			want:      []registrar.UpstreamID{"going", "failing"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := append(slices.Clone(lost), test.elsewhere...)
			LeaveFailedDomains(test.failedAt, candidates)
			var free []registrar.UpstreamID
			for i := range candidates {
				if candidates[i].Free {
					free = append(free, candidates[i].ID)
				}
			}
			if !slices.Equal(free, test.want) {
				t.Errorf("free are %v, want %v", free, test.want)
			}
		})
	}
}
