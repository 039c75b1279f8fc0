package reporter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/reporter"
)

func Example() {
	start := time.Unix(1000, 0)
	counter := reporter.NewCounter(5*time.Second, 4)
	counter.Add(start, "one")
	counter.Add(start.Add(time.Second), "one")
	collector := reporter.NewCollector(reporter.Config{
		WindowLength: 5 * time.Second, SettleTime: 2 * time.Second, MaxWait: 4 * time.Second,
	}, start)
	for w, counts := range counter.Recent() {
		collector.Merge(w, "entry-1", counts)
	}
	collector.RecordReport(start.Add(5*time.Second), "host-1")
	w, complete := collector.NextComplete(start.Add(7*time.Second), 0, 1)
	fmt.Println(w, complete, collector.Sum(w))
	// Output: 200 true map[one:2]
}

func TestCollector(t *testing.T) {
	const windowLength, settleTime, maxWait = 5 * time.Second, 3 * time.Second, 8 * time.Second
	begin := time.Unix(1000, 0)
	end := begin.Add(windowLength)
	tests := map[string]struct {
		report func(*reporter.Collector)
		last   reporter.Window
		// expected is the number of hosts that should report the window.
		expected int
		now      time.Time
		complete bool
		sum      uint64
	}{
		"settling time has not passed": {
			report: func(c *reporter.Collector) { c.Merge(200, "a", reporter.Counts{"o": 1}) },
			now:    begin.Add(windowLength + settleTime - 1),
		},
		"sum of two processes": {
			report: func(c *reporter.Collector) {
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.Merge(200, "b", reporter.Counts{"o": 2})
			},
			now: begin.Add(windowLength + settleTime), complete: true, sum: 3,
		},
		"a delayed older report": {
			report: func(c *reporter.Collector) {
				c.Merge(200, "a", reporter.Counts{"o": 5})
				c.Merge(200, "a", reporter.Counts{"o": 4})
			},
			now: begin.Add(windowLength + settleTime), complete: true, sum: 5,
		},
		"waits for an unreachable host": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(maxWait - 1),
		},
		"complete once the unreachable host has reported again": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
				c.RecordReport(end.Add(6*time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 4})
			},
			expected: 2, now: end.Add(6 * time.Second), complete: true, sum: 5,
		},
		"complete after the maximum wait without the unreachable host": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(maxWait), complete: true, sum: 1,
		},
		"two processes of a restarted host count as one host": {
			report: func(c *reporter.Collector) {
				c.RecordReport(begin.Add(time.Second), "host-a")
				c.Merge(200, "a, first incarnation", reporter.Counts{"o": 1})
				c.RecordReport(end, "host-a")
				c.Merge(200, "a, second incarnation", reporter.Counts{"o": 2})
			},
			expected: 1, now: end.Add(settleTime), complete: true, sum: 3,
		},
		"counts are already final": {
			report: func(c *reporter.Collector) { c.Merge(200, "a", reporter.Counts{"o": 1}) },
			last:   200, now: begin.Add(time.Minute),
		},
		"a new collector waits for the settling time": {
			report: func(c *reporter.Collector) { c.Merge(198, "a", reporter.Counts{"o": 1}) },
			now:    begin.Add(settleTime - 1),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := reporter.NewCollector(reporter.Config{WindowLength: windowLength, SettleTime: settleTime, MaxWait: maxWait}, begin)
			test.report(c)
			w, complete := c.NextComplete(test.now, test.last, test.expected)
			if complete != test.complete {
				t.Fatalf("NextComplete returned window %d, %t, want %t", w, complete, test.complete)
			}
			if sum := c.Sum(w)["o"]; complete && sum != test.sum {
				t.Errorf("sum is %d, want %d", sum, test.sum)
			}
		})
	}
}

// TestCounterDropsOldWindows counts requests in many windows. Only the recent ones
// may be kept.
func TestCounterDropsOldWindows(t *testing.T) {
	counter := reporter.NewCounter(time.Second, 3)
	for i := range 20 {
		counter.Add(time.Unix(int64(100+i), 0), "o")
	}
	if kept := len(counter.Recent()); kept > 4 {
		t.Errorf("%d windows are kept, want at most 4", kept)
	}
}
