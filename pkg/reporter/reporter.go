// Package reporter counts the requests of each organisation in windows that
// are aligned to true time, over many processes, and decides when a window's
// figures are complete enough to be frozen.
//
// A Counter stands in each process that serves requests and says again and
// again what it has counted in the recent windows. A Collector stands in the
// process in charge; it keeps the latest word of every Counter and sums a
// window up once its settling time has passed and as many hosts have told of
// the whole window as of the one before, or else at the latest time. So hosts
// that are cut off for a while still count. Both are pure.
package reporter

import (
	"time"
)

type (
	// Window numbers the windows: window k begins k lengths after the start of 1970.
	Window uint64
	// Organisation identifies a customer.
	Organisation string
	// Source identifies one incarnation of a counting process.
	Source string
	// Host names the host of a counting process; one that starts again has a new
	// incarnation there.
	Host string
	// Counts are the requests of each organisation.
	Counts map[Organisation]uint64

	// Counter counts in one process. It is not safe for concurrent use.
	Counter struct {
		length  time.Duration
		kept    Window
		windows map[Window]Counts
	}

	// Config configures a Collector.
	Config struct {
		// WindowLength is that of the windows.
		WindowLength time.Duration
		// SettleTime is the time after a window's end before which it is not complete.
		SettleTime time.Duration
		// MaxWait is the time after a window's end at which it is taken as it is.
		MaxWait time.Duration
	}

	// Collector sums up the windows of all processes. It is not safe for concurrent use.
	Collector struct {
		config  Config
		windows map[Window]map[Source]Counts
		// heard is when each host told what it has counted last.
		heard map[Host]time.Time
		since time.Time
	}
)

// WindowOf returns the window that a time belongs to.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// EndOf returns the end of a window.
func EndOf(w Window, length time.Duration) time.Time {
	return time.Unix(0, int64(w+1)*int64(length))
}

// NewCounter returns a counter that remembers the given number of recent windows.
func NewCounter(length time.Duration, kept int) *Counter {
	return &Counter{length: length, kept: Window(kept), windows: map[Window]Counts{}}
}

// Add counts a request that began to run at a true time.
func (c *Counter) Add(at time.Time, organisation Organisation) {
	w := WindowOf(at, c.length)
	if c.windows[w] == nil {
		c.windows[w] = Counts{}
		for old := range c.windows {
			if old+c.kept < w {
				delete(c.windows, old)
			}
		}
	}
	c.windows[w][organisation]++
}

// Recent returns a copy of the counts of the remembered windows.
func (c *Counter) Recent() map[Window]Counts {
	out := make(map[Window]Counts, len(c.windows))
	for w, counts := range c.windows {
		copied := make(Counts, len(counts))
		for organisation, n := range counts {
			copied[organisation] = n
		}
		out[w] = copied
	}
	return out
}

// NewCollector returns a collector that begins at a true time.
func NewCollector(config Config, now time.Time) *Collector {
	return &Collector{config: config, windows: map[Window]map[Source]Counts{}, heard: map[Host]time.Time{}, since: now}
}

// RecordReport notes that a host tells what it has counted so far, at a true time.
func (c *Collector) RecordReport(now time.Time, host Host) {
	c.heard[host] = now
}

// Merge takes what a process has counted in a window. Counts only grow, so that
// an older word that was delayed changes nothing.
func (c *Collector) Merge(w Window, source Source, counts Counts) {
	bySource := c.windows[w]
	if bySource == nil {
		bySource = map[Source]Counts{}
		c.windows[w] = bySource
	}
	known := bySource[source]
	if known == nil {
		known = Counts{}
		bySource[source] = known
	}
	for organisation, n := range counts {
		known[organisation] = max(known[organisation], n)
	}
}

// Due returns the oldest window after the last frozen one that is complete at
// a true time, or false. expected is the number of hosts that are likely to
// tell of it. No window is complete before the collector could hear every
// host, a settling time after its beginning.
func (c *Collector) Due(now time.Time, last Window, expected int) (Window, bool) {
	var best Window
	for w := range c.windows {
		if w <= last {
			delete(c.windows, w)
			continue
		}
		if c.complete(now, w, expected) && (best == 0 || w < best) {
			best = w
		}
	}
	return best, best != 0
}

func (c *Collector) complete(now time.Time, w Window, expected int) bool {
	end := EndOf(w, c.config.WindowLength)
	if now.Before(end.Add(c.config.SettleTime)) || now.Before(c.since.Add(c.config.SettleTime)) {
		return false
	}
	return c.heardSince(end) >= expected || !now.Before(end.Add(c.config.MaxWait))
}

func (c *Collector) heardSince(at time.Time) int {
	n := 0
	for _, heard := range c.heard {
		if !heard.Before(at) {
			n++
		}
	}
	return n
}

// Sum returns the counts of a window over all processes.
func (c *Collector) Sum(w Window) Counts {
	out := Counts{}
	for _, counts := range c.windows[w] {
		for organisation, n := range counts {
			out[organisation] += n
		}
	}
	return out
}

// ReportingHosts returns the number of hosts that were heard since a window's beginning.
func (c *Collector) ReportingHosts(w Window) int {
	return c.heardSince(EndOf(w, c.config.WindowLength).Add(-c.config.WindowLength))
}
