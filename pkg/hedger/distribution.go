package hedger

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which recorded times lose weight. A host of a large system
	// sees about one request of a class in two seconds, so a shorter one would leave too few for a
	// quantile of 0.95.
	decayTime = 2 * time.Minute
	// decayInterval is the time after which the weights are updated. It keeps the cost of a record low and
	// changes a weight by less than a hundredth.
	decayInterval = time.Second
	// shortestTime is the upper bound of the first bucket.
	shortestTime = 100 * time.Microsecond
	// bucketsPerDoubling is the number of buckets between a time and its double. A bucket is 9 % wide.
	bucketsPerDoubling = 8
	// bucketCount covers times up to 14 minutes.
	bucketCount = 185
)

// distribution holds the recent response times of one class at one pool. A request that was
// cancelled counts up to then only (Kaplan and Meier, Nonparametric Estimation from Incomplete
// Observations, 1958).
type distribution struct {
	// answered and unanswered are the weights of the requests by the time of their response or
	// cancellation.
	answered, unanswered [bucketCount]float64
	decayedAt            time.Duration
}

func bucketOf(took time.Duration) int {
	if took <= shortestTime {
		return 0
	}
	n := math.Ceil(math.Log2(float64(took)/float64(shortestTime)) * bucketsPerDoubling)
	return min(int(n), bucketCount-1)
}

// upperBound returns the longest time of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortestTime) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

func (d *distribution) add(now, took time.Duration, answered bool) {
	d.decay(now)
	if answered {
		d.answered[bucketOf(took)]++
	} else {
		d.unanswered[bucketOf(took)]++
	}
}

func (d *distribution) decay(now time.Duration) {
	if now-d.decayedAt < decayInterval {
		return
	}
	factor := math.Exp(-float64(now-d.decayedAt) / float64(decayTime))
	for i := range d.answered {
		d.answered[i] *= factor
		d.unanswered[i] *= factor
	}
	d.decayedAt = now
}

// quantile returns the time by which a share of the requests is answered, rounded up to the bound of
// a bucket. If requests that were cancelled leave it open, it returns the longest recorded time. The
// second result is false if there are fewer responses than a share of this size needs.
func (d *distribution) quantile(now time.Duration, share float64) (time.Duration, bool) {
	d.decay(now)
	responses, atRisk, longest := 0.0, 0.0, 0
	for i := range d.answered {
		responses += d.answered[i]
		atRisk += d.answered[i] + d.unanswered[i]
		if d.answered[i]+d.unanswered[i] > 0 {
			longest = i
		}
	}
	if responses < 1/(1-share) {
		return 0, false
	}
	unanswered := 1.0
	for i := range longest + 1 {
		if d.answered[i] > 0 {
			unanswered *= 1 - d.answered[i]/atRisk
		}
		if 1-unanswered >= share {
			return upperBound(i), true
		}
		atRisk -= d.answered[i] + d.unanswered[i]
	}
	return upperBound(longest), true
}
