package controller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/leaser"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// chargeInterval is the time between looks at what the process in charge has to do.
	chargeInterval = 100 * time.Millisecond
	// actRetryInterval is the pause after a failed call, since calls are priced and limited.
	actRetryInterval = 500 * time.Millisecond
	// Headers of requests to the platform.
	headerFencingNumber = "Comfreybend-Fencing-Number"
	headerReport        = "Comfreybend-Report-Window"
)

// expiringConn is a connection on which nothing is written after a deadline
// on the monotonic clock.
type expiringConn struct {
	net.Conn
	deadline time.Duration
}

// charge acts towards the platform while this process alone is in charge.
type charge struct {
	controller *Controller
	holder     *leaser.Holder
	// fence is the fencing number of this process's leadership, zero before it is committed.
	fence     uint64
	fenceTerm leaser.Term
	orders    *orderer
	// retryAt is the time before which nothing is tried again after a failure.
	retryAt time.Duration
}

// runCharge follows the leadership and acts while it is held.
func (c *Controller) runCharge(ctx context.Context) error {
	s := c.settings.GetControl()
	longestAct := max(s.GetReporting().GetTimeout().AsDuration(), s.GetOrdering().GetTimeout().AsDuration())
	longestAct = min(longestAct, s.GetElectionTimeout().AsDuration()/2)
	ch := &charge{
		controller: c,
		holder: leaser.New(leaser.Config{
			LongestLease: max(s.GetElectionTimeout().AsDuration(), s.GetPlatformLease().AsDuration()),
			LongestAct:   longestAct,
		}),
	}
	ch.orders = newOrderer(ch)
	c.orders.Store(ch.orders)
	for ctx.Err() == nil {
		timer.Sleep(ctx, chargeInterval)
		if timer.Now() < ch.retryAt {
			continue
		}
		if err := ch.act(ctx); err != nil {
			ch.retryAt = timer.Now() + actRetryInterval
			c.log.Warn("acting towards the platform failed", zap.Error(err))
		}
	}
	return nil
}

// act does what is due now, if this process is in charge.
func (ch *charge) act(ctx context.Context) error {
	if !ch.observe() {
		return nil
	}
	if ch.fence == 0 {
		return ch.takeFence(ctx)
	}
	if err := ch.freezeWindow(ctx); err != nil {
		return err
	}
	if err := ch.sendWindows(ctx); err != nil {
		return err
	}
	return ch.orders.act(ctx)
}

// observe takes the latest lease into account and reports whether this process is in charge.
func (ch *charge) observe() bool {
	s := ch.controller.node.Status()
	if s.Role != replicator.Leader {
		ch.holder.Observe(timer.Now(), 0, 0)
	} else {
		ch.holder.Observe(timer.Now(), leaser.Term(s.Term), s.LeaseUntil)
	}
	if ch.holder.Term() != ch.fenceTerm {
		ch.fenceTerm = ch.holder.Term()
		ch.fence = 0
		ch.orders.reset()
		ch.controller.reports.reset(ch.controller.followers.trueTime(ch.controller.settings.GetHost().GetId()))
	}
	if ch.fence == 0 && s.LeaseUntil > 0 && s.Applied >= s.Commit && !ch.controller.keeper.FencingNumberIssued() {
		// The whole log, which a majority confirms, holds no fencing number.
		ch.holder.First()
	}
	return ch.holder.InCharge(timer.Now())
}

func (ch *charge) takeFence(ctx context.Context) error {
	host := ch.controller.settings.GetHost().GetId()
	command := &state.Command{Kind: &state.Command_Fence{Fence: &state.Fence{Holder: host}}}
	reply, err := ch.controller.propose(ctx, command)
	if err != nil {
		return errors.Wrap(err, "taking a fencing number")
	}
	ch.fence = reply.GetOutcome().GetRevision()
	ch.controller.log.Info("in charge of the platform", zap.Uint64("fencingNumber", ch.fence))
	return nil
}

