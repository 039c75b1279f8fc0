package replicator

import (
	"github.com/comfreybend/comfreybend/schema/replication"
)

// entryLog holds in memory the entries after the last compacted one.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the last compacted entry,
	// zero if none was compacted.
	baseIndex Index
	baseTerm  Term
	// entries holds the entries from baseIndex+1 on without gaps.
	entries []*replication.Entry
}

func (l *entryLog) lastIndex() Index {
	return l.baseIndex + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return Term(l.entries[len(l.entries)-1].GetTerm())
}

// term returns the term of entry i, or false if i lies before the last compacted
// entry or beyond the end of the log.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return Term(l.at(i).GetTerm()), true
}

// at returns entry i, which must be in memory.
func (l *entryLog) at(i Index) *replication.Entry {
	return l.entries[i-l.baseIndex-1]
}

// slice returns the entries from low to high, both included, which must be in
// memory.
func (l *entryLog) slice(low, high Index) []*replication.Entry {
	if low > high {
		return nil
	}
	return l.entries[low-l.baseIndex-1 : high-l.baseIndex]
}

// batch returns the entries from low on whose data takes at most maxBytes bytes
// in total. It returns at least one entry if there is one, however large.
func (l *entryLog) batch(low Index, maxBytes int) []*replication.Entry {
	size := 0
	high := low - 1
	for high < l.lastIndex() {
		size += len(l.at(high + 1).GetData())
		if size > maxBytes && high >= low {
			break
		}
		high++
	}
	return l.slice(low, high)
}

// truncate removes the entries from index i on. It also cuts the capacity, so
// that later appends do not overwrite the removed entries in slices that slice
// and batch have returned.
func (l *entryLog) truncate(i Index) {
	kept := l.entries[: i-l.baseIndex-1 : i-l.baseIndex-1]
	l.entries = kept
}

// compact removes the entries up to index i from memory.
func (l *entryLog) compact(i Index) {
	term, ok := l.term(i)
	if !ok || i == l.baseIndex {
		return
	}
	rest := l.entries[i-l.baseIndex:]
	l.entries = append([]*replication.Entry(nil), rest...)
	l.baseIndex = i
	l.baseTerm = term
}

// reset removes all entries; the log continues after a snapshot at index i.
func (l *entryLog) reset(i Index, t Term) {
	l.entries = nil
	l.baseIndex = i
	l.baseTerm = t
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one: its last term is later, or the terms
// are equal and it is at least as long. A log that is not may lack entries that
// are committed.
func (l *entryLog) upToDate(lastIndex Index, lastTerm Term) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}
