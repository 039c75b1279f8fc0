package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// silenceChecks is how often silence is looked at within the silence timeout.
	silenceChecks = 4
	// attemptPath is where an upstream says how far an attempt has come.
	attemptPath = "/upstream/v1/attempts/"
)

// AttemptReport is an upstream's answer about one attempt.
type AttemptReport struct {
	// State is "running" or "finished".
	State string `json:"state"`
	// Events is the number of events sent so far.
	Events uint64 `json:"events"`
}

// watchSilence gives an attempt's connection up when it has fallen silent. A silent
// connection, or one to an upstream whose announcement lease has ended, is
// compared with a probe on a new connection: if the upstream does not answer,
// does not know the attempt, or has sent events that never arrived, the old
// connection is given up.
func (a *upstreamClient) watchSilence(ctx context.Context, at *attempt) {
	silence := a.limits.GetSilenceTimeout().AsDuration()
	ticker := time.NewTicker(silence / silenceChecks)
	defer ticker.Stop()
	lost := at.grant.state.lost
	checked := at.started
	for {
		leaseEnded := false
		select {
		case <-ctx.Done():
			return
		case <-at.done:
			return
		case <-lost:
			lost = nil
			leaseEnded = true
		case <-ticker.C:
		}
		now := a.now()
		quietSince := max(time.Duration(at.lastActivity.Load()), checked)
		if at.writingToClient.Load() || !leaseEnded && now-quietSince < silence {
			continue
		}
		checked = now
		if verdict := a.compare(ctx, at); verdict != "" {
			at.cancel(&silentConnectionError{Reason: verdict})
			return
		}
	}
}

// compare asks the upstream on a new connection about the attempt. It returns
// why the old connection is to be given up, or an empty string.
func (a *upstreamClient) compare(ctx context.Context, at *attempt) string {
	seen := at.eventsReceived.Load()
	before := at.lastActivity.Load()
	url := at.grant.upstream.URL + attemptPath + string(at.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "probe could not be made"
	}
	response, err := a.probe.Do(request)
	if at.lastActivity.Load() != before {
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
	if report.Events > seen {
		return "upstream has sent events that did not arrive"
	}
	return ""
}
