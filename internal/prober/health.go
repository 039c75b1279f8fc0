package prober

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// healthTimeout bounds a question whether an upstream is healthy, which a request waits for.
const healthTimeout = 300 * time.Millisecond

// AskHealth asks an upstream at its health path and returns the response without its body.
func AskHealth(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "making a health request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "asking an upstream at its health path")
	}
	return response, errors.Wrap(response.Body.Close(), "closing a health response")
}
