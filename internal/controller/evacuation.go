package controller

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// evacuate starts or finishes the evacuation of a failure domain, for a dialect. It may be acknowledged
// only if the error is nil; it is an *evacuator.InvalidDomainError or a *RequestFailedError.
func (c *Controller) evacuate(ctx context.Context, domain registrar.FailureDomain, finish bool) error {
	outcome, err := c.orderEvacuation(ctx, &state.EvacuationOrder{FailureDomain: string(domain), Finish: finish})
	if err == nil && !outcome.GetAccepted() {
		return &RequestFailedError{Reason: outcome.GetReason(), Detail: outcome.GetDetail()}
	}
	return err
}

// orderEvacuation commits an order and returns its outcome. Callers turn to another control process if
// they get no response within a second, and may resend an order that was committed.
func (c *Controller) orderEvacuation(ctx context.Context, o *state.EvacuationOrder) (*state.Outcome, error) {
	if err := evacuator.Check(registrar.FailureDomain(o.GetFailureDomain())); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	command := &state.Command{Kind: &state.Command_EvacuationOrder{EvacuationOrder: o}}
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if f := reply.GetFailure(); f != nil {
		c.log.Warn("an evacuation order was not committed", zap.String("operator", o.GetOperator()), zap.String("failureDomain", o.GetFailureDomain()),
			zap.Bool("finish", o.GetFinish()), zap.String("reason", f.GetReason()), zap.String("error", f.GetDetail()))
		return nil, errors.WithStack(&RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()})
	}
	outcome := reply.GetPropose().GetOutcome()
	c.log.Info("processed an evacuation order", zap.String("operator", o.GetOperator()), zap.String("failureDomain", o.GetFailureDomain()),
		zap.Bool("finish", o.GetFinish()), zap.Bool("accepted", outcome.GetAccepted()),
		zap.String("reason", outcome.GetReason()), zap.String("detail", outcome.GetDetail()))
	return outcome, nil
}

// evacuationsAfter returns the evacuated failure domains for an entry process, or nil if it names their
// position or does not know evacuations.
func (c *Controller) evacuationsAfter(position *uint64) *state.Evacuations {
	if position == nil || *position == uint64(c.stateMachine.EvacuationPosition()) {
		return nil
	}
	return c.stateMachine.Evacuations()
}

// hasLaterEvacuations reports whether this process knows a later set of evacuated domains than an entry
// process.
func (c *Controller) hasLaterEvacuations(position *uint64) bool {
	return position != nil && *position < uint64(c.stateMachine.EvacuationPosition())
}

// isCatchingUp reports whether this process has been started so lately that it may not have applied
// all evacuation orders that were committed before, if its disk holds any order or its log is not known yet,
// when its snapshot may be. An entry process without any configuration does not get one from it: requests might
// then reach a domain whose evacuation was acknowledged before all processes were restarted. Without contact to
// the majority, the time is limited as for lag.
func (c *Controller) isCatchingUp() bool {
	n := c.membership.currentNode()
	if n != nil && (!c.recoveredOrders && c.stateMachine.EvacuationPosition() == 0 || n.Status().CurrentAt > c.nodeCreatedAt) {
		return false
	}
	return c.lag() == 0
}

// holdsEvacuationOrders reports whether the log that was recovered has an evacuation order.
func holdsEvacuationOrders(recovered *journaler.Recovered) bool {
	for _, e := range recovered.Entries {
		command := &state.Command{}
		if proto.Unmarshal(e.GetData(), command) == nil && command.GetEvacuationOrder() != nil {
			return true
		}
	}
	return false
}

// mayConfigure reports whether the reply to a poll may have configuration changes that no quorum has
// confirmed.
func (c *Controller) mayConfigure(f *wire.Follow) bool {
	return f.GetHaveRevision() > 0 || f.EvacuationPosition == nil || !c.isCatchingUp()
}

// evacuatedDomains returns the evacuated failure domains for the planner.
func (c *Controller) evacuatedDomains() map[planner.FailureDomain]bool {
	out := map[planner.FailureDomain]bool{}
	for _, d := range c.stateMachine.Evacuations().GetFailureDomains() {
		out[planner.FailureDomain(d)] = true
	}
	return out
}

// withoutEvacuated returns the upstreams that are not in evacuated failure domains.
func withoutEvacuated(upstreams []*wire.Upstream, evacuated map[planner.FailureDomain]bool) []*wire.Upstream {
	if len(evacuated) == 0 {
		return upstreams
	}
	var out []*wire.Upstream
	for _, u := range upstreams {
		if !evacuated[planner.FailureDomain(u.GetFailureDomain())] {
			out = append(out, u)
		}
	}
	return out
}

func decodeEvacuationOrder(finish bool) func(context.Context, *http.Request) (any, error) {
	return func(_ context.Context, r *http.Request) (any, error) {
		domain := registrar.FailureDomain(r.PathValue("domain"))
		if err := evacuator.Check(domain); err != nil {
			return nil, &MalformedError{Cause: err}
		}
		return &state.EvacuationOrder{FailureDomain: string(domain), Finish: finish}, nil
	}
}

// evacuationEndpoint starts or finishes the evacuation of a failure domain.
func (c *Controller) evacuationEndpoint(ctx context.Context, request any) (any, error) {
	order, _ := request.(*state.EvacuationOrder)
	order.Operator, _ = ctx.Value(operatorContextKey{}).(string)
	outcome, err := c.orderEvacuation(ctx, order)
	if err != nil {
		return nil, err
	}
	return outcome, nil
}
