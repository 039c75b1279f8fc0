package picker

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

func TestEligibility(t *testing.T) {
	local := Candidate{ID: "local", Local: true, Free: true, Slots: 8}
	remote := Candidate{ID: "remote", Free: true, Slots: 8}
	cheap := Candidate{ID: "cheap", Local: true, Free: true, Preemptible: true, Slots: 8}
	full := Candidate{ID: "full", Local: true, Slots: 8}
	tests := map[string]struct {
		request    Request
		candidates []Candidate
		want       registrar.UpstreamID
	}{
		"own failure domain first":                            {candidates: []Candidate{remote, local}, want: "local"},
		"another domain when the own is full":                 {candidates: []Candidate{remote, full}, want: "remote"},
		"none when all are full":                              {candidates: []Candidate{full}},
		"fixed work avoids preemptible ones":                  {candidates: []Candidate{cheap, remote}, want: "remote"},
		"movable work may take preemptible ones":              {request: Request{Retryable: true}, candidates: []Candidate{cheap, remote}, want: "cheap"},
		"fixed work takes a preemptible one rather than none": {candidates: []Candidate{cheap, full}, want: "cheap"},
		"not where it failed before": {
			request: Request{Avoid: []registrar.UpstreamID{"local"}}, candidates: []Candidate{remote, local}, want: "remote",
		},
		"not in a domain where it failed twice": {
			request: Request{Retryable: true, Avoid: []registrar.UpstreamID{"gone-1", "gone-2"}},
			candidates: []Candidate{
				{ID: "gone-1", Domain: "a", Local: true, Slots: 8},
				{ID: "gone-2", Domain: "a", Local: true, Slots: 8},
				{ID: "going", Domain: "a", Local: true, Free: true, Slots: 8},
				{ID: "far", Domain: "b", Free: true, Slots: 8},
			},
			want: "far",
		},
		"in a domain where it failed once": {
			request: Request{Retryable: true, Avoid: []registrar.UpstreamID{"gone"}},
			candidates: []Candidate{
				{ID: "gone", Domain: "a", Local: true, Slots: 8},
				{ID: "near", Domain: "a", Local: true, Free: true, Slots: 8},
				{ID: "far", Domain: "b", Free: true, Slots: 8},
			},
			want: "near",
		},
		"where it failed before rather than nowhere": {
			request: Request{Avoid: []registrar.UpstreamID{"local"}}, candidates: []Candidate{full, local}, want: "local",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
			got := registrar.UpstreamID("")
			if i := p.Pick(test.request, test.candidates); i >= 0 {
				got = test.candidates[i].ID
			}
			if got != test.want {
				t.Errorf("picked %q, want %q", got, test.want)
			}
		})
	}
}

// TestLaggingReports gives several choosers the same old reports: correction by
// own requests and two random choices must keep the upstreams nearly even,
// where the least reported load sends everything to one.
func TestLaggingReports(t *testing.T) {
	const (
		upstreams = 8
		choosers  = 6
		requests  = 240
	)
	spread := func(policy Policy) int {
		var total [upstreams]int
		for chooser := range choosers {
			p := New(policy, rand.New(rand.NewSource(int64(chooser))).Intn)
			candidates := make([]Candidate, upstreams)
			for i := range candidates {
				candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 64, ReportedLoad: i}
			}
			for range requests / choosers {
				i := p.Pick(Request{Retryable: true}, candidates)
				candidates[i].InFlight++
				total[i]++
			}
		}
		most := 0
		for _, n := range total {
			most = max(most, n)
		}
		return most
	}
	even := requests / upstreams
	if most := spread(PolicyStandard); most > 2*even {
		t.Errorf("one upstream got %d requests, even would be %d", most, even)
	}
	if most := spread(PolicyLeastReported); most < 4*even {
		t.Errorf("the baseline spreads better than thought: %d", most)
	}
}

func TestPrefixAffinity(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 8, InFlight: 3}
	}
	home := p.Pick(Request{Prefix: "catalogue"}, candidates)
	for range 20 {
		if again := p.Pick(Request{Prefix: "catalogue"}, candidates); again != home {
			t.Fatalf("prefix went to %d and to %d", home, again)
		}
	}
	candidates[home].InFlight = 30
	for range 20 {
		if p.Pick(Request{Prefix: "catalogue"}, candidates) == home {
			t.Fatal("prefix affinity overloads its upstream")
		}
	}
}

func TestCachedPrefix(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 8, InFlight: 3}
	}
	home := p.Pick(Request{Prefix: "catalogue"}, candidates)
	holder := (home + 1) % len(candidates)
	candidates[holder].Cached = true
	if i := p.Pick(Request{Prefix: "catalogue"}, candidates); i != holder {
		t.Errorf("picked %d although %d holds the prefix", i, holder)
	}
	candidates[holder].InFlight = 30
	if i := p.Pick(Request{Prefix: "catalogue"}, candidates); i == holder {
		t.Error("the holder of a prefix is overloaded")
	}
}

func TestPrefixes(t *testing.T) {
	event := func(incarnation registrar.Incarnation, sequence registrar.Sequence, stored, removed string) CacheEvent {
		e := CacheEvent{Upstream: "u", Incarnation: incarnation, Sequence: sequence}
		for _, r := range stored {
			e.Stored = append(e.Stored, PrefixID(r))
		}
		for _, r := range removed {
			e.Removed = append(e.Removed, PrefixID(r))
		}
		return e
	}
	tests := map[string]struct {
		events []CacheEvent
		want   string
	}{
		"stored":                  {events: []CacheEvent{event(1, 1, "ab", "")}, want: "ab"},
		"removed":                 {events: []CacheEvent{event(1, 1, "ab", ""), event(1, 2, "c", "a")}, want: "bc"},
		"a gap forgets":           {events: []CacheEvent{event(1, 1, "ab", ""), event(1, 3, "c", "")}, want: "c"},
		"late ones are dropped":   {events: []CacheEvent{event(1, 1, "a", ""), event(1, 3, "c", ""), event(1, 2, "b", "")}, want: "c"},
		"twice the same":          {events: []CacheEvent{event(1, 1, "a", ""), event(1, 1, "b", "")}, want: "a"},
		"a new incarnation":       {events: []CacheEvent{event(1, 1, "a", ""), event(2, 1, "b", "")}, want: "b"},
		"an earlier one, delayed": {events: []CacheEvent{event(2, 1, "b", ""), event(1, 9, "a", "")}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewCacheIndex()
			for _, e := range test.events {
				p.Apply(e)
			}
			got := ""
			for _, r := range "abc" {
				if p.Holds("u", PrefixID(r)) {
					got += string(r)
				}
			}
			if got != test.want {
				t.Errorf("holds %q, want %q", got, test.want)
			}
		})
	}
}

func TestSlowUpstreamGetsLess(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := []Candidate{
		{ID: "slow", Free: true, Local: true, Slots: 8, Latency: 500 * time.Millisecond},
		{ID: "fast", Free: true, Local: true, Slots: 8, Latency: 100 * time.Millisecond},
	}
	for range 20 {
		if i := p.Pick(Request{Retryable: true}, candidates); candidates[i].ID != "fast" {
			t.Fatal("the slow upstream was picked while both are idle")
		}
	}
}
