package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// dialsPerFreshness is how many control processes can be dialled before the configuration goes stale.
	dialsPerFreshness = 8
	// failedSyncsPerFreshness is how many configuration requests can fail before the configuration goes stale.
	failedSyncsPerFreshness = 4
	// hedgeDelay is how long one control process is waited for before the next is asked too.
	hedgeDelay = 200 * time.Millisecond
	// proposeTimeout bounds one proposal over all control processes, proposeTry
	// the wait for one of them.
	proposeTimeout = 4 * time.Second
	proposeAttemptTimeout     = time.Second
)

type (
	// controlPlane holds the configuration and says how long it is fresh. It is
	// fresh until a fixed time after the sending of the last request that a
	// quorum-confirmed leader answered.
	controlPlane struct {
		router   *Router
		controls *controls
		syncInterval time.Duration
		freshness time.Duration
		now      func() time.Duration

		catalog    atomic.Pointer[configurer.Catalog]
		freshUntil atomic.Int64

		// syncMu is held during a configuration request.
		syncMu sync.Mutex

		// syncRequested asks for a request at once.
		syncRequested chan struct{}
		// usagePushedAt is when usage was pushed last with an answer.
		usagePushedAt time.Duration
	}

	// syncResult is one control process's answer to a configuration request.
	syncResult struct {
		client *messenger.Client
		reply  *wire.SyncReply
		err    error
	}

	// identity is who a request runs for.
	identity struct {
		organisation configurer.OrganisationID
		hash         configurer.KeyHash
		hasKey        bool
	}

	// staleRevisionError reports a control process that answered with an earlier revision.
	staleRevisionError struct {
		Held     configurer.Revision
		Received configurer.Revision
	}
)

// Error implements error.
func (e *staleRevisionError) Error() string {
	return "control process answered with an earlier revision"
}

func newControlPlane(r *Router) *controlPlane {
	e := r.settings.GetEntry()
	a := &controlPlane{
		router:   r,
		syncInterval: e.GetSyncInterval().AsDuration(),
		freshness: e.GetFreshness().AsDuration(),
		now:      timer.Now,
	}
	a.usagePushedAt = a.now()
	a.controls = r.controls
	a.syncRequested = make(chan struct{}, 1)
	return a
}

// run keeps the configuration fresh until ctx ends.
func (a *controlPlane) run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.syncOnce(ctx, false)
		select {
		case <-ctx.Done():
		case <-a.syncRequested:
		case <-time.After(a.syncInterval):
		}
	}
	a.controls.close()
	return nil
}

// syncOnce asks the control processes in turn, the one that answered last
// first. One that does not answer at once is not waited for alone: the next is
// asked beside it, and the first answer counts.
func (a *controlPlane) syncOnce(ctx context.Context, final bool) {
	a.syncMu.Lock()
	defer a.syncMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, a.freshness/failedSyncsPerFreshness)
	defer cancel()
	sentAt := a.now()
	request := &wire.Request{Kind: &wire.Request_Sync{Sync: a.newSyncRequest(sentAt, final)}}
	clients := a.controls.inOrder()
	answers := make(chan syncResult, len(clients))
	asked, failed := 0, 0
	for failed < len(clients) {
		if asked < len(clients) {
			go sendSync(ctx, clients[asked], request, answers)
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
		case answer := <-answers:
			if answer.err == nil {
				answer.err = a.applyReply(sentAt, answer.reply)
			}
			if answer.err == nil {
				return
			}
			failed++
			a.handleSyncFailure(answer)
		}
	}
	if ctx.Err() == nil || a.now()-sentAt >= a.freshness/failedSyncsPerFreshness {
		a.router.metrics.syncFailures.Inc(1)
	}
}

func sendSync(ctx context.Context, client *messenger.Client, request *wire.Request, answers chan<- syncResult) {
	reply, err := client.Exchange(ctx, request)
	answers <- syncResult{client: client, reply: reply.GetSync(), err: err}
}

func (a *controlPlane) handleSyncFailure(answer syncResult) {
	a.router.log.Debug("configuration request failed",
		zap.String("control", answer.client.Address()), zap.Error(answer.err))
	var back *staleRevisionError
	if errors.As(answer.err, &back) {
		a.router.log.Error("refusing an earlier revision", zap.Uint64("held", uint64(back.Held)),
			zap.Uint64("answered", uint64(back.Received)), zap.String("control", answer.client.Address()))
	}
	var unreachable *messenger.UnreachableError
	if errors.As(answer.err, &unreachable) {
		a.controls.failed(answer.client)
	}
}

