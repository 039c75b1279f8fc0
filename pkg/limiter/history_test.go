package limiter

import (
	"testing"
	"time"
)

func TestHistory(t *testing.T) {
	var h History
	if got := h.At(time.Hour); got != 0 {
		t.Errorf("%d in flight without samples, want 0", got)
	}
	const samples = 10 * keptSamples
	for n := range samples {
		h.Record(time.Duration(n)*time.Second, n)
	}
	tests := map[string]struct {
		at   time.Duration
		want int
	}{
		"at a sample":             {at: (samples - 7) * time.Second, want: samples - 7},
		"between samples":         {at: (samples-7)*time.Second + time.Millisecond, want: samples - 7},
		"after the latest sample": {at: 2 * samples * time.Second, want: samples - 1},
		"before the kept samples": {at: time.Second, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := h.At(test.at); got != test.want {
				t.Errorf("%d in flight, want %d", got, test.want)
			}
		})
	}
	if len(h.samples) > 2*keptSamples {
		t.Errorf("%d samples are kept, want at most %d", len(h.samples), 2*keptSamples)
	}
}
