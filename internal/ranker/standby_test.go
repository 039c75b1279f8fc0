package ranker

import (
	"testing"
	"time"
)

// TestStandby guards against upstreams that stay unknown to an entry process because the control process
// that it prefers does not reply, or has not heard of them.
func TestStandby(t *testing.T) {
	const start = time.Hour
	tests := map[string]struct {
		replied          bool
		preferred, other []uint64
		after            time.Duration
		suffice          bool
	}{
		"at the start":                           {suffice: true},
		"no reply since the start":               {after: maxPreferredSilence + 1},
		"all hear of all":                        {replied: true, suffice: true},
		"the preferred one is silent":            {replied: true, after: maxPreferredSilence + 1},
		"a host is down":                         {replied: true, preferred: []uint64{7}, other: []uint64{7}, suffice: true},
		"only the preferred one hears of a host": {replied: true, other: []uint64{7}, suffice: true},
		"only the other one hears of a host":     {replied: true, preferred: []uint64{7, 8}, other: []uint64{8}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewStandby(start)
			if test.replied {
				s.RecordReply(start, test.preferred)
			}
			if got := s.LeavesSuffice(start+test.after, test.other); got != test.suffice {
				t.Errorf("leaves suffice: %t, want %t", got, test.suffice)
			}
		})
	}
}
