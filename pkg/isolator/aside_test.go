package isolator

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestEndsAside guards against grounds that do not count engines which ended without anything that could
// be accused, and against culprits that are spared because such engines end all the time.
func TestEndsAside(t *testing.T) {
	i := New()
	for n := range 3 {
		i.RecordEnd(start.Add(time.Duration(n)*second), RunID(n+1), []PartID{"bad"})
	}
	want := maps.Clone(i.Verdicts())
	for n := range 20 {
		i.RecordEndAside(start.Add(time.Duration(n)*200*time.Millisecond), RunID(100+n))
	}
	if got := i.Verdicts()["bad"]; got.Instants != 3 || !got.HeldFrom.Equal(want["bad"].HeldFrom) {
		t.Errorf("verdict %+v, want the part held from %v", got, want["bad"].HeldFrom)
	}
	if got := i.Grounds("bad").OtherEnds; got != 11 {
		t.Errorf("%d other engines ended from the first to the third end, want 11", got)
	}
}

// TestEndAsideThatAccuses guards against processes that decide differently since one of them had nothing to
// accuse at an engine and another one had.
func TestEndAsideThatAccuses(t *testing.T) {
	accusing, aside := New(), New()
	for n := range 3 {
		at := start.Add(time.Duration(n) * second)
		accusing.RecordEnd(at, RunID(n+1), []PartID{"bad"})
		aside.RecordEndAside(at, RunID(n+1))
	}
	a, _ := accusing.Since(0)
	b, _ := aside.Since(0)
	for _, order := range [][]Evidence{{a, b}, {b, a}, {b, a, b, a}} {
		i := New()
		for _, e := range order {
			i.Merge(start.Add(3*second), e)
		}
		if got := heldParts(i); !slices.Equal(got, []PartID{"bad"}) {
			t.Errorf("held %v, want the part", got)
		}
		if i.Merge(start.Add(3*second), b) || i.Merge(start.Add(3*second), a) {
			t.Error("the same evidence is new twice")
		}
		got, _ := i.Since(0)
		for _, r := range got.Runs {
			if r.Aside {
				t.Errorf("run %d counts against nothing", r.ID)
			}
		}
	}
}
