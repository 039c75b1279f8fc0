package picker

import "github.com/comfreybend/comfreybend/pkg/registrar"

// domainFailureThreshold is the number of upstreams of one failure domain at which a request
// must have failed before it avoids the domain. One upstream may fail alone; two failures
// indicate that the whole domain is failing.
const domainFailureThreshold = 2

// LeaveFailedDomains keeps a request that failed at the given upstreams out of the failure domains
// that seem to fail as a whole, unless no other upstream is ready: only those elsewhere stay Free.
// If none of these is free, those in their slow start become Free, since a request has few attempts.
func LeaveFailedDomains(failedAt []registrar.UpstreamID, candidates []Candidate) {
	failed := failuresByDomain(failedAt, candidates)
	free, ready, leaves := false, false, false
	for i := range candidates {
		c := &candidates[i]
		switch {
		case failed[c.Domain] >= domainFailureThreshold:
			leaves = true
		case !contains(failedAt, c.ID):
			free, ready = free || c.Free, ready || c.Ready
		}
	}
	if !leaves || !free && !ready {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		elsewhere := failed[c.Domain] < domainFailureThreshold && !contains(failedAt, c.ID)
		c.Free = elsewhere && (c.Free || !free && c.Ready)
	}
}

// failuresByDomain counts, by failure domain, the candidates at which a request has failed. It
// returns nil if there are too few failures to exclude a domain.
func failuresByDomain(failedAt []registrar.UpstreamID, candidates []Candidate) map[registrar.FailureDomain]int {
	if len(failedAt) < domainFailureThreshold {
		return nil
	}
	failed := map[registrar.FailureDomain]int{}
	for i := range candidates {
		if contains(failedAt, candidates[i].ID) {
			failed[candidates[i].Domain]++
		}
	}
	return failed
}
