package picker

import (
	"slices"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// OnlyVersion returns the candidates for a stream that a version of the upstreams' software has
// begun: the others are not free. All are returned, since what is decided about a pool, such as which
// of its engines serve light classes, must not depend on one request. An upstream at which the
// stream has failed is used again only if no other one is ready. If none is free, one in its slow
// start is: nobody else can go on with the stream.
func OnlyVersion(candidates []Candidate, version registrar.Version, failedAt []registrar.UpstreamID) []Candidate {
	out := slices.Clone(candidates)
	free, ready := false, false
	for i := range out {
		c := &out[i]
		c.Free, c.Ready = c.Free && c.Version == version, c.Ready && c.Version == version
		if !contains(failedAt, c.ID) {
			free, ready = free || c.Free, ready || c.Ready
		}
	}
	if !free && !ready {
		return out
	}
	for i := range out {
		c := &out[i]
		c.Free = !contains(failedAt, c.ID) && (c.Free || !free && c.Ready)
	}
	return out
}

// AnyFree reports whether one of the candidates has room for a request.
func AnyFree(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Free })
}
