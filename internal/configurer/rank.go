package configurer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreybend/comfreybend/schema/state"
)

// priority orders requests: by the tier of the organisation, then by the tier of
// the class. An organisation without a tier gets the tier of the request's class.
type priority struct {
	organisationTier int32
	classTier        int32
}

// allPriorities returns every priority that the organisations and classes can
// combine to, the highest first.
func (c *Catalog) allPriorities() []priority {
	organisationTiers := map[int32]bool{0: true}
	for _, o := range c.organisations {
		organisationTiers[o.GetTier()] = true
	}
	seen := map[priority]bool{}
	for _, class := range c.classes {
		for tier := range organisationTiers {
			seen[priorityOf(tier, class)] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b priority) int {
		return cmp.Or(cmp.Compare(a.organisationTier, b.organisationTier), cmp.Compare(a.classTier, b.classTier))
	})
}

func priorityOf(organisationTier int32, class *state.Class) priority {
	p := priority{organisationTier: organisationTier, classTier: class.GetTier()}
	if p.organisationTier == 0 {
		p.organisationTier = p.classTier
	}
	return p
}

// RankOf returns the rank of an organisation's requests of a class among all
// priorities, where 1 is the highest, and the number of ranks.
func (c *Catalog) RankOf(id OrganisationID, class *state.Class) (rank, ranks int32) {
	p := priorityOf(c.organisations[id].GetTier(), class)
	return int32(slices.Index(c.priorities, p) + 1), int32(len(c.priorities))
}
