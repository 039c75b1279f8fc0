package leaser

import (
	"fmt"
	"testing"
	"time"
)

const (
	longestLease = time.Second
	longestAct   = 300 * time.Millisecond
)

func TestHolder(t *testing.T) {
	const settled = longestLease + longestAct
	tests := map[string]struct {
		observe func(*Holder)
		at      time.Duration
		want    time.Duration
	}{
		"no lease": {observe: func(h *Holder) { h.UpdateLease(0, 0, 0) }, at: settled},
		"waiting for the acts of an earlier holder": {
			observe: func(h *Holder) { h.UpdateLease(0, 2, 10*settled) }, at: settled - 1,
		},
		"in charge": {observe: func(h *Holder) { h.UpdateLease(0, 2, 10*settled) }, at: settled, want: longestAct},
		"near the end of the lease": {
			observe: func(h *Holder) { h.UpdateLease(0, 2, settled+longestAct/2) }, at: settled, want: longestAct / 2,
		},
		"lease has ended": {observe: func(h *Holder) { h.UpdateLease(0, 2, settled) }, at: settled + 1, want: -1},
		"a new term waits again": {
			observe: func(h *Holder) {
				h.UpdateLease(0, 2, 10*settled)
				h.UpdateLease(settled, 3, 10*settled)
			},
			at: settled + 1,
		},
		"lost and regained in the same term waits again": {
			observe: func(h *Holder) {
				h.UpdateLease(0, 2, 10*settled)
				h.UpdateLease(settled, 0, 0)
				h.UpdateLease(settled, 2, 10*settled)
			},
			at: settled + 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(Config{MaxLease: longestLease, MaxOperation: longestAct})
			test.observe(h)
			if got := h.OperationTimeout(test.at); got != test.want {
				t.Errorf("remaining %v, want %v", got, test.want)
			}
			if inCharge := h.CanStart(test.at); inCharge != (test.want >= longestAct) {
				t.Errorf("in charge: %t", inCharge)
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
