package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/schema/settings"
)

type (
	// fakePlatform stands for the users' platform: it records orders and usage reports, and can fail or delay its responses.
	fakePlatform struct {
		t      *testing.T
		server *httptest.Server

		mu      sync.Mutex
		reports map[string][][]byte
		// orders holds the orders in the order of their arrival.
		orders []platformOrder
		// fencingNumbers holds those of all orders and reports in the order of their arrival.
		fencingNumbers []uint64
		// failing makes it respond with an error after it has recorded a request.
		failing bool
		// hold delays responses until it is closed.
		hold chan struct{}
		// onStart is called with each new start order.
		onStart func(platformOrder)
	}

	platformOrder struct {
		OrderID       string `json:"orderId"`
		FencingNumber uint64 `json:"fencingNumber"`
		FailureDomain string `json:"failureDomain"`
		Action        string `json:"action"`
		Upstream      string `json:"upstream"`
		Serves        string `json:"serves"`
		Preemptible   bool   `json:"preemptible"`
	}
)

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{t: t, reports: map[string][][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /usage", p.handleReport)
	mux.HandleFunc("POST /orders", p.handleOrder)
	p.server = httptest.NewServer(mux)
	t.Cleanup(p.server.Close)
	return p
}

func (p *fakePlatform) adjustSettings(window time.Duration) func(*settings.Settings) {
	return func(s *settings.Settings) {
		s.Control.Reporting = &settings.Reporting{
			Url: p.server.URL + "/usage", Window: durationpb.New(window), Settle: durationpb.New(3 * time.Second),
		}
		s.Control.Ordering = &settings.Ordering{
			Url: p.server.URL + "/orders", Interval: durationpb.New(200 * time.Millisecond),
			Timeout: durationpb.New(electionTimeout / 4), StartUp: durationpb.New(20 * time.Second),
		}
	}
}

func (p *fakePlatform) handleReport(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	p.mu.Lock()
	p.recordFencingNumber(r)
	number := r.Header.Get("Comfreybend-Report-Window")
	p.reports[number] = append(p.reports[number], body)
	p.mu.Unlock()
	p.respond(w, r)
}

func (p *fakePlatform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order platformOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		p.t.Errorf("order: %v", err)
	}
	p.mu.Lock()
	p.recordFencingNumber(r)
	known := false
	for _, earlier := range p.orders {
		known = known || earlier.OrderID == order.OrderID
	}
	p.orders = append(p.orders, order)
	started := p.onStart
	p.mu.Unlock()
	if !known && order.Action == "start" && started != nil {
		started(order)
	}
	p.respond(w, r)
}

func (p *fakePlatform) recordFencingNumber(r *http.Request) {
	fence, err := strconv.ParseUint(r.Header.Get("Comfreybend-Fencing-Number"), 10, 64)
	if err != nil {
		p.t.Errorf("fencing number: %v", err)
	}
	p.fencingNumbers = append(p.fencingNumbers, fence)
}

// checkFencingNumbers fails the test if a fencing number arrived after a higher one:
// nothing of a former lease holder may arrive after its successor has begun.
func (p *fakePlatform) checkFencingNumbers() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 1; i < len(p.fencingNumbers); i++ {
		if p.fencingNumbers[i] < p.fencingNumbers[i-1] {
			p.t.Errorf("fencing number %d arrived after %d", p.fencingNumbers[i], p.fencingNumbers[i-1])
		}
	}
}

// highestFencingNumber returns the highest fencing number that arrived.
func (p *fakePlatform) highestFencingNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var highest uint64
	for _, f := range p.fencingNumbers {
		highest = max(highest, f)
	}
	return highest
}

func (p *fakePlatform) respond(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	failing, hold := p.failing, p.hold
	p.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (p *fakePlatform) setResponses(failing bool, hold chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = failing
	p.hold = hold
}

// reportedWindows returns the numbers of the reported windows.
func (p *fakePlatform) reportedWindows() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for number := range p.reports {
		out = append(out, number)
	}
	return out
}

func (p *fakePlatform) receivedOrders() []platformOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]platformOrder(nil), p.orders...)
}

