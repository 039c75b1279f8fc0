package isolator

import (
	"slices"
	"time"
)

type (
	// assessment is the computation of the verdicts.
	assessment struct {
		isolator *Isolator
		// instants numbers the moments at which runs ended.
		instants map[RunID]int
		// explained holds the runs that ended under a part that is held, and unexplained the number
		// of the others in each instant.
		explained   map[RunID]bool
		unexplained map[int]int
		// suspects are the parts with evidence that are not held yet.
		suspects []*suspect
	}

	// suspect is a part with the runs that count against it.
	suspect struct {
		part *knownPart
		// runs are those that no held part explains, earliest first.
		runs []*knownRun
		// instants is the number of moments at which they ended.
		instants int
	}
)

// Verdicts returns what follows from the evidence, by part. The caller must not modify it.
func (i *Isolator) Verdicts() map[PartID]Verdict {
	if i.verdicts != nil {
		return i.verdicts
	}
	a := &assessment{isolator: i, instants: i.numberInstants(), explained: map[RunID]bool{}, unexplained: map[int]int{}}
	for _, number := range a.instants {
		a.unexplained[number]++
	}
	for _, p := range i.parts {
		s := &suspect{part: p}
		for id := range p.runs {
			s.runs = append(s.runs, i.runs[id])
		}
		slices.SortFunc(s.runs, i.compareRuns)
		s.instants = len(a.moments(s))
		if s.instants > 0 {
			a.suspects = append(a.suspects, s)
		}
	}
	i.verdicts = map[PartID]Verdict{}
	var held []*conviction
	for best := a.strongest(); best != nil; best = a.strongest() {
		held = append(held, a.convict(best))
		a.explain(best)
	}
	for _, c := range held {
		i.verdicts[c.Part] = a.decide(c, held)
	}
	for _, s := range a.suspects {
		i.verdicts[s.part.id] = a.verdict(s)
	}
	return i.verdicts
}

// numberInstants groups the ends of runs that speak against something into instants, numbered in the
// order of time.
func (i *Isolator) numberInstants() map[RunID]int {
	runs := make([]*knownRun, 0, len(i.runs))
	for _, r := range i.runs {
		if !r.Aside {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, i.compareRuns)
	numbers := make(map[RunID]int, len(runs))
	var (
		number int
		start  time.Time
	)
	for n, r := range runs {
		if n == 0 || r.EndedAt.Sub(start) > instantWindow {
			number++
			start = r.EndedAt
		}
		numbers[r.ID] = number
	}
	return numbers
}

// strongest returns the part that explains most instants of those that are not explained yet,
// or nil if none is to be held.
func (a *assessment) strongest() *suspect {
	var best *suspect
	for _, s := range a.suspects {
		if (best == nil || s.compare(best) > 0) && a.isCulprit(s) {
			best = s
		}
	}
	return best
}

// compare orders parts by the instants that they explain. Of two that explain as many, the one
// that stands later in prompts is more specific.
func (s *suspect) compare(other *suspect) int {
	switch {
	case s.instants != other.instants:
		return s.instants - other.instants
	case s.part.depth != other.part.depth:
		return s.part.depth - other.part.depth
	case s.part.id < other.part.id:
		return 1
	default:
		return -1
	}
}

// isCulprit reports whether a part explains enough instants, and a sufficient share of those
// from its first to its latest one that are not explained yet.
func (a *assessment) isCulprit(s *suspect) bool {
	if s.instants < a.neededInstants(s) {
		return false
	}
	first, last := a.instants[s.runs[0].ID], a.instants[s.runs[len(s.runs)-1].ID]
	all := map[int]bool{}
	for id, number := range a.instants {
		if number >= first && number <= last && !a.explained[id] {
			all[number] = true
		}
	}
	return s.instants*2 >= len(all) || s.instants >= weakInstants && s.instants*weakShareDivisor >= len(all)
}

// explain removes the runs of a part that is held from those of the others.
func (a *assessment) explain(held *suspect) {
	for _, r := range held.runs {
		a.explained[r.ID] = true
		a.unexplained[a.instants[r.ID]]--
	}
	kept := a.suspects[:0]
	for _, s := range a.suspects {
		if s == held {
			continue
		}
		s.runs = slices.DeleteFunc(s.runs, func(r *knownRun) bool { return a.explained[r.ID] })
		if s.instants = len(a.moments(s)); s.instants > 0 {
			kept = append(kept, s)
		}
	}
	a.suspects = kept
}

// moments returns the times of the first ends in the moments at which runs ended under a part. Runs
// that ended in one instant are one moment, or as many as followed each other under the request.
// Of an instant with a common cause only runs that followed others count.
func (a *assessment) moments(s *suspect) []time.Time {
	members := make(map[RunID]bool, len(s.runs))
	for _, r := range s.runs {
		members[r.ID] = true
	}
	own := a.runsByInstant(s)
	var moments []time.Time
	latest, begin := 0, 0
	for _, r := range s.runs {
		number := a.instants[r.ID]
		if number != latest {
			latest, begin = number, len(moments)
		}
		depth := a.depth(s, members, r.ID)
		if others := a.unexplained[number] - own[number]; others >= commonEnds && others > own[number] {
			depth--
		}
		for len(moments)-begin < depth {
			moments = append(moments, r.EndedAt)
		}
	}
	return moments
}

// runsByInstant returns the number of a part's runs that ended in each instant.
func (a *assessment) runsByInstant(s *suspect) map[int]int {
	own := make(map[int]int, len(s.runs))
	for _, r := range s.runs {
		own[a.instants[r.ID]]++
	}
	return own
}

// neededInstants returns the number of moments from which a part is held.
func (a *assessment) neededInstants(s *suspect) int {
	if a.isDoubtful(s) {
		return weakInstants
	}
	return heldInstants
}

// depth returns the number of runs that ended one after the other under a request up to the given
// one, within its instant.
func (a *assessment) depth(s *suspect, members map[RunID]bool, run RunID) int {
	depth := 1
	for before := s.part.runs[run].after; members[before] && a.instants[before] == a.instants[run] && depth < len(s.runs); depth++ {
		before = s.part.runs[before].after
	}
	return depth
}

func (a *assessment) verdict(s *suspect) Verdict {
	v := Verdict{Part: s.part.id, Instants: s.instants, FirstEnd: s.runs[0].EndedAt, LastEnd: s.runs[len(s.runs)-1].EndedAt}
	if s.instants >= suspectInstants {
		v.SuspectedFrom = a.instantTime(s, suspectInstants).Add(settleTime)
	}
	return v
}

// instantTime returns the time of the first end in the n-th moment of a part, counted from 1.
func (a *assessment) instantTime(s *suspect, n int) time.Time { return a.moments(s)[n-1] }

// failedProbes returns how often a run ended under a part after a hold.
func (s *suspect) failedProbes() int {
	failed := 0
	for n := 1; n < len(s.runs); n++ {
		if s.runs[n].EndedAt.Sub(s.runs[n-1].EndedAt) > holdTime/2 {
			failed++
		}
	}
	return failed
}
