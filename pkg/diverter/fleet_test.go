package diverter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// fleetTick is the resolution of the model, pollInterval the time between two statements of a
	// host, listInterval that between two questions for them while cut off.
	fleetTick    = 20 * time.Millisecond
	pollInterval = 600 * time.Millisecond
	listInterval = 300 * time.Millisecond
	// requestTime is the mean time that a request takes, requestsPerHost how many a host has in
	// progress by itself in the mean.
	requestTime     = 800 * time.Millisecond
	requestsPerHost = 20
	// carriedNoise is the tolerance for chance, in requests of a host.
	carriedNoise = 0.15
)

type (
	// fleet is a model of entry hosts that pass requests on.
	fleet struct {
		random *rand.Rand
		hosts  []*fleetHost
		byID   map[HostID]*fleetHost
		now    time.Duration
		// misdirected counts the tries at a host that had noticed that it is cut off, early those at one
		// that had not yet, unserved the requests that were not passed on, passed those that were.
		misdirected, early, unserved, passed int
		// statementsLost is the share of the statements that get lost, in percent.
		statementsLost int
	}

	fleetHost struct {
		Host
		// unable reports that the host reaches no upstream, which it notices at noticesAt.
		unable    bool
		noticesAt time.Duration
		// stated is what it has said of itself at statedAt.
		stated   Host
		statedAt time.Duration
		// list is what it knew of the others at listedAt.
		list     []Host
		listedAt time.Duration
		// refusedAt holds when others have replied that they are cut off.
		refusedAt  map[HostID]time.Duration
		inProgress map[HostID]int
		// carried sums up the requests of others in progress over the time of measurement.
		carried, others int
		running         []fleetRequest
	}

	fleetRequest struct {
		from HostID
		ends time.Duration
	}
)

// newFleet returns entry hosts that are spread over failure domains.
func newFleet(seed uint64, hosts, domains int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(hosts))), byID: map[HostID]*fleetHost{}, now: time.Hour}
	for i := range hosts {
		id := HostID(fmt.Sprint("entry-", i))
		h := &fleetHost{
			Host:       Host{ID: id, Address: string(id), FailureDomain: registrar.FailureDomain(fmt.Sprint("domain-", i%domains))},
			refusedAt:  map[HostID]time.Duration{},
			inProgress: map[HostID]int{},
		}
		h.statedAt = f.now - time.Duration(f.random.Int64N(int64(pollInterval)))
		h.stated = h.Host
		f.hosts = append(f.hosts, h)
		f.byID[id] = h
	}
	return f
}

// run lets time pass, with requests at all hosts.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += fleetTick {
		for _, h := range f.hosts {
			h.endRequests(f)
			if h.unable && f.now >= h.noticesAt {
				h.CutOff = true
			}
			if f.now-h.statedAt >= h.statementInterval() && f.random.IntN(100) >= f.statementsLost {
				h.Requests = len(h.running)
				h.stated, h.statedAt = h.Host, f.now
			}
		}
		for _, h := range f.hosts {
			for range f.arrivals() {
				f.serve(h)
			}
			h.carried += h.others
		}
	}
}

// arrivals returns the number of requests of a tick.
func (f *fleet) arrivals() int {
	n := 0
	for range 10 {
		if f.random.Float64() < requestsPerHost*float64(fleetTick)/float64(requestTime)/10 {
			n++
		}
	}
	return n
}

func (h *fleetHost) endRequests(f *fleet) {
	remaining := h.running[:0]
	for _, r := range h.running {
		if r.ends > f.now {
			remaining = append(remaining, r)
			continue
		}
		if r.from != h.ID {
			h.others--
			f.byID[r.from].inProgress[h.ID]--
		}
	}
	h.running = remaining
}

// statementInterval returns the time between two statements: with each poll, and with each question
// for the others.
func (h *fleetHost) statementInterval() time.Duration {
	if h.CutOff {
		return listInterval
	}
	return pollInterval
}

// serve serves a request that arrives at a host.
func (f *fleet) serve(h *fleetHost) {
	ends := f.now + time.Duration(f.random.ExpFloat64()*float64(requestTime))
	if h.unable && !h.CutOff {
		// It fails at upstreams, and is passed on later.
		return
	}
	if !h.CutOff {
		h.running = append(h.running, fleetRequest{from: h.ID, ends: ends})
		return
	}
	if f.now-h.listedAt >= listInterval {
		h.listedAt, h.list = f.now, nil
		for _, other := range f.hosts {
			stated := other.stated
			stated.Age = f.now - other.statedAt
			h.list = append(h.list, stated)
		}
	}
	hosts := h.known(f.now)
	for range MaxTries {
		chosen, found := Choose(h.Host, hosts, h.inProgress, f.random.IntN)
		if !found {
			break
		}
		to := f.byID[chosen.ID]
		if !to.unable {
			f.passed++
			h.inProgress[to.ID]++
			to.others++
			to.running = append(to.running, fleetRequest{from: h.ID, ends: ends})
			return
		}
		if to.CutOff {
			f.misdirected++
		} else {
			f.early++
		}
		h.refusedAt[to.ID] = f.now
		hosts = Outside(to.FailureDomain, h.known(f.now))
	}
	f.unserved++
}

