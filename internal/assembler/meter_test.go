package assembler

import (
	"testing"
	"time"
)

// TestMeter guards against a slow link that is taken for a slow process, and the other way round.
func TestMeter(t *testing.T) {
	const window = PartTimeout / 5
	tests := map[string]struct {
		bytes []int64
		want  bool
	}{
		"nothing comes":                      {bytes: []int64{0}},
		"headers of other replies":           {bytes: []int64{200}},
		"one of the smallest in its timeout": {bytes: []int64{minPartBytes / 4}, want: true},
		"a part, then nothing":               {bytes: []int64{PartBytes, 0}},
		"nothing, then a part":               {bytes: []int64{0, PartBytes}, want: true},
		"less than that":                     {bytes: []int64{minPartBytes / 6}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now, received := time.Hour, int64(7)
			m := NewMeter(now, func() int64 { return received })
			var progresses bool
			for _, bytes := range test.bytes {
				now += window
				received += bytes
				progresses = m.Progresses(now)
			}
			if progresses != test.want || m.Age(now+window) != window {
				t.Errorf("progress %t, %v since it was looked at; want %t, %v", progresses, m.Age(now+window), test.want, window)
			}
		})
	}
}
