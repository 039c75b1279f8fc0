package router

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// failedSyncsPerFreshness is the number of sync requests that can time out,
	// one after another, before the freshness of the configuration ends.
	failedSyncsPerFreshness = 4
	// hedgeDelay is the time without a reply after which the next control process
	// is asked as well.
	hedgeDelay = 200 * time.Millisecond
)

type (
	// controlPlane connects the entry process to the control processes: it keeps
	// the configuration in sync with them, checks API keys against it, and
	// proposes commands. The configuration is fresh for a fixed time, counted from
	// the sending of the last sync request with a reply from a leader that a quorum
	// had confirmed.
	controlPlane struct {
		router         *Router
		controlClients *ranker.Ranker
		syncInterval   time.Duration
		freshness      time.Duration
		now            func() time.Duration

		catalog atomic.Pointer[configurer.Catalog]
		// freshUntil is the monotonic time in nanoseconds when the freshness ends.
		freshUntil atomic.Int64

		// syncMu is held while a sync request is in progress.
		syncMu sync.Mutex
		// applyMu is held while a configuration is applied.
		applyMu sync.Mutex
		// confirmed is the revision that a quorum has confirmed to be the latest one at
		// confirmedAt, zero before the first time. applyMu guards them.
		confirmed   configurer.Revision
		confirmedAt time.Duration
		// outdated is the first configuration of this process if a later one was confirmed before it
		// arrived. It is not in force; the changes after it lead to the first one that is. applyMu guards it.
		outdated *configurer.Catalog

		// syncRequested makes run send the next sync request without delay.
		syncRequested chan struct{}
		// usagePushedAt is when the latest sync request with a valid reply was sent, at
		// first the start of the process. Usage since then is unreported.
		usagePushedAt time.Duration
		// departures is the position reached in the committed departures of upstreams. syncMu
		// guards it.
		departures registrar.Position
	}

	// syncResult is the result of a sync request to one control process.
	syncResult struct {
		client *messenger.Client
		reply  *wire.SyncReply
		err    error
	}

	// delivery is how a configuration has arrived. It is logged.
	delivery struct {
		// control is the address of the control process.
		control string
		// request is the kind of request that the configuration is the reply to.
		request string
		// bytes is the encoded size.
		bytes int
		// age is the time from the control process's application of the revision until it
		// replied.
		age time.Duration
	}

	// identity is the organisation that a call runs for and the key that
	// authenticates it; the zero value is anonymous.
	identity struct {
		organisation configurer.OrganisationID
		// hash is the hash of the key.
		hash configurer.KeyHash
		// hasKey is false if the call is anonymous.
		hasKey bool
	}

	// earlierRevisionError reports a reply with an earlier revision than the one in use or
	// confirmed.
	earlierRevisionError struct {
		Held     configurer.Revision
		Received configurer.Revision
	}
)

// Error implements error.
func (e *earlierRevisionError) Error() string {
	return "control process answered with an earlier revision"
}

func newControlPlane(r *Router) *controlPlane {
	e := r.settings.GetEntry()
	p := &controlPlane{
		router:       r,
		syncInterval: e.GetSyncInterval().AsDuration(),
		freshness:    e.GetFreshness().AsDuration(),
		now:          timer.Now,
	}
	p.usagePushedAt = p.now()
	p.controlClients = r.controlClients
	p.syncRequested = make(chan struct{}, 1)
	return p
}

// run sends sync requests at the sync interval, or earlier on requestSync, until
// ctx ends.
func (p *controlPlane) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.syncOnce(ctx, false)
		select {
		case <-ctx.Done():
		case <-p.syncRequested:
		case <-time.After(p.syncInterval):
		}
	}
	p.controlClients.Close()
	return nil
}

// syncOnce sends a hedged sync request: it asks the control processes in order
// of preference, and asks the next one too if a request fails or takes longer
// than hedgeDelay. The first valid reply is applied. final marks the usage in the
// request as the last usage push of the process.
func (p *controlPlane) syncOnce(ctx context.Context, final bool) {
	p.syncMu.Lock()
	defer p.syncMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.freshness/failedSyncsPerFreshness)
	defer cancel()
	sentAt := p.now()
	request := &wire.Request{Kind: &wire.Request_Sync{Sync: p.newSyncRequest(sentAt, final)}}
	clients := p.controlClients.All()
	results := make(chan syncResult, len(clients))
	asked, failed := 0, 0
	for failed < len(clients) {
		if asked < len(clients) {
			go sendSync(ctx, clients[asked], request, results)
			asked++
		}
		var next <-chan time.Time
		if asked < len(clients) {
			next = time.After(hedgeDelay)
		}
		select {
		case <-ctx.Done():
			failed = len(clients)
		case <-next:
		case result := <-results:
			if result.err == nil {
				result.err = p.applyReply(sentAt, configurer.Revision(request.GetSync().GetHaveRevision()), result)
			}
			if result.err == nil {
				return
			}
			failed++
			p.handleSyncFailure(result)
		}
	}
	if ctx.Err() == nil || p.now()-sentAt >= p.freshness/failedSyncsPerFreshness {
		p.router.metrics.SyncFailures.Inc(1)
	}
}

