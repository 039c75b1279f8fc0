package isolator

import (
	"fmt"
	"testing"
	"time"
)

// TestCertainty guards against requests that are refused for good although engines ended for other reasons
// too, and against those that are told to come back although only they end engines.
func TestCertainty(t *testing.T) {
	type step func(i *Isolator)
	ends := func(first RunID, from time.Duration, n int, parts ...PartID) step {
		return func(i *Isolator) {
			for k := range n {
				i.RecordEnd(start.Add(from+time.Duration(k)*second), first+RunID(k), parts)
			}
		}
	}
	respond := func(at time.Duration, parts ...PartID) step {
		return func(i *Isolator) { i.RecordResponse(start.Add(at), parts) }
	}
	aside := func(run RunID, at time.Duration) step {
		return func(i *Isolator) { i.RecordEndAside(start.Add(at), run) }
	}
	tests := map[string]struct {
		steps   []step
		certain bool
	}{
		"nothing else ends or is accused":       {steps: []step{ends(1, 0, 3, "bad")}, certain: true},
		"what it shares is responded to":        {steps: []step{ends(1, 0, 3, "common", "bad"), respond(2500*time.Millisecond, "common")}, certain: true},
		"two parts always come together":        {steps: []step{ends(1, 0, 3, "common", "bad"), ends(1, 0, 1, "other"), respond(second, "other")}},
		"a request was there most times":        {steps: []step{ends(1, 0, 5, "bad"), ends(1, 0, 3, "request-often")}},
		"another part was there once":           {steps: []step{ends(1, 0, 3, "bad"), ends(1, 0, 1, "other"), respond(second, "other")}, certain: true},
		"another part was there twice":          {steps: []step{ends(1, 0, 6, "bad"), ends(1, 0, 2, "other")}},
		"another engine ends at the same time":  {steps: []step{ends(1, 0, 3, "bad"), aside(9, second)}},
		"another engine ends just before":       {steps: []step{ends(1, 4*second, 3, "bad"), aside(9, 4*second-calmTime)}},
		"another engine ends long before":       {steps: []step{ends(1, 4*second, 3, "bad"), aside(9, 4*second-calmTime-time.Millisecond)}, certain: true},
		"more ends when no other engine does":   {steps: []step{ends(1, 0, 3, "bad"), aside(9, second), ends(11, 10*second, 3, "bad")}, certain: true},
		"two are held at the same time":         {steps: []step{ends(1, 0, 3, "bad"), ends(11, 10*second, 3, "worse")}, certain: true},
		"many are held at the same time":        {steps: []step{ends(1, 0, 4, "bad"), ends(11, 4500*time.Millisecond, 3, "b"), ends(21, 4800*time.Millisecond, 3, "c"), ends(1, 0, 1, "other"), respond(second, "other")}},
		"a request whose retries met the ends":  {steps: []step{ends(1, 0, 3, "bad"), func(i *Isolator) { i.RecordRequestEnds(start, "request-1", 1, 0, runsOf(1, 0, 1, 2), nil) }}},
		"a request that comes again and again":  {steps: []step{func(i *Isolator) { i.RecordRequestEnds(start, "bad", 0, 0, runsOf(1, 0, 5, 10), nil) }}, certain: true},
		"an order of a client that comes again": {steps: []step{func(i *Isolator) { i.RecordRequestEnds(start, "bad", 0, 0, runsOf(1, 0, 5, 10), nil) }, aside(9, second/2), aside(10, 6*second)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := New()
			for _, s := range test.steps {
				s(i)
			}
			now := start.Add(30 * second)
			e, _ := i.Since(0)
			other := New()
			other.Merge(now, e)
			for _, process := range []*Isolator{i, other} {
				var held Verdict
				for _, v := range process.Verdicts() {
					if !v.HeldFrom.IsZero() && (v.Part == "bad" || held.Part == "") {
						held = v
					}
				}
				if held.Part == "" {
					t.Fatalf("nothing is held: %v", process.Verdicts())
				}
				if held.Certain != test.certain || (held.RetryAfter(now) == 0) != test.certain {
					t.Errorf("certain: %t, come back after %v, want certain: %t; grounds %+v", held.Certain, held.RetryAfter(now), test.certain, process.Grounds(held.Part))
				}
			}
		})
	}
}

// runsOf returns runs that ended at whole seconds after the start.
func runsOf(first RunID, at ...time.Duration) []Run {
	runs := make([]Run, len(at))
	for n, d := range at {
		runs[n] = Run{ID: first + RunID(n), EndedAt: start.Add(d * second)}
	}
	return runs
}

// TestDoubtfulHolds guards against a culprit that is probed again and again while other engines end too, and
// against sound requests that are kept away for minutes.
func TestDoubtfulHolds(t *testing.T) {
	i := New()
	at := start
	for n := range 3 {
		at = start.Add(time.Duration(n) * second)
		i.RecordEnd(at, RunID(n+1), []PartID{"part"})
		i.RecordEndAside(at.Add(second/2), RunID(n+101))
	}
	for n, want := range []time.Duration{time.Minute, holdTime, holdTime} {
		v := i.Verdicts()["part"]
		if got := v.HeldUntil.Sub(at); got != want {
			t.Errorf("held for %v after %d failed probes, want %v", got, n, want)
		}
		if got := v.RetryAfter(at); got != min(want, maxRetryAfter) {
			t.Errorf("come back after %v, want %v", got, min(want, maxRetryAfter))
		}
		at = v.HeldUntil.Add(second)
		i.RecordEnd(at, RunID(n+11), []PartID{"part"})
		i.RecordEndAside(at.Add(second/2), RunID(n+111))
	}
	if v := i.Verdicts()["part"]; v.RetryAfter(v.HeldUntil.Add(second)) != minRetryAfter {
		t.Error(fmt.Sprint("come back after ", v.RetryAfter(v.HeldUntil.Add(second)), ", want ", minRetryAfter))
	}
}
