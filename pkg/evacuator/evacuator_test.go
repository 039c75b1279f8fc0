package evacuator_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

func Example() {
	var atControl, atEntry evacuator.Set
	_, _ = atControl.Start(17, "north")
	atEntry.Merge(evacuator.Restore(atControl.Position(), atControl.Domains()))
	// A control process that was restarted knows of no evacuation yet.
	atEntry.Merge(&evacuator.Set{})
	fmt.Println(atEntry.Has("north"), atEntry.Has("south"))
	_, _ = atControl.Finish(23, "north")
	atEntry.Merge(&atControl)
	fmt.Println(atEntry.Has("north"))
	// Output:
	// true false
	// false
}

// TestMerge guards against control processes that lag behind and bring an evacuated domain back, or
// evacuate one again.
func TestMerge(t *testing.T) {
	domains := func(names ...registrar.FailureDomain) []registrar.FailureDomain { return names }
	tests := map[string]struct {
		at      evacuator.Position
		domains []registrar.FailureDomain
		merged  bool
		want    []registrar.FailureDomain
	}{
		"nothing known yet":             {want: domains("b", "c")},
		"before a start":                {at: 9, domains: domains("b"), want: domains("b", "c")},
		"before a finish":               {at: 9, domains: domains("a", "b", "c"), want: domains("b", "c")},
		"the same position":             {at: 10, domains: domains("b", "c"), want: domains("b", "c")},
		"the same position, other set":  {at: 10, domains: domains("a"), want: domains("b", "c")},
		"a later start":                 {at: 11, domains: domains("c", "a", "b"), merged: true, want: domains("a", "b", "c")},
		"a later finish":                {at: 12, domains: domains("b"), merged: true, want: domains("b")},
		"all evacuations have finished": {at: 13, merged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := evacuator.Restore(10, domains("c", "b"))
			merged := s.Merge(evacuator.Restore(test.at, test.domains))
			if merged != test.merged || !slices.Equal(s.Domains(), test.want) {
				t.Errorf("merged %t, set %v; want %t, %v", merged, s.Domains(), test.merged, test.want)
			}
			if want := max(10, test.at); s.Position() != want {
				t.Errorf("position %d, want %d", s.Position(), want)
			}
		})
	}
}

// TestOrders guards against replicas that differ, and against repeats that move the position, since
// entry processes would be sent the same set again.
func TestOrders(t *testing.T) {
	var s evacuator.Set
	steps := []struct {
		order    func(evacuator.Position, registrar.FailureDomain) (bool, error)
		domain   registrar.FailureDomain
		changed  bool
		position evacuator.Position
	}{
		{s.Finish, "a", false, 0},
		{s.Start, "a", true, 2},
		{s.Start, "a", false, 2},
		{s.Start, "b", true, 4},
		{s.Finish, "a", true, 5},
		{s.Finish, "a", false, 5},
		{s.Start, "a", true, 7},
	}
	for i, step := range steps {
		before := s.Domains()
		kept := slices.Clone(before)
		changed, err := step.order(evacuator.Position(i+1), step.domain)
		if err != nil || changed != step.changed || s.Position() != step.position {
			t.Errorf("step %d: changed %t at position %d, error %v; want %t, %d", i, changed, s.Position(), err, step.changed, step.position)
		}
		if !slices.Equal(before, kept) {
			t.Errorf("step %d: the domains handed out before have changed to %v", i, before)
		}
	}
	if !s.Has("a") || !s.Has("b") || s.Has("") || s.Has("c") {
		t.Errorf("set %v, want a and b", s.Domains())
	}
}

func TestLimits(t *testing.T) {
	names := map[string]struct {
		name  registrar.FailureDomain
		valid bool
	}{
		"empty":              {"", false},
		"plain":              {"zone-1", true},
		"with a space":       {"zone 1", true},
		"not ASCII":          {"zürich", true},
		"longest":            {registrar.FailureDomain(strings.Repeat("x", evacuator.MaxDomainBytes)), true},
		"too long":           {registrar.FailureDomain(strings.Repeat("x", evacuator.MaxDomainBytes+1)), false},
		"line break":         {"a\nb", false},
		"invalid as UTF-8":   {"a\xff", false},
		"zero byte":          {"a\x00", false},
		"invisible (U+200B)": {"a\u200b", false},
	}
	for name, test := range names {
		t.Run(name, func(t *testing.T) {
			var s evacuator.Set
			_, err := s.Start(1, test.name)
			if (err == nil) != test.valid || err != nil && !errors.As(err, new(*evacuator.InvalidDomainError)) {
				t.Errorf("error %v, want valid %t", err, test.valid)
			}
			if _, err = s.Finish(2, test.name); (err == nil) != test.valid {
				t.Errorf("finish: error %v, want valid %t", err, test.valid)
			}
		})
	}
	var s evacuator.Set
	for i := range evacuator.MaxDomains {
		if _, err := s.Start(evacuator.Position(i+1), registrar.FailureDomain(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Start(1000, "one more"); !errors.As(err, new(*evacuator.TooManyError)) || s.Has("one more") {
		t.Errorf("error %v, want a TooManyError", err)
	}
	if _, err := s.Start(1001, "0"); err != nil {
		t.Errorf("a repeat is refused: %v", err)
	}
}
