// Package picker chooses the upstream for a request.
//
// Picker balances requests over the upstreams with a free slot. It corrects outdated load
// reports by the requests sent since, takes the better of two random candidates so that
// concurrent processes do not all send to the same upstream, and keeps requests with a common
// prompt prefix together within a load limit: at an upstream whose cache is known to hold the
// prefix (see CacheIndex), else at the one preferred by rendezvous hashing.
//
// Placer does the same for model requests whose prompt length is known: it chooses the engine
// with the least predicted time to the first token.
//
// The package does no I/O and returns no errors.
package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// affinityLoadFactor is the largest load of an upstream at which it is still chosen because
	// of the request's prefix, as a multiple of the mean load of the eligible candidates with the
	// new request.
	affinityLoadFactor = 1.25
	// PolicyStandard balances as described in the package comment. Pick uses it for unknown
	// policies too.
	PolicyStandard Policy = "standard"
	// PolicyRandom takes any eligible candidate; a baseline for experiments.
	PolicyRandom Policy = "random"
	// PolicyLeastReported takes the eligible candidate with the least reported load; a baseline
	// for experiments.
	PolicyLeastReported Policy = "leastReported"
)

type (
	// PromptPart is one of the consecutive parts of a prompt. An upstream that has a part cached
	// is assumed to have the parts before it cached too, so the ID of a shared part identifies the
	// prompt up to the end of that part. Tokens is the length of the part alone.
	PromptPart struct {
		ID     PrefixID
		Tokens int
	}

	// Policy selects how Picker chooses among the eligible candidates.
	Policy string

	// Candidate is an upstream that could take the request.
	Candidate struct {
		ID     registrar.UpstreamID
		Domain registrar.FailureDomain
		// Local reports that the upstream is in the failure domain of this process.
		Local       bool
		Preemptible bool
		// Version is the version of the upstream's software.
		Version registrar.Version
		// Free reports that the upstream has a slot for one more request of this process.
		Free bool
		// Ready is Free without regard to the slow start of the upstream.
		Ready bool
		// Cached reports that the upstream's cache is known to hold the request's prefix.
		Cached bool
		// ReportedLoad is the number of requests of all processes at the upstream, according to
		// its last report.
		ReportedLoad int
		// InFlightAtReport and InFlight are the numbers of this process's requests in flight
		// when the reported load was measured and now.
		InFlightAtReport int
		InFlight         int
		// Slots is the number of requests that the upstream can run at once, at least 1.
		Slots int
		// Latency is the average time to the first byte, zero if it is unknown.
		Latency time.Duration
		// Speed is the speed relative to the other upstreams of the pool, Slowdown the time that work
		// takes at present as a multiple of the usual time. Zero means unknown. See profiler.Relative.
		Speed, Slowdown float64
		// Failing reports that the upstream is known to fail more requests than the others.
		Failing bool
	}

	// Request describes the request to be placed.
	Request struct {
		// Prefix identifies the beginning of the prompt. It is empty if there is no prompt.
		Prefix PrefixID
		// Retryable requests can be sent to another upstream again and may therefore run on
		// preemptible upstreams.
		Retryable bool
		// Avoid lists the upstreams at which the request has failed before.
		Avoid []registrar.UpstreamID
	}

	// Picker chooses upstreams by a Policy. It is not safe for concurrent use.
	Picker struct {
		policy Policy
		// random returns a uniformly distributed integer from 0 to n-1.
		random func(n int) int
	}
)

// New returns a picker. random must return uniformly distributed integers from 0 to n-1; Pick
// calls it with n >= 1.
func New(policy Policy, random func(n int) int) *Picker {
	return &Picker{policy: policy, random: random}
}

// Pick returns the index of the chosen candidate, or -1 if none is free.
func (p *Picker) Pick(r Request, candidates []Candidate) int {
	eligible := p.eligibleFor(r, candidates)
	if len(eligible) == 0 {
		return -1
	}
	switch p.policy {
	case PolicyRandom:
		return eligible[p.random(len(eligible))]
	case PolicyLeastReported:
		return leastReportedLoad(candidates, eligible)
	}
	if r.Prefix != "" {
		if holder := byCachedPrefix(candidates, eligible); holder >= 0 {
			return holder
		}
		if preferred := byRendezvousHash(r.Prefix, candidates, eligible); preferred >= 0 {
			return preferred
		}
	}
	return p.powerOfTwoChoices(candidates, eligible)
}

