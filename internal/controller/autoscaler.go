package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

const headerOrderID = "Comfreybend-Order-Id"

type (
	// autoscaler sends the platform orders to start and stop upstreams, depending
	// on the load, while its process holds the platform lease.
	autoscaler struct {
		agent   *platformAgent
		nextRun time.Duration
		// resumed is never read.
		resumed bool
		// planner decides on single upstreams, for platforms that take one order for
		// each start or stop.
		planner *planner.Planner
		// sizer decides on the number of upstreams, for platforms that start and stop
		// upstreams themselves.
		sizer *planner.Sizer
		// busyUpstreams is the number of busy upstreams by service that the latest
		// scale orders are based on.
		busyUpstreams map[string]float64

		mu sync.Mutex
		// draining holds the stop orders of the upstreams that get no new requests, by upstream id.
		draining map[string]pendingStop
	}

	// pendingStop is a stop order that is held back while its upstream drains.
	pendingStop struct {
		order     planner.Order
		startedAt time.Duration
	}

	// orderBody is the JSON body of an order to the platform.
	orderBody struct {
		OrderID       string `json:"orderId"`
		FencingNumber uint64 `json:"fencingNumber"`
		FailureDomain string `json:"failureDomain"`
		Action        string `json:"action"`
		Upstream      string `json:"upstream,omitempty"`
		Serves        string `json:"serves,omitempty"`
		Preemptible   bool   `json:"preemptible"`
	}
)

func newAutoscaler(p *platformAgent) *autoscaler {
	return &autoscaler{agent: p, draining: map[string]pendingStop{}}
}

// reset discards the state from the time before the platform lease was lost. Open
// intents are in the replicated log and stay.
func (a *autoscaler) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner = nil
	a.sizer = nil
	a.resumed = false
	a.draining = map[string]pendingStop{}
}

