package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/versioner"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// versionInterval is the time between two looks for versions that no upstream announces any more.
const versionInterval = 10 * time.Second

// commitVersions commits the version of an upstream's software before entry processes hear of the
// upstream. A stream that it begins can then be told from those of the only other version, also
// after all processes have lost their memory.
func (c *Controller) commitVersions(ctx context.Context, u *registrar.Upstream) error {
	for _, o := range versioner.OriginsOf(u) {
		if c.stateMachine.HasVersion(o) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, departureTimeout)
		defer cancel()
		reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: versionCommand(o, false)}})
		f, outcome := reply.GetFailure(), reply.GetPropose().GetOutcome()
		switch {
		case f != nil:
			return errors.WithStack(&RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()})
		case outcome.GetReason() == keeper.ReasonTooManyVersions:
			// An earlier leader refuses the command, which it does not know, for another reason.
			return errors.WithStack(&RequestFailedError{Reason: outcome.GetReason(), Detail: outcome.GetDetail()})
		}
		c.log.Info("pool has another version", zap.String("pool", string(o.Pool)), zap.String("version", string(o.Version)))
	}
	return nil
}

// runVersions retires, while this process is the leader, the versions that no upstream announces any
// more.
func (c *Controller) runVersions(ctx context.Context) error {
	for timer.Sleep(ctx, versionInterval) {
		if c.node.Status().Role != replicator.Leader {
			continue
		}
		for _, o := range c.versions.Retired(timer.Now(), c.upstreams(), c.stateMachine.Versions()) {
			_, err := c.propose(ctx, versionCommand(o, true))
			c.log.Info("version of a pool is retired", zap.String("pool", string(o.Pool)), zap.String("version", string(o.Version)), zap.Error(err))
		}
	}
	return nil
}

func versionCommand(o matcher.Origin, retired bool) *state.Command {
	return &state.Command{Kind: &state.Command_PoolVersion{PoolVersion: &state.PoolVersion{
		Pool: string(o.Pool), Version: string(o.Version), Retired: retired,
	}}}
}
