package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maintenanceInterval is the time between looks at leases and deadlines.
	maintenanceInterval = 50 * time.Millisecond
	// slowStart is the time over which a new or recovered upstream is eased in.
	slowStart = 3 * time.Second
	// begunWait is how long a call that was broken off may wait for another upstream at least.
	begunWait = 10 * time.Second
	// durationSmoothing is the inverse weight of a new duration in the average.
	durationSmoothing = 16
	// assumedSlots stands for the slots of an upstream that does not report them.
	assumedSlots = 16
)

type (
	// poolKey names what the upstreams of a pool serve.
	poolKey struct {
		kind registrar.Kind
		name string
	}

	pool struct {
		scheduler *scheduler.Scheduler
		// running counts the requests that were dispatched from this pool.
		running int
		// prompts reports that requests are placed by the work of their prompts.
		prompts bool
		// refused counts the requests that could not be served in time.
		refused uint64
		// durations are the average times from dispatch to the end of an answer, by class.
		durations map[scheduler.Class]time.Duration
	}

	// order is a request that wants an upstream.
	order struct {
		pool         poolKey
		class        *state.Class
		tier         int32
		organisation configurer.OrganisationID
		deadline     time.Duration
		arrived      time.Duration
		// begun calls have been sent before and were broken off.
		begun bool
		pick  picker.Request
		// prompt is set for requests that are placed by the work of their prompts.
		prompt *picker.PromptRequest
	}

	ticket struct {
		order   order
		item    scheduler.Item
		granted chan *grant
		refused chan *RefusalError
	}

	// grant is the right to send one attempt to an upstream.
	grant struct {
		upstream *registrar.Upstream
		track    *track
		item     scheduler.Item
		pool     poolKey
		at       time.Duration
		// unread are the tokens that the upstream is expected to read, until the first token.
		unread float64
		// alone reports that the upstream had nothing of this process's to read before.
		alone bool
		// read reports that the prompt has been read.
		read bool
		// choice is what the upstream was chosen by.
		choice choice
	}

	// choice is what was believed of an upstream when it was chosen.
	choice struct {
		candidates int
		load       int
		loadAge    time.Duration
	}

	// verdict is what an attempt says about its upstream.
	verdict int

	// dispatcher matches waiting requests with upstreams.
	dispatcher struct {
		settings *settings.Settings
		metrics  *metrics
		now      func() time.Duration
		// returnAfter is when to come back if no upstream serves what is asked for.
		returnAfter func() time.Duration

		mu        sync.Mutex
		registrar *registrar.Registrar
		tracks    map[registrar.UpstreamID]*track
		pools     map[poolKey]*pool
		tickets   map[scheduler.ItemID]*ticket
		nextItem  scheduler.ItemID
		picker    *picker.Picker
		placer    *picker.Placer
		prefixes  *picker.CacheIndex
		budget    budget
		peers     *demandTable
		fleet     fleet
		// draining are the upstreams that the process in charge is about to stop.
		draining map[registrar.UpstreamID]bool
		// pendingEach is the mean of the tokens that a running request has still to read.
		pendingEach float64
		// domains holds the failures of late to reach upstreams, by failure domain.
		domains map[registrar.FailureDomain]*fading
	}
)

// The verdicts of an attempt.
const (
	verdictAnswered verdict = iota
	verdictFailed
	// verdictUnreachable means that no connection was obtained.
	verdictUnreachable
	verdictOverloaded
	verdictAbandoned
	// verdictSilent means that a connection was cut off without a word.
	verdictSilent
)

func newDispatcher(s *settings.Settings, m *metrics) *dispatcher {
	e := s.GetEntry()
	return &dispatcher{
		settings:  s,
		metrics:   m,
		now:       timer.Now,
		registrar: newRegistrar(e),
		tracks:    map[registrar.UpstreamID]*track{},
		pools:     map[poolKey]*pool{},
		tickets:   map[scheduler.ItemID]*ticket{},
		domains:   map[registrar.FailureDomain]*fading{},
		picker:    picker.New(picker.Policy(e.GetPolicy()), rand.IntN),
		prefixes:  picker.NewCacheIndex(),
		placer:    picker.NewPlacer(),
		budget:    newBudget(e),
		peers:     newDemandTable(len(e.GetPeerAddresses())),
		fleet:     newFleet(),
	}
}

