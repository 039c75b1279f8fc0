package registrar

import (
	"fmt"
	"testing"
	"time"
)

// TestDepartedRunStaysAway guards against an upstream that is used again after its departure
// was recorded, because the registry did not know it then or its lease has ended since.
func TestDepartedRunStaysAway(t *testing.T) {
	departure := Departure{ID: "u", Incarnation: 2}
	tests := map[string]struct {
		before, after []Upstream
		serving       bool
	}{
		"known":                             {before: []Upstream{announcement(2, 1, Serving, 0)}},
		"not known yet":                     {after: []Upstream{announcement(2, 1, Serving, 0)}},
		"announces itself again":            {before: []Upstream{announcement(2, 1, Serving, 0)}, after: []Upstream{announcement(2, 2, Serving, 0)}},
		"after its lease":                   {before: []Upstream{announcement(2, 1, Serving, 0)}, after: []Upstream{announcement(2, 2, Serving, 2*lease)}},
		"an earlier run announces itself":   {after: []Upstream{announcement(1, 9, Serving, 0)}},
		"a later run announces itself":      {before: []Upstream{announcement(2, 1, Serving, 0)}, after: []Upstream{announcement(3, 1, Serving, 0)}, serving: true},
		"a later run is known already":      {before: []Upstream{announcement(3, 1, Serving, 0)}, serving: true},
		"a run without number is not meant": {before: []Upstream{announcement(0, 1, Serving, 0)}, serving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(lease)
			for _, a := range test.before {
				r.Announce(0, a)
			}
			r.Depart(0, departure)
			for _, a := range test.after {
				r.Expire(a.AnnouncedAt)
				r.Announce(a.AnnouncedAt, a)
			}
			u := r.Get("u")
			if serving := u != nil && u.CanServe(KindModel, "m"); serving != test.serving {
				t.Errorf("CanServe is %t, want %t", serving, test.serving)
			}
		})
	}
}

// TestDeparturesAreBounded checks that the oldest departures are forgotten, and none that a
// later run of the same upstream has replaced.
func TestDeparturesAreBounded(t *testing.T) {
	const limit = 4
	d := NewDepartures(limit)
	for i := range 2 * limit {
		d.Add(Departure{ID: UpstreamID(fmt.Sprint("u", i%3)), Incarnation: Incarnation(i + 1)})
	}
	if len(d.All()) != limit {
		t.Errorf("%d departures are kept, want %d", len(d.All()), limit)
	}
	for id, incarnation := range map[UpstreamID]Incarnation{"u0": 7, "u1": 8, "u2": 6} {
		if !d.Has(id, incarnation) || d.Has(id, incarnation+1) {
			t.Errorf("latest departure of %s is not %d", id, incarnation)
		}
	}
	for i := range limit {
		d.Add(Departure{ID: UpstreamID(fmt.Sprint("v", i)), Incarnation: 1})
	}
	if d.Has("u1", 8) {
		t.Error("a departure beyond the limit is kept")
	}
}

func ExampleRegistry_Depart() {
	r := New(10 * time.Second)
	r.Depart(0, Departure{ID: "engine-1", Incarnation: 7})
	r.Announce(0, Upstream{ID: "engine-1", Incarnation: 7, Kind: KindModel, Serves: []string{"m"}, State: Serving})
	r.Announce(0, Upstream{ID: "engine-2", Incarnation: 7, Kind: KindModel, Serves: []string{"m"}, State: Serving})
	for _, u := range r.Serving(KindModel, "m") {
		fmt.Println(u.ID)
	}
	// Output: engine-2
}

// TestDeparturesSince guards against departures that a reader misses, also one that comes
// from a replica with other positions, and against a reader without any that gets them all.
func TestDeparturesSince(t *testing.T) {
	const (
		limit = 10
		first = 3
	)
	tests := map[string]struct {
		added int
		after Position
		want  int
	}{
		"from the start":                  {added: 5, want: first},
		"from the start of few":           {added: 2, want: 2},
		"none before":                     {want: 0},
		"some are new":                    {added: 5, after: 3, want: 2},
		"none is new":                     {added: 5, after: 5, want: 0},
		"earlier ones are forgotten":      {added: 25, after: 3, want: limit},
		"after a position not reached":    {added: 5, after: 9, want: first},
		"some are new and some forgotten": {added: 25, after: 21, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDepartures(limit)
			for i := range test.added {
				d.Add(Departure{ID: UpstreamID(fmt.Sprint("u", i)), Incarnation: 1})
			}
			got, position := d.Since(test.after, first)
			if len(got) != test.want || position != Position(test.added) {
				t.Fatalf("%d departures until position %d, want %d until %d", len(got), position, test.want, test.added)
			}
			if n := len(got); n > 0 && got[n-1].ID != UpstreamID(fmt.Sprint("u", test.added-1)) {
				t.Errorf("the last one is %s, want the latest", got[n-1].ID)
			}
		})
	}
}
