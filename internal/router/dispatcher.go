package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/budgeter"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/estimator"
	"github.com/comfreybend/comfreybend/internal/measurer"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/stopper"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// maintenanceInterval is the time between two checks of leases and deadlines.
	maintenanceInterval = 50 * time.Millisecond
	// slowStart is the time over which the concurrency of a new or recovered upstream is
	// ramped up.
	slowStart = 3 * time.Second
	// minResumeWait is the time for which a broken stream may wait for another upstream
	// even if the call's deadline is earlier.
	minResumeWait = 10 * time.Second
	// durationAverageDivisor sets the weight of a new sample in the moving average of
	// durations: it changes the average by 1/durationAverageDivisor of the difference.
	durationAverageDivisor = 16
	// defaultSlots is assumed for an upstream that does not report its slots.
	defaultSlots = 16
)

type (
	// poolKey identifies a pool by the kind and the name of the model or service that it
	// serves.
	poolKey struct {
		kind registrar.Kind
		name string
	}

	// pool is the state of one pool of upstreams: the queue of the requests for its model
	// or service, and statistics.
	pool struct {
		scheduler *scheduler.Scheduler
		// inProgress counts the requests that are dispatched and not finished.
		inProgress int
		// promptAware is set once a request with a known prompt has arrived. The placer
		// chooses the upstreams of such requests by their uncached prompt tokens.
		promptAware bool
		// refused counts the requests that were refused on arrival because they could not
		// be served in time or the queue was full.
		refused uint64
		// averageDurations holds the moving average of the time from dispatch to the end
		// of the response, by class.
		averageDurations map[scheduler.Class]time.Duration
	}

	// dispatchRequest asks for an upstream on behalf of a call.
	dispatchRequest struct {
		call  *call
		pool  poolKey
		class *state.Class
		// rank orders calls by the tiers of their organisation and class; 1 is the most
		// urgent. The scheduler uses it as its tier.
		rank         int32
		organisation configurer.OrganisationID
		deadline     time.Duration
		arrived      time.Duration
		// interrupted reports that an earlier attempt of the call may have run at an
		// upstream and failed.
		interrupted bool
		// version is that of the software that has begun the stream that the request goes on
		// with; nil if any version may serve it.
		version *registrar.Version
		pick    picker.Request
		// prompt is set if the prompt is known; the placer then chooses the upstream.
		prompt *picker.PromptRequest
		// probe reports that the request may be sent although a part of its prompt is held.
		probe bool
		// mayLeave reports that the request may be passed on to another entry process, declinable that
		// one has passed it on and it has not run.
		mayLeave, declinable bool
		// counted reports that the request has been counted in the retry budget.
		counted bool
	}

	// waiter is a queued request. It receives either a grant or a refusal.
	waiter struct {
		request dispatchRequest
		item    scheduler.Item
		granted chan *grant
		refused chan *translator.RefusalError
	}

	// grant permits one attempt at an upstream. It must be released.
	grant struct {
		upstream  *registrar.Upstream
		state     *upstreamState
		item      scheduler.Item
		pool      poolKey
		grantedAt time.Duration
		// uncachedTokens are the prompt tokens that the upstream is expected to process
		// before the first token.
		uncachedTokens float64
		// prefillStartsImmediately reports that the upstream had no pending prompt tokens
		// of this process when it was chosen, so that the time to the first token shows
		// the prefill rate.
		prefillStartsImmediately bool
		// prefillDone reports that the upstream has processed the prompt or that the
		// attempt has ended.
		prefillDone bool
		// reserved permits the request if the upstream has a request limit.
		reserved restrainer.Reservation
		// placement holds what the choice of the upstream was based on. It is logged.
		placement placement
		observed  observation
	}

	// placement holds the number of candidates for an attempt, the number of requests
	// assumed at the chosen upstream, and the age of that figure.
	placement struct {
		candidates int
		load       int
		loadAge    time.Duration
	}

	// attemptOutcome is what the end of an attempt shows about its upstream.
	attemptOutcome int

	// dispatcher assigns waiting requests to upstreams.
	dispatcher struct {
		settings *settings.Settings
		metrics  *measurer.Metrics
		now      func() time.Duration
		// retryAfter returns the time after which a client may retry if no upstream serves
		// the pool.
		retryAfter func() time.Duration
		restrainer *restrainer.Restrainer
		stopper    *stopper.Stopper
		// startedAt is when this process began to learn of upstreams.
		startedAt time.Duration

		mu             sync.Mutex
		registry       *registrar.Registry
		upstreamStates map[registrar.UpstreamID]*upstreamState
		pools          map[poolKey]*pool
		waiters        map[scheduler.ItemID]*waiter
		nextItem       scheduler.ItemID
		picker         *picker.Picker
		placer         *picker.Placer
		cacheIndex     *picker.CacheIndex
		budgets        *budgeter.Budgets
		peerDemands    *limiter.Demands
		clusterLoad    *estimator.Estimator
		// entryProcessCount is the number of entry processes.
		entryProcessCount int
		// draining holds the upstreams that are about to be stopped, as reported by a
		// control process. They get no new requests.
		draining map[registrar.UpstreamID]bool
		// evacuations holds the evacuated failure domains, whose upstreams get no new requests.
		evacuations evacuator.Set
		// withdrawn holds the upstreams that have said in a response that they are leaving,
		// until a control process knows.
		withdrawn map[registrar.UpstreamID]registrar.Upstream
		// onWithdrawn is called, with the mutex held, for each such upstream.
		onWithdrawn func(registrar.Upstream)
		// onTimedOut is called, with the mutex held, for an upstream that has stopped acknowledging.
		onTimedOut func(*registrar.Upstream)
		// meanPendingTokens is the moving average of the pending prompt tokens of a
		// request in progress.
		meanPendingTokens float64
		// domainFailures counts the recent connection failures and TCP timeouts of
		// upstreams, by failure domain.
		domainFailures map[registrar.FailureDomain]*retrier.FailureCounter
	}
)

