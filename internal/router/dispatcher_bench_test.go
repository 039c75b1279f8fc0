package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

// BenchmarkDispatch measures acquiring and releasing an upstream for one request, by the
// size of the pool.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ upstreams, models int }{{10, 1}, {100, 1}, {700, 1}, {700, 17}} {
		b.Run(fmt.Sprintf("upstreams=%d/models=%d", size.upstreams, size.models), func(b *testing.B) {
			s := &settings.Settings{Host: &settings.Host{Id: "e", FailureDomain: "a"}, Entry: &settings.Entry{}}
			validator.FillDefaults(s)
			r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			r.dispatcher.now = func() time.Duration { return now }
			for i := range size.upstreams {
				r.dispatcher.applyAnnouncement(registrar.Upstream{
					ID: registrar.UpstreamID(fmt.Sprint("u", i)), Incarnation: 1, Sequence: 1, URL: "http://127.0.0.1:1",
					FailureDomain: "a", Kind: registrar.KindModel, Serves: []string{fmt.Sprint("m", i%size.models)}, State: registrar.Serving,
					Load: registrar.Load{Slots: 64, MeasuredAt: now}, AnnouncedAt: now,
				})
			}
			request := dispatchRequest{
				pool:  poolKey{kind: registrar.KindModel, name: "m0"},
				class: &state.Class{Name: "c", Tier: 1}, organisation: "one",
				deadline: now + time.Hour, arrived: now, pick: picker.Request{Prefix: "p", Retryable: true},
			}
			b.ReportAllocs()
			for b.Loop() {
				g, refusal := r.dispatcher.acquire(context.Background(), request)
				if refusal != nil {
					b.Fatal(refusal)
				}
				r.dispatcher.release(g, outcomeAnswered, 100)
			}
		})
	}
}
