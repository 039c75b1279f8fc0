package diverter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// TestCutIsNoticed guards against a host that reaches no upstream and goes on as if the upstreams were
// to blame, longer than a second from the first failure, and against one that goes on passing requests
// to others longer than a second after it reaches upstreams again.
func TestCutIsNoticed(t *testing.T) {
	const maxProbes = 24
	for how, name := range map[state]string{refuses: "refused", hangs: "hang"} {
		for _, upstreams := range []int{1, 2, 3, 6, 15, 16, 37, 180} {
			for _, domains := range []int{1, 2, 3, 7} {
				t.Run(fmt.Sprint(name, "/", upstreams, " upstreams/", domains, " domains"), func(t *testing.T) {
					for seed := range uint64(4) {
						s := newSite(seed, upstreams, domains)
						s.run(time.Second)
						s.stateOf = affected(how, func(int, Upstream) bool { return true }, s.upstreams)
						s.run(3 * time.Second)
						if len(s.verdicts) != 1 || s.verdicts[0] > maxVerdictTime {
							t.Fatalf("seed %d: verdicts %v after the first failure, want one within %v", seed, s.verdicts, maxVerdictTime)
						}
						if s.probesAtFirstCut > maxProbes {
							t.Errorf("seed %d: %d probes until the verdict, want at most %d", seed, s.probesAtFirstCut, maxProbes)
						}
						before := s.probeCount()
						s.run(4 * time.Second)
						if got := s.probeCount() - before; got < 16 || got > 20 {
							t.Errorf("seed %d: %d probes in 4 s, want one every 200 ms", seed, got)
						}
						s.requestInterval = 0
						s.stateOf = newSite(0, 1, 1).stateOf
						ended := s.now
						s.run(2 * time.Second)
						if len(s.returns) != 1 || s.returns[0]-ended > maxReturnTime {
							t.Errorf("seed %d: the end at %v was noticed at %v, want within %v", seed, ended, s.returns, maxReturnTime)
						}
					}
				})
			}
		}
	}
}

// TestUpstreamsThatAreDown guards against a host that gives up its requests because upstreams are
// down, a failure domain is lost, or it is cut off from half of the upstreams.
func TestUpstreamsThatAreDown(t *testing.T) {
	tests := map[string]struct {
		upstreams, domains int
		is                 func(i int, u Upstream) bool
	}{
		"one":                           {upstreams: 20, domains: 4, is: func(i int, _ Upstream) bool { return i == 3 }},
		"one of two":                    {upstreams: 2, domains: 2, is: func(i int, _ Upstream) bool { return i == 1 }},
		"three of four":                 {upstreams: 4, domains: 2, is: func(i int, _ Upstream) bool { return i < 3 }},
		"a domain of two":               {upstreams: 60, domains: 2, is: func(_ int, u Upstream) bool { return u.Domain == "domain-0" }},
		"a domain of seven":             {upstreams: 180, domains: 7, is: func(_ int, u Upstream) bool { return u.Domain == "domain-5" }},
		"six domains of seven":          {upstreams: 180, domains: 7, is: func(_ int, u Upstream) bool { return u.Domain != "domain-5" }},
		"half of 12 in two domains":     {upstreams: 12, domains: 2, is: func(i int, _ Upstream) bool { return i/2%2 == 0 }},
		"half of 30 in three domains":   {upstreams: 30, domains: 3, is: func(i int, _ Upstream) bool { return i/3%2 == 0 }},
		"half of 180 in seven domains":  {upstreams: 180, domains: 7, is: func(i int, _ Upstream) bool { return i/7%2 == 0 }},
		"all but one of 15 in a domain": {upstreams: 15, domains: 1, is: func(i int, _ Upstream) bool { return i != 7 }},
	}
	for name, test := range tests {
		for how, howName := range map[state]string{refuses: "refused", hangs: "hang"} {
			t.Run(name+"/"+howName, func(t *testing.T) {
				for seed := range uint64(15) {
					s := newSite(seed, test.upstreams, test.domains)
					s.run(time.Second)
					s.stateOf = affected(how, test.is, s.upstreams)
					s.run(8 * time.Second)
					if len(s.verdicts) > 0 {
						t.Errorf("seed %d: taken for cut off %d times", seed, len(s.verdicts))
					}
				}
			})
		}
	}
}

// TestKeptConnectionsThatFail guards against a host that is cut off from half of the upstreams, whose
// connections to all of these end in the same moment, and that takes this for the loss of all.
func TestKeptConnectionsThatFail(t *testing.T) {
	for _, upstreams := range []int{4, 20, 36, 180} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			half := func(i int, _ Upstream) bool { return i/2%2 == 0 }
			for seed := range uint64(25) {
				s := newSite(seed, upstreams, 2)
				s.requestInterval = 0
				s.stateOf = affected(hangs, half, s.upstreams)
				for range 12 {
					for i, u := range s.upstreams {
						if half(i, u) {
							s.detector.Failed(s.now, u.ID, u.Domain)
						}
					}
					s.run(300 * time.Millisecond)
				}
				if len(s.verdicts) > 0 {
					t.Errorf("seed %d: taken for cut off %d times", seed, len(s.verdicts))
				}
			}
		})
	}
}

