package delimiter

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestGuard guards against a part of a response that is taken for a whole one, and against the reverse.
func TestGuard(t *testing.T) {
	tests := map[string]struct {
		written bool
		length  int64
		broken  bool
	}{
		"written, without a length":     {written: true, length: -1},
		"not written, without a length": {length: -1, broken: true},
		"not written, with a length":    {length: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var (
				request Request
				trace   httptrace.ClientTrace
			)
			request.Observe(&trace)
			if test.written {
				trace.WroteRequest(httptrace.WroteRequestInfo{})
			}
			response := &http.Response{ContentLength: test.length, Body: io.NopCloser(strings.NewReader("part"))}
			request.Guard(response)
			data, err := io.ReadAll(response.Body)
			if string(data) != "part" || errors.As(err, new(*UnsentError)) != test.broken {
				t.Errorf("read %q, %v", data, err)
			}
		})
	}
}
