package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// cutoffContact is the time after the beginning of a cut from which on clients must be served.
	cutoffContact = 3 * time.Second
	cutoffLength  = 6 * time.Second
	// cutoffMargin is the time for which the load goes on before and after a cut.
	cutoffMargin = time.Second
	// cutoffPause is the time between two requests of a client.
	cutoffPause          = 200 * time.Millisecond
	cutoffRequestTimeout = 1500 * time.Millisecond
	cutoffConnectTimeout = 300 * time.Millisecond
	cutoffTokens         = 10
	// cutoffShare is the least share of the first tries served at entry processes that are cut off,
	// in relation to that at the others.
	cutoffShare = 2.0 / 3
	// cutoffOthersShare is the least share served at the others.
	cutoffOthersShare = 0.9
	// cutoffPeriod is the length of the periods for which shares are printed.
	cutoffPeriod = 500 * time.Millisecond
)

// Kinds of requests.
const (
	tryOrder  tryKind = "order"
	tryLookUp tryKind = "look-up"
	tryStream tryKind = "stream"
)

type (
	tryKind string

	// try is a client's first try of a request.
	try struct {
		kind      tryKind
		entry     int
		reference string
		began     time.Time
		took      time.Duration
		served    bool
		// outcome says how the try ended.
		outcome string
		run     translator.RunStatus
	}

	// cutoff is a system with entry processes that can be cut off from all upstreams, under load.
	cutoff struct {
		*system
		key      string
		services []*upstreamProcess
		// paths holds the paths of each entry process, by its index.
		paths map[int][]*path

		mu    sync.Mutex
		tries []*try
	}
)

func cutoffSettings(s *settings.Settings) {
	useOwnAddresses(s)
	allowRetries(s)
	s.Entry.UpstreamLimits = &settings.UpstreamLimits{ConnectTimeout: durationpb.New(cutoffConnectTimeout)}
}

// newCutoff starts a system with an entry process in each of the given failure domains, and upstreams in two.
func newCutoff(t *testing.T, controls int, domains ...string) *cutoff {
	c := &cutoff{
		system: startSystem(t, layout{controls: controls, entries: domains, adjustEntry: cutoffSettings}),
		paths:  map[int][]*path{},
	}
	c.configure()
	for _, domain := range []string{"a", "b"} {
		for i := range 2 {
			_, paths := c.startReachable(fmt.Sprintf("engine-%s-%d", domain, i), domain, "model", "m",
				"--slots", "64", "--token-interval", "10ms", "--first-token", "20ms")
			c.addPaths(paths)
		}
		service, paths := c.startReachable("orders-"+domain, domain, "service", "orders")
		c.services = append(c.services, service)
		c.addPaths(paths)
	}
	c.key = c.grant("one").Key
	c.awaitKey(c.key, c.entries...)
	for _, e := range c.entries {
		c.awaitCompletion(e, c.key)
	}
	return c
}

func (c *cutoff) addPaths(paths []*path) {
	for i, p := range paths {
		c.paths[i] = append(c.paths[i], p)
	}
}

// send sends requests at each entry process, at a steady pace, until ctx is done, and waits for them.
func (c *cutoff) send(ctx context.Context) {
	var running sync.WaitGroup
	for i := range c.entries {
		for _, kind := range []tryKind{tryOrder, tryLookUp, tryStream} {
			for _, kept := range []bool{false, true} {
				running.Go(func() { c.runClient(ctx, i, kind, kept) })
			}
		}
	}
	running.Wait()
}

// runClient sends requests of one kind, on kept connections or on new ones.
func (c *cutoff) runClient(ctx context.Context, entry int, kind tryKind, kept bool) {
	transport := &http.Transport{DisableKeepAlives: !kept}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; timer.Sleep(ctx, cutoffPause); n++ {
		reference := fmt.Sprintf("cutoff-%d-%t-%d", entry, kept, n)
		running.Go(func() { c.try(transport, entry, kind, reference) })
	}
}

