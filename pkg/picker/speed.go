package picker

import (
	"slices"
	"time"

	"github.com/comfreybend/comfreybend/pkg/profiler"
)

// proveDivisor is the number of retryable requests of which one is placed as if no upstream failed more than the
// others, so that one that has recovered is found to be sound.
const proveDivisor = 16

// rateOf returns the estimated prefill rate of an engine in prompt tokens per second.
func (p *Placer) rateOf(e *Engine) float64 { return p.prefillRate * profiler.Relative(e.Speed) }

// scaled returns the time that work takes at the engine if it takes d at one of speed 1.
func (e *Engine) scaled(d time.Duration) time.Duration {
	speed := profiler.Relative(e.Speed)
	if speed == 1 {
		return d
	}
	return time.Duration(float64(d) / speed)
}

// stepTime returns the time that the engine takes to generate one token while it runs the given number
// of requests.
func (e *Engine) stepTime(requests int) time.Duration {
	return e.scaled(assumedStepTime + time.Duration(requests)*stepTimePerRequest)
}

// meanSpeed returns the mean speed of the given engines, 1 if there are none.
func meanSpeed(engines []Engine, chosen map[int]bool) float64 {
	total := 0.0
	for i := range engines {
		if chosen[i] {
			total += profiler.Relative(engines[i].Speed)
		}
	}
	if total == 0 {
		return 1
	}
	return total / float64(len(chosen))
}

// relativeLoad returns the load relative to the speed.
func (c *Candidate) relativeLoad() float64 { return float64(c.Load()) / profiler.Relative(c.Speed) }

// occupancy returns the load including one new request, relative to what the slots can do at present.
func (c *Candidate) occupancy() float64 {
	occupancy := float64(c.Load()+1) / float64(max(1, c.Slots))
	if c.hasOwnSpeed() {
		occupancy *= profiler.Relative(c.Slowdown) / profiler.Relative(c.Speed)
	}
	return occupancy
}

// hasOwnSpeed reports whether the upstream is faster or slower than others, in general or at present.
func (c *Candidate) hasOwnSpeed() bool {
	return profiler.Relative(c.Speed) != 1 || profiler.Relative(c.Slowdown) != 1
}

// soundFirst narrows candidates to those that do not fail more requests than the others, if one of
// these has a free slot. One retryable request in proveDivisor may go to any; without such requests the
// observed failures decay within seconds.
func (p *Picker) soundFirst(r Request, candidates []Candidate, indices []int) []int {
	if !slices.ContainsFunc(indices, func(i int) bool { return candidates[i].Failing }) {
		return indices
	}
	var sound []int
	room := false
	for _, i := range indices {
		if c := &candidates[i]; !c.Failing {
			sound = append(sound, i)
			room = room || c.Load() < c.Slots
		}
	}
	if !room || r.Retryable && p.random(proveDivisor) == 0 {
		return indices
	}
	return sound
}
