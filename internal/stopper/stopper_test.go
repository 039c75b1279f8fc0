package stopper

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"
)

// begin begins the stop without waiting for its moments.
func (s *Stopper) begin(t *testing.T, left time.Duration) {
	t.Helper()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	s.Stop(ended, left)
}

// TestMayBegin guards against requests that are begun although their response would outlast the process, and against
// refusals of those that end in time.
func TestMayBegin(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		left, passed, expected time.Duration
		want                   bool
	}{
		"ends in time":                           {left: 8 * second, expected: 6 * second, want: true},
		"would end when nothing waits any more":  {left: 8 * second, expected: 7 * second},
		"ends in time, begun late":               {left: 8 * second, passed: 5 * second, expected: second, want: true},
		"outlasts the process":                   {left: 8 * second, passed: 5 * second, expected: 3 * second},
		"takes no time, nothing waits":           {left: 8 * second, passed: 7 * second},
		"little time, begun in its first half":   {left: 2 * second, passed: second, want: true},
		"little time, begun in its last quarter": {left: 2 * second, passed: 3 * second / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			s := New(func() time.Duration { return now })
			if s.Stopping() || !s.MayBegin(24*time.Hour) {
				t.Fatal("a process that does not stop refuses a request")
			}
			s.begin(t, test.left)
			now += test.passed
			if got := s.MayBegin(test.expected); got != test.want {
				t.Errorf("may begin: %t, want %t", got, test.want)
			}
		})
	}
}

// TestExcess guards against more requests that wait until the end than can be answered then, and against refusals of
// the few that can.
func TestExcess(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		left, passed time.Duration
		waiting      int
		want         int
	}{
		"few wait":                     {left: 4 * second, waiting: 800},
		"many wait":                    {left: 4 * second, waiting: 1000, want: 200},
		"the same, half of it is over": {left: 4 * second, passed: 2 * second, waiting: 1000, want: 600},
		"nothing waits any more":       {left: 4 * second, passed: 4 * second, waiting: 3, want: 3},
		"the end has passed":           {left: 4 * second, passed: 5 * second, waiting: 3, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			s := New(func() time.Duration { return now })
			if got := s.Excess(test.waiting); got != 0 {
				t.Errorf("%d of those that wait at a process that does not stop are refused", got)
			}
			s.begin(t, test.left)
			now += test.passed
			if got := s.Excess(test.waiting); got != test.want {
				t.Errorf("%d are refused, want %d", got, test.want)
			}
		})
	}
}

// TestStop guards against waits and attempts that go on when the process ends, or are ended in another order.
func TestStop(t *testing.T) {
	s := New(func() time.Duration { return time.Hour })
	wait, stop := s.Wait(t.Context())
	defer stop()
	order := make(chan string, 2)
	context.AfterFunc(wait, func() { order <- "wait" })
	s.OnEnd(func(cause error) {
		if !errors.As(cause, new(*Error)) {
			t.Errorf("the attempt ends with %v", cause)
		}
		order <- "attempt"
	})
	released := s.OnEnd(func(error) { t.Error("an attempt ends that has been released") })
	released()
	s.Stop(t.Context(), 80*time.Millisecond)
	if first, second := <-order, <-order; first != "wait" || second != "attempt" {
		t.Errorf("ended in the order %s, %s", first, second)
	}
	if !errors.As(context.Cause(wait), new(*Error)) {
		t.Errorf("the wait ended with %v", context.Cause(wait))
	}
}

func ExampleStopper() {
	s := New(func() time.Duration { return 0 })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(ended, 8*time.Second)
	fmt.Println(s.MayBegin(time.Second), s.MayBegin(time.Minute))
	// Output: true false
}