func newRegistrar(e *settings.Entry) *registrar.Registrar {
	if e.GetFollowControl() {
		return registrar.NewExclusive(e.GetAnnouncementLease().AsDuration())
	}
	return registrar.New(e.GetAnnouncementLease().AsDuration())
}

// run looks after leases and deadlines until ctx ends.
func (d *dispatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.maintain()
		timer.Sleep(ctx, maintenanceInterval)
	}
	return nil
}

func (d *dispatcher) maintain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, id := range d.registrar.Expire(now) {
		d.tracks[id].lose()
		delete(d.tracks, id)
		d.prefixes.Forget(id)
		d.placer.Forget(id)
	}
	for key, p := range d.pools {
		if p.scheduler.Waiting() > 0 && !d.served(key) {
			d.refuseAll(key, p)
		}
		for _, id := range p.scheduler.Expire(now) {
			item := d.tickets[id].item
			d.refuseTicket(id, refuseUntil(http.StatusServiceUnavailable, CodeDeadline,
				"the deadline passed while the request waited",
				p.scheduler.WaitEstimate(item.Class, item.Tier, item.Organisation)))
		}
		d.pump(key, p)
		d.metrics.waiting(key, p.scheduler.Waiting())
	}
}

// announce takes an announcement into the table and reports whether it is new.
func (d *dispatcher) announce(u registrar.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	before := d.registrar.Get(u.ID)
	if !d.registrar.Announce(now, u) {
		return false
	}
	if before == nil || before.Incarnation != u.Incarnation {
		if t := d.tracks[u.ID]; t != nil {
			t.lose()
			d.placer.Forget(u.ID)
		}
		d.tracks[u.ID] = newTrack(d.settings.GetEntry().GetUpstreamLimits(), now)
	}
	for _, name := range u.Serves {
		key := poolKey{kind: u.Kind, name: name}
		if p := d.pools[key]; p != nil {
			d.pump(key, p)
		}
	}
	return true
}

// noteCache takes a cache event and reports whether it is new.
func (d *dispatcher) noteCache(e picker.CacheEvent) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefixes.Apply(e)
}

// submit waits for an upstream. The error is a *RefusalError.
func (d *dispatcher) submit(ctx context.Context, o order) (*grant, *RefusalError) {
	t, refusal := d.enqueue(o)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case g := <-t.granted:
		return g, nil
	case refusal = <-t.refused:
		return nil, refusal
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[o.pool].scheduler.Remove(t.item.ID) {
		delete(d.tickets, t.item.ID)
	}
	select {
	case g := <-t.granted:
		d.finish(g, verdictAbandoned)
	default:
	}
	return nil, refuseUntil(http.StatusServiceUnavailable, CodeDeadline,
		"the request ended while it waited", d.returnAfter())
}

func (d *dispatcher) enqueue(o order) (*ticket, *RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.served(o.pool) {
		return nil, d.noUpstream(o.pool)
	}
	p := d.pool(o.pool)
	if refusal := d.overcommitted(o, p); refusal != nil {
		return nil, refusal
	}
	d.nextItem++
	if !o.begun && len(o.pick.Avoid) == 0 {
		d.budget.requested(d.now())
		if o.prompt != nil {
			p.prompts = true
			d.placer.RequestArrived(d.now(), *o.prompt)
		}
	}
	t := &ticket{
		order:   o,
		item:    d.itemOf(o, p),
		granted: make(chan *grant, 1),
		refused: make(chan *RefusalError, 1),
	}
	d.tickets[t.item.ID] = t
	admission := p.scheduler.Add(d.now(), t.item)
	for _, id := range admission.Shed {
		d.refuseTicket(id, refuseUntil(http.StatusTooManyRequests, CodeOverloaded,
			"the request made room for one of a higher tier or of an organisation with less",
			p.scheduler.WaitEstimate(t.item.Class, t.item.Tier, t.item.Organisation)))
	}
	if !admission.Accepted {
		p.refused++
		delete(d.tickets, t.item.ID)
		return nil, refuseUntil(http.StatusTooManyRequests, CodeOverloaded,
			"the request cannot be served in time", max(admission.RetryAfter, time.Second))
	}
	d.pump(o.pool, p)
	return t, nil
}

