package synchronizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/synchronizer"
)

func Example() {
	s := synchronizer.New(10 * time.Second)
	noon := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	s.AddSample(time.Hour, "a", noon)
	s.AddSample(time.Hour, "b", noon.Add(2*time.Millisecond))
	s.AddSample(time.Hour, "c", noon.Add(-time.Minute))
	agreed, _ := s.AgreedTime(time.Hour + time.Second)
	fmt.Println(agreed.UTC().Format(time.TimeOnly))
	// Output: 12:00:01
}

func TestAgreedTime(t *testing.T) {
	noon := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		offsets map[synchronizer.Host]time.Duration
		age     time.Duration
		ok      bool
	}{
		"no sample":               {},
		"all agree":               {offsets: map[synchronizer.Host]time.Duration{"a": 0, "b": 0, "c": 0}, ok: true},
		"one of three is ahead":   {offsets: map[synchronizer.Host]time.Duration{"a": 2 * time.Second, "b": 0, "c": 0}, ok: true},
		"one of four is ahead":    {offsets: map[synchronizer.Host]time.Duration{"a": time.Hour, "b": 0, "c": 0, "d": 0}, ok: true},
		"one of four is behind":   {offsets: map[synchronizer.Host]time.Duration{"a": -time.Hour, "b": 0, "c": 0, "d": 0}, ok: true},
		"all samples are too old": {offsets: map[synchronizer.Host]time.Duration{"a": 0}, age: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := synchronizer.New(10 * time.Second)
			for host, offset := range test.offsets {
				s.AddSample(time.Hour, host, noon.Add(offset))
			}
			got, ok := s.AgreedTime(time.Hour + test.age)
			if ok != test.ok || ok && !got.Equal(noon) {
				t.Errorf("AgreedTime() = %v, %t, want %v, %t", got, ok, noon, test.ok)
			}
		})
	}
}
