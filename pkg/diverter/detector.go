package diverter

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// roundInterval is the time between two rounds of probes while a cut is suspected.
	roundInterval = 100 * time.Millisecond
	// suspicionInterval is the least time between the first rounds of two suspicions.
	suspicionInterval = 300 * time.Millisecond
	// cutInterval is the time between two probes while the host is cut off.
	cutInterval = 200 * time.Millisecond
	// repeatInterval is the least time between two probes to an upstream while the outcome of the
	// first one is unknown.
	repeatInterval = 200 * time.Millisecond
	// pauseTimeout is the time without a call of Probes after which the host counts as having been
	// suspended, so that connections that failed meanwhile show nothing.
	pauseTimeout = 400 * time.Millisecond
	// maxEvidence is the number of upstreams to which a probe must have failed, if so many are known.
	maxEvidence = 16
	// fewDuration is the least time between the first and the latest failure where fewer than
	// maxEvidence upstreams are known: a sound upstream may be silent for a second.
	fewDuration = 750 * time.Millisecond
	// minDomains is the number of failure domains in which probes must have failed, if so many are
	// known.
	minDomains = 2
)

// roundSizes are the numbers of probes in the rounds of a suspicion. The later rounds are only
// reached while no connection is established. Their sum is maxEvidence.
var roundSizes = []int{2, 4, 5, 5}

type (
	// Detector decides whether this host is cut off from all upstreams. It is not safe for
	// concurrent use.
	Detector struct {
		// random returns a uniformly distributed integer from 0 to n-1.
		random func(n int) int

		suspected, cutOff bool
		// failedAt is when the first connection failed since one was established, lastFailedAt when
		// the latest one did.
		failedAt, lastFailedAt time.Duration
		// suspectedDomain is the failure domain of the upstream that raised the suspicion.
		suspectedDomain registrar.FailureDomain
		// calledAt is when Probes was last called, at least the beginning of the suspicion.
		calledAt time.Duration
		// roundAt is when the latest round of probes began, firstRoundAt when the first one of the
		// latest suspicion that had any did.
		roundAt, firstRoundAt time.Duration
		rounded               bool
		// rounds is the number of rounds in this suspicion.
		rounds int
		probes map[registrar.UpstreamID]*probe
		// known holds the upstreams at the latest call of Probes, domains their failure domains.
		known   map[registrar.UpstreamID]registrar.FailureDomain
		domains int
	}

	// Evidence is what a Detector has decided on, for logs.
	Evidence struct {
		// Since is when the first connection failed since one was established.
		Since time.Duration
		// Failed is the number of known upstreams to which a probe has failed since, Domains that of
		// their failure domains.
		Failed, Domains int
		// Known is the number of known upstreams, KnownDomains that of their failure domains.
		Known, KnownDomains int
	}

	// probe is the latest probe to an upstream in a suspicion.
	probe struct {
		at time.Duration
		// tries is the number of probes to the upstream.
		tries  int
		failed bool
	}
)

// NewDetector returns a detector of a host that is not cut off. random must return uniformly
// distributed integers from 0 to n-1; it is called with n >= 1.
func NewDetector(random func(n int) int) *Detector {
	return &Detector{random: random}
}

// Connected records that a connection to an upstream was established, or that bytes arrived on one
// that was established lately. Bytes on earlier connections show nothing: those may live on while
// new ones are refused.
func (d *Detector) Connected() {
	d.suspected, d.cutOff = false, false
}

// Failed records that a connection to an upstream could not be established, or that an established
// one ended since nothing was acknowledged. Probes that fail are recorded by it too.
func (d *Detector) Failed(now time.Duration, upstream registrar.UpstreamID, domain registrar.FailureDomain) {
	d.restartAfterPause(now)
	if !d.suspected {
		d.suspect(now)
		d.suspectedDomain = domain
	}
	d.lastFailedAt = now
	if p := d.probes[upstream]; p != nil {
		p.failed = true
	}
	d.decide()
}

// suspect begins a suspicion.
func (d *Detector) suspect(now time.Duration) {
	d.suspected = true
	d.failedAt, d.lastFailedAt, d.calledAt = now, now, now
	d.rounds, d.probes, d.known, d.domains = 0, map[registrar.UpstreamID]*probe{}, nil, 0
}

// restartAfterPause begins the suspicion again if the host was suspended.
func (d *Detector) restartAfterPause(now time.Duration) {
	if d.suspected && !d.cutOff && now-d.calledAt > pauseTimeout {
		d.suspect(now)
	}
}

// Suspected reports whether a connection has failed and none was established since. Only then
// does Probes need to be called.
func (d *Detector) Suspected() bool { return d.suspected }

// CutOff reports whether this host reaches no upstream.
func (d *Detector) CutOff() bool { return d.cutOff }

