package isolator

import (
	"cmp"
	"slices"
	"time"
)

// addOthers adds the runs that count against no part and yet tell how many ended at a time.
func (i *Isolator) addOthers(now time.Time, runs []Run) {
	unknown := func(r Run) bool { return i.runs[r.ID] == nil }
	if !slices.ContainsFunc(runs, unknown) {
		return
	}
	counting := i.countingEnds()
	for _, r := range runs {
		if unknown(r) && (now.Sub(r.EndedAt) < clearedLifetime || isWithin(counting, r.EndedAt, calmTime)) {
			i.position++
			i.runs[r.ID] = &knownRun{Run: r, position: i.position}
		}
	}
}

// countingEnds returns the ends of the runs that count against a part, in ascending order.
func (i *Isolator) countingEnds() []time.Time {
	var ends []time.Time
	for _, p := range i.parts {
		for run := range p.runs {
			ends = append(ends, i.runs[run].EndedAt)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// isWithin reports whether one of the times, which are in ascending order, is at most a duration away
// from another time.
func isWithin(times []time.Time, at time.Time, d time.Duration) bool {
	first, _ := slices.BinarySearchFunc(times, at.Add(-d), time.Time.Compare)
	return first < len(times) && !times[first].After(at.Add(d))
}

// expire removes evidence that is too old, does not count any more or is beyond the limits.
func (i *Isolator) expire(now time.Time) {
	for id, p := range i.parts {
		for run := range p.runs {
			if now.Sub(i.runs[run].EndedAt) >= evidenceLifetime {
				delete(p.runs, run)
			}
		}
		if len(p.runs) == 0 && now.Sub(p.clearedAt) >= clearedLifetime {
			delete(i.parts, id)
		}
	}
	if len(i.parts) > maxParts {
		i.dropWeakest()
	}
	counting := i.countingEnds()
	for id, r := range i.runs {
		if now.Sub(r.EndedAt) >= clearedLifetime && !isWithin(counting, r.EndedAt, calmTime) {
			delete(i.runs, id)
		}
	}
}

// dropWeakest removes the parts beyond the limit against which least speaks.
func (i *Isolator) dropWeakest() {
	type weighed struct {
		part *knownPart
		last time.Time
	}
	all := make([]weighed, 0, len(i.parts))
	for _, p := range i.parts {
		w := weighed{part: p, last: p.clearedAt}
		for run := range p.runs {
			if at := i.runs[run].EndedAt; at.After(w.last) {
				w.last = at
			}
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(len(a.part.runs), len(b.part.runs)), a.last.Compare(b.last), cmp.Compare(a.part.id, b.part.id))
	})
	for _, w := range all[:len(all)-maxParts] {
		delete(i.parts, w.part.id)
	}
}
