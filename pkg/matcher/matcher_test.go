package matcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

func TestDecide(t *testing.T) {
	const pool = Pool("model/m")
	known := Origin{Pool: "model/n", Version: "v7"}
	tests := map[string]struct {
		answer    Answer
		versions  []registrar.Version
		confirmed bool
		want      Outcome
		origin    Origin
	}{
		"known":                            {answer: Answer{Origin: known, Known: true}, want: Continue, origin: known},
		"known, whatever the versions are": {answer: Answer{Origin: known, Known: true}, versions: []registrar.Version{"v1"}, confirmed: true, want: Continue, origin: known},
		"one version":                      {versions: []registrar.Version{"v1"}, confirmed: true, want: Continue, origin: Origin{Pool: pool, Version: "v1"}},
		"one version, which is unnamed":    {versions: []registrar.Version{""}, confirmed: true, want: Continue, origin: Origin{Pool: pool}},
		"two versions":                     {answer: Answer{Complete: true}, versions: []registrar.Version{"v1", "v2"}, confirmed: true, want: Unknown},
		"two versions, one is unnamed":     {answer: Answer{Complete: true}, versions: []registrar.Version{"v1", ""}, confirmed: true, want: Unknown},
		"a process did not answer":         {versions: []registrar.Version{"v1", "v2"}, confirmed: true, want: Later},
		"no majority":                      {answer: Answer{Complete: true}, versions: []registrar.Version{"v1"}, want: Later},
		"no version yet":                   {answer: Answer{Complete: true}, confirmed: true, want: Later},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, origin := Decide(test.answer, pool, test.versions, test.confirmed)
			if got != test.want || origin != test.origin {
				t.Errorf("Decide() = %d, %+v; want %d, %+v", got, origin, test.want, test.origin)
			}
		})
	}
}

// TestStreamOf guards against a stream that is found by another organisation, or by an attempt
// whose name runs into the organisation's.
func TestStreamOf(t *testing.T) {
	seen := map[Stream]string{}
	for _, attempt := range []string{"", "a", "b", "b\x00a", "ab"} {
		for _, organisation := range []string{"", "a", "b", "a\x00b"} {
			s := StreamOf(attempt, organisation)
			what := fmt.Sprintf("attempt %q of %q", attempt, organisation)
			if other, found := seen[s]; found {
				t.Errorf("%s and %s are the same stream", what, other)
			}
			seen[s] = what
		}
	}
}

func TestOriginsAreBounded(t *testing.T) {
	const (
		retention = time.Minute
		limit     = 100
	)
	o := NewOrigins(retention, limit)
	streamOf := func(i int) Stream { return StreamOf(fmt.Sprint(i), "") }
	origin := Origin{Pool: "p", Version: "v1"}
	for i := range 10 * limit {
		o.Record(time.Hour, streamOf(i), origin)
		if _, found := o.Find(time.Hour, streamOf(max(0, i-limit/2+1))); !found {
			t.Fatalf("a stream was forgotten after %d others", limit/2)
		}
	}
	if o.Len() > limit {
		t.Errorf("%d streams are remembered, want at most %d", o.Len(), limit)
	}
	o.Record(time.Hour, streamOf(0), origin)
	if _, found := o.Find(time.Hour+retention, streamOf(0)); !found {
		t.Error("a stream was forgotten within the retention")
	}
	if _, found := o.Find(time.Hour+3*retention, streamOf(0)); found {
		t.Error("a stream is remembered after twice the retention")
	}
}

// TestRecordAgain guards against a stream that is forgotten while it goes on.
func TestRecordAgain(t *testing.T) {
	const retention = time.Minute
	o, origin := NewOrigins(retention, 100), Origin{Pool: "p", Version: "v1"}
	for now := time.Hour; now < 2*time.Hour; now += retention / 2 {
		o.Record(now, Stream{1}, origin)
		if got, found := o.Find(now+retention, Stream{1}); !found || got != origin {
			t.Fatalf("origin %+v, found %t at %v", got, found, now)
		}
	}
}

func TestHistory(t *testing.T) {
	h := NewHistory(2)
	one, two := Origin{Pool: "p", Version: "v1"}, Origin{Pool: "p", Version: "v2"}
	if !h.Add(one) || !h.Add(two) || !h.Add(one) || h.Add(Origin{Pool: "p", Version: "v3"}) {
		t.Error("versions up to the limit, and known ones, are to be accepted, and no others")
	}
	h.Remove(one)
	if h.Has(one) || !h.Has(two) || len(h.Of("p")) != 1 || len(h.All()) != 1 {
		t.Errorf("versions %v after the removal of one, want the other", h.All())
	}
	h.Remove(two)
	if len(h.All()) != 0 {
		t.Errorf("versions %v after the removal of all", h.All())
	}
}

// TestRetirer guards against a version that is retired while a stream of it may be taken up.
func TestRetirer(t *testing.T) {
	const retention = 10 * time.Minute
	r, v := NewRetirer(retention), Origin{Pool: "p", Version: "v1"}
	held := []Origin{v}
	if got := r.Observe(time.Hour, nil, held); len(got) != 0 {
		t.Error("retired at the first sight")
	}
	r.Observe(time.Hour+retention/2, map[Origin]bool{v: true}, held)
	if got := r.Observe(time.Hour+retention, nil, held); len(got) != 0 {
		t.Error("retired half the retention after an announcement")
	}
	if got := r.Observe(time.Hour+2*retention, nil, held); len(got) != 1 {
		t.Errorf("retired %v after the retention, want the version", got)
	}
}

func ExampleDecide() {
	origins := NewOrigins(time.Minute, 1000)
	origins.Record(0, StreamOf("attempt-1", "acme"), Origin{Pool: "model/m", Version: "v1"})
	serving := []registrar.Version{"v1", "v2"}
	for _, attempt := range []string{"attempt-1", "attempt-2"} {
		origin, known := origins.Find(time.Second, StreamOf(attempt, "acme"))
		outcome, origin := Decide(Answer{Origin: origin, Known: known, Complete: true}, "model/m", serving, true)
		fmt.Println(outcome == Continue, origin.Version)
	}
	// Output:
	// true v1
	// false
}