// answered learns from the time to the response headers of an attempt.
func (d *dispatcher) answered(g *grant, firstByte time.Duration, load *registrar.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if load != nil {
		g.track.load = *load
		g.track.load.MeasuredAt = d.now()
	}
	g.track.answered(d.now(), firstByte)
}

// firstToken learns from the first token of a model's answer: the prompt has been read.
func (d *dispatcher) firstToken(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.promptRead(g)
	if g.alone {
		d.placer.ObserveFirstToken(int(g.unread), d.now()-g.at)
	}
}

// promptRead takes a prompt off what an upstream has still to read.
func (d *dispatcher) promptRead(g *grant) {
	if !g.read {
		g.read = true
		g.track.pending -= g.unread
	}
}

// release ends a grant with what the attempt says about the upstream and the work it took.
func (d *dispatcher) release(g *grant, v verdict, cost scheduler.Cost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pools[g.pool].scheduler.Finished(g.item, cost)
	d.finish(g, v)
}

func (d *dispatcher) finish(g *grant, v verdict) {
	p := d.pools[g.pool]
	p.running--
	d.promptRead(g)
	g.track.begun -= g.unread
	g.track.finish(d.now(), v)
	if v == verdictUnreachable || v == verdictSilent {
		d.domain(g.upstream.FailureDomain).add(d.now())
	}
	if v == verdictAnswered {
		d.budget.succeeded()
		before := p.durations[g.item.Class]
		p.durations[g.item.Class] = before + (d.now()-g.at-before)/durationSmoothing
	}
	d.pump(g.pool, p)
}

// domain returns the failures of late in a failure domain.
func (d *dispatcher) domain(name registrar.FailureDomain) *fading {
	f := d.domains[name]
	if f == nil {
		f = &fading{}
		d.domains[name] = f
	}
	return f
}

// refuseAll refuses every waiting request of a pool that no upstream serves any more.
func (d *dispatcher) refuseAll(key poolKey, p *pool) {
	for id, t := range d.tickets {
		if t.order.pool == key && p.scheduler.Remove(id) {
			d.refuseTicket(id, d.noUpstream(key))
		}
	}
}

func (d *dispatcher) noUpstream(key poolKey) *RefusalError {
	return refuseUntil(http.StatusServiceUnavailable, CodeNoUpstream, "no upstream serves "+key.name, d.returnAfter())
}

func (d *dispatcher) refuseTicket(id scheduler.ItemID, refusal *RefusalError) {
	t := d.tickets[id]
	delete(d.tickets, id)
	t.refused <- refusal
}

// announced returns the table for control processes and peers.
func (d *dispatcher) announced() []*wire.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Upstream
	for _, u := range d.registrar.All() {
		out = append(out, announcer.ToWire(u, d.now()))
	}
	return out
}

// demands returns this process's demand by pool.
func (d *dispatcher) demands() []*wire.PoolDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.PoolDemand
	for key, p := range d.pools {
		out = append(out, &wire.PoolDemand{
			Pool:     key.String(),
			Requests: int32(p.running + p.scheduler.Waiting()),
			Refused:  p.refused,
			Busy:     d.busy(p, key),
			Service:  key.name,
		})
		if p.prompts {
			last := out[len(out)-1]
			last.LightWork, last.Work = d.placer.Work(d.now())
		}
	}
	return out
}

// busy returns how many upstreams the pool's work would keep busy: the time that
// prompts take to read, and the slots in use.
func (d *dispatcher) busy(p *pool, key poolKey) float64 {
	upstreams := d.registrar.Serving(key.kind, key.name)
	if len(upstreams) == 0 {
		return 0
	}
	slots := float64(p.running+p.scheduler.Waiting()) / float64(slotsOf(upstreams[0]))
	if !p.prompts {
		return slots
	}
	return slots + d.placer.BusyEngines(d.now())
}

// setLightParts takes the part of the work that light classes have over all entry processes.
func (d *dispatcher) setLightParts(parts map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.pools {
		if part, found := parts[key.name]; found && p.prompts {
			d.placer.SetLightShare(part)
		}
	}
}

// String returns the pool's name between processes.
func (k poolKey) String() string {
	return string(k.kind) + "/" + k.name
}
