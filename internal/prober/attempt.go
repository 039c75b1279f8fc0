package prober

import (
	"context"
	"encoding/json"
	"net/http"
)

// AttemptReport is an upstream's report on the progress of an attempt.
type AttemptReport struct {
	// State is "running" or "finished".
	State string `json:"state"`
	// Events is the number of events sent so far.
	Events uint64 `json:"events"`
}

// AskAttempt asks an upstream about an attempt. It returns why there is no report, or an empty string.
func AskAttempt(ctx context.Context, client *http.Client, url string) (report AttemptReport, problem string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return report, "probe could not be made"
	}
	response, err := client.Do(request)
	if err != nil {
		return report, "upstream does not answer a probe"
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, "upstream does not know the attempt"
	}
	if err = json.NewDecoder(response.Body).Decode(&report); err != nil {
		return report, "upstream's answer to a probe cannot be read"
	}
	return report, ""
}
