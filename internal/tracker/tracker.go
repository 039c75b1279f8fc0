// Package tracker tells control processes, for an entry process, which software version began each
// stream that it relays, and asks them when a client takes up a stream that another process began.
package tracker

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/versioner"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/republisher"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// ReportTimeout is the longest time for which the first event of a stream waits for its report.
	ReportTimeout = 100 * time.Millisecond

	// messageTimeout bounds one message to a control process.
	messageTimeout = 300 * time.Millisecond
	// gatherInterval is the time for which reports that nothing waits for are gathered.
	gatherInterval = 50 * time.Millisecond
	// maxReports is the number of times that a report is sent at once if no control process gets it.
	maxReports = 3
	// checkInterval is the time after the last answer of a control process after which it is asked
	// whether it has started again, and retryInterval that after which what it lacks is sent again.
	checkInterval = time.Second
	retryInterval = 200 * time.Millisecond
	// renewalInterval is the time after which the origin of a stream that goes on is sent again.
	renewalInterval = 20 * time.Second
	// resentPerMessage and resendPause pace what is sent again, since all entry processes send to a
	// control process that has started again. A report takes about 50 bytes.
	resentPerMessage = 64
	resendPause      = 50 * time.Millisecond
	// retention and maxStreams bound what this process remembers of its own streams.
	retention  = time.Minute
	maxStreams = 50_000
	// commitInterval is the time after which the version of an upstream is committed again, in case it
	// was retired.
	commitInterval = time.Minute
)

type (
	// Tracker reports and finds the origins of streams. It is safe for concurrent use.
	Tracker struct {
		// Targets returns the control processes that get reports, at most two.
		Targets func() []*messenger.Client
		// All returns all control processes, in the order in which to try them.
		All func() []*messenger.Client
		// Unreachable is called with a control process that does not answer.
		Unreachable func(*messenger.Client)
		// Propose commits a command.
		Propose func(context.Context, *state.Command) (*wire.ProposeReply, error)
		// Restarted is called with a control process that has started again since its last answer, and
		// with the number of streams that it is told of again.
		Restarted func(c *messenger.Client, streams int)

		mu      sync.Mutex
		own     *republisher.Republisher[matcher.Stream, matcher.Origin]
		pending []*report
		// answeredAt holds, by address, when a control process last answered, and resending
		// whether reports are being sent to it again.
		answeredAt map[string]time.Duration
		resending  map[string]bool
		// committedAt holds when each version was last committed by this process.
		committedAt map[matcher.Origin]time.Duration
		// urgent wakes Run without delay, added wakes it after gatherInterval, and lacking makes
		// it send again what a control process lacks.
		urgent, added, lacking chan struct{}
	}

	// report is the origin of one stream, to be sent.
	report struct {
		stream matcher.Stream
		origin matcher.Origin
		// done is closed when a control process has it.
		done chan struct{}
		once sync.Once
		// sent is the number of times that it was sent.
		sent int
	}

	item = republisher.Item[matcher.Stream, matcher.Origin]

	// RejectedVersionError reports a version that the control processes do not accept.
	RejectedVersionError struct {
		Pool    matcher.Pool
		Version registrar.Version
		Detail  string
	}
)

// Error implements error.
func (e *RejectedVersionError) Error() string {
	return "version " + string(e.Version) + " of " + string(e.Pool) + " was rejected: " + e.Detail
}

// New returns a tracker without control processes. Run sends its reports.
func New() *Tracker {
	none := func() []*messenger.Client { return nil }
	return &Tracker{
		Targets: none, All: none, Unreachable: func(*messenger.Client) {}, Restarted: func(*messenger.Client, int) {},
		own:        republisher.New[matcher.Stream, matcher.Origin](retention, renewalInterval, maxStreams),
		answeredAt: map[string]time.Duration{}, resending: map[string]bool{}, committedAt: map[matcher.Origin]time.Duration{},
		urgent: make(chan struct{}, 1), added: make(chan struct{}, 1), lacking: make(chan struct{}, 1),
	}
}

// Report sends the origin of a stream to the control processes, at once if it is urgent, and again to
// those that have lost it, until a while after End. The channel is closed when one of them has it.
func (t *Tracker) Report(s matcher.Stream, o matcher.Origin, urgent bool) <-chan struct{} {
	r := &report{stream: s, origin: o, done: make(chan struct{})}
	t.mu.Lock()
	t.own.Open(timer.Now(), s, o)
	t.pending = append(t.pending, r)
	t.mu.Unlock()
	if urgent {
		wake(t.urgent)
	} else {
		wake(t.added)
	}
	return r.done
}

// End records that a stream that was reported has ended here. Its client may take it up elsewhere.
func (t *Tracker) End(s matcher.Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.Close(timer.Now(), s)
}

// Run sends reports until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	next := time.NewTimer(checkInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.lacking:
			next.Reset(t.republish(ctx, &sending))
			continue
		case <-next.C:
			next.Reset(t.republish(ctx, &sending))
			continue
		case <-t.urgent:
		case <-t.added:
			select {
			case <-ctx.Done():
				return nil
			case <-t.urgent:
			case <-time.After(gatherInterval):
			}
		}
		t.send(ctx, &sending)
	}
}

// send sends the new reports to the targets. What one of them does not get is sent to it again.
func (t *Tracker) send(ctx context.Context, sending *sync.WaitGroup) {
	t.mu.Lock()
	reports := t.pending[:min(len(t.pending), versioner.MaxOriginsPerMessage)]
	t.pending = slices.Clone(t.pending[len(reports):])
	if len(t.pending) > 0 {
		wake(t.added)
	}
	t.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	targets := t.receivers()
	sending.Go(func() { t.sendTo(ctx, targets, reports) })
}

