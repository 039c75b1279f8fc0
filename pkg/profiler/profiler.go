// Package profiler estimates how fast each upstream is relative to its pool, and finds upstreams that
// fail more of their requests than their pool, from the observations of many processes.
//
// Each process has an Observer, which compares the time that work took at an upstream with the time that
// such work takes on average, and counts attempts and failures. Its sums are sent to processes that hold
// a Table, which adds up the sums of all processes, lets them decay, and publishes the profiles that
// have changed. One process sees too few requests of an upstream to tell its speed or its rate of
// failures from chance.
//
// Times are readings of one monotonic clock. The package does no I/O and returns no errors.
package profiler

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// WorkPrefill is the computation of a prompt.
	WorkPrefill Work = "prefill"
	// WorkEvents is the generation from the first event of a stream to the last one.
	WorkEvents Work = "events"
	// WorkResponse is a whole response of a service.
	WorkResponse Work = "response"

	// maxSlowdownAge is the age up to which a report of the present slowdown applies. The slowdown
	// changes many times a second and lasts for a fraction of one.
	maxSlowdownAge = 150 * time.Millisecond
	// maxLogSpeed bounds the logarithm of an observed speed, to a factor of 4. Batching, cache hits
	// that were not expected and stalls differ by more than upstreams do.
	maxLogSpeed = 1.386
	// referenceSamples is the number of observations over which the usual time of a group is
	// averaged, minReferenceSamples the number from which it is used.
	referenceSamples    = 50
	minReferenceSamples = 3
	// prefillWeight is the weight of an observed prefill relative to that of a response. It depends on
	// prompts of other processes that this one does not know of, most at the engines that have popular
	// prompt parts cached.
	prefillWeight = 0.25
	// maxGroups bounds the groups of an Observer, and maxUnsent the runs whose sums it keeps, at about
	// 100 bytes each.
	maxGroups = 2_000
	maxUnsent = 12_000
	// negligibleDeviation is the deviation of a speed or a slowdown from 1 that is ignored. It is
	// above the error of an estimate, so that equally fast upstreams are treated alike.
	negligibleDeviation = 0.1
)

type (
	// Work is a kind of work whose duration is observed.
	Work string

	// Group is the observations whose durations are comparable except for the upstream: of one kind of
	// work for one class of requests to one pool.
	Group struct {
		Pool, Class string
		Work        Work
	}

	// Run is one run of an upstream. What is known of a run does not apply to later ones.
	Run struct {
		ID          registrar.UpstreamID
		Incarnation registrar.Incarnation
	}

	// Sums are sums over observations of one run.
	Sums struct {
		// Weight is the weight of the observations of the speed, LogSpeed and Square the weighted sums
		// of the natural logarithm of the speed, 0 for the usual one, and of its square.
		Weight, LogSpeed, Square float64
		// Attempts is the number of attempts that ended, Failures that of those that the upstream
		// itself failed.
		Attempts, Failures int
	}

	// Sample is one observation of a duration.
	Sample struct {
		Run   Run
		Group Group
		// Expected is the time that the work takes by a model that need be right only up to a
		// factor for each group. Took is the time that it took.
		Expected, Took time.Duration
		// Slowdown is that of the upstream's machine by its latest report, zero if unknown.
		Slowdown float64
		// Speed is that of the upstream as known so far, zero if unknown.
		Speed float64
	}

	// Profile is what is known of an upstream. The zero value is that of an upstream like the others.
	Profile struct {
		// Speed is the speed as a multiple of the median of the pool, zero if unknown.
		Speed float64
		// Excess is the fraction of attempts by which the upstream at least fails more than the
		// other upstreams of its pool, zero if it does not.
		Excess float64
	}

	// Observer collects the observations of one process. It is not safe for concurrent use.
	Observer struct {
		// enabled reports that some upstream has reported a slowdown. Without one, upstreams are
		// taken to be equally fast and only attempts are counted.
		enabled    bool
		references map[Group]*reference
		unsent     map[Run]Sums
	}

	// reference is the mean logarithm of the ratio of observed to expected durations of a group, at an
	// upstream of speed 1.
	reference struct {
		mean    float64
		samples int
	}
)

