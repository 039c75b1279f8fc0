package controller

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// actCounts orders numbers of upstreams. A number replaces the one before it,
// so that it needs no intent: a successor orders anew from what it observes.
func (o *orderer) actCounts(ctx context.Context) error {
	c := o.charge.controller
	s := c.settings.GetControl().GetOrdering()
	if timer.Now()-c.table.begun < c.table.lease/2 {
		// Not every upstream has announced itself here yet.
		return nil
	}
	if o.sizer == nil {
		o.sizer = planner.NewSizer()
	}
	busy := c.entries.busy()
	o.busy = busy
	for _, pool := range c.keeper.Catalog().Configuration().GetPools() {
		if pool.GetScaling() == nil {
			continue
		}
		for _, order := range o.sizer.Step(timer.Now(), sizedPool(pool, busy[pool.GetName()], c.table.all())) {
			if !o.charge.observe() {
				return nil
			}
			if err := o.sendCount(ctx, s.GetUrl(), order); err != nil {
				o.sizer.Refused(timer.Now(), order)
				return err
			}
		}
	}
	return nil
}

func (o *orderer) sendCount(ctx context.Context, url string, order planner.CountOrder) error {
	c := o.charge.controller
	call, err := c.dialect.Count(CountOrder{
		Pool:          string(order.Pool),
		FailureDomain: string(order.FailureDomain),
		Count:         order.Count,
		Preemptible:   order.Preemptible,
	})
	if err != nil {
		return err
	}
	status, err := o.charge.makeCall(ctx, url, call)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		o.sizer.Refused(timer.Now(), order)
	}
	c.log.Info("order", zap.String("pool", string(order.Pool)), zap.String("failureDomain", string(order.FailureDomain)),
		zap.Bool("preemptible", order.Preemptible), zap.Int("count", order.Count), zap.Int("status", status), zap.Float64("busy", o.busy[string(order.Pool)]),
		zap.Uint64("fencingNumber", o.charge.fence))
	return nil
}

// sizedPool describes a pool to the sizer.
func sizedPool(pool *state.Pool, busy float64, upstreams []*wire.Upstream) planner.SizedPool {
	out := planner.SizedPool{
		Name:        planner.PoolName(pool.GetName()),
		Busy:        busy,
		Minimum:     int(pool.GetScaling().GetMinimum()),
		Maximum:     int(pool.GetScaling().GetMaximum()),
		Prices:      map[planner.FailureDomain]float64{},
		OnDemand:     map[planner.FailureDomain]int{},
		Preemptible: map[planner.FailureDomain]int{},
	}
	for domain, price := range pool.GetScaling().GetPrices() {
		out.Prices[planner.FailureDomain(domain)] = price
	}
	for _, u := range upstreams {
		if u.GetState() != string(registrar.Serving) || len(u.GetServes()) != 1 || u.GetServes()[0] != pool.GetName() {
			continue
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

// busy returns, by service, how many upstreams the work of all entry processes would keep busy.
func (t *entryTable) busy() map[string]float64 {
	out := map[string]float64{}
	for _, s := range t.fresh() {
		for _, d := range s.GetDemands() {
			out[d.GetService()] += d.GetBusy()
		}
	}
	return out
}
