package replicator

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// votersOnly returns a membership of voters with the given IDs on distinct hosts.
func votersOnly(voters ...uint64) *replication.Membership {
	m := &replication.Membership{}
	for _, id := range voters {
		m.Members = append(m.Members, &replication.Member{Id: id, Host: string(rune('a' + id)), Voter: true})
	}
	return m
}

// TestRemoveSilentVoter checks that RemoveSilentVoter removes one silent voter at a
// time, leaves at least three voters and requires that a majority answers.
func TestRemoveSilentVoter(t *testing.T) {
	tests := map[string]struct {
		before *replication.Membership
		silent []MemberID
		// removed is the ID of the voter to be removed, zero for none.
		removed uint64
	}{
		"all answer":                           {before: votersOnly(1, 2, 3, 4)},
		"one of four is silent":                {before: votersOnly(1, 2, 3, 4), silent: []MemberID{2}, removed: 2},
		"one of five is silent":                {before: votersOnly(1, 2, 3, 4, 5), silent: []MemberID{5}, removed: 5},
		"none of three is removed":             {before: votersOnly(1, 2, 3), silent: []MemberID{2}},
		"two of four silent, no majority":      {before: votersOnly(1, 2, 3, 4), silent: []MemberID{3, 4}},
		"two of five silent, first is removed": {before: votersOnly(1, 2, 3, 4, 5), silent: []MemberID{4, 5}, removed: 4},
		"four of eight silent, no majority":    {before: votersOnly(1, 2, 3, 4, 5, 6, 7, 8), silent: []MemberID{1, 2, 3, 4}},
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
				t.Fatalf("membership is %v after the call, want voter %d removed (nil and 0: none)", after, test.removed)
			}
			if after == nil {
				return
			}
			if FindMember(after, MemberID(test.removed)) != nil || len(after.GetMembers()) != len(test.before.GetMembers())-1 {
				t.Errorf("members are %v after the call, want all but voter %d", after, test.removed)
			}
			if !changesAtMostOneVoter(test.before, after) {
				t.Error("more than one voter was removed")
			}
		})
	}
}