// reportedTotals returns the sums of calls and output tokens over all reported windows.
func (p *fakePlatform) reportedTotals() (calls, tokens uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sends := range p.reports {
		var report keeper.ReportBody
		if err := json.Unmarshal(sends[0], &report); err != nil {
			p.t.Fatal(err)
		}
		for _, row := range report.Rows {
			calls += row.Calls
			tokens += row.TokensOut
		}
	}
	return calls, tokens
}

// reportedCalls returns the sum of an organisation's calls over all reported windows.
func (p *fakePlatform) reportedCalls(organisation string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls uint64
	for _, sends := range p.reports {
		var report keeper.ReportBody
		if err := json.Unmarshal(sends[0], &report); err != nil {
			p.t.Fatal(err)
		}
		for _, row := range report.Rows {
			if row.Organisation == organisation {
				calls += row.Calls
			}
		}
	}
	return calls
}

// quietWindows is the number of windows without new calls after which all earlier
// calls count as reported. It exceeds the delay of a report, counted in windows.
const quietWindows = 4

// awaitTotals waits until all earlier calls have been reported and returns the sums.
func (p *fakePlatform) awaitTotals() (calls, tokens uint64) {
	p.t.Helper()
	var (
		before uint64
		since  int
	)
	eventually(p.t, waitTimeout, func() error {
		calls, tokens = p.reportedTotals()
		windows := len(p.reportedWindows())
		if calls == 0 || calls != before {
			before, since = calls, windows
		}
		if calls == 0 || windows < since+quietWindows {
			return fmt.Errorf("%d calls are reported, %d windows since then had no new ones", calls, windows-since)
		}
		return nil
	})
	return calls, tokens
}

// lateCalls returns the sum of the calls in rows that are marked late.
func (p *fakePlatform) lateCalls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls uint64
	for _, sends := range p.reports {
		var report keeper.ReportBody
		if err := json.Unmarshal(sends[0], &report); err != nil {
			p.t.Fatal(err)
		}
		for _, row := range report.Rows {
			if row.Late {
				calls += row.Calls
			}
		}
	}
	return calls
}

// checkReports fails the test if a window was reported with different contents, or if
// windows overlap or leave a gap.
func (p *fakePlatform) checkReports() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var end int64
	for n := 1; n <= len(p.reports); n++ {
		sends := p.reports[strconv.Itoa(n)]
		if len(sends) == 0 {
			p.t.Fatalf("window %d is missing", n)
		}
		for _, again := range sends[1:] {
			if !bytes.Equal(again, sends[0]) {
				p.t.Errorf("window %d was reported as %s and as %s", n, sends[0], again)
			}
		}
		var report keeper.ReportBody
		if err := json.Unmarshal(sends[0], &report); err != nil {
			p.t.Fatal(err)
		}
		if n > 1 && report.StartMillis != end || report.EndMillis <= report.StartMillis {
			p.t.Errorf("window %d runs from %d to %d after %d", n, report.StartMillis, report.EndMillis, end)
		}
		end = report.EndMillis
	}
}

// TestUsageReports guards against usage that is lost, counted twice or reported with
// different figures. Requests run while the platform fails and delays its responses,
// and while the leader is frozen, thawed and killed: every window must have one set
// of figures, and the sums must be what clients received.
func TestUsageReports(t *testing.T) {
	p := newFakePlatform(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustControl: p.adjustSettings(time.Second)})
	s.configure()
	for _, e := range s.entries {
		s.startUpstream("engine-"+e.domain, e.domain, "model", "m", []*entryProcess{e}, "--token-interval", "1ms")
	}
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)

	var calls, tokens uint64
	sendRequests := func(duration time.Duration) {
		for start := time.Now(); time.Since(start) < duration; {
			for _, e := range s.entries {
				if a := e.complete(key.Key, 7); a.status == http.StatusOK && a.err == nil {
					calls++
					tokens += 7
				}
			}
		}
	}
	base, baseTokens := p.awaitTotals()

	sendRequests(2 * time.Second)
	p.setResponses(true, nil)
	sendRequests(2 * time.Second)
	p.setResponses(false, nil)
	hold := make(chan struct{})
	p.setResponses(false, hold)
	sendRequests(time.Second)
	old := s.leader()
	old.freeze()
	sendRequests(3 * time.Second)
	close(hold)
	p.setResponses(false, nil)
	old.thaw()
	sendRequests(2 * time.Second)
	s.leader().kill()
	sendRequests(2 * time.Second)
	for _, c := range s.controls {
		select {
		case <-c.hasExited():
			c.start()
		default:
		}
	}
	eventually(t, waitTimeout, func() error {
		gotCalls, gotTokens := p.reportedTotals()
		if gotCalls != base+calls || gotTokens != baseTokens+tokens {
			return fmt.Errorf("reported %d calls and %d tokens, clients got %d and %d",
				gotCalls-base, gotTokens-baseTokens, calls, tokens)
		}
		return nil
	})
	p.checkReports()
	p.checkFencingNumbers()
}