// freezeWindow commits the figures of the window in progress once it is over.
func (ch *charge) freezeWindow(ctx context.Context) error {
	if ch.controller.settings.GetControl().GetAlignedWindow() != nil {
		return ch.freezeAligned(ctx)
	}
	s := ch.controller.settings.GetControl().GetReporting()
	start := ch.controller.keeper.WindowStart()
	now := time.Now().UnixMilli()
	if start == 0 || now-start < s.GetWindow().AsDuration().Milliseconds() {
		return nil
	}
	freeze := &state.FreezeWindow{EndMillis: now}
	_, err := ch.controller.propose(ctx, &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: freeze}})
	return errors.Wrap(err, "freezing a usage window")
}

// sendWindows sends every frozen window that the platform has not accepted, oldest first.
func (ch *charge) sendWindows(ctx context.Context) error {
	url := ch.controller.settings.GetControl().GetReporting().GetUrl()
	if url == "" {
		return nil
	}
	for _, w := range ch.controller.keeper.UnsentWindows() {
		if !ch.observe() {
			return nil
		}
		if err := ch.sendWindow(ctx, url, w); err != nil {
			return err
		}
		sent := &state.WindowSent{Number: w.GetNumber()}
		_, err := ch.controller.propose(ctx, &state.Command{Kind: &state.Command_WindowSent{WindowSent: sent}})
		if err != nil {
			return errors.Wrap(err, "recording a sent window")
		}
	}
	return nil
}

// sendWindow sends the frozen bytes of a window.
func (ch *charge) sendWindow(ctx context.Context, url string, w *state.Window) error {
	if ch.controller.dialect.Usage != nil {
		return ch.sendAligned(ctx, url, w)
	}
	header := http.Header{headerReport: {strconv.FormatUint(w.GetNumber(), 10)}}
	status, err := ch.send(ctx, http.MethodPut, url, w.GetReport(), header)
	if err != nil {
		return errors.Wrap(err, "sending a usage report")
	}
	if status/100 != 2 {
		return errors.Errorf("the platform refused window %d with status %d", w.GetNumber(), status)
	}
	return nil
}

// sendAligned sends the frozen bytes of an aligned window in the platform's own form.
func (ch *charge) sendAligned(ctx context.Context, url string, w *state.Window) error {
	call, err := ch.controller.dialect.Usage(Report{Window: w.GetNumber()})
	if err != nil {
		return errors.Wrap(err, "making a usage report")
	}
	call.Body = w.GetReport()
	status, err := ch.makeCall(ctx, url, call)
	if err != nil {
		return errors.Wrap(err, "sending a usage report")
	}
	if status/100 != 2 {
		return errors.Errorf("the platform refused window %d with status %d", w.GetNumber(), status)
	}
	ch.controller.log.Info("usage report accepted", zap.Uint64("window", w.GetNumber()), zap.Uint64("fencingNumber", ch.fence))
	return nil
}

func (ch *charge) makeCall(ctx context.Context, url string, call Call) (int, error) {
	header := call.Header(ch.controller.settings.GetHost().GetId(), ch.fence)
	return ch.send(ctx, http.MethodPost, url+call.Path, call.Body, header)
}

// send makes one request to the platform under a deadline that ends before the
// lease does, and returns the status of the answer.
func (ch *charge) send(ctx context.Context, method, url string, body []byte, header http.Header) (int, error) {
	remaining := ch.holder.Remaining(timer.Now())
	deadline := timer.Now() + remaining
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "making a request to the platform")
	}
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerFencingNumber, strconv.FormatUint(ch.fence, 10))
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, dialErr := (&net.Dialer{}).DialContext(ctx, network, address)
			return &expiringConn{Conn: conn, deadline: deadline}, dialErr
		},
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "calling the platform")
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

// Write refuses once the deadline has passed, also when the process was
// stopped in the meantime and timers have not fired yet.
func (c *expiringConn) Write(data []byte) (int, error) {
	if timer.Now() >= c.deadline {
		return 0, errors.New("the time in charge has passed")
	}
	return c.Conn.Write(data)
}
