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
	// followWait is the time that a control process may wait for news before it answers.
	followWait = 500 * time.Millisecond
	// followTimeout bounds one exchange, the wait included.
	followTimeout = followWait + 500*time.Millisecond
	// followed is the number of control processes that are followed beside each
	// other, so that what is new arrives while one of them is frozen or cut off.
	followed = 2
	// followPause is the least time between two exchanges; what is new in it comes with the next.
	followPause = 100 * time.Millisecond
	// unconfirmedAfter is the time without a configuration after which one is
	// taken that no quorum has confirmed.
	unconfirmedAfter = 200 * time.Millisecond
	// windowsKept is the number of recent usage windows that are told again and again.
	windowsKept = 4
)

type (
	// follower asks a control process for what is new and takes it in.
	follower struct {
		router *Router
		begun  time.Duration
		// shared is when the load was told last, by the loop of the first rank.
		shared time.Duration
	}

	// place is how far this process has come in a control process's table.
	place struct {
		table    uint64
		position uint64
		// loads and held are how far it has come in the sums of the load and in the parts held.
		loads, held uint64
	}

	// windowCounter counts requests in windows that are aligned to true time.
	windowCounter struct {
		mu      sync.Mutex
		counter *reporter.Counter
		// offset is the true time at the zero of the monotonic clock, once it is known.
		offset time.Duration
		known  bool
	}
)

func newFollower(r *Router) *follower {
	return &follower{router: r, begun: timer.Now()}
}

// run follows the control processes until ctx ends.
func (f *follower) run(ctx context.Context) error {
	if !f.router.settings.GetEntry().GetFollowControl() {
		return nil
	}
	var wait sync.WaitGroup
	for rank := range followed {
		wait.Go(func() { f.follow(ctx, rank) })
	}
	wait.Wait()
	return nil
}

// follow keeps asking the control process of a rank in the order of preference.
func (f *follower) follow(ctx context.Context, rank int) {
	places := map[string]place{}
	for ctx.Err() == nil {
		client := f.router.controls.ranked(rank)
		if client == nil {
			timer.Sleep(ctx, followPause)
			continue
		}
		question := f.question(places[client.Address()], rank)
		reply, err := f.ask(ctx, client, question)
		if err != nil {
			f.router.controls.failed(client)
			f.router.dispatcher.keepNews(question.GetLoadShare())
			f.router.log.Debug("following a control process failed", zap.String("control", client.Address()), zap.Error(err))
		} else {
			f.router.controls.answered(client)
			places[client.Address()] = placeAfter(question, reply.GetFollow())
			f.take(question, reply.GetFollow())
		}
		timer.Sleep(ctx, followPause)
	}
}

func (f *follower) ask(ctx context.Context, client *messenger.Client, question *wire.Follow) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return client.Exchange(ctx, &wire.Request{Kind: &wire.Request_Follow{Follow: question}})
}

// placeAfter returns how far this process has come with an answer, which tells
// of the load only if the question did.
func placeAfter(question *wire.Follow, reply *wire.FollowReply) place {
	at := place{table: reply.GetTable(), position: reply.GetPosition()}
	switch {
	case question.GetLoadShare() != nil:
		at.loads, at.held = reply.GetLoadPosition(), reply.GetHeldPosition()
	case question.GetTable() == reply.GetTable():
		at.loads, at.held = question.GetLoadPosition(), question.GetHeldPosition()
	}
	return at
}

// question asks for what is new. The first control process followed is also
// told this process's share of the load, at a pace of its own: most answers
// come at once, since there is news of some upstream.
func (f *follower) question(at place, rank int) *wire.Follow {
	host := f.router.settings.GetHost()
	question := &wire.Follow{
		Host:            host.GetId(),
		FailureDomain:   host.GetFailureDomain(),
		HaveRevision:    uint64(f.router.authority.revision()),
		Table:           at.table,
		Position:        at.position,
		WaitMillis:      followWait.Milliseconds(),
		WantUnconfirmed: !f.router.authority.configured() && timer.Now()-f.begun > unconfirmedAfter,
	}
	if rank == 0 {
		f.share(question, at)
	}
	return question
}

// share adds this process's share of the load to a question if it is due, and
// shortens the wait for the answer so that the next one comes in time.
func (f *follower) share(question *wire.Follow, at place) {
	d := f.router.dispatcher
	if d.fleetFrom(at.table) {
		question.LoadPosition, question.HeldPosition = at.loads, at.held
	}
	now := timer.Now()
	pace := announcer.LoadInterval(d.entryHosts())
	if now-f.shared >= pace {
		f.shared = now
		question.LoadShare = d.loadShare()
	}
	if d.busyUpstreams() {
		wait := max(0, pace-(now-f.shared)-followPause)
		question.WaitMillis = min(followWait, wait).Milliseconds()
	}
}

func (f *follower) take(question *wire.Follow, reply *wire.FollowReply) {
	r := f.router
	now := timer.Now()
	for _, u := range reply.GetUpstreams() {
		r.dispatcher.announce(announcer.FromWire(u, now))
	}
	if question.GetLoadShare() != nil {
		r.dispatcher.learnFleet(question.GetLoadShare(), reply)
	}
	r.controls.learn(reply.GetControlAddresses())
	r.dispatcher.setEntryHosts(int(reply.GetEntryHosts()))
	r.windows.setTime(now, time.UnixMilli(reply.GetTrueMillis()))
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
	return &windowCounter{counter: reporter.NewCounter(length, windowsKept)}
}

func (w *windowCounter) setTime(now time.Duration, truth time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offset = time.Duration(truth.UnixNano()) - now
	w.known = true
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
	if w.known {
		at = time.Unix(0, int64(w.offset+timer.Now()))
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
