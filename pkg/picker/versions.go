package picker

import (
	"slices"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// OnlyVersion returns the candidates for a stream that a version of the upstreams' software has
// begun: the others are not free. All are returned, since what is decided about a pool, such as which
// of its engines serve light classes, must not depend on one request. If none is free, one in its
// slow start is: nobody else can go on with the stream.
func OnlyVersion(candidates []Candidate, version registrar.Version) []Candidate {
	out := slices.Clone(candidates)
	free := false
	for i := range out {
		c := &out[i]
		c.Free, c.Ready = c.Free && c.Version == version, c.Ready && c.Version == version
		free = free || c.Free
	}
	for i := range out {
		out[i].Free = out[i].Free || !free && out[i].Ready
	}
	return out
}
