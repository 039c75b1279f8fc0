package controller

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// BenchmarkServePoll measures a poll of an entry process that carries its load, at a control process
// that 50 of 300 entry processes poll.
func BenchmarkServePoll(b *testing.B) {
	const (
		hosts, domains = 300, 6
		// used is the number of upstreams that have requests of a host.
		used = 5
	)
	for _, upstreams := range []int{300, 3000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			s := &settings.Settings{Host: &settings.Host{Id: "c", FailureDomain: "0"}, Control: &settings.Control{}}
			c, err := New(s, Dialect{}, zap.NewNop(), instrumenter.New("control"))
			if err != nil {
				b.Fatal(err)
			}
			c.membership = &membershipManager{}
			now := timer.Now()
			for i := range upstreams {
				c.upstreamTable.Update(registrar.Upstream{
					ID: registrar.UpstreamID(fmt.Sprint("i-", i)), Incarnation: 1, Sequence: 1, URL: fmt.Sprint("http://", i), FailureDomain: registrar.FailureDomain(fmt.Sprint(i % domains)),
					Kind: registrar.KindService, Serves: []string{"pool"}, State: registrar.Serving, AnnouncedAt: now,
				}, true)
			}
			first, _ := c.upstreamTable.ChangesSince(tabulator.Reader{})
			requests := make([]*wire.Follow, hosts)
			for i := range requests {
				share := &wire.LoadShare{}
				for n := range used {
					share.Loads = append(share.Loads, &wire.UpstreamLoad{Upstream: fmt.Sprint("i-", (i*used+n)%upstreams), Requests: 1, Tokens: 1000})
				}
				requests[i] = &wire.Follow{
					Host: fmt.Sprint("e-", i), FailureDomain: fmt.Sprint(i % domains), AcceptsRenewals: true, LoadShare: share,
					Table: first.GetTable(), Position: first.GetPosition(), WantsEvidence: true,
				}
				c.servePoll(b.Context(), requests[i])
			}
			position := make([]uint64, hosts)
			b.ResetTimer()
			for i := range b.N {
				host := i % (hosts / domains)
				r := requests[host]
				r.LoadPosition = position[host]
				// Each poll changes the load of an upstream.
				r.LoadShare.Loads[0].Requests = int32(1 + i%7)
				reply := c.servePoll(b.Context(), r)
				position[host] = reply.GetFollow().GetLoadPosition()
			}
		})
	}
}
