package hedger_test

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/pkg/hedger"
)

func Example() {
	h := hedger.New(hedger.Config{Ratio: 0.05, Quantile: 0.95, MinimumDelay: 5 * time.Millisecond})
	now := time.Hour
	for range 100 {
		h.RecordRequest("search")
		h.RecordResponse(now, "search", "interactive", 20*time.Millisecond)
	}
	delay, known := h.Delay(now, "search", "interactive")
	fmt.Println(known, delay.Round(time.Millisecond))

	request := hedger.Request{Pool: "search", Class: "interactive", TimeLeft: time.Second, AttemptsLeft: 1}
	retryLeft := func() bool { return true }
	for _, load := range []hedger.Load{
		{Running: 4, Slots: 24, Others: 3},
		{Running: 4, Slots: 24, Others: 3, Waiting: 1},
		{Running: 20, Slots: 24, Others: 3},
	} {
		fmt.Printf("%q\n", h.Decide(now, request, load, retryLeft))
	}
	// Output:
	// true 22ms
	// ""
	// "capacity"
	// "capacity"
}
