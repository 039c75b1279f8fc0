package isolator

import (
	"slices"
	"strings"
	"time"
)

// minCallEnds is the number of engines that must end under one call before it speaks against its prompt.
const minCallEnds = 2

// RequestPrefix distinguishes ids of whole requests from those of prompt parts.
const RequestPrefix = "request-"

// IsRequest reports whether the id is that of a whole request.
func (id PartID) IsRequest() bool { return strings.HasPrefix(string(id), RequestPrefix) }

// RecordRequestEnds records that runs of engines ended one after the other while they ran a
// request. Each is a moment of its own, however short the time between them, unless engines under
// other requests ended at the same time: these are the runs in others that are not known to have
// ended under the request. before is the result of LatestEnd when the request was sent to the first of
// them, depth the number of parts of its prompt.
func (i *Isolator) RecordRequestEnds(now time.Time, request PartID, depth int, before RunID, ends []Run, others []RunID) {
	i.recordSequence(now, request, depth, before, ends, others)
}

// RecordCallEnds records that runs of engines ended one after the other under one call that none has begun to answer,
// as evidence against the shared parts of its prompt. One end is none: a call that only shared an engine with the one at
// fault is usually answered by the next. others is as for RecordRequestEnds.
func (i *Isolator) RecordCallEnds(now time.Time, ends []Run, parts []PartID, others []RunID) {
	if len(ends) < minCallEnds {
		return
	}
	for depth, id := range parts {
		i.recordSequence(now, id, depth, 0, ends, others)
	}
}

// recordSequence records runs that ended one after the other under a part or request, the first of them after another
// run, zero for none.
func (i *Isolator) recordSequence(now time.Time, id PartID, depth int, before RunID, ends []Run, others []RunID) {
	e := Evidence{Parts: []Part{{ID: id, Depth: depth}}}
	p := &e.Parts[0]
	alone := !slices.ContainsFunc(others, func(run RunID) bool {
		return !slices.ContainsFunc(ends, func(end Run) bool { return end.ID == run }) && !i.endedUnder(id, run)
	})
	for _, end := range ends {
		e.Runs = append(e.Runs, Run{ID: end.ID, EndedAt: end.EndedAt.Truncate(time.Millisecond)})
		p.Runs = append(p.Runs, end.ID)
		if alone {
			p.After = append(p.After, before)
		}
		before = end.ID
	}
	i.Merge(now, e)
}

// SettlesIn returns the time until a part is held if nothing speaks for it meanwhile; zero if it
// is held already or will not be.
func (i *Isolator) SettlesIn(now time.Time, id PartID) time.Duration {
	return max(0, i.Verdicts()[id].HeldFrom.Sub(now))
}

// LatestEnd returns the run that is known to have ended last under a part; zero for none.
func (i *Isolator) LatestEnd(id PartID) RunID {
	if p := i.parts[id]; p != nil {
		if latest := i.latestRun(p); latest != nil {
			return latest.ID
		}
	}
	return 0
}

// Ends returns the number of moments at which engines ended under a part and nothing that is
// held explains it.
func (i *Isolator) Ends(id PartID) int { return i.Verdicts()[id].Instants }

// endedUnder reports whether a run is known to have ended under a part.
func (i *Isolator) endedUnder(id PartID, run RunID) bool {
	p := i.parts[id]
	if p == nil {
		return false
	}
	_, found := p.runs[run]
	return found
}
