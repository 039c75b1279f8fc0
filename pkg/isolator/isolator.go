// Package isolator finds requests, and parts that prompts share, which crash the engines that
// process them, and keeps them away from engines.
//
// An engine that ends speaks against the parts of the prompts whose responses it had just
// begun to write, and against the requests that it ran; a response that is received speaks for
// both. A part or a request is held if several engines ended under it, at different moments, and
// no response speaks for it since. Of several that explain the same ends, the one that explains
// most is held, so that what other prompts share with it, and requests beside it, stay free.
//
// Evidence from many processes merges in any order, and twice without harm. Decisions follow
// from the evidence alone, so all processes that have the same evidence decide alike. Times
// are readings of one clock on which the processes agree, in milliseconds.
package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// instantWindow is the time within which the ends of several engines count as one: they
	// may have a common cause, such as the loss of a failure domain.
	instantWindow = 150 * time.Millisecond
	// suspectInstants is the number of instants at which engines ended under a part from which
	// it is suspected. It is held from heldInstants if it explains half of the unexplained
	// instants meanwhile, and from weakInstants if it explains 1/weakShareDivisor of them, as
	// when engines end for other reasons too.
	suspectInstants  = 2
	heldInstants     = 3
	weakInstants     = 5
	weakShareDivisor = 5
	// settleTime is the time from the end that makes a part suspected or held until that takes
	// effect: meanwhile responses that speak for it become known everywhere.
	settleTime = 400 * time.Millisecond
	// holdTime is the time for which a part is held after the latest end of an engine. It
	// doubles, up to maxDoublings times, with each probe that ends one more.
	holdTime     = 10 * time.Minute
	maxDoublings = 4
	// commonEnds is the number of engines that end in an instant, beside those that ended under a
	// part, from which the ends have a common cause unless the part explains most of them.
	commonEnds = 5
	// probeSpacing is the mean time between the probes that different processes may send
	// after the hold: an outcome is known everywhere much sooner.
	probeSpacing = 5 * time.Second
	// evidenceLifetime is the time after which the end of an engine is forgotten.
	evidenceLifetime = 2 * holdTime << maxDoublings
	// clearedLifetime is the time for which runs and parts are remembered that do not count
	// any more, so that late evidence of other processes is recognized.
	clearedLifetime = time.Minute
	// maxParts and maxRunsPerPart bound the evidence. The latest is kept.
	maxParts       = 256
	maxRunsPerPart = 128
)

type (
	// PartID identifies a part of prompts, or a request that comes again as a whole.
	PartID string
	// RunID identifies one run of an engine, from its start to its end.
	RunID uint64
	// Position numbers the changes of the evidence in one process.
	Position uint64

	// Evidence is what a process knows, or a part of it.
	Evidence struct {
		Runs  []Run
		Parts []Part
	}

	// Run is a run of an engine that has ended.
	Run struct {
		ID RunID
		// EndedAt is the earliest time at which a process noticed it.
		EndedAt time.Time
		// Aside reports that no process knows of anything against which the end speaks.
		Aside bool
	}

	// Part is the evidence about a part of prompts.
	Part struct {
		ID PartID
		// Depth is the greatest position of the part in a prompt.
		Depth int
		// Runs are those that ended when they had just begun to write a response to a
		// prompt with the part.
		Runs []RunID
		// After holds for each of the runs the one that had ended under the same request before
		// it was sent there; zero if there is none. It is nil if there is none for any run.
		After []RunID
		// ClearedAt is the latest time at which a response to a prompt with the part was
		// received, or an operator lifted its hold. Runs that ended until then do not count.
		ClearedAt time.Time
	}

	// Isolator holds the evidence and decides. It is not safe for concurrent use.
	Isolator struct {
		runs  map[RunID]*knownRun
		parts map[PartID]*knownPart
		// position is that of the latest change.
		position Position
		// verdicts holds what follows from the evidence. It is nil after a change.
		verdicts map[PartID]Verdict
	}

	knownRun struct {
		Run
		position Position
	}

	knownPart struct {
		id        PartID
		depth     int
		clearedAt time.Time
		// position is that of the latest change of depth and clearedAt.
		position Position
		// runs holds the runs that count.
		runs map[RunID]partRun
		// attempts is the number of attempts of this process since the first of the runs.
		attempts int
		// probedAt is when this process sent a probe in the hold that ended probedUntil.
		probedAt, probedUntil time.Time
	}

	// partRun is what is known of a run and a part besides.
	partRun struct {
		// position is that at which it was added or changed.
		position Position
		// after is the run that had ended under the same request before; zero for none.
		after RunID
	}

	// Verdict is what the evidence says of a part.
	Verdict struct {
		Part PartID
		// Instants is the number of moments at which engines ended under the part and no
		// part that is held explains it.
		Instants int
		// FirstEnd and LastEnd are the times of the first and the latest end that count.
		FirstEnd, LastEnd time.Time
		// SuspectedFrom is the time from which requests with the part are not repeated; zero
		// if they are.
		SuspectedFrom time.Time
		// HeldFrom and HeldUntil are the time from which the part is kept away from engines,
		// and that from which a probe may be sent. Both are zero if the part is not held.
		HeldFrom, HeldUntil time.Time
		// Certain reports that the part alone is to blame: at heldInstants moments no other engine
		// ended, and neither does another part explain several of the ends nor are many parts
		// held at the same time.
		Certain bool
		// doubtful reports that the part may be held without cause, and suspicion how often
		// doubtfulHoldTime was multiplied.
		doubtful  bool
		suspicion int
	}

	// Admission is the decision on one request.
	Admission struct {
		// Refused is the verdict because of which the request may not be sent; nil if it may.
		Refused *Verdict
		// Probe reports that the request is the one that shows whether a part still crashes
		// engines.
		Probe bool
	}
)

