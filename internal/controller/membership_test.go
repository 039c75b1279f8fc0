package controller

import (
	"testing"
	"time"
)

// TestIsSilent guards against members that are gone but never removed because leaders
// change: each new leader counts its election as contact with every member.
func TestIsSilent(t *testing.T) {
	const (
		now     = time.Hour
		silence = 7 * time.Second
	)
	ago := func(d time.Duration) time.Duration { return now - d }
	tests := map[string]struct {
		lastContact, lastGossip time.Duration
		want                    bool
	}{
		"answers the leader":                    {lastContact: ago(time.Second), lastGossip: ago(time.Second)},
		"no answer for long":                    {lastContact: ago(8 * time.Second), lastGossip: ago(time.Second), want: true},
		"gone long before the election":         {lastContact: ago(2 * time.Second), lastGossip: ago(14 * time.Second), want: true},
		"gone long before, leader is too new":   {lastContact: ago(time.Second), lastGossip: ago(14 * time.Second)},
		"gone shortly before the election":      {lastContact: ago(2 * time.Second), lastGossip: ago(6 * time.Second)},
		"answers, but its gossip does not come": {lastContact: ago(time.Second / 4), lastGossip: ago(14 * time.Second)},
		"never heard of":                        {lastContact: ago(2 * time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isSilent(now, test.lastContact, test.lastGossip, silence); got != test.want {
				t.Errorf("isSilent() = %t, want %t", got, test.want)
			}
		})
	}
}
