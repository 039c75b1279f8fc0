package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// sumWindow, sumFactor and sumMargin state how much all hosts together may send: in any
	// sumWindow no more than sumFactor times what the limit allows, and sumMargin requests.
	sumWindow = 4 * time.Second
	sumFactor = 1.5
	sumMargin = 5
	// learnTime is the time from the first response with a limit in which all hosts learn of it.
	learnTime = 3 * time.Second
	fleetStep = 20 * time.Millisecond
)

var fleetStart = time.UnixMilli(1_790_000_000_123)

type (
	// fleet describes hosts that send requests to one upstream with a limit and to others.
	fleet struct {
		hosts int
		limit Rate
		// wanted is the rate of requests, over all hosts, that would go to the upstream.
		wanted float64
		// burst is the number of requests that come at a time at a host.
		burst int
		// skew is the largest deviation of a host's clock either way.
		skew time.Duration
		// restarts is the rate at which hosts restart; joins that at which new ones come.
		restarts, joins float64
		// freezes is the rate at which hosts stop for frozen and then go on.
		freezes float64
		// cutAfter is the time after which half of the hosts do not hear of the others any more;
		// zero for never.
		cutAfter time.Duration
	}

	fleetHost struct {
		*Apportioner
		id      Host
		offset  time.Duration
		learnAt time.Time
		// busyUntil is the end of a freeze.
		busyUntil time.Time
		// pending are requests that arrived while the host was frozen.
		pending int
	}
)

// play simulates the fleet and returns the most requests in any window after learnTime, and the
// part of the limit that was used.
func (f fleet) play(seed uint64, length time.Duration) (most int, used float64) {
	const frozen = 1500 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 7))
	u := Upstream{ID: "engine", Incarnation: 3}
	var (
		hosts    []*fleetHost
		arrivals []time.Time
		created  int
	)
	add := func(now time.Time) *fleetHost {
		created++
		h := &fleetHost{id: HostOf(fmt.Sprint("host-", created)), learnAt: now.Add(time.Duration(r.Int64N(int64(time.Second))))}
		h.Apportioner = New(h.id)
		if f.skew > 0 {
			h.offset = time.Duration(r.Int64N(int64(2*f.skew))) - f.skew
		}
		hosts = append(hosts, h)
		return h
	}
	for range f.hosts {
		add(fleetStart)
	}
	list := func(now time.Time, of int) []Host {
		var out []Host
		for n, h := range hosts {
			if f.cutAfter == 0 || now.Before(fleetStart.Add(f.cutAfter)) || n%2 == of%2 {
				out = append(out, h.id)
			}
		}
		return out
	}
	chance := func(perSecond float64) bool { return r.Float64() < perSecond*fleetStep.Seconds() }
	lists := [][]Host{nil, nil}
	for now := fleetStart; now.Before(fleetStart.Add(length)); now = now.Add(fleetStep) {
		if now.Sub(fleetStart)%(200*time.Millisecond) == 0 {
			lists = [][]Host{list(now, 0), list(now, 1)}
		}
		if chance(f.joins) {
			add(now)
		}
		for n, h := range hosts {
			local := now.Add(h.offset)
			if chance(f.restarts / float64(len(hosts))) {
				h.Apportioner, h.learnAt = New(h.id), now.Add(time.Duration(r.Int64N(int64(time.Second))))
			}
			if chance(f.freezes / float64(len(hosts))) {
				h.busyUntil = now.Add(frozen)
			}
			for range f.burst {
				if !chance(f.wanted / float64(f.hosts) / float64(f.burst)) {
					continue
				}
				h.pending += f.burst
			}
			if now.Before(h.busyUntil) {
				continue
			}
			if now.After(h.learnAt) && (len(h.listedAt) == 0 || r.IntN(50) == 0) {
				h.SetHosts(local, lists[n%2])
				h.Merge(local, Statement{Upstream: u, Named: true, Limit: f.limit, At: fleetStart})
			}
			for ; h.pending > 0; h.pending-- {
				limit, limited := h.Limit(local, u)
				if !limited && !now.After(h.learnAt) && now.Sub(fleetStart) > learnTime {
					// A host that has not learnt of the upstreams yet sends nothing.
					continue
				}
				if !limited || h.Take(local, u, limit) {
					arrivals = append(arrivals, now)
				}
			}
		}
	}
	first, counted := 0, 0
	for last, at := range arrivals {
		if at.Sub(fleetStart) < learnTime {
			first = last + 1
			continue
		}
		counted++
		for at.Sub(arrivals[first]) > sumWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, float64(counted) / float64(f.limit) / (length - learnTime).Seconds()
}