// TestSilentUpstream guards against a sound upstream that is silent for a second and is taken for a
// cut where few upstreams are known.
func TestSilentUpstream(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 20} {
		for _, interval := range []time.Duration{20 * time.Millisecond, 130 * time.Millisecond, 290 * time.Millisecond} {
			t.Run(fmt.Sprint(upstreams, "/", interval), func(t *testing.T) {
				for seed := range uint64(25) {
					s := newSite(seed, upstreams, 1)
					s.requestInterval = interval
					s.run(time.Second + time.Duration(seed)*tick)
					s.stateOf = affected(hangs, func(i int, _ Upstream) bool { return i == 0 }, s.upstreams)
					s.run(time.Second)
					s.stateOf = newSite(0, 1, 1).stateOf
					s.run(3 * time.Second)
					if len(s.verdicts) > 0 {
						t.Errorf("seed %d: taken for cut off", seed)
					}
				}
			})
		}
	}
}

// TestSuspendedHost guards against a host that was suspended for seconds, and takes the connection
// attempts that are over their time afterwards for a cut.
func TestSuspendedHost(t *testing.T) {
	for _, upstreams := range []int{1, 3, 20, 180} {
		for _, before := range []time.Duration{0, 120 * time.Millisecond, 320 * time.Millisecond} {
			t.Run(fmt.Sprint(upstreams, "/", before), func(t *testing.T) {
				s := newSite(1, upstreams, min(2, upstreams))
				s.detector.Failed(s.now, s.upstreams[0].ID, s.upstreams[0].Domain)
				// The outcomes of probes before the suspension are not seen until its end.
				s.stateOf = affected(hangs, func(int, Upstream) bool { return true }, s.upstreams)
				s.requestInterval = 0
				s.run(min(before, connectTimeout-tick))
				s.now += 5 * time.Second
				for range 2 {
					for _, u := range s.upstreams {
						s.detector.Failed(s.now, u.ID, u.Domain)
					}
				}
				s.attempts = nil
				s.stateOf = newSite(0, 1, 1).stateOf
				s.run(2 * time.Second)
				if len(s.verdicts) > 0 {
					t.Error("taken for cut off")
				}
				if s.detector.Suspected() {
					t.Error("still suspected although probes connect")
				}
			})
		}
	}
}

// TestCutsInSeries guards against cuts that begin again soon after their end, or soon after a suspicion
// that was wrong, and are noticed late.
func TestCutsInSeries(t *testing.T) {
	all := func(int, Upstream) bool { return true }
	for _, pause := range []time.Duration{tick, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSite(3, 60, 3)
			sound := s.stateOf
			s.run(time.Second)
			const cuts = 20
			for range cuts {
				s.stateOf = affected(hangs, all, s.upstreams)
				s.run(2 * time.Second)
				if !s.detector.CutOff() {
					t.Error("not taken for cut off after 2 s")
				}
				s.stateOf = sound
				s.run(max(pause, 2*cutInterval))
				if s.detector.CutOff() {
					t.Error("still taken for cut off")
				}
				s.detector.Failed(s.now, s.upstreams[0].ID, s.upstreams[0].Domain)
				s.run(pause)
			}
			for _, v := range s.verdicts {
				if v > maxVerdictTime {
					t.Errorf("verdict after %v, want within %v", v, maxVerdictTime)
				}
			}
			if len(s.verdicts) != cuts {
				t.Errorf("%d verdicts, want %d", len(s.verdicts), cuts)
			}
		})
	}
}

// TestProbesAreFew guards against connections that are paid for and show nothing: none while no
// connection fails, and few while upstreams are down.
func TestProbesAreFew(t *testing.T) {
	tests := map[string]struct {
		how                state
		is                 func(i int, u Upstream) bool
		upstreams, domains int
		// max is the number of probes in ten seconds, with 50 requests a second.
		max int
	}{
		"all work": {upstreams: 36, domains: 3, is: func(int, Upstream) bool { return false }},
		// Each request that fails may raise a suspicion; two probes end it.
		"one of 36 refuses":      {how: refuses, upstreams: 36, domains: 3, is: func(i int, _ Upstream) bool { return i == 0 }, max: 70},
		"one of 36 hangs":        {how: hangs, upstreams: 36, domains: 3, is: func(i int, _ Upstream) bool { return i == 0 }, max: 70},
		"a domain of three":      {how: hangs, upstreams: 36, domains: 3, is: func(_ int, u Upstream) bool { return u.Domain == "domain-0" }, max: 120},
		"half of 180, in no row": {how: refuses, upstreams: 180, domains: 7, is: func(i int, _ Upstream) bool { return i/7%2 == 0 }, max: 240},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newSite(seed, test.upstreams, test.domains)
				s.stateOf = affected(test.how, test.is, s.upstreams)
				s.run(10 * time.Second)
				if got := s.probeCount(); got > test.max {
					t.Errorf("seed %d: %d probes, want at most %d", seed, got, test.max)
				}
			}
		})
	}
}

