package controller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/caller"
	"github.com/comfreybend/comfreybend/pkg/leaser"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// agentInterval is the time between two calls of runOnce.
	agentInterval = 100 * time.Millisecond
	// agentRetryInterval is the pause after a failure. The platform charges for calls and limits their rate.
	agentRetryInterval = 500 * time.Millisecond
	// Headers of requests to the platform.
	headerFencingNumber = "Comfreybend-Fencing-Number"
	headerReportWindow  = "Comfreybend-Report-Window"
)

// platformAgent calls the platform while this process holds the platform lease:
// it reports usage and runs the autoscaler.
//
// The platform lease is the exclusive right to call the platform. The leader gets
// it once all calls of an earlier leader have ended, and holds it at most as long
// as its leader lease; see package leaser.
type platformAgent struct {
	controller *Controller
	holder     *leaser.Holder
	// fencingNumber is the one issued since this process last became the lease
	// holder; zero until it is committed.
	fencingNumber uint64
	// fencingTerm is the term that fencingNumber belongs to.
	fencingTerm leaser.Term
	autoscaler  *autoscaler
	// retryAt is the earliest time of the next attempt after a failure.
	retryAt time.Duration
}

// runPlatformAgent runs the platform agent until ctx ends. The agent is idle while
// this process does not hold the platform lease.
func (c *Controller) runPlatformAgent(ctx context.Context) error {
	s := c.settings.GetControl()
	maxCallTime := max(s.GetReporting().GetTimeout().AsDuration(), s.GetOrdering().GetTimeout().AsDuration())
	maxCallTime = min(maxCallTime, s.GetElectionTimeout().AsDuration()/2)
	p := &platformAgent{
		controller: c,
		holder: leaser.New(leaser.Config{
			// The platform itself regards a process as the holder for the setting
			// platform_lease after its last call.
			MaxLease:     max(s.GetElectionTimeout().AsDuration(), s.GetPlatformLease().AsDuration()),
			MaxOperation: maxCallTime,
		}),
	}
	p.autoscaler = newAutoscaler(p)
	c.autoscaler.Store(p.autoscaler)
	for ctx.Err() == nil {
		timer.Sleep(ctx, agentInterval)
		if timer.Now() < p.retryAt {
			continue
		}
		if err := p.runOnce(ctx); err != nil {
			p.retryAt = timer.Now() + agentRetryInterval
			c.log.Warn("work of the platform lease holder failed; retrying", zap.Error(err))
		}
	}
	return nil
}

// runOnce does the work that is due now if this process may call the platform: it
// obtains a fencing number, or freezes and reports usage windows and runs the
// autoscaler.
func (p *platformAgent) runOnce(ctx context.Context) error {
	if !p.refreshLease() {
		return nil
	}
	if p.fencingNumber == 0 {
		return p.acquireFencingNumber(ctx)
	}
	if err := p.freezeWindow(ctx); err != nil {
		return err
	}
	if err := p.sendWindows(ctx); err != nil {
		return err
	}
	return p.autoscaler.run(ctx)
}

// refreshLease passes the state of the leader lease to the holder of the platform
// lease. It reports whether a call to the platform may start now, which requires
// that this process holds the platform lease and that enough time is left for one
// call. When the term changes or the leader lease is lost, it discards the state of
// the earlier term.
func (p *platformAgent) refreshLease() bool {
	s := p.controller.node.Status()
	if s.Role != replicator.Leader {
		p.holder.UpdateLease(timer.Now(), 0, 0)
	} else {
		p.holder.UpdateLease(timer.Now(), leaser.Term(s.Term), s.LeaseUntil)
	}
	if p.holder.Term() != p.fencingTerm {
		p.fencingTerm = p.holder.Term()
		p.fencingNumber = 0
		p.autoscaler.reset()
		p.controller.windows.reset(p.controller.clusterView.agreedTime(p.controller.settings.GetHost().GetId()))
	}
	if p.fencingNumber == 0 && s.LeaseUntil > 0 && s.Applied >= s.Commit && !p.controller.stateMachine.FencingNumberIssued() {
		// The whole log, which a majority confirms, contains no fencing number, so
		// that there is no earlier holder whose calls could still arrive.
		p.holder.SkipWait()
	}
	return p.holder.CanStart(timer.Now())
}

