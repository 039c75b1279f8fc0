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

	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const headerOrder = "Comfreybend-Order-Id"

type (
	// orderer turns load into orders for upstreams while its process is in charge.
	orderer struct {
		charge *charge
		due    time.Duration
		// resumed reports that the orders of earlier holders were taken up.
		resumed bool
		planner *planner.Planner
		sizer   *planner.Sizer
		// busy is the work that the numbers of upstreams were decided by, by service.
		busy map[string]float64

		mu sync.Mutex
		// draining holds the upstreams that get nothing new, and since when.
		draining map[string]drainingUpstream
	}

	drainingUpstream struct {
		order planner.Order
		since time.Duration
	}

	// orderDocument is the JSON document of an order on the platform's interface.
	orderDocument struct {
		OrderID       string `json:"orderId"`
		FencingNumber uint64 `json:"fencingNumber"`
		FailureDomain string `json:"failureDomain"`
		Action        string `json:"action"`
		Upstream      string `json:"upstream,omitempty"`
		Serves        string `json:"serves,omitempty"`
		Preemptible   bool   `json:"preemptible"`
	}
)

func newOrderer(ch *charge) *orderer {
	return &orderer{charge: ch, draining: map[string]drainingUpstream{}}
}

// reset forgets what an earlier time in charge had begun.
func (o *orderer) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner = nil
	o.sizer = nil
	o.resumed = false
	o.draining = map[string]drainingUpstream{}
}

