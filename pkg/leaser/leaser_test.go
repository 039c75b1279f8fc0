package leaser

import (
	"fmt"
	"testing"
	"time"
)

const (
	maxLease     = time.Second
	maxOperation = 300 * time.Millisecond
)

func TestHolder(t *testing.T) {
	const waitingTime = maxLease + maxOperation
	tests := map[string]struct {
		update func(*Holder)
		at     time.Duration
		want   time.Duration
	}{
		"no lease": {update: func(h *Holder) { h.UpdateLease(0, 0, 0) }, at: waitingTime},
		"waiting for the operations of an earlier leader": {
			update: func(h *Holder) { h.UpdateLease(0, 2, 10*waitingTime) }, at: waitingTime - 1,
		},
		"after the waiting time": {update: func(h *Holder) { h.UpdateLease(0, 2, 10*waitingTime) }, at: waitingTime, want: maxOperation},
		"near the end of the lease": {
			update: func(h *Holder) { h.UpdateLease(0, 2, waitingTime+maxOperation/2) }, at: waitingTime, want: maxOperation / 2,
		},
		"lease has ended": {update: func(h *Holder) { h.UpdateLease(0, 2, waitingTime) }, at: waitingTime + 1, want: -1},
		"new term restarts the waiting time": {
			update: func(h *Holder) {
				h.UpdateLease(0, 2, 10*waitingTime)
				h.UpdateLease(waitingTime, 3, 10*waitingTime)
			},
			at: waitingTime + 1,
		},
		"lease lost and regained in the same term restarts the waiting time": {
			update: func(h *Holder) {
				h.UpdateLease(0, 2, 10*waitingTime)
				h.UpdateLease(waitingTime, 0, 0)
				h.UpdateLease(waitingTime, 2, 10*waitingTime)
			},
			at: waitingTime + 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(Config{MaxLease: maxLease, MaxOperation: maxOperation})
			test.update(h)
			if got := h.OperationTimeout(test.at); got != test.want {
				t.Errorf("operation timeout is %v, want %v", got, test.want)
			}
			if canStart := h.CanStart(test.at); canStart != (test.want >= maxOperation) {
				t.Errorf("CanStart is %t, want %t", canStart, test.want >= maxOperation)
			}
		})
	}
}

func ExampleHolder() {
	h := New(Config{MaxLease: time.Second, MaxOperation: 300 * time.Millisecond})
	h.UpdateLease(0, 1, 5*time.Second)
	fmt.Println(h.CanStart(time.Second))
	fmt.Println(h.CanStart(2 * time.Second))
	// Output:
	// false
	// true
}
