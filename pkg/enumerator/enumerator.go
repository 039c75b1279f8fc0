// Package enumerator counts the live processes of a system from the messages that name them, and tells by
// which number they may divide a limit that holds for all of them together.
//
// Times are readings of one monotonic clock.
package enumerator

import (
	"maps"
	"slices"
	"time"
)

type (
	// Process is the name of a process.
	Process string

	// Config configures an Enumerator.
	Config struct {
		// Timeout is the time after which a process that no message names is not counted any more.
		Timeout time.Duration
		// Discovery is the time in which messages name all live processes.
		Discovery time.Duration
	}

	// Contact is the contact with the other observers, whose messages name the processes that they see.
	Contact struct {
		// Majority reports contact with the majority of the observers, AllHeard that all of them were
		// heard lately.
		Majority, AllHeard bool
	}

	// Enumerator counts processes. It is not safe for concurrent use.
	Enumerator struct {
		config    Config
		createdAt time.Duration
		// namedAt holds when the latest message named each process.
		namedAt map[Process]time.Duration
		// confirmed is the number that was confirmed last; zero if none was.
		confirmed int
	}
)

// New returns an Enumerator that knows no process.
func New(now time.Duration, config Config) *Enumerator {
	return &Enumerator{config: config, createdAt: now, namedAt: map[Process]time.Duration{}}
}

// Name records that a message names a process, and reports whether it was not counted before.
func (e *Enumerator) Name(now time.Duration, process Process) bool {
	_, known := e.namedAt[process]
	e.namedAt[process] = now
	return !known
}

// Live returns the live processes in order.
func (e *Enumerator) Live(now time.Duration) []Process {
	maps.DeleteFunc(e.namedAt, func(_ Process, at time.Duration) bool { return now-at > e.config.Timeout })
	return slices.Sorted(maps.Keys(e.namedAt))
}

// IsComplete reports whether all live processes had the time to be named.
func (e *Enumerator) IsComplete(now time.Duration) bool {
	return now-e.createdAt >= e.config.Discovery
}

// Confirmed returns the number of processes among which a limit may be divided, or zero if it is not known.
// Processes that only observers without contact to the majority see are not counted, and have no number
// confirmed by those. While an observer is silent, the number does not shrink, as the processes that it
// sees may have gone silent with it.
func (e *Enumerator) Confirmed(now time.Duration, contact Contact) int {
	if !contact.Majority || !e.IsComplete(now) {
		return 0
	}
	live := len(e.Live(now))
	if !contact.AllHeard {
		live = max(live, e.confirmed)
	}
	e.confirmed = live
	return live
}

// Names returns the names of processes.
func Names(processes []Process) []string {
	names := make([]string, 0, len(processes))
	for _, p := range processes {
		names = append(names, string(p))
	}
	return names
}