// TestUsageOfPartitionedDomain guards against usage of a partitioned domain that is
// lost or counted twice. The domain serves an open route for several windows without
// a link to the control processes: its calls must be reported once, in later windows
// and marked late.
func TestUsageOfPartitionedDomain(t *testing.T) {
	p := newFakePlatform(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustControl: p.adjustSettings(time.Second)})
	s.configure()
	isolated := s.entries[1]
	s.startUpstream("orders-b", "b", "service", "orders", []*entryProcess{isolated})
	key := s.grant("one")
	s.awaitKey(key.Key, isolated)
	base, _ := p.awaitTotals()
	if late := p.lateCalls(); late != 0 {
		t.Errorf("%d calls are marked late although there was no partition", late)
	}
	for _, c := range s.controls {
		s.network.partition(isolated.id, c.id)
	}
	var calls uint64
	windows := len(p.reportedWindows())
	eventually(t, waitTimeout, func() error {
		if a := isolated.get("/public/x", ""); a.status == http.StatusOK {
			calls++
		}
		if passed := len(p.reportedWindows()) - windows; passed < 8 {
			return fmt.Errorf("%d windows have passed", passed)
		}
		return nil
	})
	for _, c := range s.controls {
		s.network.heal(isolated.id, c.id)
	}
	eventually(t, waitTimeout, func() error {
		if got, _ := p.reportedTotals(); got != base+calls {
			return fmt.Errorf("%d calls reported, %d were made", got-base, calls)
		}
		return nil
	})
	if late := p.lateCalls(); late != calls {
		t.Errorf("%d of %d calls are marked late", late, calls)
	}
	p.checkReports()
}

// TestScalingOrders guards against pools that are not scaled with their load. Requests
// saturate a pool until the lease holder orders an upstream; then the pool idles
// until the lease holder orders to stop one.
func TestScalingOrders(t *testing.T) {
	p := newFakePlatform(t)
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}, adjustControl: p.adjustSettings(time.Minute)})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.startUpstream("engine-1", "a", "model", "m", s.entries, "--slots", "2", "--token-interval", "50ms")
	p.mu.Lock()
	p.onStart = func(o platformOrder) {
		flags := []string{"--slots", "2", "--token-interval", "50ms"}
		if o.Preemptible {
			flags = append(flags, "--preemptible")
		}
		s.startUpstream("ordered-"+o.OrderID[:8], o.FailureDomain, "model", "m", s.entries, flags...)
	}
	p.mu.Unlock()
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)

	const tokens = 60
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() { checkTokens(t, e.complete(key.Key, tokens), tokens) })
	}
	eventually(t, waitTimeout, func() error {
		for _, o := range p.receivedOrders() {
			if o.Action == "start" && o.Serves == "model/m" && o.FailureDomain == "a" && o.FencingNumber > 0 {
				return nil
			}
		}
		return fmt.Errorf("no start order: %v", p.receivedOrders())
	})
	wait.Wait()
	eventually(t, waitTimeout, func() error {
		for _, o := range p.receivedOrders() {
			if o.Action == "stop" && o.Upstream != "" {
				return nil
			}
		}
		return fmt.Errorf("no stop order: %v", p.receivedOrders())
	})
}