// sendSync sends the request to one control process and delivers the result.
func sendSync(ctx context.Context, client *messenger.Client, request *wire.Request, results chan<- syncResult) {
	reply, err := client.Call(ctx, request)
	results <- syncResult{client: client, reply: reply.GetSync(), err: err}
}

// handleSyncFailure logs a failed sync request. An unreachable control process is
// tried after the others for a time.
func (p *controlPlane) handleSyncFailure(result syncResult) {
	p.router.log.Debug("sync request to a control process failed",
		zap.String("control", result.client.Address()), zap.Error(result.err))
	var earlier *earlierRevisionError
	if errors.As(result.err, &earlier) {
		p.router.log.Error("rejected a configuration with an earlier revision", zap.Uint64("held", uint64(earlier.Held)),
			zap.Uint64("answered", uint64(earlier.Received)), zap.String("control", result.client.Address()))
	}
	var unreachable *messenger.UnreachableError
	if errors.As(result.err, &unreachable) {
		p.controlClients.MarkFailed(result.client)
	}
}

// newSyncRequest returns a sync request with this process's usage, demands and
// announced upstreams. The upstreams are left out if the entry process polls the
// control processes, because it then gets the upstreams from them.
func (p *controlPlane) newSyncRequest(sentAt time.Duration, final bool) *wire.Sync {
	host := p.router.settings.GetHost()
	s := &wire.Sync{
		Host:          host.GetId(),
		FailureDomain: host.GetFailureDomain(),
		HaveRevision:  uint64(p.revision()),
		Usage:         p.router.usage.Snapshot(host.GetId(), p.router.incarnation, final),
		Upstreams:     p.router.dispatcher.announcedUpstreams(),
		Demands:       p.router.dispatcher.poolDemands(),
		Windows:       p.router.windows.Recent(),

		FetchesChanges: true,

		WantsDepartures: true, DeparturePosition: uint64(p.departures),
		EvacuationPosition: p.router.dispatcher.evacuationPosition(),
	}
	if p.router.settings.GetEntry().GetFollowControl() {
		s.Upstreams = nil
	} else {
		s.Evidence, s.WantsEvidence = p.router.allEvidence(), true
		s.EntryIdsDigest, s.Self = p.router.restrainer.HostsDigest(), p.router.entryHost()
	}
	s.Usage.UnreportedMillis = (sentAt - p.usagePushedAt).Milliseconds()
	return s
}

// applyReply applies the reply to a sync request that was sent at sentAt, when the
// revision held was in use. The freshness counts from then, not from the arrival of the reply.
func (p *controlPlane) applyReply(sentAt time.Duration, held configurer.Revision, result syncResult) error {
	reply, revision := result.reply, configurer.Revision(result.reply.GetRevision())
	p.departures = p.router.applyDepartures(reply, result.client.Address())
	p.router.applyEvacuations(reply.GetEvacuations(), leaveCommitted, result.client.Address())
	if revision < held {
		return &earlierRevisionError{Held: held, Received: revision}
	}
	p.confirm(revision, sentAt)
	switch {
	case p.hasConfiguration() && revision <= p.revision():
	case reply.GetFetchable():
		p.router.fetcher.Request(revision, result.client.Address())
	default:
		d := delivery{control: result.client.Address(), request: "sync", bytes: proto.Size(reply), age: millis(reply.GetRevisionAgeMillis())}
		if err := p.applyConfiguration(reply, d); err != nil {
			return err
		}
	}
	p.router.mergeEvidence(reply.GetEvidence())
	p.router.restrainer.SetHosts(reply.GetEntryIds())
	p.router.dispatcher.setDraining(reply.GetDraining())
	p.router.dispatcher.setLightShares(reply.GetLightParts())
	p.usagePushedAt = sentAt
	return nil
}

// confirm records that a revision was the latest one at a time, as a quorum has confirmed.
// The configuration is fresh from then on if that revision or a later one is in use, or
// else once it is.
func (p *controlPlane) confirm(revision configurer.Revision, at time.Duration) {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	p.confirmed, p.confirmedAt = max(p.confirmed, revision), at
	p.refresh()
}

// refresh extends the freshness if the confirmed revision or a later one is in use.
func (p *controlPlane) refresh() {
	if p.confirmedAt > 0 && p.revision() >= p.confirmed {
		p.freshUntil.Store(int64(p.confirmedAt + p.freshness))
	}
}

// latestCatalog returns the catalog that changes may follow: the one in use, one that is outdated, or an
// empty one. applyMu is held.
func (p *controlPlane) latestCatalog() *configurer.Catalog {
	return cmp.Or(p.catalog.Load(), p.outdated, configurer.New())
}

