package replicator

import (
	"github.com/comfreybend/comfreybend/schema/replication"
)

// entryLog holds the entries after the last compaction in memory.
type entryLog struct {
	// base is the index and term of the last compacted entry.
	baseIndex Index
	baseTerm  Term
	entries   []*replication.Entry
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

// term returns the term of the entry at an index; false if it is compacted or beyond the end.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return Term(l.at(i).GetTerm()), true
}

func (l *entryLog) at(i Index) *replication.Entry {
	return l.entries[i-l.baseIndex-1]
}

// slice returns the entries from low to high, both included.
func (l *entryLog) slice(low, high Index) []*replication.Entry {
	if low > high {
		return nil
	}
	return l.entries[low-l.baseIndex-1 : high-l.baseIndex]
}

// batch returns entries from low on that take at most maximum bytes, but at least one entry.
func (l *entryLog) batch(low Index, maximum int) []*replication.Entry {
	size := 0
	high := low - 1
	for high < l.lastIndex() {
		size += len(l.at(high + 1).GetData())
		if size > maximum && high >= low {
			break
		}
		high++
	}
	return l.slice(low, high)
}

// truncate removes the entries from index i on. Slices that were handed out stay as they are.
func (l *entryLog) truncate(i Index) {
	kept := l.entries[: i-l.baseIndex-1 : i-l.baseIndex-1]
	l.entries = kept
}

// compact forgets the entries up to index i.
func (l *entryLog) compact(i Index) {
	term, found := l.term(i)
	if !found || i == l.baseIndex {
		return
	}
	rest := l.entries[i-l.baseIndex:]
	l.entries = append([]*replication.Entry(nil), rest...)
	l.baseIndex = i
	l.baseTerm = term
}

// reset forgets everything and starts after a snapshot.
func (l *entryLog) reset(i Index, t Term) {
	l.entries = nil
	l.baseIndex = i
	l.baseTerm = t
}

// upToDate reports whether a log that ends at the given entry holds all that this one may have committed.
func (l *entryLog) upToDate(lastIndex Index, lastTerm Term) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}