// drainingUpstreams returns the ids of the upstreams that get no new requests.
func (a *autoscaler) drainingUpstreams() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for id := range a.draining {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// run plans from the current load and sends the resulting orders, at most once
// per ordering interval.
func (a *autoscaler) run(ctx context.Context) error {
	s := a.agent.controller.settings.GetControl().GetOrdering()
	if s.GetUrl() == "" || timer.Now() < a.nextRun {
		return nil
	}
	a.nextRun = timer.Now() + s.GetInterval().AsDuration()
	if a.agent.controller.dialect.ScaleCall != nil {
		return a.runScaling(ctx)
	}
	if err := a.resendOpenOrders(ctx); err != nil {
		return err
	}
	pools := a.agent.controller.entries.Pools(a.agent.controller.upstreams())
	limitSlots(pools, a.agent.controller.evidence.Limits())
	for _, order := range a.plan(pools) {
		if order.Action == planner.Stop {
			a.startDrain(order)
			continue
		}
		if err := a.issueOrder(ctx, order); err != nil {
			return err
		}
	}
	return a.stopDrained(ctx, pools)
}

// limitSlots counts one slot of each upstream that names a request limit.
func limitSlots(pools []planner.Pool, limits map[registrar.UpstreamID]apportioner.Statement) {
	for _, pool := range pools {
		for n := range pool.Upstreams {
			if _, limited := limits[registrar.UpstreamID(pool.Upstreams[n].ID)]; limited {
				pool.Upstreams[n].Slots = 1
			}
		}
	}
}

// plan returns the planner's orders for the observed pools.
func (a *autoscaler) plan(pools []planner.Pool) []planner.Order {
	s := a.agent.controller.settings.GetControl().GetOrdering()
	domains := a.agent.controller.entries.FailureDomains()
	if len(domains) == 0 {
		// No entry process has sent a sync request recently, so it is unknown in
		// which failure domains upstreams may start.
		return nil
	}
	if a.planner == nil {
		a.planner = planner.New(planner.Config{
			Domains:        domains,
			StartupTimeout: s.GetStartUp().AsDuration(),
			MaxStarting:    int(s.GetStarting()),
		})
	}
	a.mu.Lock()
	for i := range pools {
		for j := range pools[i].Upstreams {
			if _, found := a.draining[string(pools[i].Upstreams[j].ID)]; found {
				pools[i].Upstreams[j].Leaving = true
			}
		}
	}
	a.mu.Unlock()
	a.planner.SetDomains(domains)
	a.planner.SetEvacuated(a.agent.controller.evacuatedDomains())
	return a.planner.Step(timer.Now(), pools)
}

// resendOpenOrders sends the order of every open intent again, with the same
// order id but the fencing number of this process.
func (a *autoscaler) resendOpenOrders(ctx context.Context) error {
	for _, open := range a.agent.controller.stateMachine.OpenIntents() {
		renewed := &state.Intent{
			OrderId: open.GetOrderId(), FencingNumber: a.agent.fencingNumber, FailureDomain: open.GetFailureDomain(),
			Action: open.GetAction(), Upstream: open.GetUpstream(), Serves: open.GetServes(),
			Preemptible: open.GetPreemptible(),
		}
		if err := a.executeIntent(ctx, renewed); err != nil {
			return err
		}
	}
	return nil
}

// startDrain keeps new requests from the upstream of a stop order until it is no
// longer announced. stopDrained sends the order later.
func (a *autoscaler) startDrain(order planner.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining[string(order.Upstream)] = pendingStop{order: order, startedAt: timer.Now()}
	a.agent.controller.log.Info("draining an upstream", zap.String("upstream", string(order.Upstream)))
}

// stopDrained sends a stop order for each draining upstream that has no requests
// left once two ordering intervals and drainPropagationTime have passed, or that
// has been draining for longer than the drain setting. One in an evacuated failure domain is left as it
// is. It sends a new order for
// such an upstream at every run until the upstream is no longer announced.
func (a *autoscaler) stopDrained(ctx context.Context, pools []planner.Pool) error {
	s := a.agent.controller.settings.GetControl().GetOrdering()
	load := map[string]int{}
	for _, p := range pools {
		for _, u := range p.Upstreams {
			load[string(u.ID)] = u.Load
		}
	}
	evacuated := a.agent.controller.evacuatedDomains()
	a.mu.Lock()
	var ready []planner.Order
	for id, d := range a.draining {
		requests, present := load[id]
		waited := timer.Now() - d.startedAt
		switch {
		case !present, evacuated[d.order.FailureDomain]:
			delete(a.draining, id)
		case requests == 0 && waited > 2*s.GetInterval().AsDuration()+drainPropagationTime, waited > s.GetDrain().AsDuration():
			ready = append(ready, d.order)
		}
	}
	a.mu.Unlock()
	for _, order := range ready {
		if err := a.issueOrder(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// issueOrder creates the intent of a new order and executes it.
func (a *autoscaler) issueOrder(ctx context.Context, order planner.Order) error {
	return a.executeIntent(ctx, &state.Intent{
		OrderId:       uuid.NewString(),
		FencingNumber: a.agent.fencingNumber,
		FailureDomain: string(order.FailureDomain),
		Action:        string(order.Action),
		Upstream:      string(order.Upstream),
		Serves:        string(order.Pool),
		Preemptible:   order.Preemptible,
	})
}

// executeIntent commits an intent, sends its order if this process may still call
// the platform, and commits the outcome. An intent is the record of an order,
// committed before the order is sent. It is open until the outcome is committed;
// the orders of open intents are sent again.
func (a *autoscaler) executeIntent(ctx context.Context, intent *state.Intent) error {
	c := a.agent.controller
	reply, err := c.propose(ctx, &state.Command{Kind: &state.Command_Intent{Intent: intent}})
	if err != nil {
		return errors.Wrap(err, "committing the intent of an order")
	}
	if !reply.GetOutcome().GetAccepted() {
		return errors.Errorf("intent of an order refused: %s", reply.GetOutcome().GetReason())
	}
	if !a.agent.refreshLease() || a.agent.fencingNumber != intent.GetFencingNumber() {
		return errors.New("platform lease lost before the order was sent; the intent stays open")
	}
	status, err := a.sendOrder(ctx, intent)
	if err != nil {
		return err
	}
	outcome := &state.IntentOutcome{OrderId: intent.GetOrderId(), Accepted: status/100 == 2, Detail: http.StatusText(status)}
	c.log.Info("order", zap.String("orderId", intent.GetOrderId()), zap.String("action", intent.GetAction()),
		zap.String("serves", intent.GetServes()), zap.String("upstream", intent.GetUpstream()),
		zap.String("failureDomain", intent.GetFailureDomain()), zap.Int("status", status))
	_, err = c.propose(ctx, &state.Command{Kind: &state.Command_IntentOutcome{IntentOutcome: outcome}})
	return errors.Wrap(err, "committing the outcome of an order")
}

// sendOrder sends an order and returns the response status. A status of 5xx is
// an error, so that the intent stays open and the order is sent again.
func (a *autoscaler) sendOrder(ctx context.Context, intent *state.Intent) (int, error) {
	body, err := json.Marshal(orderBody{
		OrderID:       intent.GetOrderId(),
		FencingNumber: intent.GetFencingNumber(),
		FailureDomain: intent.GetFailureDomain(),
		Action:        intent.GetAction(),
		Upstream:      intent.GetUpstream(),
		Serves:        intent.GetServes(),
		Preemptible:   intent.GetPreemptible(),
	})
	if err != nil {
		return 0, errors.Wrap(err, "encoding an order")
	}
	url := a.agent.controller.settings.GetControl().GetOrdering().GetUrl()
	status, err := a.agent.send(ctx, http.MethodPost, url, body, http.Header{headerOrderID: {intent.GetOrderId()}})
	if err != nil {
		return 0, err
	}
	if status/100 == 5 {
		return 0, errors.Errorf("the platform returned status %d for an order", status)
	}
	return status, nil
}

// drainPropagationTime is the time after which all entry processes know that an upstream is draining.
const drainPropagationTime = 2 * time.Second
