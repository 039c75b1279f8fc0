package router

import (
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

// TestRetryAfterWhileStarting guards against clients that are sent away for longer than a process mostly takes to learn
// the configuration, and against all of them returning at once.
func TestRetryAfterWhileStarting(t *testing.T) {
	tests := map[string]struct {
		age, shortest, longest time.Duration
	}{
		"just started":     {shortest: usualStartupTime - 50*time.Millisecond, longest: 2 * usualStartupTime},
		"about to serve":   {age: time.Second, shortest: minRetryAfter, longest: 2 * minRetryAfter},
		"started long ago": {age: time.Minute, shortest: minRetryAfter, longest: 2 * minRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.startedAt = timer.Now() - test.age
			distinct := map[time.Duration]bool{}
			for range 100 {
				wait := r.retryAfter()
				distinct[wait] = true
				if wait < test.shortest || wait > test.longest {
					t.Fatalf("retry after %v, want %v to %v", wait, test.shortest, test.longest)
				}
			}
			if len(distinct) < 50 {
				t.Errorf("%d different times of 100, want them spread", len(distinct))
			}
		})
	}
}
