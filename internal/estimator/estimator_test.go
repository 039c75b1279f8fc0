package estimator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func ExampleEstimator() {
	e := New()
	u := &registrar.Upstream{ID: "engine-1", FailureDomain: "a", Serves: []string{"m"}}
	own := &wire.LoadShare{Loads: []*wire.UpstreamLoad{{Upstream: "engine-1", Requests: 2}}}
	sums := &wire.FollowReply{Table: 7, Loads: []*wire.UpstreamLoad{{Upstream: "engine-1", Requests: 5}}}
	e.Apply(0, own, sums, func(registrar.UpstreamID) *registrar.Upstream { return u })
	others, known := e.LoadOfOthers(time.Second, u)
	fmt.Println(others.Requests, known)
	_, known = e.LoadOfOthers(time.Minute, u)
	fmt.Println(known)
	// Output:
	// 3 true
	// false
}