// New returns an isolator without evidence.
func New() *Isolator {
	return &Isolator{runs: map[RunID]*knownRun{}, parts: map[PartID]*knownPart{}}
}

// RecordEnd records that a run of an engine ended when it had just begun to write a response
// to a prompt with the given shared parts, in their order in the prompt. The parts that only
// one request has must not be among them.
func (i *Isolator) RecordEnd(now time.Time, run RunID, parts []PartID) {
	e := Evidence{Runs: []Run{{ID: run, EndedAt: now.Truncate(time.Millisecond)}}}
	for depth, id := range parts {
		e.Parts = append(e.Parts, Part{ID: id, Depth: depth, Runs: []RunID{run}})
	}
	i.Merge(now, e)
}

// RecordResponse records that a response to a prompt with the given parts was received.
func (i *Isolator) RecordResponse(now time.Time, parts []PartID) {
	for _, id := range parts {
		i.Lift(now, id)
	}
}

// RecordEndAside records that a run of an engine ended, whatever it processed.
func (i *Isolator) RecordEndAside(now time.Time, run RunID) {
	i.Merge(now, Evidence{Runs: []Run{{ID: run, EndedAt: now.Truncate(time.Millisecond), Aside: true}}})
}

// Lift clears a part of the evidence so far. It has no effect on a part without evidence.
func (i *Isolator) Lift(now time.Time, id PartID) {
	if p := i.parts[id]; p != nil && i.counts(p, now) {
		i.Merge(now, Evidence{Parts: []Part{{ID: id, ClearedAt: now.Truncate(time.Millisecond)}}})
	}
}

// counts reports whether any evidence until now speaks against a part.
func (i *Isolator) counts(p *knownPart, now time.Time) bool {
	for id := range p.runs {
		if !i.runs[id].EndedAt.After(now.Truncate(time.Millisecond)) {
			return true
		}
	}
	return false
}

// IsEmpty reports whether there is no evidence at all.
func (i *Isolator) IsEmpty() bool { return len(i.parts) == 0 }

// Merge adds evidence and reports whether any of it was new.
func (i *Isolator) Merge(now time.Time, e Evidence) bool {
	before := i.position
	ends := make(map[RunID]time.Time, len(e.Runs))
	for _, r := range e.Runs {
		ends[r.ID] = r.EndedAt
		if known := i.runs[r.ID]; known != nil {
			i.correct(known, r)
		}
	}
	for _, p := range e.Parts {
		i.mergePart(now, p, ends)
	}
	i.addOthers(now, e.Runs)
	if i.position != before {
		i.verdicts = nil
		i.expire(now)
	}
	return i.position != before
}

// correct corrects what is known of a run.
func (i *Isolator) correct(known *knownRun, r Run) {
	if known.Aside && !r.Aside {
		i.position++
		known.Aside, known.position = false, i.position
	}
	if r.EndedAt.Before(known.EndedAt) {
		i.position++
		known.EndedAt, known.position = r.EndedAt, i.position
		i.dropIfCleared(known)
	}
}

