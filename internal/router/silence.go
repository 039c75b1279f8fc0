package router

import (
	"context"
	"time"

	"github.com/comfreybend/comfreybend/internal/prober"
	"github.com/comfreybend/comfreybend/internal/restrainer"
)

const (
	// checksPerSilenceTimeout is the number of checks for silence within one silence
	// timeout.
	checksPerSilenceTimeout = 4
	// attemptPath is the path at which an upstream reports the progress of an attempt.
	attemptPath = "/upstream/v1/attempts/"
)

// watchSilence cancels an attempt whose connection is no longer usable. If nothing was
// received for the silence timeout, or leaseEnded was closed, it asks the upstream about
// the attempt on a new connection. The attempt is cancelled if the upstream does not
// respond, does not know it, has finished it or has sent events that have not arrived. No
// check is made while a write to the client blocks.
func (u *upstreamClient) watchSilence(ctx context.Context, at *attempt) {
	timeout := u.limits.GetSilenceTimeout().AsDuration()
	ticker := time.NewTicker(timeout / checksPerSilenceTimeout)
	defer ticker.Stop()
	leaseEnded := at.grant.state.leaseEnded
	lastCheck := at.startedAt
	for {
		probeNow := false
		select {
		case <-ctx.Done():
			return
		case <-at.done:
			return
		case <-leaseEnded:
			leaseEnded = nil
			probeNow = true
		case <-ticker.C:
		}
		now := u.now()
		silentSince := max(time.Duration(at.lastActivity.Load()), lastCheck)
		if at.writingToClient.Load() || !probeNow && now-silentSince < timeout {
			continue
		}
		if _, err := u.admit(at.grant.upstream, restrainer.Reservation{}); err != nil {
			continue
		}
		lastCheck = now
		if reason := u.probeAttempt(ctx, at); reason != "" {
			at.cancel(&silentConnectionError{Reason: reason})
			return
		}
	}
}

// probeAttempt asks the upstream about an attempt on a new connection. It returns why the
// attempt is to be cancelled, or an empty string.
func (u *upstreamClient) probeAttempt(ctx context.Context, at *attempt) string {
	relayed := at.eventsRelayed.Load()
	lastActive := at.lastActivity.Load()
	report, problem := prober.AskAttempt(ctx, u.probe, at.grant.upstream.URL+attemptPath+string(at.id))
	switch {
	case at.lastActivity.Load() != lastActive:
		// Headers or an event received meanwhile show that the connection works.
		return ""
	case problem != "":
		return problem
	case report.State != "running":
		return "upstream has finished the attempt"
	case report.Events > relayed:
		// Events skipped after a resumption are not counted as relayed, so an upstream that
		// repeated events also gets here.
		return "upstream has sent events that did not arrive"
	default:
		return ""
	}
}
