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
	// exchangesPerFreshness is how many control processes can be tried before the configuration goes stale.
	exchangesPerFreshness = 8
	// proposeTimeout bounds one proposal over all control processes, proposeTry
	// the wait for one of them.
	proposeTimeout = 4 * time.Second
	proposeTry     = time.Second
)

type (
	// authority holds the configuration and says how long it is fresh. It is
	// fresh until a fixed time after the sending of the last request that a
	// quorum-confirmed leader answered.
	authority struct {
		router   *Router
		clients  []*messenger.Client
		interval time.Duration
		lifetime time.Duration
		now      func() time.Duration

		catalog    atomic.Pointer[configurer.Catalog]
		freshUntil atomic.Int64

		// syncing is held during a configuration request.
		syncing sync.Mutex

		mu sync.Mutex
		// preferred is the position of the control process that answered last.
		preferred int
		// pushedAt is when usage was pushed last with an answer.
		pushedAt time.Duration
	}

	// identity is who a request runs for.
	identity struct {
		organisation configurer.OrganisationID
		hash         configurer.KeyHash
		keyed        bool
	}

	// wentBackError reports a control process that answered with an earlier revision.
	wentBackError struct {
		Held     configurer.Revision
		Answered configurer.Revision
	}
)

// Error implements error.
func (e *wentBackError) Error() string {
	return "control process answered with an earlier revision"
}

func newAuthority(r *Router, security messenger.Security) *authority {
	e := r.settings.GetEntry()
	a := &authority{
		router:   r,
		interval: e.GetSyncInterval().AsDuration(),
		lifetime: e.GetFreshness().AsDuration(),
		now:      timer.Now,
	}
	a.pushedAt = a.now()
	timeout := a.lifetime / exchangesPerFreshness
	for _, address := range e.GetControlAddresses() {
		a.clients = append(a.clients, messenger.NewClient(address, security, timeout))
	}
	return a
}

// run keeps the configuration fresh until ctx ends.
func (a *authority) run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.syncOnce(ctx, false)
		timer.Sleep(ctx, a.interval)
	}
	for _, c := range a.clients {
		c.Close()
	}
	return nil
}

// syncOnce asks the control processes in turn, the one that answered last first.
func (a *authority) syncOnce(ctx context.Context, final bool) {
	a.syncing.Lock()
	defer a.syncing.Unlock()
	for range a.clients {
		if ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		client := a.clients[a.preferred]
		a.mu.Unlock()
		err := a.syncWith(ctx, client, final)
		if err == nil {
			return
		}
		a.router.log.Debug("configuration request failed", zap.String("control", client.Address()), zap.Error(err))
		var back *wentBackError
		if errors.As(err, &back) {
			a.router.log.Error("refusing an earlier revision", zap.Uint64("held", uint64(back.Held)),
				zap.Uint64("answered", uint64(back.Answered)), zap.String("control", client.Address()))
		}
		a.mu.Lock()
		a.preferred = (a.preferred + 1) % len(a.clients)
		a.mu.Unlock()
	}
	a.router.metrics.syncFailures.Inc(1)
}

func (a *authority) syncWith(ctx context.Context, client *messenger.Client, final bool) error {
	ctx, cancel := context.WithTimeout(ctx, a.lifetime/exchangesPerFreshness)
	defer cancel()
	sentAt := a.now()
	host := a.router.settings.GetHost()
	request := &wire.Sync{
		Host:          host.GetId(),
		FailureDomain: host.GetFailureDomain(),
		HaveRevision:  uint64(a.revision()),
		Usage:         a.router.usage.push(host.GetId(), a.router.incarnation, final),
		Upstreams:     a.router.dispatcher.announced(),
		Demands:       a.router.dispatcher.demands(),
	}
	request.Usage.UnreportedMillis = (sentAt - a.pushedAt).Milliseconds()
	reply, err := client.Exchange(ctx, &wire.Request{Kind: &wire.Request_Sync{Sync: request}})
	if err != nil {
		return err
	}
	if err = a.accept(reply.GetSync()); err != nil {
		return err
	}
	a.router.dispatcher.drain(reply.GetSync().GetDraining())
	a.pushedAt = sentAt
	a.freshUntil.Store(int64(sentAt + a.lifetime))
	return nil
}

// accept takes a newer configuration into force and refuses an earlier one.
func (a *authority) accept(reply *wire.SyncReply) error {
	held := a.catalog.Load()
	answered := configurer.Revision(reply.GetRevision())
	if held != nil && answered < held.Revision() {
		return &wentBackError{Held: held.Revision(), Answered: answered}
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

func (a *authority) revision() configurer.Revision {
	if c := a.catalog.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

func (a *authority) configured() bool {
	return a.catalog.Load() != nil
}

// fresh reports whether keys may be relied on now.
func (a *authority) fresh() bool {
	return int64(a.now()) < a.freshUntil.Load()
}

// identify finds out who a key belongs to. Without a key the identity is anonymous.
func (a *authority) identify(key string) (identity, *RefusalError) {
	if key == "" {
		return identity{}, nil
	}
	who := identity{hash: configurer.HashKey(key), keyed: true}
	if refusal := a.check(&who); refusal != nil {
		return identity{}, refusal
	}
	return who, nil
}

// check confirms that a key is still valid; it is called again before every
// dispatch, retry and resumption.
func (a *authority) check(who *identity) *RefusalError {
	if !who.keyed {
		return nil
	}
	if !a.fresh() {
		return refuseUntil(http.StatusServiceUnavailable, CodeNotFresh,
			"the configuration cannot be confirmed, so keys are not relied on", a.interval)
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
func (a *authority) propose(ctx context.Context, command *state.Command) (*wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	a.mu.Lock()
	first := a.preferred
	a.mu.Unlock()
	var last error
	for i := range a.clients {
		client := a.clients[(first+i)%len(a.clients)]
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
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	reply, err := c.Exchange(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if err != nil {
		return nil, err
	}
	return reply.GetPropose(), nil
}

// pushFinal pushes the counters of a process that stops.
func (a *authority) pushFinal(ctx context.Context) {
	a.syncOnce(ctx, true)
}
