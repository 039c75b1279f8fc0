package diverter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// callInterval is the time between two calls of Probes, connectTimeout that after which a
	// connection attempt that hangs fails, maxVerdictTime the bound from the first failure to the
	// verdict, maxReturnTime that from the end of a cut to its recognition.
	callInterval   = 50 * time.Millisecond
	connectTimeout = 300 * time.Millisecond
	maxVerdictTime = time.Second
	maxReturnTime  = time.Second
	// connectTime is the time in which a connection is established or refused.
	connectTime = 5 * time.Millisecond
	// tick is the resolution of the model.
	tick = 5 * time.Millisecond
)

const (
	works state = iota
	refuses
	hangs
)

type (
	// state is how connections to an upstream end.
	state int

	// site is a model of a host with upstreams.
	site struct {
		detector  *Detector
		random    *rand.Rand
		upstreams []Upstream
		// stateOf returns how connections that begin or hang now end.
		stateOf func(now time.Duration, u Upstream) state
		// attempts are connection attempts in progress.
		attempts []attempt
		now      time.Duration
		// calledAt is when Probes was last called, requestAt when a request last connected.
		calledAt, requestAt time.Duration
		// requestInterval is the time between two requests that need a new connection, zero for none.
		requestInterval time.Duration

		// probes is the number of probes to each upstream, verdicts are when the host was found cut off,
		// returns when it was found not to be any more.
		probes           map[registrar.UpstreamID]int
		verdicts         []time.Duration
		returns          []time.Duration
		failedAt         time.Duration
		wasCutOff        bool
		wasFailing       bool
		probesAtFirstCut int
	}

	attempt struct {
		to Upstream
		at time.Duration
	}
)

// newSite returns a host with upstreams that are spread over failure domains and all work.
func newSite(seed uint64, upstreams, domains int) *site {
	random := rand.New(rand.NewPCG(seed, uint64(upstreams)))
	s := &site{
		detector: NewDetector(random.IntN), random: random, now: time.Hour, calledAt: time.Hour,
		stateOf:         func(time.Duration, Upstream) state { return works },
		probes:          map[registrar.UpstreamID]int{},
		requestInterval: 20 * time.Millisecond,
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("upstream-", i)), Domain: registrar.FailureDomain(fmt.Sprint("domain-", i%domains)),
		})
	}
	return s
}

// run lets time pass.
func (s *site) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += tick {
		s.endAttempts()
		if s.requestInterval > 0 && s.now-s.requestAt >= s.requestInterval {
			s.requestAt = s.now
			s.attempts = append(s.attempts, attempt{to: s.upstreams[s.random.IntN(len(s.upstreams))], at: s.now})
		}
		if s.now-s.calledAt >= callInterval {
			s.calledAt = s.now
			for _, u := range s.detector.Probes(s.now, s.upstreams) {
				s.probes[u.ID]++
				s.attempts = append(s.attempts, attempt{to: u, at: s.now})
			}
		}
		s.observe()
	}
}

// endAttempts ends the connection attempts that are over.
func (s *site) endAttempts() {
	remaining := s.attempts[:0]
	for _, a := range s.attempts {
		age := s.now - a.at
		switch how := s.stateOf(s.now, a.to); {
		case how == works && age >= connectTime:
			s.wasFailing = false
			s.detector.Connected()
		case how == refuses && age >= connectTime, age >= connectTimeout:
			if !s.wasFailing {
				s.wasFailing, s.failedAt = true, s.now
			}
			s.detector.Failed(s.now, a.to.ID, a.to.Domain)
		default:
			remaining = append(remaining, a)
		}
	}
	s.attempts = remaining
}

func (s *site) observe() {
	if cutOff := s.detector.CutOff(); cutOff != s.wasCutOff {
		s.wasCutOff = cutOff
		if cutOff {
			s.verdicts = append(s.verdicts, s.now-s.failedAt)
			s.probesAtFirstCut = max(s.probesAtFirstCut, s.probeCount())
		} else {
			s.returns = append(s.returns, s.now)
		}
	}
}

func (s *site) probeCount() int {
	count := 0
	for _, n := range s.probes {
		count += n
	}
	return count
}

// affected returns how the connections to some upstreams end.
func affected(how state, is func(i int, u Upstream) bool, upstreams []Upstream) func(time.Duration, Upstream) state {
	chosen := map[registrar.UpstreamID]bool{}
	for i, u := range upstreams {
		chosen[u.ID] = is(i, u)
	}
	return func(_ time.Duration, u Upstream) state {
		if chosen[u.ID] {
			return how
		}
		return works
	}
}