// TestSumOverHosts guards against an upstream that gets more requests than its limit from all
// hosts together, each of which keeps to its share.
func TestSumOverHosts(t *testing.T) {
	kinds := map[string]func(*fleet){
		"steady":  func(*fleet) {},
		"skewed":  func(f *fleet) { f.skew = 200 * time.Millisecond },
		"bursts":  func(f *fleet) { f.burst, f.skew = 20, 100*time.Millisecond },
		"joins":   func(f *fleet) { f.joins, f.restarts, f.skew = 0.5, 0.5, 100*time.Millisecond },
		"freezes": func(f *fleet) { f.freezes, f.skew = 1, 100*time.Millisecond },
		"cut":     func(f *fleet) { f.cutAfter, f.skew = 10*time.Second, 100*time.Millisecond },
	}
	for _, hosts := range []int{2, 7, 88, 194} {
		for _, limit := range []Rate{0.2, 1, 3.7, 100} {
			for name, adjust := range kinds {
				t.Run(fmt.Sprintf("%d hosts, %g a second, %s", hosts, float64(limit), name), func(t *testing.T) {
					f := fleet{hosts: hosts, limit: limit, wanted: 20 * float64(max(limit, 1)), burst: 1}
					adjust(&f)
					allowed := sumFactor*float64(limit)*sumWindow.Seconds() + sumMargin
					for seed := range uint64(3) {
						most, used := f.play(seed, 40*time.Second)
						t.Logf("seed %d: at most %d requests in %v, %.0f allowed; %.2f of the limit used", seed, most, sumWindow, allowed, used)
						if float64(most) > allowed {
							t.Errorf("seed %d: %d requests in %v, want at most %.0f", seed, most, sumWindow, allowed)
						}
					}
				})
			}
		}
	}
}

// TestUsedPartOfLimit guards against a division that keeps requests away from an upstream that
// takes them: as long as each host has some, most of the limit is used.
func TestUsedPartOfLimit(t *testing.T) {
	const least = 0.6
	for _, hosts := range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := fleet{hosts: hosts, limit: 5, wanted: 6 * float64(hosts), burst: 1, skew: 100 * time.Millisecond}
			if _, used := f.play(1, 60*time.Second); used < least {
				t.Errorf("%.2f of the limit is used, want at least %.2f", used, least)
			}
		})
	}
}

// TestHostWithoutOthers guards against requests to an upstream with a limit before a process
// knows which hosts share it.
func TestHostWithoutOthers(t *testing.T) {
	a := New(HostOf("one"))
	u := Upstream{ID: "engine"}
	for n := range 20 {
		if a.Take(fleetStart.Add(time.Duration(n)*time.Second), u, 100) {
			t.Fatal("a request is allowed although no host is known")
		}
	}
	a.SetHosts(fleetStart, []Host{HostOf("one")})
	if !a.Take(fleetStart, u, 100) {
		t.Error("no request is allowed once the hosts are known")
	}
}

// TestClockStepsBack guards against slots that are used a second time when the clock steps back.
func TestClockStepsBack(t *testing.T) {
	a := New(HostOf("one"))
	a.SetHosts(fleetStart, []Host{HostOf("one")})
	u, taken := Upstream{ID: "engine"}, 0
	for _, offset := range []time.Duration{0, time.Second, -2 * time.Second, -time.Second, 0, time.Second} {
		for a.Take(fleetStart.Add(offset), u, 2) {
			taken++
		}
	}
	if taken > 4 {
		t.Errorf("%d requests in two slots of two requests", taken)
	}
}

