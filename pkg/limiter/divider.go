package limiter

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
// unreachable the division is even, since that process divides evenly too and
// an even part never adds up to more than the slots.
func DivideSlots(slots, own int, others []Demand) int {
	processes := len(others) + 1
	even := max(1, slots/processes)
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
	return max(1, reserved/processes+shared*own/total)
}
