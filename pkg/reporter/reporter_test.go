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
	w, due := collector.NextComplete(start.Add(7*time.Second), 0, 1)
	fmt.Println(w, due, collector.Sum(w))
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
		due      bool
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
			now: begin.Add(windowLength + settleTime), due: true, sum: 3,
		},
		"a delayed older report": {
			report: func(c *reporter.Collector) {
				c.Merge(200, "a", reporter.Counts{"o": 5})
				c.Merge(200, "a", reporter.Counts{"o": 4})
			},
			now: begin.Add(windowLength + settleTime), due: true, sum: 5,
		},
		"waits for a host that is cut off": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(maxWait - 1),
		},
		"complete once the cut-off host has reported": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
				c.RecordReport(end.Add(6*time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 4})
			},
			expected: 2, now: end.Add(6 * time.Second), due: true, sum: 5,
		},
		"complete after the maximum wait without the cut-off host": {
			report: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(maxWait), due: true, sum: 1,
		},
		"two processes of a restarted host count as one host": {
			report: func(c *reporter.Collector) {
				c.RecordReport(begin.Add(time.Second), "host-a")
				c.Merge(200, "a, first incarnation", reporter.Counts{"o": 1})
				c.RecordReport(end, "host-a")
				c.Merge(200, "a, second incarnation", reporter.Counts{"o": 2})
			},
			expected: 1, now: end.Add(settleTime), due: true, sum: 3,
		},
		"already frozen": {
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
			w, due := c.NextComplete(test.now, test.last, test.expected)
			if due != test.due {
				t.Fatalf("window %d due: %t", w, due)
			}
			if sum := c.Sum(w)["o"]; due && sum != test.sum {
				t.Errorf("sum %d", sum)
			}
		})
	}
}

// TestCounterDropsOldWindows counts over many windows: only the recent ones may be kept.
func TestCounterDropsOldWindows(t *testing.T) {
	counter := reporter.NewCounter(time.Second, 3)
	for i := range 20 {
		counter.Add(time.Unix(int64(100+i), 0), "o")
	}
	if kept := len(counter.Recent()); kept > 4 {
		t.Errorf("%d windows are kept", kept)
	}
}