// TestTurns checks that the announced turns are those at which the host may send.
func TestTurns(t *testing.T) {
	self := HostOf("one")
	a := New(self)
	var hosts []Host
	for n := range 7 {
		hosts = append(hosts, HostOf(fmt.Sprint("other-", n)))
	}
	a.SetHosts(fleetStart, append(hosts, self))
	u := Upstream{ID: "engine", Incarnation: 1}
	a.Merge(fleetStart, Statement{Upstream: u, Named: true, Limit: 1, At: fleetStart})
	turns := a.Turns(fleetStart, []Upstream{u}, 3, time.Minute)
	if len(turns) != 3 {
		t.Fatalf("turns %v within a minute although one in eight is this host's", turns)
	}
	if within := a.Turns(fleetStart, []Upstream{u}, 3, turns[1]-1); len(within) != 1 {
		t.Errorf("turns %v before the second one at %v", within, turns[1])
	}
	for n, turn := range turns {
		if n > 0 && turn == turns[n-1] {
			t.Errorf("turns %v at one request a second", turns)
		}
		if before := fleetStart.Add(turn - time.Millisecond); turn > 0 && a.Available(before, u, 1) > 0 {
			t.Errorf("a request may be sent before the turn after %v", turn)
		}
		if !a.Take(fleetStart.Add(turn), u, 1) {
			t.Errorf("no request may be sent at the turn after %v", turn)
		}
	}
}

// TestLimitEnds guards against all hosts that return to an upstream at the same moment when its
// limit ends. The host that has heard of the end returns at once.
func TestLimitEnds(t *testing.T) {
	u := Upstream{ID: "engine"}
	end := fleetStart.Add(5 * time.Second)
	returned := map[time.Duration]int{}
	for n := range 40 {
		a := New(HostOf(fmt.Sprint("host-", n)))
		a.Merge(end, Statement{Upstream: u, Named: true, Limit: 1, At: fleetStart})
		if n == 0 {
			a.Observe(Observation{Upstream: u, SentAt: end, ReceivedAt: end.Add(time.Millisecond)})
			if _, limited := a.Limit(end.Add(time.Millisecond), u); limited {
				t.Error("the host that has heard of the end keeps to the limit")
			}
			continue
		}
		a.Merge(end, Statement{Upstream: u, At: end})
		for wait := time.Duration(0); ; wait += 100 * time.Millisecond {
			if _, limited := a.Limit(end.Add(wait), u); !limited {
				returned[wait]++
				break
			}
			if wait > endSpread {
				t.Fatal("a host still keeps to a limit that has ended")
			}
		}
	}
	for wait, n := range returned {
		if n > 10 {
			t.Errorf("%d of 40 hosts return %v after the end", n, wait)
		}
	}
}

// TestObservations guards against an old response that undoes a newer one, and against a limit
// that ends although the upstream still names it.
func TestObservations(t *testing.T) {
	u := Upstream{ID: "engine", Incarnation: 2}
	at := func(ms int) time.Time { return fleetStart.Add(time.Duration(ms) * time.Millisecond) }
	named := func(limit Rate, sent, received int) Observation {
		return Observation{Upstream: u, Named: true, Limit: limit, SentAt: at(sent), ReceivedAt: at(received)}
	}
	unnamed := func(sent, received int) Observation {
		return Observation{Upstream: u, SentAt: at(sent), ReceivedAt: at(received)}
	}
	tests := map[string]struct {
		observations []Observation
		want         Rate
	}{
		"named":                          {observations: []Observation{named(2, 0, 5)}, want: 2},
		"never named":                    {observations: []Observation{unnamed(0, 5)}},
		"falls":                          {observations: []Observation{named(2, 0, 5), named(1, 1, 6)}, want: 1},
		"rises":                          {observations: []Observation{named(1, 0, 5), named(2, 6, 9)}, want: 2},
		"a higher one that may be older": {observations: []Observation{named(1, 0, 5), named(2, 3, 9)}, want: 1},
		"ends":                           {observations: []Observation{named(1, 0, 5), unnamed(6, 9)}},
		"a response that may be older names none": {observations: []Observation{named(1, 0, 5), unnamed(4, 9)}, want: 1},
		"names one again":                         {observations: []Observation{named(1, 0, 5), unnamed(6, 9), named(3, 10, 12)}, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := New(HostOf("one"))
			for _, o := range test.observations {
				a.Observe(o)
			}
			if got, limited := a.Limit(at(20), u); got != test.want || limited != (test.want > 0) {
				t.Errorf("limit %v (%t), want %v", got, limited, test.want)
			}
			if _, limited := a.Limit(at(20), Upstream{ID: u.ID, Incarnation: 3}); limited {
				t.Error("the next incarnation has the limit of this one")
			}
		})
	}
}

