package configurer

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/state"
)

func TestRankOf(t *testing.T) {
	urgent, slow := &state.Class{Name: "urgent", Tier: 1}, &state.Class{Name: "slow", Tier: 3}
	type organisations map[string]int32
	tests := map[string]struct {
		organisations organisations
		id            OrganisationID
		class         *state.Class
		rank, ranks   int32
	}{
		"no organisation has a tier": {
			organisations: organisations{"a": 0}, id: "a", class: slow, rank: 2, ranks: 2,
		},
		"same organisation tier, lower class tier": {
			organisations: organisations{"a": 2, "b": 2}, id: "b", class: slow, rank: 3, ranks: 4,
		},
		"same organisation tier, higher class tier": {
			organisations: organisations{"a": 2, "b": 2}, id: "a", class: urgent, rank: 2, ranks: 4,
		},
		"organisation tier takes precedence over class tier": {
			organisations: organisations{"a": 1, "b": 2}, id: "a", class: slow, rank: 2, ranks: 5,
		},
		"unknown organisation gets the tier of the class": {
			organisations: organisations{"a": 2}, id: "z", class: slow, rank: 4, ranks: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &state.Configuration{Classes: []*state.Class{urgent, slow}}
			for id, tier := range test.organisations {
				c.Organisations = append(c.Organisations, &state.Organisation{Id: id, Tier: tier})
			}
			rank, ranks := Restore(1, c, nil).RankOf(test.id, test.class)
			if rank != test.rank || ranks != test.ranks {
				t.Errorf("rank %d of %d, want %d of %d", rank, ranks, test.rank, test.ranks)
			}
		})
	}
}