// TestFrozenLeaderSendsNoOrder guards against orders of a former lease holder. The
// leader is frozen while an order waits for its response. Its successor must send
// the order again under the same ID, and the old leader, once thawed, must send
// nothing more: fencing numbers must arrive in ascending order.
func TestFrozenLeaderSendsNoOrder(t *testing.T) {
	p := newFakePlatform(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}, adjustControl: p.adjustSettings(time.Minute)})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.startUpstream("engine-1", "a", "model", "m", s.entries, "--slots", "2", "--token-interval", "100ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	hold := make(chan struct{})
	p.setResponses(false, hold)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 8 {
		go e.do(ctx, http.MethodPost, "/v1/chat/completions", key.Key, completionBody(400))
	}
	eventually(t, waitTimeout, func() error {
		if len(p.receivedOrders()) == 0 {
			return fmt.Errorf("no order yet")
		}
		return nil
	})
	old := s.leader()
	old.freeze()
	first := p.receivedOrders()[0]
	eventually(t, waitTimeout, func() error {
		for _, o := range p.receivedOrders() {
			if o.OrderID == first.OrderID && o.FencingNumber > first.FencingNumber {
				return nil
			}
		}
		return fmt.Errorf("the successor has not sent order %s again", first.OrderID)
	})
	old.thaw()
	close(hold)
	p.setResponses(false, nil)
	settled := len(p.receivedOrders())
	eventually(t, waitTimeout, func() error {
		if len(p.receivedOrders()) < settled+1 {
			return fmt.Errorf("no order after the thaw yet")
		}
		return nil
	})
	p.checkFencingNumbers()
}

// TestPartitionedLeaderStopsReporting guards against two processes that report at the
// same time. The leader is partitioned from the other control processes but not from
// the platform: nothing of it may arrive after its successor has begun.
func TestPartitionedLeaderStopsReporting(t *testing.T) {
	p := newFakePlatform(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}, adjustControl: p.adjustSettings(200 * time.Millisecond)})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	for range 2 {
		before := p.highestFencingNumber()
		eventually(t, waitTimeout, func() error {
			e.get("/orders/x", key.Key)
			if p.highestFencingNumber() == 0 {
				return fmt.Errorf("no report yet")
			}
			return nil
		})
		old := s.leader()
		for _, c := range s.controls {
			if c != old {
				s.network.partition(old.id, c.id)
			}
		}
		eventually(t, waitTimeout, func() error {
			e.get("/orders/x", key.Key)
			if p.highestFencingNumber() <= before {
				return fmt.Errorf("no report of a successor yet")
			}
			return nil
		})
		for _, c := range s.controls {
			if c != old {
				s.network.heal(old.id, c.id)
			}
		}
	}
	p.checkFencingNumbers()
	p.checkReports()
}

// TestAlignedUsageReports guards against control processes that end when aligned windows are set
// without a dialect, and against counts that are not reported then.
func TestAlignedUsageReports(t *testing.T) {
	const window = time.Second
	p := newFakePlatform(t)
	adjust := p.adjustSettings(window)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustControl: func(s *settings.Settings) {
		adjust(s)
		s.Control.AlignedWindow, s.Control.AlignedSettle = durationpb.New(window), durationpb.New(window)
	}, adjustEntry: func(s *settings.Settings) { s.Entry.AlignedWindow = durationpb.New(window) }})
	s.configure()
	for _, e := range s.entries {
		s.startUpstream("engine-"+e.domain, e.domain, "model", "m", []*entryProcess{e}, "--token-interval", "1ms")
	}
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	counted := s.grant("two")
	s.awaitKey(s.grant("one").Key, s.entries...)
	const calls = 20
	for n := range calls {
		if a := s.entries[n%len(s.entries)].complete(counted.Key, 3); a.status != http.StatusOK {
			t.Fatalf("status %d, body %s", a.status, a.body)
		}
	}
	eventually(t, waitTimeout, func() error {
		if got := p.reportedCalls("two"); got != calls {
			return fmt.Errorf("%d calls are reported, clients got %d responses", got, calls)
		}
		return nil
	})
}
