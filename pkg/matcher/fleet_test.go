package matcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	fleetStep = 10 * time.Millisecond
	// fleetPool is the pool of all streams.
	fleetPool = Pool("model/m")
	// recordBytes is the size of a record on the wire: stream, pool, version and framing.
	recordBytes = 48
)

type (
	// fleet simulates hosts that begin streams, control processes that keep their origins, and
	// upstreams of several versions. The versions are in a log, which outlasts all processes.
	fleet struct {
		t        *testing.T
		random   *rand.Rand
		now      time.Duration
		hosts    int
		controls []*Origins
		log      *History
		// upstreams holds the version of each upstream, "" for one that is being replaced.
		upstreams []registrar.Version
		open      []*fleetStream
		attempts  int

		begun, taken, continued, joined, eligible, records int
		memory                                             int
	}

	fleetStream struct {
		attempt string
		version registrar.Version
		host    int
		endsAt  time.Duration
		// takeUpAt is when its client takes it up, zero while it goes on.
		takeUpAt time.Duration
	}
)

func newFleet(t *testing.T, seed uint64, hosts, controls, upstreams int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, hosts: hosts, log: NewHistory(8)}
	for range controls {
		f.controls = append(f.controls, NewOrigins(time.Minute, 200_000))
	}
	for range upstreams {
		f.upstreams = append(f.upstreams, "v1")
	}
	f.log.Add(Origin{Pool: fleetPool, Version: "v1"})
	return f
}

// run runs the fleet for a time in which each host begins rate streams a second.
func (f *fleet) run(length time.Duration, rate float64) {
	for end := f.now + length; f.now < end; f.now += fleetStep {
		for host := range f.hosts {
			if f.random.Float64() < rate*fleetStep.Seconds() {
				f.begin(host)
			}
		}
		f.open = slices.DeleteFunc(f.open, func(s *fleetStream) bool {
			if s.takeUpAt > 0 && s.takeUpAt <= f.now {
				return !f.takeUp(s)
			}
			return s.takeUpAt == 0 && s.endsAt <= f.now
		})
		for _, o := range f.controls {
			f.memory = max(f.memory, o.Len())
		}
	}
}

// begin begins a stream: its origin is at two control processes before the first event is passed on.
func (f *fleet) begin(host int) {
	f.attempts++
	s := &fleetStream{
		attempt: fmt.Sprint(f.attempts), host: host, version: f.upstreams[f.random.IntN(len(f.upstreams))],
		endsAt: f.now + time.Second + time.Duration(f.random.Int64N(int64(4*time.Second))),
	}
	f.begun++
	f.record(s)
	f.open = append(f.open, s)
}

func (f *fleet) record(s *fleetStream) {
	near := s.host % len(f.controls)
	for _, control := range []int{near, (near + len(f.controls)/2) % len(f.controls)} {
		f.controls[control].Record(f.now, StreamOf(s.attempt, "acme"), Origin{Pool: fleetPool, Version: s.version})
		f.records++
	}
}

// takeUp takes up a stream at another host, and reports whether it goes on.
func (f *fleet) takeUp(s *fleetStream) bool {
	f.taken++
	serving := 0
	for _, v := range f.upstreams {
		if v == s.version {
			serving++
		}
	}
	if serving >= 2 {
		f.eligible++
	}
	answer := Answer{Complete: true}
	for _, o := range f.controls {
		if origin, known := o.Find(f.now, StreamOf(s.attempt, "acme")); known {
			answer.Origin, answer.Known = origin, true
		}
	}
	outcome, origin := Decide(answer, fleetPool, f.log.Of(fleetPool), true)
	if outcome != Continue || !slices.Contains(f.upstreams, origin.Version) {
		return false
	}
	if origin.Version != s.version {
		f.joined++
	}
	if serving >= 2 {
		f.continued++
	}
	s.host, s.takeUpAt = f.random.IntN(f.hosts), 0
	f.record(s)
	return true
}

// breakStreams breaks the streams of some hosts. Their clients take them up within a time.
func (f *fleet) breakStreams(share float64, within time.Duration) {
	for _, s := range f.open {
		if s.takeUpAt == 0 && float64(s.host) < share*float64(f.hosts) {
			s.takeUpAt = f.now + fleetStep + time.Duration(f.random.Int64N(int64(within)))
		}
	}
}

