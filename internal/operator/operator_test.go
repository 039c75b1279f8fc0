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

// answers serves one answer after the other, the last one for good.
func answers(t *testing.T, statuses []int, bodies []string) (*Client, *atomic.Int64) {
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

// TestReadDuringAnElection gets no answer at first, as while a leader is elected.
func TestReadDuringAnElection(t *testing.T) {
	client, calls := answers(t, []int{504, 503, 200}, []string{"{}", "{}", `{"revision": "7"}`})
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
		answered int
	}{
		"accepted":              {[]int{200}, []string{`{"accepted": true, "revision": "1"}`}, true, false, 0},
		"accepted after a loss": {[]int{504, 200}, []string{"{}", `{"accepted": true, "revision": "1"}`}, true, false, 0},
		"conflict":              {[]int{409}, []string{`{"accepted": false, "reason": "conflict"}`}, false, true, 0},
		"not an operator":       {[]int{401}, []string{"{}"}, false, false, 401},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := answers(t, test.statuses, test.bodies)
			_, err := client.Change(t.Context(), &state.Operation{}, 0, "id")
			var (
				refused  *RefusedError
				answered *ResponseError
			)
			if (err == nil) != test.accepted || errors.As(err, &refused) != test.refused {
				t.Errorf("error %v", err)
			}
			if errors.As(err, &answered) != (test.answered != 0) || answered != nil && answered.Status != test.answered {
				t.Errorf("error %v", err)
			}
		})
	}
}
