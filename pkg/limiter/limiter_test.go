package limiter

import (
	"testing"
	"time"
)

const fast = 100 * time.Millisecond

func newTestLimiter() *Limiter {
	return New(Config{Initial: 4, Maximum: 100}, 0)
}

// run keeps as many requests in flight as the limit allows and completes n of
// them, one every latency.
func run(l *Limiter, n int, latency time.Duration) {
	now := time.Duration(0)
	for range n {
		now += latency
		for l.CanStart(now) {
			l.Start()
		}
		l.ObserveFirstByte(now, latency)
		l.Finish()
	}
}

func TestLimitGrowsWhileResponsesAreFast(t *testing.T) {
	l := newTestLimiter()
	run(l, 50, fast)
	if limit := l.Limit(time.Hour); limit < 40 {
		t.Errorf("limit is %d after 50 fast responses, want at least 40", limit)
	}
}

func TestLimitShrinksWhenResponsesSlowDown(t *testing.T) {
	l := newTestLimiter()
	run(l, 50, fast)
	before := l.Limit(time.Hour)
	run(l, 20, 5*fast)
	if after := l.Limit(time.Hour); after > before/2 {
		t.Errorf("limit went from %d to %d after responses became five times slower, want at most half", before, after)
	}
}

func TestCeiling(t *testing.T) {
	l := newTestLimiter()
	l.SetCeiling(2)
	run(l, 50, fast)
	if limit := l.Limit(time.Hour); limit != 2 {
		t.Errorf("limit is %d, want its ceiling 2", limit)
	}
	l.SetCeiling(0)
	if limit := l.Limit(time.Hour); limit != 1 {
		t.Errorf("limit is %d at ceiling 0, want 1", limit)
	}
}

// TestReportedSlotsStayInUse guards against the limit of an upstream with few
// reported slots shrinking when its latency varies: up to its slots, its latency
// depends little on the number of requests. Failures must still shrink the limit.
func TestReportedSlotsStayInUse(t *testing.T) {
	l := newTestLimiter()
	l.SetCeiling(3)
	run(l, 50, fast)
	run(l, 20, 5*fast)
	if limit := l.Limit(time.Hour); limit != 3 {
		t.Errorf("limit is %d after slow responses, want all 3 reported slots", limit)
	}
	for range 5 {
		l.ObserveFailure(time.Hour)
	}
	if limit := l.Limit(time.Hour); limit == 3 {
		t.Error("limit did not shrink after 5 failures")
	}
}

func TestSlowStart(t *testing.T) {
	l := New(Config{Initial: 40, Maximum: 100, SlowStart: time.Second}, 0)
	limits := []int{l.Limit(0), l.Limit(250 * time.Millisecond), l.Limit(time.Second)}
	if limits[0] != 1 || limits[1] != 10 || limits[2] != 40 {
		t.Errorf("limits during slow start are %v, want [1 10 40]", limits)
	}
}

func TestDivideSlots(t *testing.T) {
	known := func(requests ...int) []Demand {
		var out []Demand
		for _, r := range requests {
			out = append(out, Demand{Requests: r, Known: true})
		}
		return out
	}
	tests := map[string]struct {
		slots, own int
		others     []Demand
		want       int
	}{
		"alone":                     {slots: 20, own: 5, want: 20},
		"even demand":               {slots: 20, own: 5, others: known(5), want: 10},
		"all demand here":           {slots: 20, own: 9, others: known(0), want: 19},
		"no demand here":            {slots: 20, others: known(9), want: 1},
		"unreachable process":       {slots: 20, own: 9, others: append(known(0), Demand{}), want: 7},
		"more processes than slots": {slots: 2, own: 1, others: known(1, 1, 1), want: 1},
		"no demand at all":          {slots: 20, others: known(0), want: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := DivideSlots(test.slots, test.own, test.others); got != test.want {
				t.Errorf("DivideSlots() = %d, want %d", got, test.want)
			}
		})
	}
}

// TestRoomIgnoresSlowStart guards against the room of an upstream that just started being taken for
// none, and against more requests than it may have later.
func TestRoomIgnoresSlowStart(t *testing.T) {
	const initial = 4
	l := New(Config{Initial: initial, Maximum: 100, SlowStart: time.Second}, 0)
	l.Start()
	if l.CanStart(0) {
		t.Error("a second request may start at the beginning of slow start")
	}
	for n := 1; n < initial; n++ {
		if !l.HasRoom() {
			t.Errorf("no room with %d of %d requests", n, initial)
		}
		l.Start()
	}
	if l.HasRoom() {
		t.Errorf("room beside %d requests", initial)
	}
}