// acquireFencingNumber commits a new fencing number, greater than those of all
// earlier holders.
func (p *platformAgent) acquireFencingNumber(ctx context.Context) error {
	host := p.controller.settings.GetHost().GetId()
	command := &state.Command{Kind: &state.Command_Fence{Fence: &state.Fence{Holder: host}}}
	reply, err := p.controller.propose(ctx, command)
	if err != nil {
		return errors.Wrap(err, "committing a fencing number")
	}
	// The outcome of a fence command carries the fencing number in its revision.
	p.fencingNumber = reply.GetOutcome().GetRevision()
	p.controller.log.Info("obtained a fencing number as holder of the platform lease", zap.Uint64("fencingNumber", p.fencingNumber))
	return nil
}

// freezeWindow commits the end of the current usage window once its length has
// passed. The report of the window does not change after that.
func (p *platformAgent) freezeWindow(ctx context.Context) error {
	if p.controller.settings.GetControl().GetAlignedWindow() != nil {
		return p.freezeAlignedWindow(ctx)
	}
	s := p.controller.settings.GetControl().GetReporting()
	start := p.controller.stateMachine.WindowStartMillis()
	now := time.Now().UnixMilli()
	if start == 0 || now-start < s.GetWindow().AsDuration().Milliseconds() {
		return nil
	}
	freeze := &state.FreezeWindow{EndMillis: now}
	_, err := p.controller.propose(ctx, &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: freeze}})
	return errors.Wrap(err, "freezing a usage window")
}

// sendWindows sends every frozen window that the platform has not accepted, oldest first.
func (p *platformAgent) sendWindows(ctx context.Context) error {
	url := p.controller.settings.GetControl().GetReporting().GetUrl()
	if url == "" {
		return nil
	}
	for _, w := range p.controller.stateMachine.UnsentWindows() {
		if !p.refreshLease() {
			return nil
		}
		if err := p.sendWindow(ctx, url, w); err != nil {
			return err
		}
		sent := &state.WindowSent{Number: w.GetNumber()}
		_, err := p.controller.propose(ctx, &state.Command{Kind: &state.Command_WindowSent{WindowSent: sent}})
		if err != nil {
			return errors.Wrap(err, "recording that a usage window was sent")
		}
	}
	return nil
}

// sendWindow sends the report of a frozen window, with the same bytes at every
// attempt.
func (p *platformAgent) sendWindow(ctx context.Context, url string, w *state.Window) error {
	if p.controller.dialect.UsageCall != nil {
		return p.sendWindowByDialect(ctx, url, w)
	}
	header := http.Header{headerReportWindow: {strconv.FormatUint(w.GetNumber(), 10)}}
	status, err := p.send(ctx, http.MethodPut, url, w.GetReport(), header)
	if err != nil {
		return errors.Wrap(err, "sending a usage report")
	}
	if status/100 != 2 {
		return errors.Errorf("the platform refused window %d with status %d", w.GetNumber(), status)
	}
	return nil
}

// sendWindowByDialect sends the report of a frozen window by the dialect's usage
// call, with the same bytes at every attempt.
func (p *platformAgent) sendWindowByDialect(ctx context.Context, url string, w *state.Window) error {
	call, err := p.controller.dialect.UsageCall(UsageReport{Window: w.GetNumber()})
	if err != nil {
		return errors.Wrap(err, "building the usage call")
	}
	call.Body = w.GetReport()
	status, err := p.sendCall(ctx, url, call)
	if err != nil {
		return errors.Wrap(err, "sending a usage report")
	}
	if status/100 != 2 {
		return errors.Errorf("the platform refused window %d with status %d", w.GetNumber(), status)
	}
	p.controller.log.Info("usage report accepted", zap.Uint64("window", w.GetNumber()), zap.Uint64("fencingNumber", p.fencingNumber))
	return nil
}

// sendCall makes a dialect's call at the given base URL and returns the response status.
func (p *platformAgent) sendCall(ctx context.Context, url string, call Call) (int, error) {
	header := call.Header(p.controller.settings.GetHost().GetId(), p.fencingNumber)
	return p.send(ctx, http.MethodPost, url+call.Path, call.Body, header)
}

// send makes one request to the platform and returns the response status. The
// request does not arrive after the end of the platform lease.
func (p *platformAgent) send(ctx context.Context, method, url string, body []byte, header http.Header) (int, error) {
	header.Set("Content-Type", "application/json")
	header.Set(headerFencingNumber, strconv.FormatUint(p.fencingNumber, 10))
	request := &caller.Request{Method: method, URL: url, Header: header, Body: body}
	status, err := caller.Send(ctx, request, p.holder.OperationTimeout(timer.Now()))
	return status, errors.Wrap(err, "calling the platform")
}