// try sends one request and records how it ended.
func (c *cutoff) try(transport *http.Transport, entry int, kind tryKind, reference string) {
	method, path, body := http.MethodPost, "/orders", fmt.Sprintf(`{"reference":%q}`, reference)
	switch kind {
	case tryLookUp:
		method, path, body = http.MethodGet, "/orders/none", ""
	case tryStream:
		path, body = "/v1/chat/completions", completionBody(cutoffTokens)
	case tryOrder:
	}
	ctx, cancel := context.WithTimeout(context.Background(), cutoffRequestTimeout)
	defer cancel()
	x := &try{kind: kind, entry: entry, reference: reference, began: time.Now()}
	defer func() {
		x.took = time.Since(x.began)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tries = append(c.tries, x)
	}()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.entries[entry].clientAddress+path, strings.NewReader(body))
	if err != nil {
		x.outcome = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		x.outcome = "no response"
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	x.run = translator.RunStatus(response.Header.Get(translator.HeaderRun))
	x.outcome = fmt.Sprintf("%d %s", response.StatusCode, x.run)
	if err != nil {
		x.outcome += " cut off"
		return
	}
	x.served = response.StatusCode == http.StatusOK
	if kind == tryStream && x.served {
		tokens := strings.Count(string(data), `"delta"`)
		x.served = tokens >= cutoffTokens && strings.Contains(string(data), "data: [DONE]")
		if !x.served && !strings.Contains(string(data), "event: error") {
			c.t.Errorf("a stream at entry process %d ended cleanly with %d of %d tokens", entry, tokens, cutoffTokens)
		}
	}
}

// run cuts entry processes off from all upstreams under load, and checks what clients got. during is
// called when the cut has begun.
func (c *cutoff) run(fault pathFault, during func(), cut ...int) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(c.t.Context())
	var load sync.WaitGroup
	load.Go(func() { c.send(ctx) })
	timer.Sleep(ctx, cutoffMargin)
	began := time.Now()
	for _, i := range cut {
		for _, p := range c.paths[i] {
			p.cut(fault)
		}
	}
	during()
	timer.Sleep(ctx, time.Until(began.Add(cutoffLength)))
	ended := time.Now()
	for _, i := range cut {
		for _, p := range c.paths[i] {
			p.heal()
		}
	}
	timer.Sleep(ctx, cutoffMargin)
	cancel()
	load.Wait()
	c.printShares(began, cut)
	// Later tries may be served by waiting for the end of the cut.
	c.checkShares(began.Add(cutoffContact), ended.Add(-cutoffRequestTimeout), cut)
	c.checkOrders()
}

// served returns how many of the tries that began in a period were served, at the entry processes that
// were cut off or at the others.
func (c *cutoff) served(from, to time.Time, cut []int, atCut bool) (served, all []*try) {
	for _, x := range c.tries {
		if x.began.Before(from) || !x.began.Before(to) || slices.Contains(cut, x.entry) != atCut {
			continue
		}
		all = append(all, x)
		if x.served {
			served = append(served, x)
		}
	}
	return served, all
}

// checkShares fails the test if clients at the entry processes that were cut off were served much less
// often than at the others.
func (c *cutoff) checkShares(from, to time.Time, cut []int) {
	c.t.Helper()
	served, all := c.served(from, to, cut, true)
	othersServed, others := c.served(from, to, cut, false)
	if len(all) == 0 || len(others) == 0 {
		c.t.Fatal("no tries")
	}
	share, othersShare := float64(len(served))/float64(len(all)), float64(len(othersServed))/float64(len(others))
	c.t.Logf("served at the first try from %v after the cut: %d of %d, at the others %d of %d; outcomes %v",
		cutoffContact, len(served), len(all), len(othersServed), len(others), outcomes(all))
	c.t.Logf("median time added: %v", addedMedian(served, othersServed))
	if share < cutoffShare*othersShare {
		c.t.Errorf("entry processes that are cut off from upstreams served %.2f of the first tries, the others %.2f", share, othersShare)
	}
	if othersShare < cutoffOthersShare {
		c.t.Errorf("the other entry processes served %.2f of the first tries: %v", othersShare, outcomes(others))
	}
}