// known returns what a host knows of the others now.
func (h *fleetHost) known(now time.Duration) []Host {
	hosts := slices.Clone(h.list)
	for i := range hosts {
		hosts[i].Age += now - h.listedAt
	}
	for id, at := range h.refusedAt {
		i := slices.IndexFunc(hosts, func(other Host) bool { return other.ID == id })
		if now-hosts[i].Age <= at {
			hosts[i].CutOff = true
		} else {
			delete(h.refusedAt, id)
		}
	}
	return hosts
}

// cut cuts the chosen hosts off, which notice it within a time, and ends all other cuts. It returns how
// many are cut off.
func (f *fleet) cut(within time.Duration, is func(i int, h *fleetHost) bool) int {
	count := 0
	for i, h := range f.hosts {
		switch before := h.unable; {
		case !is(i, h):
			h.unable, h.CutOff = false, false
			continue
		case !before:
			h.unable = true
			h.noticesAt = f.now + time.Duration(f.random.Int64N(int64(within)+1))
		}
		count++
	}
	return count
}

// mostCarried lets time pass and returns the largest mean number of requests of others that a host has
// in progress meanwhile, and the mean of all that are not cut off, in shares of a host's own requests.
func (f *fleet) mostCarried(duration time.Duration) (most, mean float64) {
	for _, h := range f.hosts {
		h.carried = 0
	}
	f.run(duration)
	usable := 0
	for _, h := range f.hosts {
		share := float64(h.carried) / float64(duration/fleetTick) / requestsPerHost
		most = max(most, share)
		mean += share
		if !h.unable {
			usable++
		}
	}
	return most, mean / float64(usable)
}

// TestSumOverHosts guards against hosts that are cut off together and drown another one: beside an even
// share of all that is passed on, no host carries more than half of the requests of a host, however
// many of its failure domain are cut off.
func TestSumOverHosts(t *testing.T) {
	inDomain := func(_ int, h *fleetHost) bool { return h.FailureDomain == "domain-0" }
	tests := map[string]struct {
		hosts, domains int
		is             func(i int, h *fleetHost) bool
	}{
		"one of 2":                        {hosts: 2, domains: 1, is: func(i int, _ *fleetHost) bool { return i == 0 }},
		"one of 2 in two domains":         {hosts: 2, domains: 2, is: func(i int, _ *fleetHost) bool { return i == 0 }},
		"one of 7":                        {hosts: 7, domains: 3, is: func(i int, _ *fleetHost) bool { return i == 1 }},
		"two of a domain of 3 of 7":       {hosts: 7, domains: 3, is: func(i int, _ *fleetHost) bool { return i == 0 || i == 3 }},
		"a domain of 3 of 7":              {hosts: 7, domains: 3, is: inDomain},
		"most of 7":                       {hosts: 7, domains: 3, is: func(i int, _ *fleetHost) bool { return i < 5 }},
		"some of 88":                      {hosts: 88, domains: 4, is: func(i int, _ *fleetHost) bool { return i%17 == 0 }},
		"half of a domain of 88":          {hosts: 88, domains: 4, is: func(i int, _ *fleetHost) bool { return i%8 == 0 }},
		"a domain of 88":                  {hosts: 88, domains: 4, is: inDomain},
		"most of 88":                      {hosts: 88, domains: 4, is: func(i int, _ *fleetHost) bool { return i%5 != 0 }},
		"some of 194":                     {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i%40 == 0 }},
		"half of a domain of 194":         {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i%14 == 0 }},
		"all but one of a domain of 194":  {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i%7 == 0 && i > 0 }},
		"a domain of 194":                 {hosts: 194, domains: 7, is: inDomain},
		"half of 194":                     {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i/7%2 == 0 }},
		"most of 194":                     {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i%10 != 0 }},
		"a domain and half of 194's next": {hosts: 194, domains: 7, is: func(i int, _ *fleetHost) bool { return i%7 == 0 || i%14 == 1 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, test.hosts, test.domains)
			f.run(2 * time.Second)
			cut := f.cut(0, test.is)
			f.run(2 * time.Second)
			f.unserved = 0
			duration := 4 * time.Second
			if test.hosts < 10 {
				duration = 2 * time.Minute
			}
			most, mean := f.mostCarried(duration)
			even := float64(cut) / float64(test.hosts-cut)
			t.Logf("%d cut off: the most loaded host carries %.2f of a host's requests, the mean is %.2f", cut, most, mean)
			if bound := 0.5 + even*(1+carriedNoise) + carriedNoise; test.hosts > 2 && most > bound {
				t.Errorf("the most loaded host carries %.2f of a host's requests, want at most %.2f (an even share is %.2f)", most, bound, even)
			}
			if mean < even*(1-carriedNoise) || mean > even*(1+carriedNoise) {
				t.Errorf("the mean host carries %.2f of a host's requests, want about %.2f", mean, even)
			}
			if f.unserved > 0 {
				t.Errorf("%d requests were not passed on", f.unserved)
			}
		})
	}
}

