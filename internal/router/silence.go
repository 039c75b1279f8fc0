package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/comfreybend/comfreybend/internal/restrainer"
)

const (
	// checksPerSilenceTimeout is the number of checks for silence within one silence
	// timeout.
	checksPerSilenceTimeout = 4
	// attemptPath is the path at which an upstream reports the progress of an attempt.
	attemptPath = "/upstream/v1/attempts/"
)

// AttemptReport is an upstream's report on the progress of an attempt.
type AttemptReport struct {
	// State is "running" or "finished".
	State string `json:"state"`
	// Events is the number of events sent so far.
	Events uint64 `json:"events"`
}

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
	url := at.grant.upstream.URL + attemptPath + string(at.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "probe could not be made"
	}
	response, err := u.probe.Do(request)
	// Headers or an event received meanwhile show that the connection works.
	if at.lastActivity.Load() != lastActive {
		return ""
	}
	if err != nil {
		return "upstream does not answer a probe"
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "upstream does not know the attempt"
	}
	var report AttemptReport
	if err = json.NewDecoder(response.Body).Decode(&report); err != nil {
		return "upstream's answer to a probe cannot be read"
	}
	if report.State != "running" {
		return "upstream has finished the attempt"
	}
	// Events skipped after a resumption are not counted as relayed, so an upstream that
	// repeated events also gets here.
	if report.Events > relayed {
		return "upstream has sent events that did not arrive"
	}
	return ""
}
