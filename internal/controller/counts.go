package controller

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// runScaling asks the platform for a number of upstreams in each pool, for platforms
// that start and stop upstreams themselves. A scale order replaces the one before it,
// so no intent is committed: the next lease holder computes its orders from the load
// that it observes.
func (a *autoscaler) runScaling(ctx context.Context) error {
	c := a.agent.controller
	s := c.settings.GetControl().GetOrdering()
	if !c.upstreamTable.IsComplete() {
		return nil
	}
	if a.sizer == nil {
		a.sizer = planner.NewSizer()
	}
	busy := c.entries.BusyUpstreams()
	a.busyUpstreams = busy
	evacuated := c.evacuatedDomains()
	upstreams := withoutEvacuated(c.upstreamTable.All(), evacuated)
	for _, pool := range c.stateMachine.Catalog().Configuration().GetPools() {
		if pool.GetScaling() == nil {
			continue
		}
		sized := describePool(pool, busy[pool.GetName()], upstreams, c.evidence.Limits())
		sized.Evacuate(evacuated)
		for _, order := range a.sizer.Step(timer.Now(), sized) {
			if !a.agent.refreshLease() {
				return nil
			}
			if err := a.sendScaleOrder(ctx, s.GetUrl(), order); err != nil {
				a.sizer.RecordRefusal(timer.Now(), order)
				return err
			}
		}
	}
	return nil
}

// sendScaleOrder sends one scale order to the platform. It reports a status other
// than 200 to the sizer as a refusal; after an error, its caller does so.
func (a *autoscaler) sendScaleOrder(ctx context.Context, url string, order planner.CountOrder) error {
	c := a.agent.controller
	call, err := c.dialect.ScaleCall(ScaleOrder{
		Pool:          string(order.Pool),
		FailureDomain: string(order.FailureDomain),
		Count:         order.Count,
		Preemptible:   order.Preemptible,
	})
	if err != nil {
		return err
	}
	status, err := a.agent.sendCall(ctx, url, call)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		a.sizer.RecordRefusal(timer.Now(), order)
	}
	c.log.Info("order", zap.String("pool", string(order.Pool)), zap.String("failureDomain", string(order.FailureDomain)),
		zap.Bool("preemptible", order.Preemptible), zap.Int("count", order.Count), zap.Int("status", status), zap.Float64("busy", a.busyUpstreams[string(order.Pool)]),
		zap.Uint64("fencingNumber", a.agent.fencingNumber))
	return nil
}

// describePool converts a pool for the sizer: its limits and prices, its number of
// busy upstreams, and the numbers of its serving upstreams and of those that limit their
// requests. Upstreams that also serve other pools are not counted. The pool's name is that of
// its service.
func describePool(
	pool *state.Pool, busy float64, upstreams []*wire.Upstream, limits map[registrar.UpstreamID]apportioner.Statement,
) planner.SizedPool {
	out := planner.SizedPool{
		Name:        planner.PoolName(pool.GetName()),
		Busy:        busy,
		Minimum:     int(pool.GetScaling().GetMinimum()),
		Maximum:     int(pool.GetScaling().GetMaximum()),
		Prices:      map[planner.FailureDomain]float64{},
		OnDemand:    map[planner.FailureDomain]int{},
		Preemptible: map[planner.FailureDomain]int{},
	}
	for domain, price := range pool.GetScaling().GetPrices() {
		out.Prices[planner.FailureDomain(domain)] = price
	}
	for _, u := range upstreams {
		if u.GetState() != string(registrar.Serving) || len(u.GetServes()) != 1 || u.GetServes()[0] != pool.GetName() {
			continue
		}
		if s, found := limits[registrar.UpstreamID(u.GetId())]; found && s.Upstream.Incarnation == registrar.Incarnation(u.GetIncarnation()) {
			out.Limited++
		}
		domain := planner.FailureDomain(u.GetFailureDomain())
		if u.GetPreemptible() {
			out.Preemptible[domain]++
		} else {
			out.OnDemand[domain]++
		}
	}
	return out
}
