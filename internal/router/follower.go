package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxPollWait is the time that a control process may wait for news before it answers.
	maxPollWait = 500 * time.Millisecond
	// pollTimeout bounds one exchange, the wait included.
	pollTimeout = maxPollWait + 500*time.Millisecond
	// polledControls is the number of control processes that are polledControls beside each
	// other, so that what is new arrives while one of them is frozen or cut off.
	polledControls = 2
	// pollPause is the least time between two exchanges; what is new in it comes with the next.
	pollPause = 100 * time.Millisecond
	// unconfirmedDelay is the time without a configuration after which one is
	// taken that no quorum has confirmed.
	unconfirmedDelay = 200 * time.Millisecond
	// reportedWindows is the number of recent usage windows that are told again and again.
	reportedWindows = 4
)

type (
	// controlPoller asks a control process for what is new and takes it in.
	controlPoller struct {
		router *Router
		startedAt  time.Duration
		// loadSharedAt is when the load was told last, by the loop of the first rank.
		loadSharedAt time.Duration
	}

	// cursor is how far this process has come in a control process's table.
	cursor struct {
		table    uint64
		position uint64
		// loadPosition and heldPosition are how far it has come in the sums of the load and in the parts heldPosition.
		loadPosition, heldPosition uint64
	}

	// windowCounter counts requests in windows that are aligned to true time.
	windowCounter struct {
		mu      sync.Mutex
		counter *reporter.Counter
		// agreedTimeOffset is the true time at the zero of the monotonic clock, once it is known.
		agreedTimeOffset time.Duration
		offsetKnown  bool
	}
)

func newControlPoller(r *Router) *controlPoller {
	return &controlPoller{router: r, startedAt: timer.Now()}
}

// run follows the control processes until ctx ends.
func (f *controlPoller) run(ctx context.Context) error {
	if !f.router.settings.GetEntry().GetFollowControl() {
		return nil
	}
	var wait sync.WaitGroup
	for rank := range polledControls {
		wait.Go(func() { f.poll(ctx, rank) })
	}
	wait.Wait()
	return nil
}

// poll keeps asking the control process of a rank in the order of preference.
func (f *controlPoller) poll(ctx context.Context, rank int) {
	places := map[string]cursor{}
	for ctx.Err() == nil {
		client := f.router.controls.atRank(rank)
		if client == nil {
			timer.Sleep(ctx, pollPause)
			continue
		}
		question := f.newRequest(places[client.Address()], rank)
		reply, err := f.send(ctx, client, question)
		if err != nil {
			f.router.controls.markFailed(client)
			f.router.dispatcher.requeueCachedParts(question.GetLoadShare())
			f.router.log.Debug("following a control process failed", zap.String("control", client.Address()), zap.Error(err))
		} else {
			f.router.controls.markAnswered(client)
			places[client.Address()] = cursorAfter(question, reply.GetFollow())
			f.apply(question, reply.GetFollow())
		}
		timer.Sleep(ctx, pollPause)
	}
}

func (f *controlPoller) send(ctx context.Context, client *messenger.Client, question *wire.Follow) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return client.Exchange(ctx, &wire.Request{Kind: &wire.Request_Follow{Follow: question}})
}

// cursorAfter returns how far this process has come with an answer, which tells
// of the load only if the question did.
func cursorAfter(question *wire.Follow, reply *wire.FollowReply) cursor {
	at := cursor{table: reply.GetTable(), position: reply.GetPosition()}
	switch {
	case question.GetLoadShare() != nil:
		at.loadPosition, at.heldPosition = reply.GetLoadPosition(), reply.GetHeldPosition()
	case question.GetTable() == reply.GetTable():
		at.loadPosition, at.heldPosition = question.GetLoadPosition(), question.GetHeldPosition()
	}
	return at
}