// Outcomes of an attempt.
const (
	// outcomeAnswered means that the whole response was relayed.
	outcomeAnswered attemptOutcome = iota
	// outcomeFailed means that the attempt failed after a connection was obtained, for
	// a reason other than those below.
	outcomeFailed
	// outcomeUnreachable means that no connection could be established.
	outcomeUnreachable
	// outcomeOverloaded means that the upstream refused the request or responded with a
	// retryable status.
	outcomeOverloaded
	// outcomeAbandoned means that the attempt ended without any evidence about the
	// upstream, for example because the client disconnected.
	outcomeAbandoned
	// outcomeTimedOut means that an established connection failed with a TCP timeout.
	outcomeTimedOut
)

func newDispatcher(s *settings.Settings, m *measurer.Metrics) *dispatcher {
	e := s.GetEntry()
	return &dispatcher{
		settings:       s,
		metrics:        m,
		now:            timer.Now,
		startedAt:      timer.Now(),
		stopper:        stopper.New(timer.Now),
		restrainer:     restrainer.New(s.GetHost().GetId(), e.GetColdUpstreams(), time.Now),
		registry:       newRegistry(e),
		upstreamStates: map[registrar.UpstreamID]*upstreamState{},
		pools:          map[poolKey]*pool{},
		waiters:        map[scheduler.ItemID]*waiter{},
		domainFailures: map[registrar.FailureDomain]*retrier.FailureCounter{},
		picker:         picker.New(picker.Policy(e.GetPolicy()), rand.IntN),
		cacheIndex:     picker.NewCacheIndex(),
		placer:         picker.NewPlacer(),
		budgets:        budgeter.NewBudgets(e, m.Scope),
		peerDemands:    limiter.NewDemands(len(e.GetPeerAddresses())),
		clusterLoad:    estimator.New(),
		withdrawn:      map[registrar.UpstreamID]registrar.Upstream{},
		onWithdrawn:    func(registrar.Upstream) {},
		onTimedOut:     func(*registrar.Upstream) {},
	}
}

// newRegistry returns an empty registry of upstreams. The incarnations of upstreams that
// control processes pass on are comparable with each other, so of two upstreams with the
// same URL the one with the newer incarnation replaces the other.
func newRegistry(e *settings.Entry) *registrar.Registry {
	if e.GetFollowControl() {
		return registrar.NewExclusive(e.GetAnnouncementLease().AsDuration())
	}
	return registrar.New(e.GetAnnouncementLease().AsDuration())
}

// run calls maintain periodically until ctx is done.
func (d *dispatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.maintain()
		timer.Sleep(ctx, maintenanceInterval)
	}
	return nil
}

