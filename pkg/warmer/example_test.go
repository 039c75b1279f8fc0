package warmer_test

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/warmer"
)

// A host sends what it may to an upstream that is cold for three seconds and tolerates five requests a
// second, and anything once it is warm.
func Example() {
	self := apportioner.HostOf("entry-1")
	w := warmer.New(self, warmer.Bounds{Overrun: 1.5, Tolerance: 5})
	at := func(local time.Duration) warmer.Moment {
		return warmer.Moment{Agreed: time.Unix(1_790_000_000, 0).Add(local), Local: local}
	}
	w.SetHosts(at(0), []apportioner.Host{self})
	w.Observe(at(10*time.Second), warmer.Report{Upstream: "engine-1", EndsAt: 13 * time.Second, MadeAt: 10 * time.Second})
	sent := 0
	for now := 11 * time.Second; now < 13*time.Second; now += 50 * time.Millisecond {
		if _, ok := w.Take(at(now), "engine-1", 5); ok {
			sent++
		}
	}
	fmt.Println("sent in two seconds:", sent)
	fmt.Println("warm:", w.Warmed(at(15*time.Second)))
	// Output:
	// sent in two seconds: 13
	// warm: [engine-1]
}
