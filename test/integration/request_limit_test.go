package integration

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
)

const (
	// requestLimitWindow is the time over which the requests at an upstream are compared with
	// requestLimitFactor times its limit and requestLimitMargin more.
	requestLimitWindow = 4 * time.Second
	requestLimitFactor = 1.5
	requestLimitMargin = 5
	// requestLimitDelay is the time from the first response that names a limit to that from which
	// all hosts must keep to it.
	requestLimitDelay = 3 * time.Second
)

// mostArrivals returns the largest number of arrivals, in Unix milliseconds, in any
// requestLimitWindow that begins at or after a time.
func mostArrivals(arrivals []int64, after time.Time) int {
	arrivals = slices.Clone(arrivals)
	slices.Sort(arrivals)
	most, first := 0, 0
	for last, at := range arrivals {
		for at-arrivals[first] > requestLimitWindow.Milliseconds() || arrivals[first] < after.UnixMilli() {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

// askAll sends requests to all entry processes at even intervals for a time, and returns how many
// were sent and how many were answered.
func (s *system) askAll(path string, interval, length time.Duration) (sent, answered int) {
	var (
		wait sync.WaitGroup
		mu   sync.Mutex
	)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for begin := time.Now(); time.Since(begin) < length; <-ticker.C {
		e := s.entries[sent%len(s.entries)]
		sent++
		wait.Go(func() {
			if a := e.get(path, ""); a.err == nil && a.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	wait.Wait()
	return sent, answered
}

// TestRequestLimitHoldsOverAllHosts guards against an upstream that names a request limit and
// gets more than that from all entry processes together.
func TestRequestLimitHoldsOverAllHosts(t *testing.T) {
	const (
		limit    = 1
		interval = 25 * time.Millisecond
		length   = 6 * time.Second
	)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a", "a", "b", "b", "b"}})
	s.configure()
	var upstreams []*upstreamProcess
	for i := range 4 {
		upstreams = append(upstreams, s.startUpstream(fmt.Sprintf("orders-%d", i+1), string(rune('a'+i%2)), "service", "orders", s.entries))
	}
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return checkStatus(e.get("/public/x", ""), http.StatusOK) })
	}
	limited := upstreams[0]
	limited.setFaults(t, emulator.InjectedFaults{RequestLimit: fmt.Sprint(limit)})
	s.askAll("/public/x", interval, requestLimitDelay)
	from := time.Now()
	sent, answered := s.askAll("/public/x", interval, length)
	most := mostArrivals(limited.stats(t).Arrivals, from)
	t.Logf("%d requests sent, %d answered, at most %d in %v at the upstream with the limit", sent, answered, most, requestLimitWindow)
	if allowed := requestLimitFactor*limit*requestLimitWindow.Seconds() + requestLimitMargin; float64(most) > allowed {
		t.Errorf("%d requests in %v at an upstream that takes %d a second, want at most %.0f", most, requestLimitWindow, limit, allowed)
	}
	if answered < sent {
		t.Errorf("%d of %d requests were not answered although other upstreams had room", sent-answered, sent)
	}
	for _, e := range s.entries {
		e.checkLog()
	}

	limited.setFaults(t, emulator.InjectedFaults{})
	// The entry processes in its domain have no other upstream there.
	upstreams[2].terminate()
	eventually(t, waitTimeout, func() error {
		begin := time.Now()
		s.askAll("/public/x", interval, requestLimitDelay)
		if n := mostArrivals(limited.stats(t).Arrivals, begin); n <= 2*requestLimitMargin {
			return fmt.Errorf("%d requests in %v after the limit ended", n, requestLimitDelay)
		}
		return nil
	})
}
