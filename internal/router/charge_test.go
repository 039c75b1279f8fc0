package router

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

// chargeTest lets the requests of two organisations wait for an upstream that takes one at a time.
type chargeTest struct {
	dispatcher *dispatcher
	request    dispatchRequest
	waiters    map[configurer.OrganisationID][]*waiter
}

// TestOrganisationsAreChargedTheirCost guards against an organisation that is charged the average
// cost of a request beside the cost of its own. Of two that wait, each gets the same number of
// tokens, not of requests, and what is given up without having run costs nothing.
func TestOrganisationsAreChargedTheirCost(t *testing.T) {
	const (
		costOne, costTwo = scheduler.Cost(10), scheduler.Cost(90)
		tokens           = 20_000
	)
	// givenUp is the nth request of the organisation one that is given up each time.
	tests := map[string]struct{ givenUp int }{
		"all run":           {givenUp: tokens},
		"half are given up": {givenUp: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChargeTest(t)
			var one, two scheduler.Cost
			for n := 1; one+two < tokens; n++ {
				switch g := c.next(t); {
				case g.item.Organisation == "two":
					c.dispatcher.release(g, outcomeAnswered, costTwo)
					two += costTwo
				case n%test.givenUp == 0:
					c.dispatcher.release(g, outcomeAbandoned, 0)
				default:
					c.dispatcher.release(g, outcomeAnswered, costOne)
					one += costOne
				}
			}
			if difference := max(one, two) - min(one, two); difference > tokens/10 {
				t.Errorf("%v tokens for the organisation one and %v for two, want about the same", one, two)
			}
		})
	}
}

// TestCancelledGrantIsNotCharged guards against a charge for requests whose callers leave just when
// they are granted an upstream.
func TestCancelledGrantIsNotCharged(t *testing.T) {
	const (
		cost     = 100
		requests = 20
	)
	c := newChargeTest(t)
	c.dispatcher.release(c.next(t), outcomeAnswered, cost)
	for range requests {
		c.cancelWhenGranted(t)
	}
	granted := map[scheduler.Organisation]int{}
	for range requests {
		g := c.next(t)
		granted[g.item.Organisation]++
		c.dispatcher.release(g, outcomeAnswered, cost)
	}
	if granted["one"] < requests*2/5 {
		t.Errorf("of %d requests %d are of the organisation whose callers had left, want about half", requests, granted["one"])
	}
}

// cancelWhenGranted ends the context of a request of the organisation one while it is granted an
// upstream.
func (c *chargeTest) cancelWhenGranted(t *testing.T) {
	t.Helper()
	d := c.dispatcher
	for refused := false; !refused; {
		held := c.next(t)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan *translator.RefusalError)
		request := c.request
		request.organisation, request.interrupted = "one", true
		before := d.pools[request.pool].scheduler.Waiting()
		go func() {
			g, refusal := d.acquire(ctx, request)
			if refusal == nil {
				d.release(g, outcomeAbandoned, 0)
			}
			result <- refusal
		}()
		awaitCondition(t, "the request does not wait", func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.pools[request.pool].scheduler.Waiting() > before
		})
		d.mu.Lock()
		cancel()
		timer.Sleep(t.Context(), time.Millisecond)
		d.finish(held, outcomeAbandoned, 0)
		d.mu.Unlock()
		refused = <-result != nil
	}
}

// next returns the grant of the next request while some of each organisation wait.
func (c *chargeTest) next(t *testing.T) *grant {
	t.Helper()
	const waiting = 3
	for _, organisation := range []configurer.OrganisationID{"one", "two"} {
		for len(c.waiters[organisation]) < waiting {
			c.request.organisation = organisation
			w, refusal := c.dispatcher.enqueue(c.request)
			if refusal != nil {
				t.Fatal(refusal)
			}
			c.waiters[organisation] = append(c.waiters[organisation], w)
		}
	}
	for organisation, waiters := range c.waiters {
		for n, w := range waiters {
			select {
			case g := <-w.granted:
				c.waiters[organisation] = slices.Delete(waiters, n, n+1)
				return g
			default:
			}
		}
	}
	t.Fatal("no request is granted")
	return nil
}

func newChargeTest(t *testing.T) *chargeTest {
	t.Helper()
	s := &settings.Settings{Host: &settings.Host{Id: "e", FailureDomain: "a"}, Entry: &settings.Entry{}}
	validator.FillDefaults(s)
	s.Entry.UpstreamLimits.InitialConcurrency = 1
	s.Entry.UpstreamLimits.MaximumConcurrency = 1
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	d := r.dispatcher
	d.now = func() time.Duration { return now }
	d.applyAnnouncement(registrar.Upstream{
		ID: "u", Incarnation: 1, Sequence: 1, URL: "http://127.0.0.1:1", FailureDomain: "a",
		Kind: registrar.KindModel, Serves: []string{"m"}, State: registrar.Serving,
		Load: registrar.Load{Slots: 1, MeasuredAt: now}, AnnouncedAt: now,
	})
	return &chargeTest{
		dispatcher: d, waiters: map[configurer.OrganisationID][]*waiter{},
		request: dispatchRequest{
			pool:  poolKey{kind: registrar.KindModel, name: "m"},
			class: &state.Class{Name: "c", Tier: 1}, arrived: now, deadline: now + time.Hour,
		},
	}
}
