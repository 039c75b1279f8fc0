package configurer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreybend/comfreybend/schema/state"
)

// urgency orders requests: the organisation's tier goes before the class's, and
// among those of one organisation tier the class's decides. An organisation
// without a tier has its request's.
type urgency struct {
	organisation int32
	class        int32
}

// rankAll lists every urgency that the classes and organisations allow, the
// highest first.
func (c *Catalog) rankAll() []urgency {
	own := map[int32]bool{0: true}
	for _, o := range c.organisations {
		own[o.GetTier()] = true
	}
	seen := map[urgency]bool{}
	for _, class := range c.classes {
		for tier := range own {
			seen[urgencyOf(tier, class)] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.class, b.class))
	})
}

func urgencyOf(organisation int32, class *state.Class) urgency {
	u := urgency{organisation: organisation, class: class.GetTier()}
	if u.organisation == 0 {
		u.organisation = u.class
	}
	return u
}

// RankOf returns the rank of an organisation's requests of a class, from 1, the
// most urgent, and the number of ranks that there are.
func (c *Catalog) RankOf(id OrganisationID, class *state.Class) (rank, ranks int32) {
	u := urgencyOf(c.organisations[id].GetTier(), class)
	return int32(slices.Index(c.ranks, u) + 1), int32(len(c.ranks))
}