// TestProbesOfWrongSuspicions guards against probes without bound while connections fail again and again
// beside others that are established.
func TestProbesOfWrongSuspicions(t *testing.T) {
	const (
		duration  = 10 * time.Second
		maxProbes = 2 * (int(duration/(300*time.Millisecond)) + 1)
	)
	s := newSite(6, 36, 3)
	count := 0
	for end := s.now + duration; s.now < end; s.now += tick {
		s.detector.Failed(s.now, s.upstreams[0].ID, s.upstreams[0].Domain)
		if probes := s.detector.Probes(s.now, s.upstreams); len(probes) > 0 {
			count += len(probes)
			s.detector.Connected()
		}
	}
	if count > maxProbes {
		t.Errorf("%d probes in %v, want at most %d", count, duration, maxProbes)
	}
}

// TestProbesWithoutOutcome guards against a cut that is never noticed, or never ends, since the outcome of a
// probe was lost, and against a verdict on one failure domain while nothing is known of the others.
func TestProbesWithoutOutcome(t *testing.T) {
	s := newSite(8, 1, 1)
	s.detector.Failed(s.now, s.upstreams[0].ID, s.upstreams[0].Domain)
	const seconds = 2
	count := 0
	for range seconds * int(time.Second/callInterval) {
		count += len(s.detector.Probes(s.now, s.upstreams))
		s.now += callInterval
	}
	if count < 4*seconds || count > 5*seconds {
		t.Errorf("%d probes in %d s to an upstream that is the only one, want four or five a second", count, seconds)
	}
	s = newSite(8, 60, 2)
	s.detector.Failed(s.now, s.upstreams[0].ID, s.upstreams[0].Domain)
	for range 10 * int(time.Second/callInterval) {
		for _, u := range s.detector.Probes(s.now, s.upstreams) {
			if u.Domain == s.upstreams[0].Domain {
				s.detector.Failed(s.now, u.ID, u.Domain)
			}
		}
		s.now += callInterval
	}
	if e := s.detector.Evidence(); s.detector.CutOff() || e.Failed < 16 || e.Domains != 1 {
		t.Errorf("cut off %t by %+v, want no verdict on one failure domain", s.detector.CutOff(), e)
	}
}

// TestProbesOfManyHosts guards against hosts that are cut off together and all probe the same upstreams.
func TestProbesOfManyHosts(t *testing.T) {
	for _, hosts := range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			const (
				upstreams = 84
				seconds   = 5
			)
			sum, total := map[registrar.UpstreamID]int{}, 0
			for host := range hosts {
				s := newSite(uint64(host), upstreams, 7)
				s.stateOf = affected(hangs, func(int, Upstream) bool { return true }, s.upstreams)
				s.run(seconds * time.Second)
				for id, n := range s.probes {
					sum[id] += n
					total += n
				}
			}
			if most := hosts * (maxEvidence + seconds*int(time.Second/cutInterval) + 5); total > most {
				t.Errorf("%d probes, want at most %d", total, most)
			}
			mean := float64(total) / upstreams
			for id, n := range sum {
				if float64(n) > 2*mean+3 {
					t.Errorf("%s gets %d probes, the mean is %.1f", id, n, mean)
				}
			}
		})
	}
}

// TestForgottenUpstreams guards against memory that grows with upstreams that come and go during a cut,
// and against a verdict by upstreams that have gone away.
func TestForgottenUpstreams(t *testing.T) {
	s := newSite(5, 30, 2)
	s.stateOf = affected(hangs, func(int, Upstream) bool { return true }, s.upstreams)
	s.run(500 * time.Millisecond)
	gone := s.upstreams
	s.upstreams = []Upstream{{ID: "new", Domain: "domain-0"}}
	s.requestInterval, s.attempts = 0, nil
	for range 3 {
		s.detector.Probes(s.now, s.upstreams)
		for _, u := range gone {
			s.detector.Failed(s.now, u.ID, u.Domain)
		}
	}
	if s.detector.CutOff() {
		t.Error("taken for cut off by upstreams that are not known any more")
	}
	if n := len(s.detector.probes); n > len(s.upstreams) {
		t.Errorf("%d upstreams are remembered, want at most %d", n, len(s.upstreams))
	}
}

func ExampleDetector() {
	d := NewDetector(rand.New(rand.NewPCG(1, 1)).IntN)
	known := []Upstream{{ID: "upstream-a", Domain: "domain-1"}, {ID: "upstream-b", Domain: "domain-2"}}
	now := time.Hour
	fmt.Println(len(d.Probes(now, known)), d.Suspected())
	d.Failed(now, "upstream-a", "domain-1")
	for !d.CutOff() {
		for _, u := range d.Probes(now, known) {
			d.Failed(now, u.ID, u.Domain)
		}
		now += 50 * time.Millisecond
	}
	fmt.Println(now-d.Evidence().Since < time.Second, d.Evidence().Failed, "of", d.Evidence().Known)
	d.Connected()
	fmt.Println(d.CutOff())
	// Output:
	// 0 false
	// true 2 of 2
	// false
}
