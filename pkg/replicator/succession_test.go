package replicator

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func group(size int32, voters ...uint64) *replication.Membership {
	m := &replication.Membership{Size: size}
	for _, id := range voters {
		m.Members = append(m.Members, &replication.Member{Id: id, Host: string(rune('a' + id)), Voter: true})
	}
	return m
}

func oneOf(ids ...MemberID) func(MemberID) bool {
	return func(id MemberID) bool {
		for _, other := range ids {
			if other == id {
				return true
			}
		}
		return false
	}
}

func TestShrink(t *testing.T) {
	tests := map[string]struct {
		before *replication.Membership
		silent []MemberID
		dead   []MemberID
		// removed is the member that leaves, zero for none.
		removed uint64
		size    int32
	}{
		"all answer":                          {before: group(4, 1, 2, 3, 4)},
		"one is silent, nobody succeeded it":  {before: group(4, 1, 2, 3, 4), silent: []MemberID{4}},
		"one is silent and succeeded":         {before: group(4, 1, 2, 3, 4, 5), silent: []MemberID{2}, removed: 2, size: 4},
		"one is dead":                         {before: group(4, 1, 2, 3, 4), silent: []MemberID{2}, dead: []MemberID{2}, removed: 2, size: 3},
		"three are left in any case":          {before: group(3, 1, 2, 3), silent: []MemberID{2}, dead: []MemberID{2}},
		"half is silent: no majority answers": {before: group(3, 1, 2, 3, 4), silent: []MemberID{3, 4}, dead: []MemberID{3, 4}},
		"two of five are silent":              {before: group(4, 1, 2, 3, 4, 5), silent: []MemberID{4, 5}, removed: 4, size: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Succession{Silent: oneOf(test.silent...), Dead: oneOf(test.dead...)}
			after := s.Shrink(test.before)
			if (after != nil) != (test.removed != 0) {
				t.Fatalf("membership %v", after)
			}
			if after == nil {
				return
			}
			if FindMember(after, MemberID(test.removed)) != nil || len(after.GetMembers()) != len(test.before.GetMembers())-1 {
				t.Errorf("membership %v", after)
			}
			if after.GetSize() != test.size || !oneStep(test.before, after) {
				t.Errorf("size %d", after.GetSize())
			}
		})
	}
}

func TestGrow(t *testing.T) {
	tests := map[string]struct {
		before, after *replication.Membership
		silent        []MemberID
		size          int32
	}{
		"a fourth host joins three":          {before: group(3, 1, 2, 3), after: group(3, 1, 2, 3, 4), size: 4},
		"a host joins while one is silent":   {before: group(3, 1, 2, 3), after: group(3, 1, 2, 3, 4), silent: []MemberID{2}, size: 3},
		"a learner that does not vote joins": {before: group(3, 1, 2, 3), after: group(3, 1, 2, 3), size: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			Succession{Silent: oneOf(test.silent...), Dead: oneOf()}.Grow(test.before, test.after)
			if test.after.GetSize() != test.size {
				t.Errorf("size %d, want %d", test.after.GetSize(), test.size)
			}
		})
	}
}
