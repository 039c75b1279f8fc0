// Package diverter decides for an entry host whether it is cut off from all upstreams, while
// clients and control processes still reach it, and which other entry host takes its requests
// meanwhile.
//
// Detector tells a cut from upstreams that are down: a failed connection only raises a suspicion,
// and bare connections to upstreams of different failure domains decide. Choose chooses the entry
// host that takes a request, such that the requests of hosts that are cut off together spread over
// the others.
//
// The package does no I/O, keeps no time and returns no errors.
package diverter

import (
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// Upstream is an upstream to which a connection can be tried.
type Upstream struct {
	ID     registrar.UpstreamID
	Domain registrar.FailureDomain
}
