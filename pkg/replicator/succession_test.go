package replicator

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func group(voters ...uint64) *replication.Membership {
	m := &replication.Membership{}
	for _, id := range voters {
		m.Members = append(m.Members, &replication.Member{Id: id, Host: string(rune('a' + id)), Voter: true})
	}
	return m
}

func TestShrink(t *testing.T) {
	tests := map[string]struct {
		before *replication.Membership
		silent []MemberID
		// removed is the member that leaves, zero for none.
		removed uint64
	}{
		"all answer":                          {before: group(1, 2, 3, 4)},
		"one of four is silent":               {before: group(1, 2, 3, 4), silent: []MemberID{2}, removed: 2},
		"one of five is silent":               {before: group(1, 2, 3, 4, 5), silent: []MemberID{5}, removed: 5},
		"three are left in any case":          {before: group(1, 2, 3), silent: []MemberID{2}},
		"half is silent: no majority answers": {before: group(1, 2, 3, 4), silent: []MemberID{3, 4}},
		"two of five: one after the other":    {before: group(1, 2, 3, 4, 5), silent: []MemberID{4, 5}, removed: 4},
		"four of eight: no majority answers":  {before: group(1, 2, 3, 4, 5, 6, 7, 8), silent: []MemberID{1, 2, 3, 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			after := RemoveSilentVoter(test.before, func(id MemberID) bool {
				for _, other := range test.silent {
					if other == id {
						return true
					}
				}
				return false
			})
			if (after != nil) != (test.removed != 0) {
				t.Fatalf("membership %v", after)
			}
			if after == nil {
				return
			}
			if FindMember(after, MemberID(test.removed)) != nil || len(after.GetMembers()) != len(test.before.GetMembers())-1 {
				t.Errorf("membership %v", after)
			}
			if !changesAtMostOneVoter(test.before, after) {
				t.Error("more than one voter changes")
			}
		})
	}
}
