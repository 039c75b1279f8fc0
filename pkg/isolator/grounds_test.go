package isolator

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestGrounds guards against convictions that an operator cannot judge, since the log does not tell what
// else was at the engines, and how many ended without the part.
func TestGrounds(t *testing.T) {
	i := New()
	i.RecordAttempt([]PartID{"bad"})
	for n := range 3 {
		at := start.Add(time.Duration(2*n+2) * second)
		i.RecordEnd(at, RunID(n+1), []PartID{"common", "bad", PartID(fmt.Sprint("own-", n))})
		i.RecordAttempt([]PartID{"common", "bad"})
	}
	i.RecordEnd(start.Add(3*second), 9, []PartID{"common"})
	i.RecordEnd(start.Add(30*second), 10, []PartID{"common"})
	got := i.Grounds("bad")
	want := Grounds{Ends: 3, OtherEnds: 1, Attempts: 3, Beside: []Beside{{"common", 3}, {"own-0", 1}, {"own-1", 1}, {"own-2", 1}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("grounds %+v, want %+v", got, want)
	}
	i.RecordResponse(start.Add(5*second), []PartID{"bad"})
	if got = i.Grounds("bad"); got.Ends != 1 || !got.Responded.Equal(start.Add(5*second)) {
		t.Errorf("grounds %+v after a response, want one end and its time", got)
	}
	for n := range 2 * maxBeside {
		i.RecordEnd(start.Add(6*second), 3, []PartID{PartID(fmt.Sprint("more-", n))})
	}
	if got = i.Grounds("bad"); len(got.Beside) != maxBeside {
		t.Errorf("%d other parts, want %d", len(got.Beside), maxBeside)
	}
	if got = i.Grounds("unknown"); got.Ends != 0 {
		t.Errorf("grounds %+v of an unknown part", got)
	}
}