// release replaces a share of the upstreams by those of a version, which is committed before they
// serve.
func (f *fleet) release(version registrar.Version, share float64) {
	f.log.Add(Origin{Pool: fleetPool, Version: version})
	for i := range f.upstreams {
		if float64(i) < share*float64(len(f.upstreams)) {
			f.upstreams[i] = version
		}
	}
}

// loseControls makes control processes lose their memory.
func (f *fleet) loseControls(numbers ...int) {
	for _, n := range numbers {
		f.controls[n] = NewOrigins(time.Minute, 200_000)
	}
}

// TestFleetKeepsVersions guards against joined streams, and against streams that are refused
// though their version serves, at 2 to 194 hosts through releases and losses of processes.
func TestFleetKeepsVersions(t *testing.T) {
	const controls = 6
	all := []int{0, 1, 2, 3, 4, 5}
	tests := map[string]struct {
		events func(f *fleet)
		// goOn is the share of the streams that must go on of those taken up while two upstreams
		// of their version serve.
		goOn float64
	}{
		"release one by one, all hosts lost": {goOn: 1, events: func(f *fleet) {
			for share := 0.1; share < 1; share += 0.1 {
				f.release("v2", share)
				f.run(200*time.Millisecond, 2)
				f.breakStreams(1, time.Second)
			}
		}},
		"half at a time, and back": {goOn: 1, events: func(f *fleet) {
			for range 3 {
				f.release("v2", 0.5)
				f.breakStreams(1, 500*time.Millisecond)
				f.run(time.Second, 2)
				f.release("v1", 0.5)
				f.breakStreams(0.5, 3*time.Second)
				f.run(time.Second, 2)
			}
		}},
		"late take-ups": {goOn: 1, events: func(f *fleet) {
			f.release("v2", 0.5)
			f.run(2*time.Second, 2)
			f.breakStreams(1, 30*time.Second)
			f.run(30*time.Second, 0.1)
		}},
		"one control process lost": {goOn: 1, events: func(f *fleet) {
			f.release("v2", 0.5)
			f.run(2*time.Second, 2)
			f.loseControls(2)
			f.breakStreams(1, time.Second)
			f.run(2*time.Second, 2)
		}},
		"hosts and control processes lost together": {goOn: 0, events: func(f *fleet) {
			f.release("v2", 0.5)
			f.run(2*time.Second, 2)
			f.loseControls(all...)
			f.breakStreams(1, time.Second)
			f.run(2*time.Second, 2)
		}},
		"hosts and control processes lost together, one version": {goOn: 1, events: func(f *fleet) {
			f.run(2*time.Second, 2)
			f.loseControls(all...)
			f.breakStreams(1, time.Second)
			f.run(2*time.Second, 2)
		}},
		"all lost just after a release": {goOn: 0, events: func(f *fleet) {
			f.run(2*time.Second, 2)
			f.release("v2", 1)
			f.loseControls(all...)
			f.breakStreams(1, time.Second)
			f.run(2*time.Second, 2)
		}},
	}
	for name, test := range tests {
		for _, hosts := range []int{2, 7, 88, 194} {
			t.Run(fmt.Sprintf("%s/%d", name, hosts), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, uint64(hosts), hosts, controls, 20)
				f.run(time.Second, 2)
				start := f.now
				test.events(f)
				f.run(10*time.Second, 0)
				bytes := float64(f.records) * recordBytes / float64(hosts) / (f.now - start).Seconds()
				t.Logf("%d begun, %d taken up, %d of %d go on, %d joined; %.0f bytes a second from each host, %d streams at a control process",
					f.begun, f.taken, f.continued, f.eligible, f.joined, bytes, f.memory)
				if f.joined > 0 {
					t.Errorf("%d streams were joined", f.joined)
				}
				if float64(f.continued) < test.goOn*float64(f.eligible) {
					t.Errorf("%d of %d streams go on, want a share of %.2f", f.continued, f.eligible, test.goOn)
				}
			})
		}
	}
}

// BenchmarkOrigins measures what a control process takes for the streams of the two-year size: 9,500 a
// second, two copies of each, 28 control processes.
func BenchmarkOrigins(b *testing.B) {
	const perSecond = 2 * 9500 / 28
	o := NewOrigins(time.Minute, 200_000)
	now := time.Hour
	for i := range b.N {
		now += time.Second / perSecond
		o.Record(now, StreamOf(fmt.Sprint(i), "acme"), Origin{Pool: fleetPool, Version: "v1"})
	}
	b.ReportMetric(float64(o.Len()), "streams")
}
