// Package reporter counts the requests of each organisation in aligned time
// windows over many processes, and decides when the counts of a window are
// complete enough to be made final.
//
// Each process that serves requests has a Counter and repeatedly reports its
// counts of the recent windows. One process at a time, such as the holder of a
// lease, has a Collector, which keeps the highest counts reported by each process.
// A window is complete once its settling time has passed and the expected number
// of hosts have reported after its end, or else when the maximum wait has passed.
// So the counts of a host that is unreachable for less than the maximum wait are
// still included.
//
// Neither type reads a clock or does any I/O. All times are given by the caller
// and are agreed times of the group: times of day that are the same in all
// processes.
package reporter

import (
	"time"
)

type (
	// Window is the number of an aligned window. Window k begins k window lengths
	// after the Unix epoch.
	Window uint64
	// Organisation identifies the organisation that a request is made for.
	Organisation string
	// Source identifies one incarnation of a process with a Counter.
	Source string
	// Host identifies the host of a process with a Counter. A restarted process is
	// a new Source on the same Host.
	Host string
	// Counts are the numbers of requests by organisation.
	Counts map[Organisation]uint64

	// Counter counts the requests of one process. It is not safe for concurrent use.
	Counter struct {
		windowLength time.Duration
		// retained is the number of windows kept before the latest one.
		retained Window
		windows  map[Window]Counts
	}

	// Config configures a Collector.
	Config struct {
		// WindowLength is the length of each window.
		WindowLength time.Duration
		// SettleTime is the least time from the end of a window until it can be
		// complete.
		SettleTime time.Duration
		// MaxWait is the time from the end of a window until it is complete even if
		// fewer hosts than expected have reported.
		MaxWait time.Duration
	}

	// Collector sums the counts of all processes. It is not safe for concurrent use.
	Collector struct {
		config  Config
		windows map[Window]map[Source]Counts
		// lastReports holds the time of the latest report of each host.
		lastReports map[Host]time.Time
		startedAt   time.Time
	}
)

// WindowOf returns the window that contains a time.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// EndOf returns the end of a window, which is the beginning of the next one.
func EndOf(w Window, length time.Duration) time.Time {
	return time.Unix(0, int64(w+1)*int64(length))
}

// NewCounter returns a Counter that keeps the counts of the latest window and of
// the given number of windows before it.
func NewCounter(windowLength time.Duration, retained int) *Counter {
	return &Counter{windowLength: windowLength, retained: Window(retained), windows: map[Window]Counts{}}
}

// Add counts a request whose processing began at the given time.
func (c *Counter) Add(at time.Time, organisation Organisation) {
	w := WindowOf(at, c.windowLength)
	if c.windows[w] == nil {
		c.windows[w] = Counts{}
		for old := range c.windows {
			if old+c.retained < w {
				delete(c.windows, old)
			}
		}
	}
	c.windows[w][organisation]++
}

// Recent returns a copy of the counts of the retained windows.
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

// NewCollector returns an empty Collector. now is the time of its creation.
func NewCollector(config Config, now time.Time) *Collector {
	return &Collector{config: config, windows: map[Window]map[Source]Counts{}, lastReports: map[Host]time.Time{}, startedAt: now}
}

// RecordReport records that a host has reported its current counts at now.
// The counts themselves are passed to Merge.
func (c *Collector) RecordReport(now time.Time, host Host) {
	c.lastReports[host] = now
}

// Merge records the counts of one process in a window. Since counts only grow, it
// keeps the greater ones, and a delayed older report changes nothing.
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

// NextComplete returns the oldest window after last for which counts were merged
// and that is complete at now, or false if there is none. last is the latest window
// whose counts the caller has made final; the windows up to it are discarded.
// expected is the number of hosts that should report the window, which the caller
// derives from earlier windows; see ReportingHosts. No window is complete within
// the settling time after the Collector was created, so that every host can report
// to it first.
func (c *Collector) NextComplete(now time.Time, last Window, expected int) (Window, bool) {
	var oldest Window
	for w := range c.windows {
		if w <= last {
			delete(c.windows, w)
			continue
		}
		if c.isComplete(now, w, expected) && (oldest == 0 || w < oldest) {
			oldest = w
		}
	}
	return oldest, oldest != 0
}

// isComplete reports whether a window is complete at now.
func (c *Collector) isComplete(now time.Time, w Window, expected int) bool {
	end := EndOf(w, c.config.WindowLength)
	if now.Before(end.Add(c.config.SettleTime)) || now.Before(c.startedAt.Add(c.config.SettleTime)) {
		return false
	}
	return c.hostsReportedSince(end) >= expected || !now.Before(end.Add(c.config.MaxWait))
}

// hostsReportedSince returns the number of hosts whose latest report is not earlier than at.
func (c *Collector) hostsReportedSince(at time.Time) int {
	n := 0
	for _, reported := range c.lastReports {
		if !reported.Before(at) {
			n++
		}
	}
	return n
}

// Sum returns the counts of a window summed over all processes.
func (c *Collector) Sum(w Window) Counts {
	out := Counts{}
	for _, counts := range c.windows[w] {
		for organisation, n := range counts {
			out[organisation] += n
		}
	}
	return out
}

// ReportingHosts returns the number of hosts that have reported since a window's beginning.
func (c *Collector) ReportingHosts(w Window) int {
	return c.hostsReportedSince(EndOf(w, c.config.WindowLength).Add(-c.config.WindowLength))
}
