package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// departureTimeout bounds the commit of a departure. Upstreams turn to another control
// process if their leave is not acknowledged within a second.
const departureTimeout = 700 * time.Millisecond

// maxFirstDepartures is the number of departures that an entry process without any gets. They
// cover the lease of an announcement, after which a late one is rejected for its age.
const maxFirstDepartures = 1024

// UnknownUpstreamError reports the withdrawal of an upstream that this process does not know,
// for example because it has just started.
type UnknownUpstreamError struct {
	ID registrar.UpstreamID
}

// Error implements error.
func (e *UnknownUpstreamError) Error() string {
	return fmt.Sprintf("upstream %s is not known here", e.ID)
}

// announce applies an announcement of an upstream. One that says that the upstream leaves
// may be acknowledged only if the error is nil.
func (c *Controller) announce(ctx context.Context, u registrar.Upstream) error {
	// A service that has just been removed from the configuration may have upstreams that leave.
	leaves := u.State == registrar.Leaving && c.upstreamTable.Has(u.ID)
	if !leaves && announcer.IsForeign(&u, c.stateMachine.Catalog()) {
		c.log.Debug("announcement names no configured service", zap.String("upstream", string(u.ID)), zap.Strings("serves", u.Serves))
		return nil
	}
	if u.State != registrar.Leaving {
		// The commit may take long, or fail.
		c.upstreamTable.WithdrawOutdated(&u)
		if err := c.commitVersions(ctx, &u); err != nil {
			return err
		}
	}
	c.upstreamTable.Update(u, true)
	if u.State != registrar.Leaving {
		return nil
	}
	c.wakeGossip()
	return c.commitDeparture(ctx, registrar.Departure{ID: u.ID, Incarnation: u.Incarnation})
}

// withdraw marks an upstream as leaving. The error is an *UnknownUpstreamError or a
// *RequestFailedError; the leave may then not be acknowledged.
func (c *Controller) withdraw(ctx context.Context, id registrar.UpstreamID, incarnation registrar.Incarnation) error {
	departure, known := c.upstreamTable.Withdraw(id, incarnation)
	if !known && incarnation == 0 {
		return errors.WithStack(&UnknownUpstreamError{ID: id})
	}
	c.wakeGossip()
	return c.commitDeparture(ctx, departure)
}

// recordReportedLeave applies a leave that an entry process has learnt from a response. The
// entry process does not wait until it is committed, and does not report it again. The upstream need not
// be known: the table of a process that has just started is empty.
func (c *Controller) recordReportedLeave(ctx context.Context, d registrar.Departure) {
	if c.stateMachine.HasDeparted(d.ID, d.Incarnation) {
		return
	}
	if _, known := c.upstreamTable.Withdraw(d.ID, d.Incarnation); known {
		c.wakeGossip()
	}
	go func() { _ = c.commitDeparture(context.WithoutCancel(ctx), d) }()
}

// commitDeparture makes a leave known to all control processes, also to those that are
// cut off or start later, so that the loss of this one does not make them forget it. The
// runs of an upstream that does not number them cannot be told apart in the log; their
// leaves are only gossiped.
func (c *Controller) commitDeparture(ctx context.Context, d registrar.Departure) error {
	if d.Incarnation == 0 || c.stateMachine.HasDeparted(d.ID, d.Incarnation) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	command := &state.Command{Kind: &state.Command_Departure{
		Departure: &state.Departure{Upstream: string(d.ID), Incarnation: uint64(d.Incarnation)},
	}}
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if f := reply.GetFailure(); f != nil {
		c.log.Warn("the leave of an upstream was not committed", zap.String("upstream", string(d.ID)),
			zap.Uint64("incarnation", uint64(d.Incarnation)), zap.String("reason", f.GetReason()), zap.String("error", f.GetDetail()))
		return errors.WithStack(&RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()})
	}
	return nil
}

// addDepartures adds to a sync reply the departures that the entry process may not know.
func (c *Controller) addDepartures(reply *wire.SyncReply, s *wire.Sync) {
	if !s.GetWantsDepartures() {
		return
	}
	departures, position := c.stateMachine.DeparturesSince(registrar.Position(s.GetDeparturePosition()), maxFirstDepartures)
	reply.DeparturePosition = uint64(position)
	for _, d := range departures {
		reply.Departures = append(reply.Departures, &wire.UpstreamRun{Id: string(d.ID), Incarnation: uint64(d.Incarnation)})
	}
}

// wakeGossip makes the next gossip message go out at once.
func (c *Controller) wakeGossip() {
	select {
	case c.gossipWanted <- struct{}{}:
	default:
	}
}