// TestBurstOfCuts guards against hosts that are cut off one after another, again and again, and pass
// requests to each other, since none has heard of the others yet.
func TestBurstOfCuts(t *testing.T) {
	const (
		noticed = 900 * time.Millisecond
		cuts    = 4
		// settled is the time after the last host has noticed from which all know.
		settled = 2*listInterval + 2*fleetTick
	)
	tests := map[string]struct {
		hosts, domains, lost int
		is                   func(cut, i int, h *fleetHost) bool
	}{
		"a domain of 7":             {hosts: 7, domains: 3, is: func(_, _ int, h *fleetHost) bool { return h.FailureDomain == "domain-0" }},
		"domains of 88 in turn":     {hosts: 88, domains: 4, is: func(cut, i int, _ *fleetHost) bool { return i%4 == cut%4 }},
		"domains of 194 in turn":    {hosts: 194, domains: 7, is: func(cut, i int, _ *fleetHost) bool { return i%7 == cut%7 }},
		"a domain of 194, on, off":  {hosts: 194, domains: 7, is: func(cut, i int, _ *fleetHost) bool { return i%7 == 2 && cut%2 == 0 }},
		"others in each of 7 times": {hosts: 194, domains: 7, is: func(cut, i int, _ *fleetHost) bool { return i*31%7 == cut || i%5 == cut }},
		"statements get lost":       {hosts: 194, domains: 7, lost: 30, is: func(cut, i int, _ *fleetHost) bool { return i%7 == cut%7 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, test.hosts, test.domains)
			f.statementsLost = test.lost
			f.run(2 * time.Second)
			for cut := range cuts {
				f.cut(noticed, func(i int, h *fleetHost) bool { return test.is(cut, i, h) })
				f.passed, f.misdirected, f.early, f.unserved = 0, 0, 0, 0
				most, mean := f.mostCarried(noticed + settled)
				if bound := 0.5 + mean*(1+carriedNoise) + carriedNoise; most > bound {
					t.Errorf("cut %d, while hosts notice it: the most loaded host carries %.2f of a host's requests, want at most %.2f", cut, most, bound)
				}
				t.Logf("cut %d, while hosts notice it: %d passed on, %d tries at hosts that are cut off, %d at hosts that have not noticed it, %d given up",
					cut, f.passed, f.misdirected, f.early, f.unserved)
				if f.unserved*50 > f.passed {
					t.Errorf("cut %d: %d requests given up, %d passed on", cut, f.unserved, f.passed)
				}
				f.passed, f.misdirected, f.early, f.unserved = 0, 0, 0, 0
				most, mean = f.mostCarried(2 * time.Second)
				if f.unserved > 0 {
					t.Errorf("cut %d: %d requests given up", cut, f.unserved)
				}
				if test.lost == 0 && f.misdirected+f.early > 0 {
					t.Errorf("cut %d: %d tries at hosts that are cut off, although all know", cut, f.misdirected+f.early)
				}
				if bound := 0.5 + mean*(1+carriedNoise) + carriedNoise; most > bound {
					t.Errorf("cut %d: the most loaded host carries %.2f of a host's requests, want at most %.2f", cut, most, bound)
				}
			}
		})
	}
}

// TestNobodyIsLeft guards against requests that wander between hosts all of which are cut off, as when
// the upstreams are down, and against the use of what hosts have said long ago.
func TestNobodyIsLeft(t *testing.T) {
	for _, hosts := range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(hosts, "/all are cut off"), func(t *testing.T) {
			f := newFleet(3, hosts, min(hosts, 7))
			f.cut(0, func(int, *fleetHost) bool { return true })
			f.run(time.Second)
			f.passed, f.misdirected, f.early = 0, 0, 0
			f.run(3 * time.Second)
			if f.passed+f.misdirected+f.early > 0 {
				t.Errorf("%d passed on, %d tries", f.passed, f.misdirected+f.early)
			}
		})
		t.Run(fmt.Sprint(hosts, "/nobody says anything"), func(t *testing.T) {
			f := newFleet(3, hosts, min(hosts, 7))
			f.run(time.Second)
			f.cut(0, func(i int, _ *fleetHost) bool { return i%2 == 0 })
			f.statementsLost = 100
			f.run(maxAge + pollInterval)
			f.passed, f.misdirected, f.early = 0, 0, 0
			f.run(3 * time.Second)
			if f.passed+f.misdirected+f.early > 0 {
				t.Errorf("%d passed on, %d tries", f.passed, f.misdirected+f.early)
			}
		})
	}
}
