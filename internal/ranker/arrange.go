package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Arrange orders the addresses of control processes for an entry process, by rendezvous hashing. The order
// depends on nothing but the two, so that all who arrange the same addresses agree, and an address that is
// added or removed leaves the order of the others.
func Arrange(entryHost string, addresses []string) []string {
	weightOf := func(address string) uint64 { return xxhash.Sum64String(entryHost + "\x00" + address) }
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weightOf(a), weightOf(b)), cmp.Compare(a, b))
	})
	return out
}
