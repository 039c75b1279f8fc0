package profiler

import (
	"math"
	"sort"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/sequencer"
)

const (
	// speedDecayTime is the time constant of the decay of observations of speeds. Speeds last; a pool
	// of 90 engines with 400 requests a second has 100 observations of each in that time.
	speedDecayTime = 30 * time.Second
	// endDecayTime is the time constant of the decay of counted attempts and failures.
	endDecayTime = 3 * time.Second
	// assessInterval is the time between two assessments of all upstreams.
	assessInterval = 300 * time.Millisecond
	// minWeight is the weight of observations from which the speed of an upstream is estimated.
	minWeight = 8
	// minVariance is the least variance that is assumed of the logarithm of an observed speed, so that
	// a few observations that agree do not look certain.
	minVariance = 0.02
	// certainErrors is the number of standard errors up to which a deviation from the pool counts as
	// chance. Greater ones are lowered by less the more they exceed it.
	certainErrors = 2
	// minPublishedSpeed and minPublishedExcess are the least changes that are published: 5 % of the
	// speed, and a tenth of the attempts.
	minPublishedSpeed  = 0.05
	minPublishedExcess = 0.1
	// maxRuns bounds the upstreams of a table, at about 200 bytes each.
	maxRuns = 50_000
	// maxSumWeight bounds the weight and the attempts in one report.
	maxSumWeight = 100_000
	// negligible is the weight below which the sums of an upstream are dropped.
	negligible = 0.01
)

type (
	// Position is the number of a published change of a Table. The first one has number 1.
	Position uint64

	// Table adds up the observations of all processes. It is not safe for concurrent use.
	Table struct {
		upstreams  map[registrar.UpstreamID]*decayedSums
		published  *sequencer.Sequencer[registrar.UpstreamID]
		assessedAt time.Duration
	}

	// Published is the profile of one run of an upstream.
	Published struct {
		Run     Run
		Profile Profile
	}

	// decayedSums are the sums of the latest run of an upstream, as of updatedAt.
	decayedSums struct {
		incarnation              registrar.Incarnation
		updatedAt                time.Duration
		weight, logSpeed, square float64
		attempts, failures       float64
		profile, published       Profile
	}
)

// NewTable returns a table without observations.
func NewTable() *Table {
	return &Table{upstreams: map[registrar.UpstreamID]*decayedSums{}, published: sequencer.New[registrar.UpstreamID]()}
}

// Add adds sums that a process has observed. Those that no process can have observed are ignored, and
// so are those of a run before the latest one.
func (t *Table) Add(now time.Duration, run Run, s Sums) {
	if !s.isValid() {
		return
	}
	u := t.upstreams[run.ID]
	switch {
	case u == nil && len(t.upstreams) >= maxRuns, u != nil && run.Incarnation < u.incarnation:
		return
	case u == nil:
		u = &decayedSums{incarnation: run.Incarnation, updatedAt: now}
		t.upstreams[run.ID] = u
	case run.Incarnation > u.incarnation:
		*u = decayedSums{incarnation: run.Incarnation, updatedAt: now}
		t.published.Forget(run.ID)
	}
	u.decay(now)
	u.weight += s.Weight
	u.logSpeed += s.LogSpeed
	u.square += s.Square
	u.attempts += float64(s.Attempts)
	u.failures += float64(s.Failures)
}

// isValid reports whether a process can have observed the sums.
func (s Sums) isValid() bool {
	return s.Weight >= 0 && s.Weight <= maxSumWeight && math.Abs(s.LogSpeed) <= 1.01*maxLogSpeed*s.Weight &&
		s.Square >= 0 && s.Square <= 1.01*maxLogSpeed*maxLogSpeed*s.Weight &&
		s.Failures >= 0 && s.Failures <= s.Attempts && s.Attempts <= maxSumWeight
}

func (u *decayedSums) decay(now time.Duration) {
	speed := math.Exp(-float64(now-u.updatedAt) / float64(speedDecayTime))
	ends := math.Exp(-float64(now-u.updatedAt) / float64(endDecayTime))
	u.weight, u.logSpeed, u.square = u.weight*speed, u.logSpeed*speed, u.square*speed
	u.attempts, u.failures = u.attempts*ends, u.failures*ends
	u.updatedAt = now
}

// Since returns the profiles that were published after a position, at most limit, and the position up
// to which these are all. poolOf returns the pool of an upstream, or false if it is not known.
func (t *Table) Since(
	now time.Duration, after Position, limit int, poolOf func(registrar.UpstreamID) (string, bool),
) ([]Published, Position) {
	if now-t.assessedAt >= assessInterval {
		t.assessedAt = now
		t.assess(now, poolOf)
	}
	ids, position := t.published.Since(sequencer.Position(after), limit)
	out := make([]Published, 0, len(ids))
	for _, id := range ids {
		u := t.upstreams[id]
		out = append(out, Published{Run: Run{ID: id, Incarnation: u.incarnation}, Profile: u.published})
	}
	return out, Position(position)
}

// assess estimates the profiles of all upstreams and publishes those that have changed.
func (t *Table) assess(now time.Duration, poolOf func(registrar.UpstreamID) (string, bool)) {
	pools := map[string][]*decayedSums{}
	for id, u := range t.upstreams {
		u.decay(now)
		if pool, known := poolOf(id); known {
			pools[pool] = append(pools[pool], u)
		} else if u.weight < negligible && u.attempts < negligible {
			delete(t.upstreams, id)
			t.published.Forget(id)
		}
	}
	for _, upstreams := range pools {
		assessSpeeds(upstreams)
		assessFailures(upstreams)
	}
	for id, u := range t.upstreams {
		if u.profile.needsPublishing(u.published) {
			u.published = u.profile
			t.published.Record(id)
		}
	}
}

// needsPublishing reports whether p differs enough from the published profile. The end of an excess is
// always published.
func (p Profile) needsPublishing(published Profile) bool {
	speed, before := max(p.Speed, 0), max(published.Speed, 0)
	if speed == 0 {
		speed = 1
	}
	if before == 0 {
		before = 1
	}
	return math.Abs(speed-before) > minPublishedSpeed*before ||
		math.Abs(p.Excess-published.Excess) > minPublishedExcess || (p.Excess == 0) != (published.Excess == 0)
}

// assessSpeeds sets the speeds of the upstreams of a pool from the deviations of their mean logarithms
// from the median. The more a deviation may be chance, the closer the speed is to 1.
func assessSpeeds(upstreams []*decayedSums) {
	var means []float64
	for _, u := range upstreams {
		if u.weight >= minWeight {
			means = append(means, u.logSpeed/u.weight)
		}
	}
	middle := median(means)
	for _, u := range upstreams {
		u.profile.Speed = 0
		if u.weight < minWeight {
			continue
		}
		mean := u.logSpeed / u.weight
		deviation := mean - middle
		chance := certainErrors * math.Sqrt(max(minVariance, u.square/u.weight-mean*mean)/u.weight)
		if math.Abs(deviation) > chance {
			certain := 1 - chance*chance/(deviation*deviation)
			u.profile.Speed = math.Exp(max(-maxLogSpeed, min(maxLogSpeed, certain*deviation)))
		}
	}
}

// median returns the median of values, which it sorts; zero if there are none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	sort.Float64s(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
