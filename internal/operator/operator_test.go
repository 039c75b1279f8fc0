package operator

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/comfreybend/comfreybend/schema/state"
)

// newTestClient returns a client of a server that sends the given responses in order and
// then repeats the last one, and a counter of the requests that the server received.
func newTestClient(t *testing.T, statuses []int, bodies []string) (*Client, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i := min(int(calls.Add(1)), len(statuses)) - 1
		w.WriteHeader(statuses[i])
		_, _ = io.WriteString(w, bodies[i])
	}))
	t.Cleanup(server.Close)
	return New([]string{server.URL}, "token"), &calls
}

// TestReadDuringElection checks that a read is retried while there is no leader.
func TestReadDuringElection(t *testing.T) {
	client, calls := newTestClient(t, []int{504, 503, 200}, []string{"{}", "{}", `{"revision": "7"}`})
	reply, err := client.Read(t.Context(), "configuration")
	if err != nil || reply.GetRevision() != 7 || calls.Load() != 3 {
		t.Errorf("revision %d, error %v, %d calls", reply.GetRevision(), err, calls.Load())
	}
}

func TestChangeOutcomes(t *testing.T) {
	tests := map[string]struct {
		statuses []int
		bodies   []string
		accepted bool
		refused  bool
		status   int
	}{
		"accepted":                {[]int{200}, []string{`{"accepted": true, "revision": "1"}`}, true, false, 0},
		"accepted after an error": {[]int{504, 200}, []string{"{}", `{"accepted": true, "revision": "1"}`}, true, false, 0},
		"conflict":                {[]int{409}, []string{`{"accepted": false, "reason": "conflict"}`}, false, true, 0},
		"not an operator":         {[]int{401}, []string{"{}"}, false, false, 401},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := newTestClient(t, test.statuses, test.bodies)
			_, err := client.Change(t.Context(), &state.Operation{}, 0, "id")
			var (
				refused  *RefusedError
				response *ResponseError
			)
			if (err == nil) != test.accepted || errors.As(err, &refused) != test.refused {
				t.Errorf("error %v", err)
			}
			if errors.As(err, &response) != (test.status != 0) || response != nil && response.Status != test.status {
				t.Errorf("error %v", err)
			}
		})
	}
}