// sendTo sends reports to control processes. If none of them answers, others get the reports.
func (t *Tracker) sendTo(ctx context.Context, targets []*messenger.Client, reports []*report) {
	items := make([]item, 0, len(reports))
	for _, r := range reports {
		r.sent++
		items = append(items, item{Key: r.stream, Value: r.origin})
	}
	var (
		wait      sync.WaitGroup
		delivered atomic.Bool
	)
	for _, client := range targets {
		wait.Go(func() {
			if t.deliver(ctx, client, items) != nil {
				return
			}
			delivered.Store(true)
			for _, r := range reports {
				r.once.Do(func() { close(r.done) })
			}
		})
	}
	wait.Wait()
	if delivered.Load() || reports[0].sent >= maxReports || ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	t.pending = append(reports, t.pending...)
	t.mu.Unlock()
	wake(t.added)
}

// receivers returns the targets, which get all reports from now on.
func (t *Tracker) receivers() []*messenger.Client {
	targets := t.Targets()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.SetReceivers(receiversOf(targets), receiversOf(t.All()))
	return targets
}

// republish sends each target the reports that it lacks, and asks those that have not answered lately whether
// they have started again. It returns the time until it is due again.
func (t *Tracker) republish(ctx context.Context, sending *sync.WaitGroup) time.Duration {
	targets := t.receivers()
	now := timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.Renew(now)
	if t.own.Len() == 0 {
		return checkInterval
	}
	due := checkInterval
	for _, client := range targets {
		address := client.Address()
		lacking := t.own.Lacking(republisher.Receiver(address)) > 0
		if lacking {
			due = retryInterval
		}
		if !t.resending[address] && (lacking || now-t.answeredAt[address] >= checkInterval) {
			t.resending[address] = true
			sending.Go(func() { t.resend(ctx, client) })
		}
	}
	return due
}

// resend sends a control process the reports that it lacks, a few at a time, at least one message.
func (t *Tracker) resend(ctx context.Context, client *messenger.Client) {
	address := client.Address()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.resending[address] = false
	}()
	for lacking := 1; lacking > 0; {
		t.mu.Lock()
		items := t.own.Next(republisher.Receiver(address), resentPerMessage)
		lacking = t.own.Lacking(republisher.Receiver(address))
		t.mu.Unlock()
		if t.deliver(ctx, client, items) != nil || !timer.Sleep(ctx, resendPause) {
			return
		}
	}
}

// deliver sends reports to a control process and records whether it has them.
func (t *Tracker) deliver(ctx context.Context, client *messenger.Client, items []item) error {
	receiver := republisher.Receiver(client.Address())
	message := &wire.Origins{}
	keys := make([]matcher.Stream, 0, len(items))
	for _, it := range items {
		message.Begun = append(message.Begun, versioner.OriginToWire(it.Key, it.Value))
		keys = append(keys, it.Key)
	}
	reply, err := t.call(ctx, client, message)
	t.mu.Lock()
	if err == nil || !errors.As(err, new(*messenger.UnreachableError)) {
		t.answeredAt[client.Address()] = timer.Now()
	} else {
		t.own.Missed(receiver, keys)
	}
	restarted := err == nil && t.own.Acknowledge(receiver, republisher.Incarnation(reply.GetIncarnation()), keys)
	lacking := t.own.Lacking(receiver)
	t.mu.Unlock()
	if restarted {
		t.Restarted(client, lacking)
		wake(t.lacking)
	}
	return err
}

func receiversOf(clients []*messenger.Client) []republisher.Receiver {
	out := make([]republisher.Receiver, 0, len(clients))
	for _, client := range clients {
		out = append(out, republisher.Receiver(client.Address()))
	}
	return out
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (t *Tracker) call(ctx context.Context, client *messenger.Client, message *wire.Origins) (*wire.OriginsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err := client.Call(ctx, &wire.Request{Kind: &wire.Request_Origins{Origins: message}})
	if errors.As(err, new(*messenger.UnreachableError)) && !errors.Is(err, context.Canceled) {
		t.Unreachable(client)
	}
	return reply.GetOrigins(), err
}

// Commit commits the versions of an upstream that announces itself to this process, before requests
// are sent to it.
func (t *Tracker) Commit(ctx context.Context, u *registrar.Upstream) error {
	for _, o := range versioner.OriginsOf(u) {
		now := timer.Now()
		t.mu.Lock()
		at, committed := t.committedAt[o]
		t.mu.Unlock()
		if committed && now-at < commitInterval {
			continue
		}
		reply, err := t.Propose(ctx, &state.Command{Kind: &state.Command_PoolVersion{
			PoolVersion: &state.PoolVersion{Pool: string(o.Pool), Version: string(o.Version)},
		}})
		switch {
		case err != nil && committed:
			// It was committed before, and is retired only long after its upstreams have gone.
			continue
		case err != nil:
			return errors.Wrap(err, "committing the version of an upstream")
		case reply.GetOutcome().GetReason() == keeper.ReasonTooManyVersions:
			// Control processes that do not know the command refuse it for another reason.
			return &RejectedVersionError{Pool: o.Pool, Version: o.Version, Detail: reply.GetOutcome().GetDetail()}
		}
		t.mu.Lock()
		t.committedAt[o] = now
		t.mu.Unlock()
	}
	return nil
}
