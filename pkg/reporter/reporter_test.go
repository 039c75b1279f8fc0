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
	w, due := collector.Due(start.Add(7*time.Second), 0, 1)
	fmt.Println(w, due, collector.Sum(w))
	// Output: 200 true map[one:2]
}

func TestCollector(t *testing.T) {
	const length, settle, latest = 5 * time.Second, 3 * time.Second, 8 * time.Second
	begin := time.Unix(1000, 0)
	end := begin.Add(length)
	tests := map[string]struct {
		notes func(*reporter.Collector)
		last  reporter.Window
		// expected is the number of hosts that told of the window before.
		expected int
		now      time.Time
		due      bool
		sum      uint64
	}{
		"not settled yet": {
			notes: func(c *reporter.Collector) { c.Merge(200, "a", reporter.Counts{"o": 1}) },
			now:   begin.Add(length + settle - 1),
		},
		"settled over two processes": {
			notes: func(c *reporter.Collector) {
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.Merge(200, "b", reporter.Counts{"o": 2})
			},
			now: begin.Add(length + settle), due: true, sum: 3,
		},
		"an older word that was delayed": {
			notes: func(c *reporter.Collector) {
				c.Merge(200, "a", reporter.Counts{"o": 5})
				c.Merge(200, "a", reporter.Counts{"o": 4})
			},
			now: begin.Add(length + settle), due: true, sum: 5,
		},
		"a host that is cut off is waited for": {
			notes: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(latest - 1),
		},
		"until it has told of the whole window": {
			notes: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
				c.RecordReport(begin.Add(time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 1})
				c.RecordReport(end.Add(6*time.Second), "host-b")
				c.Merge(200, "b", reporter.Counts{"o": 4})
			},
			expected: 2, now: end.Add(6 * time.Second), due: true, sum: 5,
		},
		"but not for ever": {
			notes: func(c *reporter.Collector) {
				c.RecordReport(end, "host-a")
				c.Merge(200, "a", reporter.Counts{"o": 1})
			},
			expected: 2, now: end.Add(latest), due: true, sum: 1,
		},
		"one that started again is not waited for twice": {
			notes: func(c *reporter.Collector) {
				c.RecordReport(begin.Add(time.Second), "host-a")
				c.Merge(200, "a, first life", reporter.Counts{"o": 1})
				c.RecordReport(end, "host-a")
				c.Merge(200, "a, second life", reporter.Counts{"o": 2})
			},
			expected: 1, now: end.Add(settle), due: true, sum: 3,
		},
		"frozen before": {
			notes: func(c *reporter.Collector) { c.Merge(200, "a", reporter.Counts{"o": 1}) },
			last:  200, now: begin.Add(time.Minute),
		},
		"a new collector waits for every process": {
			notes: func(c *reporter.Collector) { c.Merge(198, "a", reporter.Counts{"o": 1}) },
			now:   begin.Add(settle - 1),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := reporter.NewCollector(reporter.Config{WindowLength: length, SettleTime: settle, MaxWait: latest}, begin)
			test.notes(c)
			w, due := c.Due(test.now, test.last, test.expected)
			if due != test.due {
				t.Fatalf("window %d due: %t", w, due)
			}
			if sum := c.Sum(w)["o"]; due && sum != test.sum {
				t.Errorf("sum %d", sum)
			}
		})
	}
}

// TestCounterForgets counts over many windows: only the recent ones are remembered.
func TestCounterForgets(t *testing.T) {
	counter := reporter.NewCounter(time.Second, 3)
	for i := range 20 {
		counter.Add(time.Unix(int64(100+i), 0), "o")
	}
	if kept := len(counter.Recent()); kept > 4 {
		t.Errorf("%d windows are remembered", kept)
	}
}
