package picker

import (
	"fmt"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// TestOnlyVersion guards against a stream that goes on at another version, also when a rule
// about failing domains looks for other candidates.
func TestOnlyVersion(t *testing.T) {
	candidate := func(id, version string, free, ready bool) Candidate {
		return Candidate{ID: registrar.UpstreamID(id), Domain: "a", Version: registrar.Version(version), Free: free, Ready: ready}
	}
	tests := map[string]struct {
		candidates []Candidate
		failedAt   []registrar.UpstreamID
		want       string
	}{
		"one is free":                   {candidates: []Candidate{candidate("1", "v1", true, true), candidate("2", "v2", true, true)}, want: "[1]"},
		"none of the version is free":   {candidates: []Candidate{candidate("1", "v1", false, false), candidate("2", "v2", true, true)}, want: "[]"},
		"the free one is in slow start": {candidates: []Candidate{candidate("1", "v1", false, true), candidate("2", "v2", true, true)}, want: "[1]"},
		"one is free, one in slow start": {
			candidates: []Candidate{candidate("1", "v1", true, true), candidate("2", "v1", false, true), candidate("3", "v2", true, true)}, want: "[1]",
		},
		"failed at the free one": {
			candidates: []Candidate{candidate("1", "v1", true, true), candidate("2", "v1", false, true), candidate("3", "v2", true, true)},
			failedAt:   []registrar.UpstreamID{"1"}, want: "[2]",
		},
		"failed at the only one that is ready": {
			candidates: []Candidate{candidate("1", "v1", true, true), candidate("2", "v1", false, false), candidate("3", "v2", true, true)},
			failedAt:   []registrar.UpstreamID{"1"}, want: "[1]",
		},
		"without a version": {candidates: []Candidate{candidate("1", "", true, true), candidate("2", "v2", true, true)}, want: "[]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out := OnlyVersion(test.candidates, "v1", test.failedAt)
			LeaveFailedDomains(nil, out)
			free := []string{}
			for _, c := range out {
				if c.Free {
					free = append(free, string(c.ID))
				}
			}
			if fmt.Sprint(free) != test.want {
				t.Errorf("free are %v, want %s", free, test.want)
			}
			if len(out) != len(test.candidates) {
				t.Errorf("%d candidates, want all %d", len(out), len(test.candidates))
			}
		})
	}
}
