package retrier

import (
	"math"
	"time"
)

const (
	// failureDecayTime is the time constant of the exponential decay of counted failures.
	failureDecayTime = 4 * time.Second
	// failurePenalty is the delay that one recent failure adds to the cost of an upstream.
	failurePenalty = 400 * time.Millisecond
)

// FailureCounter counts recent failures. The zero value has none.
type FailureCounter struct {
	weight    float64
	updatedAt time.Duration
}

// Add counts one failure.
func (c *FailureCounter) Add(now time.Duration) {
	c.weight = c.weightAt(now) + 1
	c.updatedAt = now
}

// Penalty returns the delay that recent failures add to the cost of an upstream.
func (c *FailureCounter) Penalty(now time.Duration) time.Duration {
	return time.Duration(c.weightAt(now) * float64(failurePenalty))
}

// weightAt returns the decayed count at now.
func (c *FailureCounter) weightAt(now time.Duration) float64 {
	return c.weight * math.Exp(-float64(now-c.updatedAt)/float64(failureDecayTime))
}
