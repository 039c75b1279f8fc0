package isolator

import (
	"slices"
	"time"
)

const (
	// calmTime is the time around a moment in which no other engine ends if the part alone is
	// to blame for it.
	calmTime = 2 * time.Second
	// doubtfulHoldTime replaces holdTime for a part that may be held without cause. It is multiplied by
	// doubtfulFactor if the part was once the only one under which engines ended, and with each probe
	// that ends one more engine while others end too, up to holdTime.
	doubtfulHoldTime = time.Second
	doubtfulFactor   = 60
	// doubtfulSpacing replaces probeSpacing for the first doubtfulHoldTime.
	doubtfulSpacing = time.Second
	// maxCulprits is the number of parts that are held for ends at the same time from which all of them may
	// be held without cause.
	maxCulprits = 3
	// minRetryAfter and maxRetryAfter bound the time after which a request that is refused in doubt may
	// come back.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// conviction is the verdict on a part that is held, and the moments that it rests on.
type conviction struct {
	*suspect
	Verdict
	moments []time.Time
	// needed is the number of moments from which the part is held.
	needed int
	// failedProbes is the number of ends after a long hold.
	failedProbes int
	// suspicion is the number of times by which doubtfulHoldTime is multiplied at first.
	suspicion int
}

// RetryAfter returns the time after which a request that is refused for the verdict may come back; zero
// if the verdict is certain.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	if v.Certain {
		return 0
	}
	return min(max(v.HeldUntil.Sub(now), minRetryAfter), maxRetryAfter)
}

// convict returns the verdict on a part that is to be held, without what depends on the other parts that
// are held.
func (a *assessment) convict(s *suspect) *conviction {
	c := &conviction{suspect: s, Verdict: a.verdict(s), moments: a.moments(s), needed: a.neededInstants(s)}
	c.HeldFrom = c.moments[c.needed-1].Add(settleTime)
	c.failedProbes = s.failedProbes()
	if !a.isDoubtful(s) {
		c.suspicion = 1
	}
	return c
}

// decide returns the verdict with how certain it is and how long the part is held.
func (a *assessment) decide(c *conviction, all []*conviction) Verdict {
	v := c.Verdict
	v.Certain = c.concurrent(all) < maxCulprits && count(a.calmMoments(c, nil)) >= heldInstants &&
		!a.hasRival(c.part)
	calm := a.calmMoments(c, a.explained)
	v.doubtful = count(calm) < heldInstants && !c.probeFailedAlone(calm)
	duration := holdTime << min(c.failedProbes, maxDoublings)
	if v.doubtful {
		v.suspicion = c.finalSuspicion()
		duration = doubtfulDuration(v.suspicion)
	}
	v.HeldUntil = v.LastEnd.Add(duration)
	return v
}

// calmMoments reports for each of a part's moments whether no other engine ended around it, except
// some.
func (a *assessment) calmMoments(c *conviction, except map[RunID]bool) []bool {
	var others []time.Time
	for id, r := range a.isolator.runs {
		if _, own := c.part.runs[id]; !own && !except[id] {
			others = append(others, r.EndedAt)
		}
	}
	slices.SortFunc(others, time.Time.Compare)
	calm := make([]bool, len(c.moments))
	for n, at := range c.moments {
		calm[n] = !isWithin(others, at, calmTime)
	}
	return calm
}

// concurrent returns the number of convictions that rest on ends at the same time, itself included.
func (c *conviction) concurrent(all []*conviction) int {
	n := 0
	for _, other := range all {
		if !other.LastEnd.Before(c.FirstEnd.Add(-calmTime)) && !other.FirstEnd.After(c.LastEnd.Add(calmTime)) {
			n++
		}
	}
	return n
}

func count(all []bool) int {
	n := 0
	for _, b := range all {
		if b {
			n++
		}
	}
	return n
}

// hasRival reports whether engines that ended under a part also ended under another one, so that either may
// be to blame: most of them, or several under another part of prompts. A request shares the ends of
// the part that it holds.
func (a *assessment) hasRival(p *knownPart) bool {
	for _, other := range a.isolator.parts {
		if other == p {
			continue
		}
		shared := p.sharedRuns(other)
		most := shared == len(p.runs) || shared >= heldInstants && shared*2 >= len(p.runs)
		if most || shared >= suspectInstants && !other.id.IsRequest() {
			return true
		}
	}
	return false
}

// isDoubtful reports whether a part may be accused without cause: other engines ended at each of the
// moments that speak against it, and none ended after another one under the same request.
func (a *assessment) isDoubtful(s *suspect) bool {
	own := a.runsByInstant(s)
	for _, r := range s.runs {
		if own[a.instants[r.ID]] == a.unexplained[a.instants[r.ID]] || s.part.runs[r.ID].after != 0 {
			return false
		}
	}
	return true
}

// probeFailedAlone reports whether an engine ended under a held part after the hold, at a calm moment.
func (c *conviction) probeFailedAlone(calm []bool) bool {
	for n := c.needed; n < len(c.moments); n++ {
		if calm[n] && c.moments[n].Sub(c.moments[n-1]) >= doubtfulHoldTime {
			return true
		}
	}
	return false
}

// finalSuspicion returns the suspicion after the moments that came after the hold before them.
func (c *conviction) finalSuspicion() int {
	suspicion := c.suspicion
	for n := c.needed; n < len(c.moments); n++ {
		if c.moments[n].Sub(c.moments[n-1]) >= doubtfulDuration(suspicion) {
			suspicion++
		}
	}
	return suspicion
}

// doubtfulDuration returns the hold of a part that may be held without cause.
func doubtfulDuration(suspicion int) time.Duration {
	duration := doubtfulHoldTime
	for range suspicion {
		duration = min(duration*doubtfulFactor, holdTime)
	}
	return duration
}
