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

// allPriorities returns the priorities of all pairs of an organisation tier and a
// class, the highest first, without duplicates. It always includes those of
// organisations without a tier.
func (c *Catalog) allPriorities() []priority {
	organisationTiers := map[int32]bool{0: true}
	for _, o := range c.organisations {
		organisationTiers[o.GetTier()] = true
	}
	priorities := map[priority]bool{}
	for _, class := range c.classes {
		for tier := range organisationTiers {
			priorities[priorityOf(tier, class)] = true
		}
	}
	return slices.SortedFunc(maps.Keys(priorities), func(a, b priority) int {
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

// RankOf returns the rank of an organisation's requests in a class, which is the
// position of their priority with 1 as the highest, and the number of priorities. The
// rank is 0 if their priority is not in the catalog.
func (c *Catalog) RankOf(id OrganisationID, class *state.Class) (rank, ranks int32) {
	p := priorityOf(c.organisations[id].GetTier(), class)
	return int32(slices.Index(c.priorities, p) + 1), int32(len(c.priorities))
}