// newSyncRequest describes this process to a control process.
func (a *controlPlane) newSyncRequest(sentAt time.Duration, final bool) *wire.Sync {
	host := a.router.settings.GetHost()
	q := &wire.Sync{
		Host:          host.GetId(),
		FailureDomain: host.GetFailureDomain(),
		HaveRevision:  uint64(a.revision()),
		Usage:         a.router.usage.push(host.GetId(), a.router.incarnation, final),
		Upstreams:     a.router.dispatcher.announced(),
		Demands:       a.router.dispatcher.demands(),
		Windows:       a.router.windows.recent(),
	}
	if a.router.settings.GetEntry().GetFollowControl() {
		q.Upstreams = nil
	}
	q.Usage.UnreportedMillis = (sentAt - a.usagePushedAt).Milliseconds()
	return q
}

// applyReply takes the answer to a request that was sent at a time.
func (a *controlPlane) applyReply(sentAt time.Duration, reply *wire.SyncReply) error {
	if err := a.applyConfiguration(reply); err != nil {
		return err
	}
	a.router.dispatcher.drain(reply.GetDraining())
	a.router.dispatcher.setLightParts(reply.GetLightParts())
	a.usagePushedAt = sentAt
	a.freshUntil.Store(int64(sentAt + a.freshness))
	return nil
}

// applyConfiguration takes a newer configuration into force and refuses an earlier one.
func (a *controlPlane) applyConfiguration(reply *wire.SyncReply) error {
	held := a.catalog.Load()
	answered := configurer.Revision(reply.GetRevision())
	if held != nil && answered < held.Revision() {
		return &staleRevisionError{Held: held.Revision(), Received: answered}
	}
	next := held
	if next == nil {
		next = configurer.New()
	}
	if reply.GetWhole() {
		next = configurer.Restore(answered, reply.GetConfiguration(), reply.GetKeys())
	}
	for _, change := range reply.GetChanges() {
		if configurer.Revision(change.GetRevision()) != next.Revision()+1 {
			return errors.Errorf("change to revision %d does not follow revision %d", change.GetRevision(), next.Revision())
		}
		applied, err := next.Apply(change.GetOperation())
		if err != nil {
			return errors.Wrap(err, "applying a committed change")
		}
		next = applied
	}
	if next.Revision() != answered {
		return errors.Errorf("changes end at revision %d, not %d", next.Revision(), answered)
	}
	a.catalog.Store(next)
	if held == nil || held.Revision() != answered {
		a.router.metrics.revision.Update(float64(answered))
		a.router.log.Info("configuration in force", zap.Uint64("revision", uint64(answered)))
	}
	return nil
}

func (a *controlPlane) revision() configurer.Revision {
	if c := a.catalog.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

func (a *controlPlane) hasConfiguration() bool {
	return a.catalog.Load() != nil
}

// fresh reports whether keys may be relied on now.
func (a *controlPlane) fresh() bool {
	return int64(a.now()) < a.freshUntil.Load()
}

// identify finds out who a key belongs to. Without a key the identity is anonymous.
func (a *controlPlane) identify(key string) (identity, *RefusalError) {
	if key == "" {
		return identity{}, nil
	}
	who := identity{hash: configurer.HashKey(key), hasKey: true}
	if refusal := a.checkKey(&who); refusal != nil {
		return identity{}, refusal
	}
	return who, nil
}

// checkKey confirms that a key is still valid; it is called again before every
// dispatch, retry and resumption.
func (a *controlPlane) checkKey(who *identity) *RefusalError {
	if !who.hasKey {
		return nil
	}
	if !a.hasConfiguration() {
		return refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNotFresh, "no configuration yet", a.router.returnAfter())
	}
	if !a.fresh() && !a.router.settings.GetEntry().GetServeStale() {
		return refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNotFresh,
			"the configuration cannot be confirmed, so keys are not relied on", a.syncInterval)
	}
	key := a.catalog.Load().KeyByHash(who.hash)
	if key == nil {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "the key is unknown or withdrawn")
	}
	who.organisation = configurer.OrganisationID(key.GetOrganisation())
	return nil
}

// propose commits a command through any control process. A command whose
// outcome is unknown goes to the next one as well, so it must be idempotent.
func (a *controlPlane) propose(ctx context.Context, command *state.Command) (*wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var last error
	for _, client := range a.controls.inOrder() {
		reply, err := proposeThrough(ctx, client, command)
		if err == nil {
			return reply, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

func proposeThrough(ctx context.Context, c *messenger.Client, command *state.Command) (*wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
	defer cancel()
	reply, err := c.Exchange(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if err != nil {
		return nil, err
	}
	return reply.GetPropose(), nil
}

// requestSync asks for a configuration request at once.
func (a *controlPlane) requestSync() {
	select {
	case a.syncRequested <- struct{}{}:
	default:
	}
}

// pushFinalUsage pushes the counters of a process that stops.
func (a *controlPlane) pushFinalUsage(ctx context.Context) {
	a.syncOnce(ctx, true)
}