// ranOrders returns how often each order ran.
func (c *cutoff) ranOrders() map[string]int {
	ran := map[string]int{}
	for _, u := range c.services {
		for reference, runs := range u.stats(c.t).Orders {
			ran[reference] += runs
		}
	}
	return ran
}

// checkOrders fails the test if an order ran twice, or ran although its client was told that it did not.
func (c *cutoff) checkOrders() {
	c.t.Helper()
	ran := c.ranOrders()
	for _, x := range c.tries {
		if x.kind != tryOrder {
			continue
		}
		switch runs := ran[x.reference]; {
		case runs > 1:
			c.t.Errorf("order %s ran %d times", x.reference, runs)
		case x.run == translator.NotRun && runs > 0:
			c.t.Errorf("order %s ran, though it was refused as not run", x.reference)
		case x.served && runs != 1:
			c.t.Errorf("order %s was answered and ran %d times", x.reference, runs)
		}
	}
}

// printShares prints the share of tries served at the entry processes that were cut off, by the time
// since the cut at which they began, and the time until the first one was served.
func (c *cutoff) printShares(began time.Time, cut []int) {
	var line strings.Builder
	for from := -cutoffMargin; from < cutoffLength+cutoffMargin; from += cutoffPeriod {
		served, all := c.served(began.Add(from), began.Add(from+cutoffPeriod), cut, true)
		_, _ = fmt.Fprintf(&line, " %v %d/%d", from, len(served), len(all))
	}
	c.t.Logf("served at the entry processes that were cut off, by time since the cut:%s", line.String())
	served, _ := c.served(began, began.Add(cutoffLength), cut, true)
	if len(served) > 0 {
		first := slices.MinFunc(served, func(a, b *try) int { return a.began.Compare(b.began) })
		c.t.Logf("the first one served began %v after the cut", first.began.Sub(began))
	}
}

func outcomes(tries []*try) map[string]int {
	out := map[string]int{}
	for _, x := range tries {
		out[string(x.kind)+" "+x.outcome]++
	}
	return out
}

// addedMedian returns by how much the median time of each kind of request is longer in the first list.
func addedMedian(tries, others []*try) map[tryKind]time.Duration {
	out := map[tryKind]time.Duration{}
	for _, kind := range []tryKind{tryOrder, tryLookUp, tryStream} {
		if a, b := medianTime(tries, kind), medianTime(others, kind); a > 0 && b > 0 {
			out[kind] = (a - b).Round(time.Millisecond / 10)
		}
	}
	return out
}

// medianTime returns the median time of the tries of one kind, zero if there are none.
func medianTime(tries []*try, kind tryKind) time.Duration {
	var times []time.Duration
	for _, x := range tries {
		if x.kind == kind {
			times = append(times, x.took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// TestCutOffHostsServe guards against entry hosts that refuse what the others serve, because they alone
// cannot reach any upstream.
func TestCutOffHostsServe(t *testing.T) {
	tests := map[string]struct {
		fault pathFault
		// cut holds the indexes of the entry processes that are cut off.
		cut []int
		// losesControl reports that the leader of the control processes ends when the cut begins.
		losesControl bool
	}{
		"hang":                       {fault: pathHangs, cut: []int{0, 2}},
		"reset":                      {fault: pathResets, cut: []int{0, 2}},
		"accept and reset":           {fault: pathAccepts, cut: []int{0, 2}},
		"refuse new":                 {fault: pathRefusesNew, cut: []int{0, 2}},
		"whole failure domain":       {fault: pathHangs, cut: []int{0, 1}},
		"with a lost control leader": {fault: pathHangs, cut: []int{0, 2}, losesControl: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCutoff(t, 3, "a", "a", "b", "b")
			during := func() {}
			if test.losesControl {
				during = c.leader().kill
			}
			c.run(test.fault, during, test.cut...)
		})
	}
}
