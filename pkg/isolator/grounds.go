package isolator

import (
	"cmp"
	"slices"
	"time"
)

// maxBeside is the number of other parts that Grounds names.
const maxBeside = 5

type (
	// Grounds is what an operator needs to judge the verdict on a part.
	Grounds struct {
		// Ends is the number of engines that ended under the part, and OtherEnds that of the engines
		// that are known to have ended without it, from instantWindow before the first of these ends
		// to instantWindow after the latest.
		Ends, OtherEnds int
		// Attempts is the number of attempts with the part in this process since it knows of the
		// first end.
		Attempts int
		// Responded is the time of the latest response to a prompt with the part; zero if none is
		// known.
		Responded time.Time
		// Beside are the parts under which most of the same engines ended.
		Beside []Beside
	}

	// Beside is a part under which engines ended, and how many of the engines in question.
	Beside struct {
		Part PartID
		Ends int
	}
)

// RecordAttempt counts an attempt of this process with the given parts. Parts without evidence are
// passed over.
func (i *Isolator) RecordAttempt(parts []PartID) {
	for _, id := range parts {
		if p := i.parts[id]; p != nil && len(p.runs) > 0 {
			p.attempts++
		}
	}
}

// Grounds returns the grounds of the verdict on a part.
func (i *Isolator) Grounds(id PartID) Grounds {
	p := i.parts[id]
	if p == nil || len(p.runs) == 0 {
		return Grounds{}
	}
	g := Grounds{Ends: len(p.runs), Attempts: p.attempts, Responded: p.clearedAt}
	var ends []time.Time
	for run := range p.runs {
		ends = append(ends, i.runs[run].EndedAt)
	}
	from := slices.MinFunc(ends, time.Time.Compare).Add(-instantWindow)
	to := slices.MaxFunc(ends, time.Time.Compare).Add(instantWindow)
	for run, r := range i.runs {
		if _, own := p.runs[run]; !own && !r.EndedAt.Before(from) && !r.EndedAt.After(to) {
			g.OtherEnds++
		}
	}
	for _, other := range i.parts {
		if other == p {
			continue
		}
		if shared := p.sharedRuns(other); shared > 0 {
			g.Beside = append(g.Beside, Beside{Part: other.id, Ends: shared})
		}
	}
	slices.SortFunc(g.Beside, func(a, b Beside) int { return cmp.Or(cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Part, b.Part)) })
	g.Beside = g.Beside[:min(len(g.Beside), maxBeside)]
	return g
}

// sharedRuns returns the number of runs that ended under both parts.
func (p *knownPart) sharedRuns(other *knownPart) int {
	shared := 0
	for run := range p.runs {
		if _, found := other.runs[run]; found {
			shared++
		}
	}
	return shared
}
