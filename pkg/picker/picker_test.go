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
		"local failure domain first":                             {candidates: []Candidate{remote, local}, want: "local"},
		"another domain when the local one is full":              {candidates: []Candidate{remote, full}, want: "remote"},
		"none when all are full":                                 {candidates: []Candidate{full}},
		"not retryable: avoids preemptible upstreams":            {candidates: []Candidate{cheap, remote}, want: "remote"},
		"retryable: may take a preemptible upstream":             {request: Request{Retryable: true}, candidates: []Candidate{cheap, remote}, want: "cheap"},
		"not retryable: a preemptible upstream rather than none": {candidates: []Candidate{cheap, full}, want: "cheap"},
		"avoids an upstream at which it failed": {
			request: Request{Avoid: []registrar.UpstreamID{"local"}}, candidates: []Candidate{remote, local}, want: "remote",
		},
		"avoids a domain in which it failed at two upstreams": {
			request: Request{Retryable: true, Avoid: []registrar.UpstreamID{"gone-1", "gone-2"}},
			candidates: []Candidate{
				{ID: "gone-1", Domain: "a", Local: true, Slots: 8},
				{ID: "gone-2", Domain: "a", Local: true, Slots: 8},
				// The request has not been sent to this one yet.
				{ID: "going", Domain: "a", Local: true, Free: true, Slots: 8},
				{ID: "far", Domain: "b", Free: true, Slots: 8},
			},
			want: "far",
		},
		"keeps to a domain in which it failed at one upstream": {
			request: Request{Retryable: true, Avoid: []registrar.UpstreamID{"gone"}},
			candidates: []Candidate{
				{ID: "gone", Domain: "a", Local: true, Slots: 8},
				{ID: "near", Domain: "a", Local: true, Free: true, Slots: 8},
				{ID: "far", Domain: "b", Free: true, Slots: 8},
			},
			want: "near",
		},
		"an upstream at which it failed rather than none": {
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

// TestOutdatedReports guards against herding: processes with the same outdated load reports must
// not all send to the upstream with the least reported load. The correction by their own
// requests and the choice of the better of two random candidates spread the load: no upstream
// gets more than twice its equal share.
func TestOutdatedReports(t *testing.T) {
	const (
		upstreams = 8
		processes = 6
		requests  = 240
	)
	maxRequests := func(policy Policy) int {
		var total [upstreams]int
		for process := range processes {
			p := New(policy, rand.New(rand.NewSource(int64(process))).Intn)
			candidates := make([]Candidate, upstreams)
			for i := range candidates {
				candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 64, ReportedLoad: i}
			}
			for range requests / processes {
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
	if most := maxRequests(PolicyStandard); most > 2*even {
		t.Errorf("one upstream got %d requests, want at most %d", most, 2*even)
	}
	if most := maxRequests(PolicyLeastReported); most < 4*even {
		t.Errorf("by least reported load one upstream got %d requests, want at least %d", most, 4*even)
	}
}

func TestPrefixAffinity(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 8, InFlight: 3}
	}
	preferred := p.Pick(Request{Prefix: "catalogue"}, candidates)
	for range 20 {
		if again := p.Pick(Request{Prefix: "catalogue"}, candidates); again != preferred {
			t.Fatalf("picked %d at first and %d later", preferred, again)
		}
	}
	candidates[preferred].InFlight = 30
	for range 20 {
		if p.Pick(Request{Prefix: "catalogue"}, candidates) == preferred {
			t.Fatal("picked the preferred upstream although it is overloaded")
		}
	}
}

func TestCachedPrefix(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = Candidate{ID: registrar.UpstreamID(fmt.Sprint(i)), Free: true, Local: true, Slots: 8, InFlight: 3}
	}
	preferred := p.Pick(Request{Prefix: "catalogue"}, candidates)
	holder := (preferred + 1) % len(candidates)
	candidates[holder].Cached = true
	if i := p.Pick(Request{Prefix: "catalogue"}, candidates); i != holder {
		t.Errorf("picked %d, want %d, which has the prefix cached", i, holder)
	}
	candidates[holder].InFlight = 30
	if i := p.Pick(Request{Prefix: "catalogue"}, candidates); i == holder {
		t.Error("picked the upstream that has the prefix cached although it is overloaded")
	}
}

func TestCacheIndex(t *testing.T) {
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
		"stored":                                        {events: []CacheEvent{event(1, 1, "ab", "")}, want: "ab"},
		"removed":                                       {events: []CacheEvent{event(1, 1, "ab", ""), event(1, 2, "c", "a")}, want: "bc"},
		"a gap drops earlier prefixes":                  {events: []CacheEvent{event(1, 1, "ab", ""), event(1, 3, "c", "")}, want: "c"},
		"a late event is ignored":                       {events: []CacheEvent{event(1, 1, "a", ""), event(1, 3, "c", ""), event(1, 2, "b", "")}, want: "c"},
		"a repeated event is ignored":                   {events: []CacheEvent{event(1, 1, "a", ""), event(1, 1, "b", "")}, want: "a"},
		"a new incarnation drops earlier prefixes":      {events: []CacheEvent{event(1, 1, "a", ""), event(2, 1, "b", "")}, want: "b"},
		"an event of an earlier incarnation is ignored": {events: []CacheEvent{event(2, 1, "b", ""), event(1, 9, "a", "")}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			index := NewCacheIndex()
			for _, e := range test.events {
				index.Apply(e)
			}
			got := ""
			for _, r := range "abc" {
				if index.Holds("u", PrefixID(r)) {
					got += string(r)
				}
			}
			if got != test.want {
				t.Errorf("holds %q, want %q", got, test.want)
			}
		})
	}
}

func TestFasterUpstreamIsPicked(t *testing.T) {
	p := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := []Candidate{
		{ID: "slow", Free: true, Local: true, Slots: 8, Latency: 500 * time.Millisecond},
		{ID: "fast", Free: true, Local: true, Slots: 8, Latency: 100 * time.Millisecond},
	}
	for range 20 {
		if i := p.Pick(Request{Retryable: true}, candidates); candidates[i].ID != "fast" {
			t.Fatal("picked the slow upstream although both are idle")
		}
	}
}