// revisions returns the revision that changes may follow, and the one that a quorum has confirmed or 0.
func (p *controlPlane) revisions() (held, confirmed configurer.Revision) {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	return p.latestCatalog().Revision(), p.confirmed
}

// applyConfiguration applies the configuration or the changes in a reply. It rejects an earlier
// revision than the one in use, as the first one also a revision before the confirmed one, and
// changes that do not follow each other.
func (p *controlPlane) applyConfiguration(reply *wire.SyncReply, d delivery) error {
	if reply.GetWhole() || len(reply.GetChanges()) > 0 {
		p.router.metrics.ConfigurationBytes.Inc(int64(d.bytes))
	}
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	current := p.catalog.Load()
	received := configurer.Revision(reply.GetRevision())
	base := p.latestCatalog()
	if received < base.Revision() {
		return &earlierRevisionError{Held: base.Revision(), Received: received}
	}
	next, err := base.After(reply)
	if err != nil {
		return err
	}
	if current == nil && received < p.confirmed {
		p.outdated = next
		return &earlierRevisionError{Held: p.confirmed, Received: received}
	}
	if current == nil && p.confirmedAt == 0 {
		p.router.log.Warn("applying a configuration that no quorum has confirmed", zap.Uint64("revision", uint64(received)))
	}
	p.catalog.Store(next)
	p.outdated = nil
	p.router.setWarmUps(next)
	p.refresh()
	if current == nil || current.Revision() != received {
		p.router.metrics.Revision.Update(float64(received))
		p.router.log.Info("configuration in force", zap.Uint64("revision", uint64(received)), zap.Bool("whole", reply.GetWhole()),
			zap.Int("bytes", d.bytes), zap.String("request", d.request), zap.String("control", d.control), zap.Duration("age", d.age))
	}
	return nil
}

// applyFetched applies fetched changes. That another reply has brought them meanwhile is no error.
func (p *controlPlane) applyFetched(control string, reply *wire.SyncReply, bytes int, age time.Duration) error {
	err := p.applyConfiguration(reply, delivery{control: control, request: "fetch", bytes: bytes, age: age})
	if errors.As(err, new(*earlierRevisionError)) {
		return nil
	}
	return err
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// revision returns the revision in use, or 0 before the first configuration.
func (p *controlPlane) revision() configurer.Revision {
	if c := p.catalog.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

func (p *controlPlane) hasConfiguration() bool {
	return p.catalog.Load() != nil
}

// fresh reports whether the configuration is still fresh. Keys are accepted only while it
// is, unless serveStale is set.
func (p *controlPlane) fresh() bool {
	return int64(p.now()) < p.freshUntil.Load()
}

// identify returns the identity of a key, or of a digest if there is no key. Without both it is
// anonymous.
func (p *controlPlane) identify(key string, digest []byte) (identity, *translator.RefusalError) {
	id := identity{hash: configurer.HashKey(key), hasKey: true}
	switch {
	case key == "" && len(digest) == 0:
		return identity{}, nil
	case key == "":
		copy(id.hash[:], digest)
	}
	if refusal := p.checkKey(&id); refusal != nil {
		return identity{}, refusal
	}
	return id, nil
}

// checkKey verifies that the identity's key is valid and sets the identity's
// organisation. It is called again before every attempt, since the key may be
// withdrawn while the call waits.
func (p *controlPlane) checkKey(id *identity) *translator.RefusalError {
	if !id.hasKey {
		return nil
	}
	if !p.hasConfiguration() {
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNotFresh, "no configuration yet", p.router.retryAfter())
	}
	if !p.fresh() && !p.router.settings.GetEntry().GetServeStale() {
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNotFresh,
			"the configuration cannot be confirmed, so keys are not relied on", p.syncInterval)
	}
	key := p.catalog.Load().KeyByHash(id.hash)
	if key == nil {
		return p.refuseUnknown(translator.Refuse(http.StatusUnauthorized, translator.CodeUnauthorized, "the key is unknown or withdrawn"))
	}
	id.organisation = configurer.OrganisationID(key.GetOrganisation())
	return nil
}

// refuseUnknown returns the refusal of a call whose key or route is not in the
// configuration. While the configuration is not fresh, or nothing has been configured yet, a later one may
// have it, so the call is told to come back instead.
func (p *controlPlane) refuseUnknown(refusal *translator.RefusalError) *translator.RefusalError {
	if p.fresh() && p.revision() > 0 {
		return refusal
	}
	return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNotFresh,
		refusal.Detail+", in a configuration that may not be the latest", p.router.retryAfter())
}

// requestSync makes run send a sync request without delay. It does not block.
func (p *controlPlane) requestSync() {
	select {
	case p.syncRequested <- struct{}{}:
	default:
	}
}

// pushFinalUsage sends the last usage push of a process that shuts down.
func (p *controlPlane) pushFinalUsage(ctx context.Context) {
	p.syncOnce(ctx, true)
}