// TestStatementsMerge checks that processes that get the same statements in any order, late or
// twice, hold the same limit.
func TestStatementsMerge(t *testing.T) {
	u := Upstream{ID: "engine"}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var statements []Statement
		for range 6 {
			statements = append(statements, Statement{
				Upstream: u, Named: r.IntN(3) > 0, Limit: Rate(1 + r.IntN(3)), At: fleetStart.Add(time.Duration(r.IntN(4)) * time.Millisecond),
			})
		}
		var want Statement
		for order := range 5 {
			register := NewRegister()
			for _, n := range append(r.Perm(len(statements)), r.Perm(len(statements))...) {
				register.Merge(fleetStart, statements[n])
			}
			got := register.statements[u].Statement
			if !got.Named {
				got.Limit = 0
			}
			if order == 0 {
				want = got
			}
			if got != want {
				t.Fatalf("seed %d: %v, in another order %v", seed, got, want)
			}
		}
	}
}

// TestStatementFromWrongClock guards against a limit that stays for as long as the clock of the
// host that reported it was ahead.
func TestStatementFromWrongClock(t *testing.T) {
	u := Upstream{ID: "engine"}
	r := NewRegister()
	if r.Merge(fleetStart, Statement{Upstream: u, Named: true, Limit: 1, At: fleetStart.Add(time.Hour)}) {
		t.Error("a statement from the future was accepted")
	}
	r.Observe(Observation{Upstream: u, Named: true, Limit: 1, SentAt: fleetStart.Add(time.Hour), ReceivedAt: fleetStart.Add(time.Hour)})
	r.Observe(Observation{Upstream: u, Named: true, Limit: 2, SentAt: fleetStart, ReceivedAt: fleetStart})
	if got := r.statements[u].Limit; got != 2 {
		t.Errorf("limit %v, want 2 by the clock that was set right", got)
	}
}

// TestStatementsAreBounded guards against memory that grows with the upstreams ever seen.
func TestStatementsAreBounded(t *testing.T) {
	r := NewRegister()
	for n := range 2 * maxStatements {
		at := fleetStart.Add(time.Duration(n) * time.Millisecond)
		r.Merge(at, Statement{Upstream: Upstream{ID: registrar.UpstreamID(fmt.Sprint(n))}, Named: true, Limit: 1, At: at})
	}
	if len(r.statements) > maxStatements {
		t.Errorf("%d statements, want at most %d", len(r.statements), maxStatements)
	}
	later := fleetStart.Add(2 * statementLifetime)
	r.Merge(later, Statement{Upstream: Upstream{ID: "last"}, Named: true, Limit: 1, At: later})
	if len(r.statements) != 1 {
		t.Errorf("%d statements after their lifetime, want the new one", len(r.statements))
	}
}

// TestParseLimit guards against a limit that is taken for none because it cannot be read.
func TestParseLimit(t *testing.T) {
	tests := map[string]struct {
		want   Rate
		usable bool
	}{
		"1":       {want: 1, usable: true},
		" 0.2 ":   {want: 0.2, usable: true},
		"0":       {want: minLimit, usable: true},
		"0.0001":  {want: minLimit, usable: true},
		"1e9":     {want: maxLimit},
		"1e999":   {want: maxLimit},
		"Inf":     {want: maxLimit},
		"-3":      {want: minLimit},
		"-1e999":  {want: minLimit},
		"NaN":     {want: defaultLimit},
		"few":     {want: defaultLimit},
		"3,2":     {want: 2, usable: true},
		"3, few":  {want: defaultLimit},
		"0.5,few": {want: 0.5},
		",":       {want: defaultLimit},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			if got, usable := ParseLimit(text); got != test.want || usable != test.usable {
				t.Errorf("%v, %t; want %v, %t", got, usable, test.want, test.usable)
			}
		})
	}
}

// BenchmarkNewSlot measures the first request of a host to a limited upstream in a slot, among the
// hosts of the two-year size.
func BenchmarkNewSlot(b *testing.B) {
	a := New(HostOf("self"))
	var hosts []Host
	for n := range 320 {
		hosts = append(hosts, HostOf(fmt.Sprint("host-", n)))
	}
	a.SetHosts(fleetStart, hosts)
	u := Upstream{ID: "engine-with-a-name", Incarnation: 1}
	for n := 0; b.Loop(); n++ {
		a.Available(fleetStart.Add(time.Duration(n)*time.Second), u, 10)
	}
}