// NewObserver returns an observer without observations.
func NewObserver() *Observer {
	return &Observer{references: map[Group]*reference{}, unsent: map[Run]Sums{}}
}

// Enable starts the observation of speeds. Call it when an upstream reports a slowdown.
func (o *Observer) Enable() { o.enabled = true }

// Enabled reports whether Enable has been called.
func (o *Observer) Enabled() bool { return o.enabled }

// Observe adds an observation of a duration. The present slowdown is divided out of durations that are
// not longer than its report is valid; longer ones are averages over many slowdowns.
func (o *Observer) Observe(s Sample) {
	if !o.enabled || s.Expected <= 0 || s.Took <= 0 {
		return
	}
	ratio := math.Log(float64(s.Took) / float64(s.Expected))
	if s.Slowdown > 0 && s.Took <= maxSlowdownAge {
		ratio -= math.Log(s.Slowdown)
	}
	r := o.references[s.Group]
	if r == nil {
		if len(o.references) >= maxGroups {
			return
		}
		r = &reference{}
		o.references[s.Group] = r
	}
	if r.samples >= minReferenceSamples {
		x := max(-maxLogSpeed, min(maxLogSpeed, r.mean-ratio))
		weight := 1.0
		if s.Group.Work == WorkPrefill {
			weight = prefillWeight
		}
		o.add(s.Run, Sums{Weight: weight, LogSpeed: weight * x, Square: weight * x * x})
		// A stall must not move the usual time of the group more than a slow upstream does.
		ratio = r.mean - x
	}
	if s.Speed > 0 {
		// The time at an upstream of speed 1.
		ratio += math.Log(s.Speed)
	}
	r.samples = min(r.samples+1, referenceSamples)
	r.mean += (ratio - r.mean) / float64(r.samples)
}

// Ended counts an attempt that has ended and whether the upstream itself failed it. Refusals and attempts
// that ended for another reason must not be counted.
func (o *Observer) Ended(run Run, failed bool) {
	sums := Sums{Attempts: 1}
	if failed {
		sums.Failures = 1
	}
	o.add(run, sums)
}

// Take returns the sums of at most limit runs that were not taken yet, and forgets them. Those with
// failures come first.
func (o *Observer) Take(limit int) map[Run]Sums {
	out := make(map[Run]Sums, min(limit, len(o.unsent)))
	take := func(failures bool) {
		for run, sums := range o.unsent {
			if len(out) < limit && (sums.Failures > 0 || !failures) {
				out[run] = sums
				delete(o.unsent, run)
			}
		}
	}
	take(true)
	take(false)
	return out
}

// Add adds sums that another process has observed, or that were taken and could not be sent.
func (o *Observer) Add(sums map[Run]Sums) {
	for run, s := range sums {
		o.add(run, s)
	}
}

func (o *Observer) add(run Run, s Sums) {
	known, found := o.unsent[run]
	if !found && len(o.unsent) >= maxUnsent {
		return
	}
	o.unsent[run] = Sums{
		Weight: known.Weight + s.Weight, LogSpeed: known.LogSpeed + s.LogSpeed, Square: known.Square + s.Square,
		Attempts: known.Attempts + s.Attempts, Failures: known.Failures + s.Failures,
	}
}

// Relative returns a speed, or 1 if it is unknown or differs from 1 by no more than the error of an
// estimate.
func Relative(speed float64) float64 {
	if speed <= 0 || math.Abs(speed-1) <= negligibleDeviation {
		return 1
	}
	return speed
}

// PresentSlowdown returns a reported slowdown, or 1 if it is unknown, too old or close to 1.
func PresentSlowdown(slowdown float64, age time.Duration) float64 {
	if age > maxSlowdownAge {
		return 1
	}
	return Relative(slowdown)
}
