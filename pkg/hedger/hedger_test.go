package hedger

import (
	"math"
	"testing"
	"time"
)

// TestDecide guards against copies that the settings, the capacity, the attempts or the deadline do
// not allow, and against a retry that is used up for a copy that is not sent.
func TestDecide(t *testing.T) {
	idle := Load{Running: 1, Slots: 24, Others: 3}
	sound := Request{Pool: "p", Class: "c", TimeLeft: time.Second, AttemptsLeft: 1}
	tests := map[string]struct {
		ratio   float64
		load    func(*Load)
		request func(*Request)
		noRetry bool
		want    Reason
		// asked reports that the retry budget is asked.
		asked bool
	}{
		"sent":                        {ratio: 1, want: Sent, asked: true},
		"ratio of zero":               {want: RatioUsedUp},
		"not enough requests":         {ratio: 0.009, want: RatioUsedUp},
		"no retry left":               {ratio: 1, noRetry: true, want: RetryBudgetUsedUp, asked: true},
		"a request waits":             {ratio: 1, load: func(l *Load) { l.Waiting = 1 }, want: ShortOfCapacity},
		"half of the slots in use":    {ratio: 1, load: func(l *Load) { l.Running = 12 }, want: Sent, asked: true},
		"most slots in use":           {ratio: 1, load: func(l *Load) { l.Running = 13 }, want: ShortOfCapacity},
		"no other upstream":           {ratio: 1, load: func(l *Load) { l.Others = 0 }, want: NoUpstream},
		"no attempt left":             {ratio: 1, request: func(r *Request) { r.AttemptsLeft = 0 }, want: NoAttempt},
		"too late":                    {ratio: 1, request: func(r *Request) { r.TimeLeft = 9 * time.Millisecond }, want: NoTime},
		"barred":                      {ratio: 1, request: func(r *Request) { r.Barred = true }, want: Barred},
		"other pool without requests": {ratio: 1, request: func(r *Request) { r.Pool = "q" }, want: RatioUsedUp},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(Config{Ratio: test.ratio, Quantile: 0.95, MinimumDelay: time.Millisecond})
			for range 100 {
				h.RecordRequest("p")
				h.RecordResponse(0, "p", "c", 10*time.Millisecond)
			}
			request, load := sound, idle
			if test.request != nil {
				test.request(&request)
			}
			if test.load != nil {
				test.load(&load)
			}
			asked := false
			got := h.Decide(0, request, load, func() bool { asked = true; return !test.noRetry })
			if got != test.want || asked != test.asked {
				t.Errorf("reason %q, asked %t, want %q, %t", got, asked, test.want, test.asked)
			}
		})
	}
}

// TestDelay guards against a delay that does not follow the recent response times: one taken from too
// few of them, from old ones, or from requests that were cancelled as if they had been answered.
func TestDelay(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		record func(*Hedger)
		now    time.Duration
		// low and high are the limits of the delay; both are zero if none may be known.
		low, high time.Duration
	}{
		"nothing": {record: func(*Hedger) {}},
		"too few": {record: func(h *Hedger) { record(h, 0, 19, 10*ms) }},
		"of another class": {record: func(h *Hedger) {
			for range 100 {
				h.RecordResponse(0, "p", "other", 10*ms)
			}
		}},
		"quantile": {record: func(h *Hedger) { record(h, 0, 96, 10*ms); record(h, 0, 4, 500*ms) }, low: 10 * ms, high: 11 * ms},
		"slow tail above the quantile": {
			record: func(h *Hedger) { record(h, 0, 90, 10*ms); record(h, 0, 10, 500*ms) }, low: 500 * ms, high: 550 * ms,
		},
		"minimum": {record: func(h *Hedger) { record(h, 0, 100, 100*time.Microsecond) }, low: 5 * ms, high: 5 * ms},
		"recent": {
			record: func(h *Hedger) { record(h, 0, 1000, 500*ms); record(h, 20*time.Minute, 100, 10*ms) },
			now:    20 * time.Minute, low: 10 * ms, high: 11 * ms,
		},
		"forgotten": {record: func(h *Hedger) { record(h, 0, 100, 10*ms) }, now: 20 * time.Minute},
		"cancelled ones are lower bounds": {record: func(h *Hedger) {
			record(h, 0, 80, 10*ms)
			for range 20 {
				h.RecordUnanswered(0, "p", "c", 8*ms)
			}
			record(h, 0, 5, 100*ms)
		}, low: 100 * ms, high: 110 * ms},
		"all slow ones cancelled": {record: func(h *Hedger) {
			record(h, 0, 80, 10*ms)
			for range 20 {
				h.RecordUnanswered(0, "p", "c", 40*ms)
			}
		}, low: 40 * ms, high: 44 * ms},
		"longer than the last bucket": {record: func(h *Hedger) { record(h, 0, 100, time.Hour) }, low: 13 * time.Minute, high: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(Config{Quantile: 0.95, MinimumDelay: 5 * ms})
			test.record(h)
			got, known := h.Delay(test.now, "p", "c")
			if known != (test.high > 0) || known && (got < test.low || got > test.high) {
				t.Errorf("delay %v, known %t, want %v to %v", got, known, test.low, test.high)
			}
		})
	}
}

func record(h *Hedger, now time.Duration, count int, took time.Duration) {
	for range count {
		h.RecordResponse(now, "p", "c", took)
	}
}

// TestSavedCopies guards against a process that saves up copies without end in calm times.
func TestSavedCopies(t *testing.T) {
	h := New(Config{Ratio: 1, Quantile: 0.95})
	for range 1000 {
		h.RecordRequest("p")
	}
	sent := 0
	for range 1000 {
		if h.Decide(0, Request{Pool: "p", AttemptsLeft: 1}, Load{Slots: 1, Others: 1}, func() bool { return true }) == Sent {
			sent++
		}
	}
	if sent != maxSaved {
		t.Errorf("%d copies without a further request, want %d", sent, maxSaved)
	}
}

// TestBuckets guards against times that fall into a bucket whose bound is below them.
func TestBuckets(t *testing.T) {
	for took := time.Microsecond; took < 10*time.Minute; took = took*21/20 + 1 {
		bound := upperBound(bucketOf(took))
		if bound < took-1 || took > shortestTime && float64(bound) > float64(took)*math.Exp2(1.0/bucketsPerDoubling)+1 {
			t.Fatalf("%v is in the bucket up to %v", took, bound)
		}
	}
}