// drainingUpstreams returns the upstreams that get nothing new.
func (o *orderer) drainingUpstreams() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for id := range o.draining {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// act sends the orders that are due.
func (o *orderer) act(ctx context.Context) error {
	s := o.charge.controller.settings.GetControl().GetOrdering()
	if s.GetUrl() == "" || timer.Now() < o.due {
		return nil
	}
	o.due = timer.Now() + s.GetInterval().AsDuration()
	if o.charge.controller.dialect.Count != nil {
		return o.actCounts(ctx)
	}
	if err := o.resendOpen(ctx); err != nil {
		return err
	}
	pools := o.charge.controller.entries.pools(o.charge.controller.upstreams())
	for _, order := range o.plan(pools) {
		if order.Action == planner.Stop {
			o.beginDrain(order)
			continue
		}
		if err := o.issue(ctx, order); err != nil {
			return err
		}
	}
	return o.stopDrained(ctx, pools)
}

func (o *orderer) plan(pools []planner.Pool) []planner.Order {
	s := o.charge.controller.settings.GetControl().GetOrdering()
	domains := o.charge.controller.entries.domains()
	if len(domains) == 0 {
		// Nobody has said yet where upstreams may start.
		return nil
	}
	if o.planner == nil {
		o.planner = planner.New(planner.Config{
			Domains:  domains,
			StartupTimeout:  s.GetStartUp().AsDuration(),
			MaxStarting: int(s.GetStarting()),
		})
	}
	o.mu.Lock()
	for i := range pools {
		for j := range pools[i].Upstreams {
			if _, found := o.draining[string(pools[i].Upstreams[j].ID)]; found {
				pools[i].Upstreams[j].Leaving = true
			}
		}
	}
	o.mu.Unlock()
	o.planner.SetDomains(domains)
	return o.planner.Step(timer.Now(), pools)
}

// resendOpen sends every order again whose outcome is unknown, with the same
// id and the fencing number of this process.
func (o *orderer) resendOpen(ctx context.Context) error {
	for _, open := range o.charge.controller.keeper.OpenIntents() {
		renewed := &state.Intent{
			OrderId: open.GetOrderId(), FencingNumber: o.charge.fence, FailureDomain: open.GetFailureDomain(),
			Action: open.GetAction(), Upstream: open.GetUpstream(), Serves: open.GetServes(),
			Preemptible: open.GetPreemptible(),
		}
		if err := o.carryOut(ctx, renewed); err != nil {
			return err
		}
	}
	return nil
}

func (o *orderer) beginDrain(order planner.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining[string(order.Upstream)] = drainingUpstream{order: order, since: timer.Now()}
	o.charge.controller.log.Info("draining an upstream", zap.String("upstream", string(order.Upstream)))
}

// stopDrained orders the stop of the drained upstreams that have finished their requests.
func (o *orderer) stopDrained(ctx context.Context, pools []planner.Pool) error {
	s := o.charge.controller.settings.GetControl().GetOrdering()
	load := map[string]int{}
	for _, p := range pools {
		for _, u := range p.Upstreams {
			load[string(u.ID)] = u.Load
		}
	}
	o.mu.Lock()
	var ready []planner.Order
	for id, d := range o.draining {
		requests, present := load[id]
		waited := timer.Now() - d.since
		switch {
		case !present:
			delete(o.draining, id)
		case requests == 0 && waited > 2*s.GetInterval().AsDuration()+entryHearsWithin, waited > s.GetDrain().AsDuration():
			ready = append(ready, d.order)
		}
	}
	o.mu.Unlock()
	for _, order := range ready {
		if err := o.issue(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// issue commits the intent of a new order and carries it out.
func (o *orderer) issue(ctx context.Context, order planner.Order) error {
	return o.carryOut(ctx, &state.Intent{
		OrderId:       uuid.NewString(),
		FencingNumber: o.charge.fence,
		FailureDomain: string(order.FailureDomain),
		Action:        string(order.Action),
		Upstream:      string(order.Upstream),
		Serves:        string(order.Pool),
		Preemptible:   order.Preemptible,
	})
}

// carryOut commits an intent, sends the order while the lease runs, and
// commits the outcome. Without an answer the order stays open and is sent again.
func (o *orderer) carryOut(ctx context.Context, intent *state.Intent) error {
	c := o.charge.controller
	reply, err := c.propose(ctx, &state.Command{Kind: &state.Command_Intent{Intent: intent}})
	if err != nil {
		return errors.Wrap(err, "committing an order's intent")
	}
	if !reply.GetOutcome().GetAccepted() {
		return errors.Errorf("order refused: %s", reply.GetOutcome().GetReason())
	}
	if !o.charge.observe() || o.charge.fence != intent.GetFencingNumber() {
		return errors.New("not in charge any more; the order stays open")
	}
	status, err := o.send(ctx, intent)
	if err != nil {
		return err
	}
	outcome := &state.IntentOutcome{OrderId: intent.GetOrderId(), Accepted: status/100 == 2, Detail: http.StatusText(status)}
	c.log.Info("order", zap.String("orderId", intent.GetOrderId()), zap.String("action", intent.GetAction()),
		zap.String("serves", intent.GetServes()), zap.String("upstream", intent.GetUpstream()),
		zap.String("failureDomain", intent.GetFailureDomain()), zap.Int("status", status))
	_, err = c.propose(ctx, &state.Command{Kind: &state.Command_IntentOutcome{IntentOutcome: outcome}})
	return errors.Wrap(err, "committing an order's outcome")
}

func (o *orderer) send(ctx context.Context, intent *state.Intent) (int, error) {
	body, err := json.Marshal(orderDocument{
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
	url := o.charge.controller.settings.GetControl().GetOrdering().GetUrl()
	status, err := o.charge.send(ctx, http.MethodPost, url, body, http.Header{headerOrder: {intent.GetOrderId()}})
	if err != nil {
		return 0, err
	}
	if status/100 == 5 {
		return 0, errors.Errorf("the platform answered an order with status %d", status)
	}
	return status, nil
}

// entryHearsWithin is the time in which entry processes hear that an upstream is drained.
const entryHearsWithin = 2 * time.Second

// domains returns the failure domains of the entry processes.
func (t *entryTable) domains() []planner.FailureDomain {
	seen := map[string]bool{}
	var out []planner.FailureDomain
	for _, s := range t.fresh() {
		if !seen[s.GetFailureDomain()] {
			seen[s.GetFailureDomain()] = true
			out = append(out, planner.FailureDomain(s.GetFailureDomain()))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// pools returns what the entry processes observe of each pool; refusals count since the last call.
func (t *entryTable) pools(upstreams []*wire.Upstream) []planner.Pool {
	byName := map[string]*planner.Pool{}
	pool := func(name string) *planner.Pool {
		if byName[name] == nil {
			byName[name] = &planner.Pool{Name: planner.PoolName(name)}
		}
		return byName[name]
	}
	for _, s := range t.fresh() {
		for _, d := range s.GetDemands() {
			p := pool(d.GetPool())
			p.Requests += int(d.GetRequests())
			p.Refused += t.refusedSince(s, d)
		}
	}
	for _, u := range upstreams {
		for _, name := range u.GetServes() {
			p := pool(u.GetKind() + "/" + name)
			p.Upstreams = append(p.Upstreams, planner.Upstream{
				ID:            planner.UpstreamID(u.GetId()),
				FailureDomain: planner.FailureDomain(u.GetFailureDomain()),
				Preemptible:   u.GetPreemptible(),
				Slots:         int(u.GetLoad().GetSlots()),
				Load:          int(u.GetLoad().GetRunning() + u.GetLoad().GetWaiting()),
				Leaving:       u.GetState() == "leaving",
			})
		}
	}
	out := make([]planner.Pool, 0, len(byName))
	for _, p := range byName {
		out = append(out, *p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// refusedSince returns how many requests an entry process has refused since the last call.
func (t *entryTable) refusedSince(s *wire.Sync, d *wire.PoolDemand) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := refusedKey{incarnation: s.GetUsage().GetIncarnation(), pool: d.GetPool()}
	before := t.refused[key]
	t.refused[key] = d.GetRefused()
	return int(d.GetRefused() - min(before, d.GetRefused()))
}
