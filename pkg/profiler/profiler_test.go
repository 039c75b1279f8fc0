package profiler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

func onePool(registrar.UpstreamID) (string, bool) { return "m", true }

func Example() {
	host, table := NewObserver(), NewTable()
	host.Enable()
	group := Group{Pool: "m", Class: "chat", Work: WorkEvents}
	for i := range 120 {
		for id, took := range map[registrar.UpstreamID]time.Duration{"usual": 300, "other": 300, "slow": 450} {
			run := Run{ID: id, Incarnation: 1}
			jitter := time.Duration(i%5) * 10 * time.Millisecond
			host.Observe(Sample{Run: run, Group: group, Expected: ExpectedEvents(40, 10, 0), Took: took*time.Millisecond + jitter})
			host.Ended(run, id == "other" && i%2 == 0)
		}
	}
	for run, sums := range host.Take(10) {
		table.Add(time.Second, run, sums)
	}
	profiles, _ := table.Since(time.Second, 0, 10, onePool)
	for _, p := range profiles {
		if p.Run.ID == "slow" {
			fmt.Printf("%s has %.1f of the usual speed\n", p.Run.ID, p.Profile.Speed)
		} else {
			fmt.Printf("%s fails at least %.1f more\n", p.Run.ID, p.Profile.Excess)
		}
	}
	// Unordered output:
	// slow has 0.7 of the usual speed
	// other fails at least 0.4 more
}

// TestTableIgnores guards against profiles that are made of sums that no process can have observed, or
// of those of an earlier run.
func TestTableIgnores(t *testing.T) {
	valid := Sums{Weight: 50, LogSpeed: -20, Square: 9, Attempts: 50, Failures: 40}
	for name, test := range map[string]struct {
		change  func(*Sums)
		run     Run
		ignored bool
	}{
		"valid":                  {func(*Sums) {}, Run{"a", 2}, false},
		"NaN":                    {func(s *Sums) { s.LogSpeed = math.NaN() }, Run{"a", 2}, true},
		"infinite weight":        {func(s *Sums) { s.Weight = math.Inf(1) }, Run{"a", 2}, true},
		"negative weight":        {func(s *Sums) { s.Weight = -1 }, Run{"a", 2}, true},
		"square out of range":    {func(s *Sums) { s.Square = 1000 }, Run{"a", 2}, true},
		"more failures than all": {func(s *Sums) { s.Failures = 51 }, Run{"a", 2}, true},
		"earlier run":            {func(*Sums) {}, Run{"a", 1}, true},
	} {
		table, sums := NewTable(), valid
		table.Add(0, Run{"a", 2}, Sums{})
		for _, id := range []registrar.UpstreamID{"b", "c"} {
			table.Add(0, Run{id, 1}, Sums{Weight: 50, Square: 1, Attempts: 50})
		}
		test.change(&sums)
		table.Add(0, test.run, sums)
		profiles, _ := table.Since(time.Second, 0, 10, onePool)
		if ignored := len(profiles) == 0; ignored != test.ignored {
			t.Errorf("%s: profiles %+v, ignored %t, want %t", name, profiles, ignored, test.ignored)
		}
	}
}

// TestNewRunStartsAtMedian guards against a run that is taken for as slow as the one before it.
func TestNewRunStartsAtMedian(t *testing.T) {
	table := NewTable()
	for _, id := range []registrar.UpstreamID{"a", "b", "c"} {
		table.Add(0, Run{id, 1}, Sums{Weight: 50, Square: 1})
	}
	table.Add(0, Run{"slow", 1}, Sums{Weight: 50, LogSpeed: -25, Square: 13})
	profiles, position := table.Since(time.Second, 0, 10, onePool)
	if len(profiles) != 1 || profiles[0].Profile.Speed > 0.7 {
		t.Fatalf("profiles %+v, want one of the slow upstream", profiles)
	}
	table.Add(2*time.Second, Run{"slow", 2}, Sums{Weight: 40, Square: 1})
	if profiles, _ = table.Since(3*time.Second, position, 10, onePool); len(profiles) != 0 {
		t.Errorf("profiles %+v of a new run that is as fast as the others", profiles)
	}
}

// TestObserverIsOffWithoutSlowdowns guards against speeds at deployments whose upstreams do not report
// a slowdown; there all upstreams are equally fast.
func TestObserverIsOffWithoutSlowdowns(t *testing.T) {
	o := NewObserver()
	sample := Sample{Run: Run{"a", 1}, Expected: time.Second, Took: 3 * time.Second}
	for range 20 {
		o.Observe(sample)
	}
	if sums := o.Take(10); len(sums) != 0 {
		t.Errorf("%+v was observed", sums)
	}
	o.Enable()
	for range 20 {
		o.Observe(sample)
	}
	if sums := o.Take(10)[sample.Run]; sums.Weight != 20-minReferenceSamples || sums.LogSpeed != 0 {
		t.Errorf("%+v was observed of an upstream like the others", sums)
	}
}
