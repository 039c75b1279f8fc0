package diverter

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// MaxTries is the number of hosts to which a request is passed one after another, while each
	// replies that it is cut off too.
	MaxTries = 4
	// maxAge is the age from which what an entry host has said of itself is not used.
	maxAge = 2 * time.Second
	// cutHostsCarried is the number of hosts of its failure domain that are cut off of which a host
	// carries the requests of one.
	cutHostsCarried = 2
)

type (
	// HostID identifies an entry host.
	HostID string

	// Host is an entry host that may take requests of others, by what it has said of itself.
	Host struct {
		ID            HostID
		FailureDomain registrar.FailureDomain
		// Address accepts messages of other processes.
		Address string
		// CutOff reports that it reaches no upstream.
		CutOff bool
		// Requests is the number of its requests in progress.
		Requests int
		// Age is the time since it said so.
		Age time.Duration
	}
)

// Choose returns the entry host to which self, which is cut off, passes a request on, and false if
// there is none. hosts may hold self and hosts that cannot be chosen: those are cut off, have no
// address, or have said nothing for 2 s. inProgress holds the requests that self has at other hosts
// now. random must return uniformly distributed integers from 0 to n-1; it is called with n >= 1.
//
// Hosts in the failure domain of self go first, but each of them carries the requests of half a
// host only: the others' share goes to all other failure domains. Among the hosts that remain, the
// one with the smaller load of two random ones is chosen, so that hosts which are cut off together
// do not all choose the same one.
func Choose(self Host, hosts []Host, inProgress map[HostID]int, random func(n int) int) (Host, bool) {
	// Indices of the hosts that can be chosen.
	near, far := make([]int, 0, len(hosts)), make([]int, 0, len(hosts))
	cut := 1
	for i := range hosts {
		switch h := &hosts[i]; {
		case h.ID == self.ID:
		case !h.usable():
			if h.CutOff && h.Age <= maxAge && h.FailureDomain == self.FailureDomain {
				cut++
			}
		case h.FailureDomain == self.FailureDomain:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	candidates := near
	if len(far) > 0 && random(cutHostsCarried*cut) >= len(near) {
		candidates = far
	}
	if len(candidates) == 0 {
		return Host{}, false
	}
	load := func(h *Host) int { return h.Requests + inProgress[h.ID] }
	first, second := &hosts[candidates[random(len(candidates))]], &hosts[candidates[random(len(candidates))]]
	if load(second) < load(first) {
		return *second, true
	}
	return *first, true
}

// Outside returns the hosts in other failure domains than a given one, or all if none of those can be
// chosen. It serves the next try after a host has replied that it is cut off too: a cut often hits
// many hosts of a failure domain, some of which have not said so yet.
func Outside(domain registrar.FailureDomain, hosts []Host) []Host {
	var others []Host
	usable := false
	for _, h := range hosts {
		if h.FailureDomain == domain {
			continue
		}
		others = append(others, h)
		usable = usable || h.usable()
	}
	if !usable {
		return hosts
	}
	return others
}

func (h *Host) usable() bool { return !h.CutOff && h.Address != "" && h.Age <= maxAge }
