package profiler

import "math"

const (
	// suspectErrors and clearErrors are the numbers of standard errors by which the rate of failures
	// of an upstream must exceed that of the others: to be found to fail more, in a pool of up to
	// smallPool upstreams, and to remain so. In larger pools one of the upstreams fails more by
	// chance more often.
	suspectErrors = 3
	smallPool     = 4
	clearErrors   = 1.5
	// othersErrors is the number of standard errors that is granted to the rate of the others.
	othersErrors = 1.64
	// minExcess is the fraction of attempts by which an upstream must fail more than the others. Less
	// is not worth the load that they would take over.
	minExcess = 0.05
	// minOthers is the number of recent attempts at the others from which an upstream is compared.
	minOthers = 5
)

// assessFailures sets by which fraction of their attempts the upstreams of a pool fail more than the
// others. Upstreams that were found to fail more before are not among the others, as long as there
// are any.
func assessFailures(upstreams []*decayedSums) {
	attempts, failures := 0.0, 0.0
	for _, u := range upstreams {
		if u.profile.Excess == 0 {
			attempts += u.attempts
			failures += u.failures
		}
	}
	suspect := math.Sqrt(suspectErrors*suspectErrors + 2*math.Log(max(1, float64(len(upstreams))/smallPool)))
	excess := make([]float64, len(upstreams))
	for i, u := range upstreams {
		othersAttempts, othersFailures, errors := attempts, failures, clearErrors
		if u.profile.Excess == 0 {
			othersAttempts, othersFailures, errors = attempts-u.attempts, failures-u.failures, suspect
		}
		if othersAttempts >= minOthers {
			excess[i] = excessOf(u.attempts, u.failures, max(0, othersAttempts), max(0, othersFailures), errors)
		}
	}
	for i, u := range upstreams {
		u.profile.Excess = excess[i]
	}
}

// excessOf returns the difference between the lower bound of the rate of failures of an upstream, by
// the given number of standard errors, and the upper bound of that of others; zero if it is less than
// minExcess.
func excessOf(attempts, failures, othersAttempts, othersFailures, errors float64) float64 {
	lower, _ := wilson(attempts, failures, errors)
	_, upper := wilson(othersAttempts, othersFailures, othersErrors)
	if lower-upper < minExcess {
		return 0
	}
	return lower - upper
}

// wilson returns the bounds of the Wilson score interval of a rate, by the given number of standard
// errors.
func wilson(attempts, failures, errors float64) (lower, upper float64) {
	if attempts <= 0 {
		return 0, 1
	}
	rate, square := min(1, failures/attempts), errors*errors
	middle := rate + square/(2*attempts)
	half := errors * math.Sqrt(rate*(1-rate)/attempts+square/(4*attempts*attempts))
	scale := 1 + square/attempts
	return max(0, (middle-half)/scale), min(1, (middle+half)/scale)
}
