package integration

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
)

const (
	crashingPath = "/public/deadly"
	// requestCrashesAllowed is the number of upstreams that may end under a request before all
	// processes must know, and maxLateRequests that of those that it may reach later than
	// isolationTime after that.
	requestCrashesAllowed = 3
	maxLateRequests       = 3
)

// TestCrashingRequest guards against a request that comes again at any entry process and ends one
// upstream after the other, and against other requests of the same caller and route that are
// refused because of it.
func TestCrashingRequest(t *testing.T) {
	const (
		upstreams    = 4
		stepInterval = 100 * time.Millisecond
		length       = 12 * time.Second
	)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a", "b", "b"}})
	s.configure()
	f := &crashingFleet{t: t, system: s, endedAt: map[*upstreamProcess]time.Time{}}
	for i := range upstreams {
		f.engines = append(f.engines, s.startUpstream(fmt.Sprintf("orders-%d", i+1), string(rune('a'+i%2)), "service", "orders", s.entries, "--crash-on", "deadly"))
	}
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return checkStatus(e.get("/public/sound", ""), http.StatusOK) })
	}
	var sound, refused atomic.Int64
	pace := time.NewTicker(stepInterval)
	defer pace.Stop()
	for n, begin := 0, time.Now(); time.Since(begin) < length; n++ {
		e := s.entries[n%len(s.entries)]
		f.wait.Go(func() { e.get(crashingPath, "") })
		f.wait.Go(func() {
			sound.Add(1)
			// A popular request that is the same each time, and one of its own.
			for _, path := range []string{"/public/popular", fmt.Sprintf("/public/sound-%d", n)} {
				if a := e.get(path, ""); a.status == http.StatusUnprocessableEntity {
					refused.Add(1)
				}
			}
		})
		f.restart()
		<-pace.C
	}
	f.wait.Wait()
	f.restart()
	late := 0
	for n, at := range f.crashes {
		if n >= requestCrashesAllowed && at.Sub(f.crashes[requestCrashesAllowed-1]) > isolationTime {
			late++
		}
	}
	t.Logf("%d upstreams ended, %d of them late; %d other requests refused of %d", len(f.crashes), late, refused.Load(), sound.Load())
	if late > maxLateRequests {
		t.Errorf("%d upstreams ended more than %v after the third, at most %d may", late, isolationTime, maxLateRequests)
	}
	if refused.Load() > 0 {
		t.Errorf("%d other requests got a final refusal", refused.Load())
	}
	eventually(t, waitTimeout, func() error {
		if f.restart(); len(f.endedAt) > 0 {
			return errors.New("an upstream is down")
		}
		return nil
	})
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return checkStatus(e.get("/public/popular", ""), http.StatusOK) })
		a := e.get(crashingPath, "")
		if a.status != http.StatusUnprocessableEntity || a.run() != translator.NotRun {
			t.Errorf("%s answers the request with %d, run %q; want a final refusal, not run", e.id, a.status, a.run())
		}
		e.checkLog()
	}
}

// TestHeldRequestOutlivesAllProcesses guards against a held request that ends upstreams again after
// all processes have lost power at once.
func TestHeldRequestOutlivesAllProcesses(t *testing.T) {
	const upstreams = 4
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	f := &crashingFleet{t: t, system: s, endedAt: map[*upstreamProcess]time.Time{}}
	for i := range upstreams {
		f.engines = append(f.engines, s.startUpstream(fmt.Sprintf("orders-%d", i+1), string(rune('a'+i%2)), "service", "orders", s.entries, "--crash-on", "deadly"))
	}
	checkHeld := func(e *entryProcess) error {
		if a := e.get(crashingPath, ""); a.status != http.StatusUnprocessableEntity || a.run() != translator.NotRun {
			return fmt.Errorf("%s answers the request with %d, run %q; want a final refusal, not run", e.id, a.status, a.run())
		}
		return nil
	}
	checkServed := func(e *entryProcess) error { return checkStatus(e.get("/public/popular", ""), http.StatusOK) }
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return checkServed(e) })
	}
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error {
			f.restart()
			return checkHeld(e)
		})
	}
	eventually(t, waitTimeout, func() error {
		if f.restart(); len(f.endedAt) > 0 {
			return errors.New("an upstream is down")
		}
		return nil
	})
	ended := len(f.crashes)
	for _, c := range s.controls {
		c.kill()
	}
	for _, e := range s.entries {
		e.kill()
	}
	for _, c := range s.controls {
		c.start()
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return checkServed(e) })
		if err := checkHeld(e); err != nil {
			t.Error(err)
		}
	}
	if f.restart(); len(f.crashes) > ended {
		t.Errorf("%d upstreams ended under the request after the restart", len(f.crashes)-ended)
	}
}
