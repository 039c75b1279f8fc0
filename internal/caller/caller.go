// Package caller makes HTTP requests that must not arrive after a deadline, such as those that a
// lease allows.
package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

// kernelMargin is the time by which the timeout of the kernel is longer than the limit.
const kernelMargin = 500 * time.Millisecond

type (
	// Request is what Send sends.
	Request struct {
		Method, URL string
		Header      http.Header
		Body        []byte
	}

	// ExpiredError reports a write after the deadline.
	ExpiredError struct {
		// Late is the time since the limit.
		Late time.Duration
	}

	// expiringConn is a connection that refuses writes after a deadline on the monotonic clock.
	expiringConn struct {
		net.Conn
		deadline time.Duration
	}
)

// Error implements error.
func (e *ExpiredError) Error() string { return "the deadline passed " + e.Late.String() + " ago" }

// Send makes one request on a connection of its own and returns the response status. Nothing is
// sent after the deadline, also if the process stands still meanwhile, and what the other end has
// not acknowledged by then is discarded.
func Send(ctx context.Context, r *Request, limit time.Duration) (status int, err error) {
	deadline := timer.Now() + limit
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return 0, errors.Wrap(err, "creating a request")
	}
	// Without GetBody the HTTP client cannot send the request a second time, after a lost
	// connection or a redirect.
	request.GetBody = nil
	request.Header = r.Header
	// The timeout of the kernel is for a process that stands still when the limit passes.
	direct := &net.Dialer{Control: dialer.DiscardOnClose(dialer.UserTimeout(limit + kernelMargin))}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, dialErr := direct.DialContext(ctx, network, address)
			return &expiringConn{Conn: conn, deadline: deadline}, dialErr
		},
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// Write fails once the deadline has passed. It checks the clock itself, since after a pause of the
// process the timer of the context may not have fired yet.
func (c *expiringConn) Write(data []byte) (int, error) {
	if late := timer.Now() - c.deadline; late >= 0 {
		return 0, &ExpiredError{Late: late}
	}
	return c.Conn.Write(data)
}