// eligibleFor returns the indices of the free candidates, narrowed by these preferences in
// order: upstreams at which the request has not failed, failure domains with fewer than
// domainFailureThreshold failures, upstreams that do not fail more requests than the others,
// upstreams that are not preemptible unless the request is retryable, the local failure domain. A
// preference that no candidate meets is skipped.
func (p *Picker) eligibleFor(r Request, candidates []Candidate) []int {
	var free []int
	for i := range candidates {
		if candidates[i].Free {
			free = append(free, i)
		}
	}
	free = filterUnlessEmpty(free, func(i int) bool { return !contains(r.Avoid, candidates[i].ID) })
	failed := failuresByDomain(r.Avoid, candidates)
	free = filterUnlessEmpty(free, func(i int) bool { return failed[candidates[i].Domain] < domainFailureThreshold })
	free = p.soundFirst(r, candidates, free)
	if !r.Retryable {
		free = filterUnlessEmpty(free, func(i int) bool { return !candidates[i].Preemptible })
	}
	return filterUnlessEmpty(free, func(i int) bool { return candidates[i].Local })
}

// filterUnlessEmpty returns the indices for which keep is true, or all of them if there are none.
func filterUnlessEmpty(indices []int, keep func(int) bool) []int {
	var kept []int
	for _, i := range indices {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return indices
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

// Load estimates the number of requests at the upstream now: those that other processes had
// there when the reported load was measured, and those that this process has there now.
func (c *Candidate) Load() int {
	return max(0, c.ReportedLoad-c.InFlightAtReport) + c.InFlight
}

// cost estimates the time to the first byte of a new request, in seconds: the occupancy, which is
// the load including the new request divided by the slots, multiplied by the latency. If the latency
// is unknown, it returns the occupancy alone.
func (c *Candidate) cost() float64 {
	if c.Latency == 0 {
		return c.occupancy()
	}
	return c.occupancy() * c.Latency.Seconds()
}

// powerOfTwoChoices draws two eligible candidates at random and returns the one with the lower cost.
func (p *Picker) powerOfTwoChoices(candidates []Candidate, eligible []int) int {
	first := eligible[p.random(len(eligible))]
	if len(eligible) == 1 {
		return first
	}
	second := eligible[p.random(len(eligible))]
	for second == first {
		second = eligible[p.random(len(eligible))]
	}
	a, b := &candidates[first], &candidates[second]
	if (a.Latency == 0) != (b.Latency == 0) || a.hasOwnSpeed() || b.hasOwnSpeed() {
		// Costs with and without a latency are not comparable, but occupancies are. A speed that is
		// known from the observations of all processes says more than the latency of this one.
		if a.occupancy() <= b.occupancy() {
			return first
		}
		return second
	}
	if a.cost() <= b.cost() {
		return first
	}
	return second
}

// byRendezvousHash returns the candidate with the highest hash of prefix and ID, or -1 if its
// load exceeds affinityLoadLimit. Processes with the same eligible candidates, such as those in one
// failure domain, prefer the same one.
func byRendezvousHash(prefix PrefixID, candidates []Candidate, eligible []int) int {
	preferred := -1
	var highest uint64
	for _, i := range eligible {
		digest := xxhash.New()
		_, _ = digest.WriteString(string(prefix))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(string(candidates[i].ID))
		if h := digest.Sum64(); preferred < 0 || h > highest {
			preferred = i
			highest = h
		}
	}
	if candidates[preferred].relativeLoad() > affinityLoadLimit(candidates, eligible) {
		return -1
	}
	return preferred
}

// byCachedPrefix returns the least loaded candidate whose cache holds the prefix, or -1 if
// there is none or its load exceeds affinityLoadLimit.
func byCachedPrefix(candidates []Candidate, eligible []int) int {
	holder := -1
	for _, i := range eligible {
		if candidates[i].Cached && (holder < 0 || candidates[i].relativeLoad() < candidates[holder].relativeLoad()) {
			holder = i
		}
	}
	if holder >= 0 && candidates[holder].relativeLoad() > affinityLoadLimit(candidates, eligible) {
		return -1
	}
	return holder
}

// affinityLoadLimit returns the largest load relative to the speed of a candidate at which it is chosen because of the
// request's prefix.
func affinityLoadLimit(candidates []Candidate, eligible []int) float64 {
	total := 0.0
	for _, i := range eligible {
		total += candidates[i].relativeLoad()
	}
	return affinityLoadFactor * (total + 1) / float64(len(eligible))
}

func leastReportedLoad(candidates []Candidate, eligible []int) int {
	best := eligible[0]
	for _, i := range eligible {
		if candidates[i].ReportedLoad < candidates[best].ReportedLoad {
			best = i
		}
	}
	return best
}
