// Package picker chooses the upstream for a request among those with a free
// slot. It corrects lagging load reports by the requests sent since, takes the
// better of two random candidates so that many choosers do not herd, and keeps
// requests with a common prefix together as long as that overloads nobody: at an
// upstream that is known to hold the prefix, else at its home by hash.
package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// affinityBound is the load, as a multiple of the mean, up to which prefix affinity decides.
	affinityBound = 1.25
	// PolicyStandard is the policy described above.
	PolicyStandard Policy = "standard"
	// PolicyRandom takes any candidate; a baseline for experiments.
	PolicyRandom Policy = "random"
	// PolicyLeastReported takes the candidate with the least reported load; a baseline for experiments.
	PolicyLeastReported Policy = "leastReported"
)

// domainFailures is the number of upstreams of one failure domain at which a
// request fails before it avoids the domain: one may fail alone, two point to a
// domain that is taken away.
const domainFailures = 2

type (
	// PromptPart is one part of a prompt; upstreams remember parts that follow each other.
	PromptPart struct {
		ID     PrefixID
		Tokens int
	}

	// Policy names a way of choosing.
	Policy string

	// Candidate is an upstream that could take the request.
	Candidate struct {
		ID          registrar.UpstreamID
		Domain      registrar.FailureDomain
		Local       bool
		Preemptible bool
		// Free reports a free slot at this process.
		Free bool
		// Cached reports that the upstream holds the request's prefix, as far as is known.
		Cached bool
		// ReportedLoad is the load that the upstream reported last.
		ReportedLoad int
		// InFlightAtReport and Own are this process's requests in flight when the
		// report was measured and now.
		InFlightAtReport int
		InFlight         int
		// Slots is the number of requests that the upstream runs at once, at least 1.
		Slots int
		// Latency is the average time to the first byte, zero if it is unknown.
		Latency time.Duration
	}

	// Request is what the choice depends on.
	Request struct {
		// Prefix identifies the beginning of the prompt; empty for none.
		Prefix PrefixID
		// Retryable requests can be resumed elsewhere and may run on preemptible upstreams.
		Retryable bool
		// Avoid lists upstreams at which the request has failed before.
		Avoid []registrar.UpstreamID
	}

	// Picker chooses. It is not safe for concurrent use.
	Picker struct {
		policy Policy
		// random returns a number from 0 to n-1.
		random func(n int) int
	}
)

// New returns a picker.
func New(policy Policy, random func(n int) int) *Picker {
	return &Picker{policy: policy, random: random}
}

// Pick returns the position of the chosen candidate, or -1 if none is free.
func (p *Picker) Pick(r Request, candidates []Candidate) int {
	eligible := eligibleFor(r, candidates)
	if len(eligible) == 0 {
		return -1
	}
	switch p.policy {
	case PolicyRandom:
		return eligible[p.random(len(eligible))]
	case PolicyLeastReported:
		return leastReported(candidates, eligible)
	}
	if r.Prefix != "" {
		if holder := byCache(candidates, eligible); holder >= 0 {
			return holder
		}
		if home := byAffinity(r.Prefix, candidates, eligible); home >= 0 {
			return home
		}
	}
	return p.betterOfTwo(candidates, eligible)
}

// eligibleFor narrows the free candidates step by step, skipping each step
// that would leave none: not tried before, not in a failure domain that has
// failed it, lasting if the request cannot move, own failure domain.
func eligibleFor(r Request, candidates []Candidate) []int {
	var free []int
	for i := range candidates {
		if candidates[i].Free {
			free = append(free, i)
		}
	}
	free = narrow(free, func(i int) bool { return !contains(r.Avoid, candidates[i].ID) })
	failed := failedDomains(r, candidates)
	free = narrow(free, func(i int) bool { return failed[candidates[i].Domain] < domainFailures })
	if !r.Retryable {
		free = narrow(free, func(i int) bool { return !candidates[i].Preemptible })
	}
	return narrow(free, func(i int) bool { return candidates[i].Local })
}

// failedDomains counts the upstreams that the request has failed at, by failure domain.
func failedDomains(r Request, candidates []Candidate) map[registrar.FailureDomain]int {
	if len(r.Avoid) < domainFailures {
		return nil
	}
	failed := map[registrar.FailureDomain]int{}
	for i := range candidates {
		if contains(r.Avoid, candidates[i].ID) {
			failed[candidates[i].Domain]++
		}
	}
	return failed
}

func narrow(positions []int, keep func(int) bool) []int {
	var kept []int
	for _, i := range positions {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return positions
	}
	return kept
}

func contains(ids []registrar.UpstreamID, id registrar.UpstreamID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// Load estimates the requests at the upstream now: what others had there when
// the report was measured, and what this process has there now.
func (c *Candidate) Load() int {
	return max(0, c.ReportedLoad-c.InFlightAtReport) + c.InFlight
}

// cost is the expected time until a new request gets its first byte, in seconds or as a relative load.
func (c *Candidate) cost() float64 {
	occupancy := float64(c.Load()+1) / float64(max(1, c.Slots))
	if c.Latency == 0 {
		return occupancy
	}
	return occupancy * c.Latency.Seconds()
}

func (p *Picker) betterOfTwo(candidates []Candidate, eligible []int) int {
	first := eligible[p.random(len(eligible))]
	if len(eligible) == 1 {
		return first
	}
	second := eligible[p.random(len(eligible))]
	for second == first {
		second = eligible[p.random(len(eligible))]
	}
	a, b := &candidates[first], &candidates[second]
	if (a.Latency == 0) != (b.Latency == 0) {
		// Costs with and without a latency cannot be compared; loads can.
		if float64(a.Load()+1)/float64(max(1, a.Slots)) <= float64(b.Load()+1)/float64(max(1, b.Slots)) {
			return first
		}
		return second
	}
	if a.cost() <= b.cost() {
		return first
	}
	return second
}

// byAffinity returns the candidate with the highest hash of prefix and id, if its load is within the bound.
func byAffinity(prefix PrefixID, candidates []Candidate, eligible []int) int {
	home := -1
	var highest uint64
	for _, i := range eligible {
		digest := xxhash.New()
		_, _ = digest.WriteString(string(prefix))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(string(candidates[i].ID))
		if h := digest.Sum64(); home < 0 || h > highest {
			home = i
			highest = h
		}
	}
	if float64(candidates[home].Load()) > loadBound(candidates, eligible) {
		return -1
	}
	return home
}

// byCache returns the least loaded candidate that holds the prefix, if its load is within the bound.
func byCache(candidates []Candidate, eligible []int) int {
	holder := -1
	for _, i := range eligible {
		if candidates[i].Cached && (holder < 0 || candidates[i].Load() < candidates[holder].Load()) {
			holder = i
		}
	}
	if holder >= 0 && float64(candidates[holder].Load()) > loadBound(candidates, eligible) {
		return -1
	}
	return holder
}

// loadBound returns the load up to which prefixes decide.
func loadBound(candidates []Candidate, eligible []int) float64 {
	total := 0
	for _, i := range eligible {
		total += candidates[i].Load()
	}
	return affinityBound * float64(total+1) / float64(len(eligible))
}

func leastReported(candidates []Candidate, eligible []int) int {
	best := eligible[0]
	for _, i := range eligible {
		if candidates[i].ReportedLoad < candidates[best].ReportedLoad {
			best = i
		}
	}
	return best
}
