package dialer

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// A connection may take 1/targetDivisor of the target of its request, so that a request that is sent to another
	// upstream after that can still meet it.
	targetDivisor = 2
	// minTimeout is the least time for a connection: a host that is short of processor time stands still for up to 90 ms.
	minTimeout = 100 * time.Millisecond
)

// TimeoutFor returns the time within which a connection must be established for a request with a target, at most limit.
func TimeoutFor(target *state.Target, limit time.Duration) time.Duration {
	wanted := target.GetFirstToken().AsDuration()
	if wanted == 0 {
		wanted = target.GetWholeAnswer().AsDuration()
	}
	if wanted == 0 {
		return limit
	}
	return min(limit, max(minTimeout, wanted/targetDivisor))
}
