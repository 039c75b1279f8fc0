package limiter

import "math"

// Demand is what one process wants of a pool of upstreams.
type Demand struct {
	// Requests are in progress and waiting.
	Requests int
	// Known is false while the process cannot be reached.
	Known bool
}

// DivideSlots returns this process's part of an upstream's slots. Processes
// share by demand, each with at least an equal part of one tenth of the slots,
// so that a process that begins to need them can start. While any process is
// unreachable the division is even, since that process divides evenly too.
// Parts are rounded, so that few slots are neither left unused nor given twice;
// what is given twice waits at the upstream by priority.
func DivideSlots(slots, own int, others []Demand) int {
	processes := len(others) + 1
	even := max(1, int(math.Round(float64(slots)/float64(processes))))
	total := own
	for _, d := range others {
		if !d.Known {
			return even
		}
		total += d.Requests
	}
	if total == 0 {
		return even
	}
	const reservedDivisor = 10
	reserved := slots / reservedDivisor
	shared := slots - reserved
	part := float64(reserved)/float64(processes) + float64(shared)*float64(own)/float64(total)
	return max(1, int(math.Round(part)))
}
