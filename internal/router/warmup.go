package router

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/prober"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// setWarmUps applies what the pools of a configuration say of cold upstreams.
func (r *Router) setWarmUps(catalog *configurer.Catalog) {
	if r.restrainer.SetPools(catalog.Configuration().GetPools()) {
		r.dispatcher.observeWarmUps()
	}
}

// observeWarmUps records again until when all upstreams are cold.
func (d *dispatcher) observeWarmUps() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Each(d.restrainer.ObserveAnnouncement)
}

// handleWarmUp records for how long the upstream is cold, if its response says so.
func (r *Router) handleWarmUp(at *attempt, info translator.ResponseInfo) {
	if info.WarmUpLeft != nil && !info.FromIntermediary && at.response.StatusCode != http.StatusMisdirectedRequest {
		r.restrainer.ObserveWarmUp(at.grant.upstream, *info.WarmUpLeft, r.dispatcher.now()-at.startedAt)
	}
}

// askWarmUp asks an upstream whether it is cold if no control process would have told. An upstream
// that does not answer is sent the request: what it gets then tells whether it serves.
func (r *Router) askWarmUp(ctx context.Context, u *registrar.Upstream) {
	path := r.restrainer.HealthPath(u)
	if path == "" {
		return
	}
	askedAt := r.dispatcher.now()
	response, err := prober.AskHealth(ctx, r.upstreamClient.probe, u.URL+path) //nolint:bodyclose // AskHealth closes it.
	r.restrainer.Checked(u)
	if err != nil {
		r.log.Debug("asking an upstream whether it is cold failed", zap.String("upstream", string(u.ID)), zap.Error(err))
		return
	}
	if left := r.dialect.ParseResponse(response).WarmUpLeft; left != nil {
		r.restrainer.ObserveWarmUp(u, *left, r.dispatcher.now()-askedAt)
	}
}
