package limiter

import "math"

// Demand is the number of requests that one other process has for a pool of
// upstreams.
type Demand struct {
	// Requests is the number of requests in flight and waiting.
	Requests int
	// Known is false while the process cannot be reached; Requests is ignored then.
	Known bool
}

// DivideSlots returns this process's share of the slots of an upstream, at
// least 1. own is this process's number of requests in flight and waiting for the
// upstream's pool, others the demand of every other process for that pool.
//
// One tenth of the slots is divided equally, so that a process whose demand has
// just begun can start; the rest is divided in proportion to demand. All slots
// are divided equally if no process has demand, or while any process cannot be
// reached, since that process does not know the others' demand either and divides
// equally too.
//
// Shares are rounded to the nearest integer: rounding down left slots unused (8
// slots gave each of 3 processes only 2). The sum of the shares can exceed the
// slots; the upstream queues the excess requests by priority.
func DivideSlots(slots, own int, others []Demand) int {
	processes := len(others) + 1
	equalShare := max(1, int(math.Round(float64(slots)/float64(processes))))
	total := own
	for _, d := range others {
		if !d.Known {
			return equalShare
		}
		total += d.Requests
	}
	if total == 0 {
		return equalShare
	}
	const equalDivisor = 10
	equalSlots := slots / equalDivisor
	proportionalSlots := slots - equalSlots
	share := float64(equalSlots)/float64(processes) + float64(proportionalSlots)*float64(own)/float64(total)
	return max(1, int(math.Round(share)))
}
