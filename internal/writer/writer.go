// Package writer writes responses to clients and bounds the time that a write may block.
package writer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	copyBufferBytes = 32 << 10
	// deadlineRenewalDivisor sets how often the write deadline is renewed: once
	// 1/deadlineRenewalDivisor of the write timeout has passed since it was set.
	deadlineRenewalDivisor = 8
	// Final statuses have three digits, of which the first is 2 to 5 (RFC 9110, section 15).
	minFinalStatus = 200
	maxFinalStatus = 599
)

type (
	// Client writes to a client.
	Client struct {
		// Started reports that the headers of a stream have been written. The user sets it.
		Started bool

		w       http.ResponseWriter
		control *http.ResponseController
		timeout time.Duration
		// deadlineSetAt is when the write deadline was last set.
		deadlineSetAt time.Time
	}

	// OversizedError reports a response that is larger than the limit, such as one
	// without end.
	OversizedError struct {
		// Limit is in bytes.
		Limit int64
	}
)

// Error implements error.
func (e *OversizedError) Error() string {
	return "the answer is larger than the limit of " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// New returns a writer to a client. timeout bounds a write.
func New(w http.ResponseWriter, timeout time.Duration) *Client {
	return &Client{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// IsFinalStatus reports whether a response with a status ends an exchange. net/http accepts any three digits
// from an upstream, and panics if a status below 100 is written.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// Header returns the header of the response.
func (c *Client) Header() http.Header { return c.w.Header() }

// WriteHeader writes the status and the header.
func (c *Client) WriteHeader(status int) { c.w.WriteHeader(status) }

// Write writes data with a deadline. The deadline is renewed only after a
// fraction of the timeout, because a stream has many small writes.
func (c *Client) Write(data []byte) error {
	if now := time.Now(); now.Sub(c.deadlineSetAt) > c.timeout/deadlineRenewalDivisor {
		c.deadlineSetAt = now
		_ = c.control.SetWriteDeadline(now.Add(c.timeout))
	}
	_, err := c.w.Write(data)
	return errors.Wrap(err, "writing to the caller")
}

// Flush sends what has been written.
func (c *Client) Flush() error {
	return errors.Wrap(c.control.Flush(), "flushing to the caller")
}

// Copy copies the rest of a response of which copied bytes have been sent. A
// response may have limit bytes. It returns errors of the upstream and of the client
// separately.
func (c *Client) Copy(body io.Reader, copied, limit int64) (upstreamErr, clientErr error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		copied += int64(n)
		if copied > limit {
			return &OversizedError{Limit: limit}, nil
		}
		if n > 0 {
			if clientErr = c.Write(buffer[:n]); clientErr != nil {
				return nil, clientErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the answer"), nil
		}
	}
}