// Evidence returns what the detector knows since the first failure.
func (d *Detector) Evidence() Evidence {
	failed, domains := d.failed()
	return Evidence{Since: d.failedAt, Failed: failed, Domains: domains, Known: len(d.known), KnownDomains: d.domains}
}

// Probes returns the upstreams to which the caller should try a bare connection now, none unless a
// cut is suspected. known holds the upstreams that are announced. The outcome of each probe is
// recorded by Connected or Failed. While a cut is suspected Probes must be called every 50 ms.
func (d *Detector) Probes(now time.Duration, known []Upstream) []Upstream {
	if !d.suspected {
		return nil
	}
	d.restartAfterPause(now)
	d.calledAt = now
	d.setKnown(known)
	d.decide()
	count := d.due(now)
	if count == 0 {
		return nil
	}
	chosen := d.choose(now, known, count)
	if len(chosen) == 0 {
		return nil
	}
	if d.rounds == 0 {
		d.firstRoundAt = now
	}
	d.rounds++
	d.roundAt, d.rounded = now, true
	return chosen
}

// setKnown replaces the known upstreams, and forgets probes to others.
func (d *Detector) setKnown(known []Upstream) {
	domains := map[registrar.FailureDomain]bool{}
	d.known = make(map[registrar.UpstreamID]registrar.FailureDomain, len(known))
	for _, u := range known {
		d.known[u.ID] = u.Domain
		domains[u.Domain] = true
	}
	d.domains = len(domains)
	for id := range d.probes {
		if _, found := d.known[id]; !found {
			delete(d.probes, id)
		}
	}
}

// due returns how many probes are due.
func (d *Detector) due(now time.Duration) int {
	switch {
	case d.cutOff:
		if now-d.roundAt < cutInterval {
			return 0
		}
		return 1
	case d.rounds == 0:
		if d.rounded && now-d.firstRoundAt < suspicionInterval {
			return 0
		}
		return roundSizes[0]
	case now-d.roundAt < roundInterval:
		return 0
	case d.rounds < len(roundSizes) && len(d.probes) < len(d.known):
		return roundSizes[d.rounds]
	default:
		return 1
	}
}

// choose returns up to count upstreams, recorded as probed: those with the fewest probes first, of
// these the ones whose failure domain has the fewest.
func (d *Detector) choose(now time.Duration, known []Upstream, count int) []Upstream {
	byDomain := map[registrar.FailureDomain]int{d.suspectedDomain: 1}
	for id, p := range d.probes {
		byDomain[d.known[id]] += p.tries
	}
	var chosen []Upstream
	for len(chosen) < count {
		best, ties := -1, 0
		for i, u := range known {
			if d.inProgress(now, u.ID) {
				continue
			}
			order := -1
			if best >= 0 {
				order = cmp.Or(cmp.Compare(d.tries(u.ID), d.tries(known[best].ID)),
					cmp.Compare(byDomain[u.Domain], byDomain[known[best].Domain]))
			}
			switch {
			case order < 0:
				best, ties = i, 1
			case order == 0:
				if ties++; d.random(ties) == 0 {
					best = i
				}
			}
		}
		if best < 0 {
			return chosen
		}
		u := known[best]
		d.record(now, u.ID)
		byDomain[u.Domain]++
		chosen = append(chosen, u)
	}
	return chosen
}

// record records that an upstream is probed. An earlier failure stays evidence.
func (d *Detector) record(now time.Duration, id registrar.UpstreamID) {
	p := d.probes[id]
	if p == nil {
		p = &probe{}
		d.probes[id] = p
	}
	p.at = now
	p.tries++
}

func (d *Detector) tries(id registrar.UpstreamID) int {
	if p := d.probes[id]; p != nil {
		return p.tries
	}
	return 0
}

// inProgress reports whether an upstream was probed lately and the outcome is not known yet.
func (d *Detector) inProgress(now time.Duration, id registrar.UpstreamID) bool {
	p := d.probes[id]
	return p != nil && !p.failed && now-p.at < repeatInterval
}

// failed returns the number of known upstreams to which a probe has failed, and that of their
// failure domains.
func (d *Detector) failed() (upstreams, domains int) {
	var seen []registrar.FailureDomain
	for id, domain := range d.known {
		if p := d.probes[id]; p == nil || !p.failed {
			continue
		}
		upstreams++
		if !slices.Contains(seen, domain) {
			seen = append(seen, domain)
		}
	}
	return upstreams, len(seen)
}

// decide decides that this host is cut off if the evidence suffices.
func (d *Detector) decide() {
	if !d.suspected || len(d.known) == 0 {
		return
	}
	upstreams, domains := d.failed()
	if upstreams < min(maxEvidence, len(d.known)) || domains < min(minDomains, d.domains) {
		return
	}
	if len(d.known) < maxEvidence && d.lastFailedAt-d.failedAt < fewDuration {
		return
	}
	d.cutOff = true
}