// maintain removes upstreams whose announcement lease has ended, refuses requests whose
// deadline has passed or whose pool has no upstream left, and dispatches the others.
func (d *dispatcher) maintain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.refuseOutlasting()
	d.restrainer.Maintain()
	for _, id := range d.registry.Expire(now) {
		d.upstreamStates[id].endLease()
		delete(d.upstreamStates, id)
		d.restrainer.Forget(id)
		d.cacheIndex.Forget(id)
		d.placer.Forget(id)
		delete(d.withdrawn, id)
	}
	for key, p := range d.pools {
		d.refuseUnserved(key, p)
		for _, id := range p.scheduler.Expire(now) {
			item := d.waiters[id].item
			d.refuseWaiter(id, translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeDeadline,
				"the deadline passed while the request waited",
				p.scheduler.WaitEstimate(item.Class, item.Tier, item.Organisation)))
		}
		d.dispatchWaiting(key, p)
		d.refuseBeyondTurns(key, p)
		d.metrics.Waiting(key.kind, key.name, p.scheduler.Waiting())
	}
}

// applyAnnouncement adds an announcement to the registry of upstreams and reports whether
// it is newer than what was known.
func (d *dispatcher) applyAnnouncement(u registrar.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := d.registry.Get(u.ID)
	if !d.registry.Announce(now, u) {
		return false
	}
	d.restrainer.ObserveAnnouncement(&u)
	if known == nil || known.Incarnation != u.Incarnation {
		if s := d.upstreamStates[u.ID]; s != nil {
			s.endLease()
			d.placer.Forget(u.ID)
		}
		d.upstreamStates[u.ID] = newUpstreamState(d.settings.GetEntry().GetUpstreamLimits(), now)
	}
	for _, name := range u.Serves {
		key := poolKey{kind: u.Kind, name: name}
		if p := d.pools[key]; p != nil {
			d.dispatchWaiting(key, p)
		}
	}
	return true
}

// applyCacheEvent adds a cache event to the cache index and reports whether it is new.
func (d *dispatcher) applyCacheEvent(e picker.CacheEvent) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cacheIndex.Apply(e)
}

// acquire waits for a grant of an upstream. The caller must release it.
func (d *dispatcher) acquire(ctx context.Context, r dispatchRequest) (*grant, *translator.RefusalError) {
	w, refusal := d.enqueue(r)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case g := <-w.granted:
		return g, nil
	case refusal = <-w.refused:
		return nil, refusal
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[r.pool].scheduler.Remove(w.item.ID) {
		delete(d.waiters, w.item.ID)
	}
	// A grant may have been sent before the lock was taken.
	select {
	case g := <-w.granted:
		d.finish(g, outcomeAbandoned, 0)
	default:
	}
	if errors.As(context.Cause(ctx), new(*stopper.Error)) {
		return nil, d.refuseStopped(&r)
	}
	return nil, translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeDeadline,
		"the request ended while it waited", d.retryAfter())
}

// enqueue adds a request to the queue of its pool, or refuses it.
func (d *dispatcher) enqueue(r dispatchRequest) (*waiter, *translator.RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.unservedRefusal(r); refusal != nil {
		return nil, refusal
	}
	if refusal := d.pausedRefusal(r); refusal != nil {
		return nil, refusal
	}
	p := d.pool(r.pool)
	if refusal := d.stopRefusal(&r, 0); refusal != nil {
		return nil, refusal
	}
	if refusal := d.refuseOvercommitted(r, p); refusal != nil {
		return nil, refusal
	}
	if refusal := d.limitedRefusal(r, p); refusal != nil {
		p.refused++
		return nil, refusal
	}
	d.nextItem++
	if !r.interrupted && len(r.pick.Avoid) == 0 {
		// A call is counted at its first attempt only.
		if !r.counted {
			d.budgets.RecordRequest(d.now(), r.pool.service())
		}
		if r.prompt != nil {
			p.promptAware = true
			d.placer.RequestArrived(d.now(), *r.prompt)
		}
	}
	w := &waiter{
		request: r,
		item:    d.schedulerItem(r, p),
		granted: make(chan *grant, 1),
		refused: make(chan *translator.RefusalError, 1),
	}
	d.waiters[w.item.ID] = w
	admission := p.scheduler.Add(d.now(), w.item)
	for _, id := range admission.Shed {
		d.refuseWaiter(id, translator.RefuseWithRetryAfter(http.StatusTooManyRequests, translator.CodeOverloaded,
			"the request made room for one of a higher tier or of an organisation with less",
			p.scheduler.WaitEstimate(w.item.Class, w.item.Tier, w.item.Organisation)))
	}
	if !admission.Accepted {
		p.refused++
		delete(d.waiters, w.item.ID)
		return nil, translator.RefuseWithRetryAfter(http.StatusTooManyRequests, translator.CodeOverloaded,
			"the request cannot be served in time", max(admission.RetryAfter, time.Second))
	}
	d.dispatchWaiting(r.pool, p)
	return w, nil
}