// newRequest asks for what is new. The first control process followed is also
// told this process's share of the load, at a pace of its own: most answers
// come at once, since there is news of some upstream.
func (f *controlPoller) newRequest(at cursor, rank int) *wire.Follow {
	host := f.router.settings.GetHost()
	question := &wire.Follow{
		Host:            host.GetId(),
		FailureDomain:   host.GetFailureDomain(),
		HaveRevision:    uint64(f.router.authority.revision()),
		Table:           at.table,
		Position:        at.position,
		WaitMillis:      maxPollWait.Milliseconds(),
		WantUnconfirmed: !f.router.authority.configured() && timer.Now()-f.startedAt > unconfirmedDelay,
	}
	if rank == 0 {
		f.addLoadShare(question, at)
	}
	return question
}

// addLoadShare adds this process's addLoadShare of the load to a question if it is due, and
// shortens the wait for the answer so that the next one comes in time.
func (f *controlPoller) addLoadShare(question *wire.Follow, at cursor) {
	d := f.router.dispatcher
	if d.hasClusterLoadOf(at.table) {
		question.LoadPosition, question.HeldPosition = at.loadPosition, at.heldPosition
	}
	now := timer.Now()
	pace := announcer.LoadPace(d.entryHosts())
	if now-f.loadSharedAt >= pace {
		f.loadSharedAt = now
		question.LoadShare = d.loadShare()
	}
	if d.hasRunningRequests() {
		wait := max(0, pace-(now-f.loadSharedAt)-pollPause)
		question.WaitMillis = min(maxPollWait, wait).Milliseconds()
	}
}

func (f *controlPoller) apply(question *wire.Follow, reply *wire.FollowReply) {
	r := f.router
	now := timer.Now()
	for _, u := range reply.GetUpstreams() {
		r.dispatcher.applyAnnouncement(announcer.FromWire(u, now))
	}
	if question.GetLoadShare() != nil {
		r.dispatcher.applyClusterLoad(question.GetLoadShare(), reply)
	}
	r.controls.setAddresses(reply.GetControlAddresses())
	r.dispatcher.setEntryHosts(int(reply.GetEntryHosts()))
	r.windows.setAgreedTime(now, time.UnixMilli(reply.GetTrueMillis()))
	if u := reply.GetUnconfirmed(); u != nil && u.GetRevision() > 0 {
		r.log.Warn("taking a configuration that no quorum has confirmed", zap.Uint64("revision", u.GetRevision()))
		if err := r.authority.accept(u); err != nil {
			r.log.Error("unconfirmed configuration was refused", zap.Error(err))
		}
	}
	if configurer.Revision(reply.GetRevision()) > r.authority.revision() {
		r.authority.hurry()
	}
}

func newWindowCounter(e *settings.Entry) *windowCounter {
	length := e.GetAlignedWindow().AsDuration()
	if length <= 0 {
		return &windowCounter{}
	}
	return &windowCounter{counter: reporter.NewCounter(length, reportedWindows)}
}

func (w *windowCounter) setAgreedTime(now time.Duration, truth time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agreedTimeOffset = time.Duration(truth.UnixNano()) - now
	w.offsetKnown = true
}

// add counts a request that begins to run now. Before the true time is known
// the time of day stands for it.
func (w *windowCounter) add(who identity) {
	if w.counter == nil || who.organisation == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now()
	if w.offsetKnown {
		at = time.Unix(0, int64(w.agreedTimeOffset+timer.Now()))
	}
	w.counter.Add(at, reporter.Organisation(who.organisation))
}

// recent returns the counts of the recent windows.
func (w *windowCounter) recent() []*wire.WindowCounts {
	if w.counter == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*wire.WindowCounts
	for number, counts := range w.counter.Recent() {
		row := &wire.WindowCounts{Number: uint64(number), Counts: map[string]uint64{}}
		for organisation, n := range counts {
			row.Counts[string(organisation)] = n
		}
		out = append(out, row)
	}
	return out
}
