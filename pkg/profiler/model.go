package profiler

import "time"

const (
	// prefillTokensPerSecond and firstTokenOverhead describe the time to the first token of an assumed
	// engine.
	prefillTokensPerSecond = 60_000
	firstTokenOverhead     = 25 * time.Millisecond
	// stepTime is the time of a step of the assumed engine. stepTimePerRequest, by which a running
	// request prolongs it, is below that of real engines: with a greater one, busy engines would look
	// fast and be given still more.
	stepTime           = 5 * time.Millisecond
	stepTimePerRequest = 100 * time.Microsecond
	// minPrefillTokens is the number of prompt tokens from which a time to the first token is
	// observed. Shorter prefills say little about the speed. Nor do those with more than maxAheadRatio
	// of their tokens ahead of them, since part of these may be cached or computed.
	minPrefillTokens = 1_000
	maxAheadRatio    = 0.5
	// interleavedShare is the share of the tokens of the other requests in flight that is assumed to be
	// computed between the events of a response. It is below the real one for the same reason.
	interleavedShare = 0.5
	// minEvents is the number of events from which the time between them is observed.
	minEvents = 4
)

// ExpectedPrefill returns the time to the first token of a prompt with the given numbers of uncached
// tokens of its own and of others that are computed before. It is zero if the prompt says too little.
func ExpectedPrefill(own, ahead float64) time.Duration {
	if own < minPrefillTokens || ahead > maxAheadRatio*own {
		return 0
	}
	return firstTokenOverhead + time.Duration((own+max(0, ahead))/prefillTokensPerSecond*float64(time.Second))
}

// ExpectedEvents returns the time between the first and the last one of the given number of events,
// while the engine runs the given number of requests, with the given number of uncached prompt tokens of
// others among them. It is zero for too few events.
func ExpectedEvents(events, running int, uncached float64) time.Duration {
	if events < minEvents {
		return 0
	}
	steps := time.Duration(events-1) * (stepTime + time.Duration(max(1, running))*stepTimePerRequest)
	return steps + time.Duration(interleavedShare*max(0, uncached)/prefillTokensPerSecond*float64(time.Second))
}

// ExpectedResponse returns the time of a response of a service that has the given number of requests,
// the new one included, and slots. Beyond the slots the requests wait for each other.
func ExpectedResponse(requests, slots int) time.Duration {
	if slots <= 0 || requests <= slots {
		return time.Second
	}
	return time.Second * time.Duration(requests) / time.Duration(slots)
}
