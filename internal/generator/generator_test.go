package generator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/schema/experiment"
)

// TestTakeUps guards against a report in which streams of two versions, or with missing events,
// count as whole, and against streams that are begun again instead of taken up.
func TestTakeUps(t *testing.T) {
	const (
		tokens = 6
		cut    = 3
	)
	tests := map[string]struct {
		// version is that of the tokens after the take-up, skip the number of events left out there.
		version string
		skip    int
		takeUps int32
		// refused is whether the take-up is refused.
		refused              bool
		answered, wentOn     uint32
		joined, takenUpAgain uint32
	}{
		"goes on":                 {version: "v1", takeUps: 2, answered: 1, wentOn: 1},
		"joined":                  {version: "v2", takeUps: 2, answered: 1, wentOn: 1, joined: 1},
		"an event is missing":     {version: "v1", skip: 1, takeUps: 2, answered: 1, wentOn: 1, joined: 1},
		"an event comes twice":    {version: "v1", skip: -1, takeUps: 2, answered: 1, wentOn: 1, joined: 1},
		"refused twice":           {takeUps: 2, refused: true, takenUpAgain: 1},
		"take-ups are not wanted": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var begun atomic.Int64
			first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEventID) != "" {
					w.WriteHeader(http.StatusGone)
					return
				}
				begun.Add(1)
				w.Header().Set(headerAttempt, "attempt-1")
				sendTokens(w, 1, cut, "v1")
				panic(http.ErrAbortHandler)
			}))
			defer first.Close()
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				after, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
				if test.refused || r.Header.Get(headerResumes) != "attempt-1" || after != cut {
					w.WriteHeader(http.StatusGone)
					return
				}
				sendTokens(w, after+1+test.skip, tokens, test.version)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokens+1)
			}))
			defer second.Close()
			report := New(&experiment.Plan{Duration: durationpb.New(time.Second), Streams: []*experiment.Stream{{
				Urls: []string{first.URL, second.URL}, Rate: 1, TakeUps: test.takeUps, Bursts: []*experiment.Burst{{To: durationpb.New(time.Hour), Factor: 3}},
			}}}).Run(t.Context()).GetStreams()[0]
			n := uint32(begun.Load())
			if report.GetSent() < n || n == 0 {
				t.Fatalf("%d requests begun of %d", n, report.GetSent())
			}
			takenUp := (test.wentOn + test.takenUpAgain) * n
			if test.takenUpAgain > 0 {
				takenUp = uint32(test.takeUps) * n
			}
			if report.GetTakenUp() != takenUp || report.GetWentOn() != test.wentOn*n || report.GetJoined() != test.joined*n || report.GetAnswered() != test.answered*n {
				t.Errorf("%d begun: %d taken up, %d went on, %d joined, %d answered; want %d, %d, %d, %d", n, report.GetTakenUp(), report.GetWentOn(),
					report.GetJoined(), report.GetAnswered(), takenUp, test.wentOn*n, test.joined*n, test.answered*n)
			}
		})
	}
}

// sendTokens sends events with the tokens of an emulated engine.
func sendTokens(w http.ResponseWriter, first, last int, version string) {
	for n := first; n <= last; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"token%d%s \"}}]}\n\n", n, n, version)
	}
	_ = http.NewResponseController(w).Flush()
}