// mergePart adds the evidence about a part. ends holds the times of the runs in the same
// evidence.
func (i *Isolator) mergePart(now time.Time, p Part, ends map[RunID]time.Time) {
	known := i.parts[p.ID]
	if known == nil {
		known = &knownPart{id: p.ID, depth: p.Depth, clearedAt: p.ClearedAt, runs: map[RunID]partRun{}}
	}
	for n, id := range p.Runs {
		after := RunID(0)
		if len(p.After) == len(p.Runs) {
			after = p.After[n]
		}
		if end, found := ends[id]; found {
			i.addRun(now, known, Run{ID: id, EndedAt: end}, after)
		}
	}
	if i.parts[p.ID] == nil {
		if len(known.runs) > 0 {
			i.position++
			known.position = i.position
			i.parts[p.ID] = known
		}
		return
	}
	if p.Depth > known.depth || p.ClearedAt.After(known.clearedAt) {
		i.position++
		known.position = i.position
		known.depth = max(known.depth, p.Depth)
		i.clear(known, p.ClearedAt)
	}
}

// dropIfCleared drops a run whose time has changed from the parts that have been cleared since.
func (i *Isolator) dropIfCleared(r *knownRun) {
	for _, p := range i.parts {
		if !r.EndedAt.After(p.clearedAt) {
			delete(p.runs, r.ID)
		}
	}
}

// clear drops the runs of a part that ended until a time.
func (i *Isolator) clear(p *knownPart, at time.Time) {
	if !at.After(p.clearedAt) {
		return
	}
	p.clearedAt = at
	for id := range p.runs {
		if !i.runs[id].EndedAt.After(at) {
			delete(p.runs, id)
		}
	}
}

// addRun adds a run to those that count against a part, unless it is too old or the part has
// been cleared since. The earliest beyond the limit are dropped.
func (i *Isolator) addRun(now time.Time, p *knownPart, r Run, after RunID) {
	if before, found := p.runs[r.ID]; found {
		if after > before.after {
			i.position++
			p.runs[r.ID] = partRun{position: i.position, after: after}
		}
		return
	}
	if now.Sub(r.EndedAt) >= evidenceLifetime {
		return
	}
	known := i.runs[r.ID]
	if known == nil {
		known = &knownRun{Run: r, position: i.position + 1}
	}
	if !known.EndedAt.After(p.clearedAt) {
		return
	}
	if known.Aside {
		known.Aside, known.position = false, i.position+1
	}
	if len(p.runs) >= maxRunsPerPart {
		earliest := i.earliestRun(p)
		if i.compareRuns(earliest, known) > 0 {
			return
		}
		delete(p.runs, earliest.ID)
	}
	i.position++
	i.runs[r.ID] = known
	p.runs[r.ID] = partRun{position: i.position, after: after}
}

func (i *Isolator) earliestRun(p *knownPart) *knownRun {
	var earliest *knownRun
	for id := range p.runs {
		if r := i.runs[id]; earliest == nil || i.compareRuns(r, earliest) < 0 {
			earliest = r
		}
	}
	return earliest
}

// latestRun returns the run of a part that ended last and that no other one is known to have
// followed, however close their times are; nil if there is none.
func (i *Isolator) latestRun(p *knownPart) *knownRun {
	followed := make(map[RunID]bool, len(p.runs))
	for _, r := range p.runs {
		followed[r.after] = true
	}
	var latest *knownRun
	for id := range p.runs {
		if r := i.runs[id]; !followed[id] && (latest == nil || i.compareRuns(r, latest) > 0) {
			latest = r
		}
	}
	return latest
}

func (i *Isolator) compareRuns(a, b *knownRun) int {
	return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.ID, b.ID))
}

// Since returns the evidence that changed after a position, and the position to pass the next
// time. Position zero stands for the start.
func (i *Isolator) Since(after Position) (Evidence, Position) {
	var e Evidence
	wanted := map[RunID]bool{}
	for _, p := range i.parts {
		part := Part{ID: p.id, Depth: p.depth, ClearedAt: p.clearedAt}
		for run, known := range p.runs {
			if known.position > after {
				part.Runs = append(part.Runs, run)
				wanted[run] = true
			}
		}
		if p.position > after || len(part.Runs) > 0 {
			slices.Sort(part.Runs)
			part.After = p.orderOf(part.Runs)
			e.Parts = append(e.Parts, part)
		}
	}
	for id, r := range i.runs {
		if r.position > after || wanted[id] {
			e.Runs = append(e.Runs, r.Run)
		}
	}
	slices.SortFunc(e.Parts, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(e.Runs, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	return e, i.position
}

// orderOf returns the runs that ended before the given ones under the same request, or nil if
// there are none.
func (p *knownPart) orderOf(runs []RunID) []RunID {
	after, any := make([]RunID, len(runs)), false
	for n, run := range runs {
		after[n] = p.runs[run].after
		any = any || after[n] != 0
	}
	if !any {
		return nil
	}
	return after
}

// Position returns the position of the latest change.
func (i *Isolator) Position() Position { return i.position }
