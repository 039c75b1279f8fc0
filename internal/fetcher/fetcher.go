// Package fetcher fetches configuration changes that are too large for the reply to a poll or sync request.
// It owns the fetch in progress and the order in which control processes are asked. It does not apply the
// changes itself and may not call the router; what it needs of that are function fields.
package fetcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/assembler"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/pkg/chooser"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// fetchPause is the pause after no control process has sent a part.
	fetchPause = 100 * time.Millisecond
	// copyDelay is the time after which another control process is asked for a part as well. It grows
	// up to maxCopyDelay, beyond the timeout of a request, where copies do not help.
	copyDelay    = 200 * time.Millisecond
	maxCopyDelay = 2 * time.Second
)

type (
	// Fetcher fetches configuration changes that are too large for the reply to
	// a poll or sync request. There is one fetch at a time, in parts, so that it makes
	// progress whatever the size of the changes and the speed of the link. A part that does
	// not come soon is asked for at another control process as well.
	Fetcher struct {
		// Revisions returns the revision that changes may follow, and the latest one that a quorum has
		// confirmed.
		Revisions func() (held, confirmed configurer.Revision)
		// Apply applies complete changes of a size in bytes from a control process, which had applied
		// its latest revision for the age.
		Apply func(control string, changes *wire.SyncReply, bytes int, age time.Duration) error

		clients *ranker.Ranker
		log     *zap.Logger
		// requested wakes Run.
		requested chan struct{}

		mu sync.Mutex
		// target is the latest revision that is known to exist.
		target configurer.Revision
		// source is the address of the control process that reported the target.
		source string
	}

	// Fetch is a fetch of configuration changes in progress.
	Fetch struct {
		// From is the revision that the changes follow.
		From configurer.Revision
		// Least is the earliest revision with which the fetch may begin. It moves on while the fetch is in
		// progress, which does not make the parts worthless.
		Least configurer.Revision
		// revision is the one that the added parts lead to, zero before the first one.
		revision configurer.Revision
		record   record
		assembler.Transfer
	}

	// Source is the control process that has sent the last part of a fetch.
	Source struct {
		Control string
		// Age is the time since it applied its latest revision.
		Age time.Duration
	}

	// partResult is the result of a request for a part.
	partResult struct {
		client *messenger.Client
		part   *wire.FetchReply
		err    error
		took   time.Duration
	}

	// noPartError reports that no control process has sent the next part.
	noPartError struct {
		Revision configurer.Revision
		Bytes    int
	}

	// noLaterRevisionError reports a control process that has no revision that may be applied.
	noLaterRevisionError struct {
		Revision configurer.Revision
		Least    configurer.Revision
	}
)

// Error implements error.
func (e *noPartError) Error() string {
	return fmt.Sprintf("no control process sends the part of revision %d after %d bytes", e.Revision, e.Bytes)
}

// Error implements error.
func (e *noLaterRevisionError) Error() string {
	return fmt.Sprintf("the control process has revision %d, not %d", e.Revision, e.Least)
}

// newFetch returns a fetch of the changes after a revision that begins now.
func newFetch(from configurer.Revision) *Fetch { return &Fetch{From: from, record: newRecord()} }

// New returns a fetcher that asks the control processes of clients. Its function fields must be set before
// it is used.
func New(clients *ranker.Ranker, log *zap.Logger) *Fetcher {
	return &Fetcher{clients: clients, log: log, requested: make(chan struct{}, 1)}
}

// Request makes Run fetch the changes up to a revision that a control process has reported.
// It does not block.
func (f *Fetcher) Request(revision configurer.Revision, source string) {
	f.mu.Lock()
	if revision > f.target {
		f.target, f.source = revision, source
	}
	f.mu.Unlock()
	select {
	case f.requested <- struct{}{}:
	default:
	}
}

// Wanted returns the revision that is to be fetched and the control process that reported
// it. The revision is zero if the configuration in use is not older.
func (f *Fetcher) Wanted() (configurer.Revision, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held, _ := f.Revisions(); f.target <= held {
		return 0, ""
	}
	return f.target, f.source
}

// Run fetches what is requested until ctx ends.
func (f *Fetcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-f.requested:
		}
		held, _ := f.Revisions()
		current := newFetch(held)
		for ctx.Err() == nil {
			if target, _ := f.Wanted(); target == 0 {
				break
			}
			current = f.ContinueAtAny(ctx, current)
		}
	}
	return nil
}

// ContinueAtAny continues a fetch until it is complete, and applies the changes, or until no control
// process sends the next part. It returns the fetch to go on with.
func (f *Fetcher) ContinueAtAny(ctx context.Context, current *Fetch) *Fetch {
	held, confirmed := f.Revisions()
	if current.From != held {
		// Another reply has brought changes meanwhile.
		current = newFetch(held)
	}
	current.record.passes++
	current.Least = max(held+1, confirmed)
	before, refused := current.record.parts, current.record.refused
	source, err := f.FetchFrom(ctx, f.ordered(), current)
	if err == nil {
		f.Deliver(source.Control, current, source.Age)
		f.log.Info("configuration changes were fetched", current.logFields()...)
		held, _ = f.Revisions()
		return newFetch(held)
	}
	timer.Sleep(ctx, fetchPause)
	if current.record.parts == before && current.record.refused > refused {
		// Who has the revision cannot be reached, so an earlier one is fetched from the others.
		current.revision, current.Transfer = 0, assembler.Transfer{}
	}
	return current
}

// ordered returns the control processes in the order in which to try them: first the one
// that reported the wanted revision.
func (f *Fetcher) ordered() []*messenger.Client {
	_, source := f.Wanted()
	all := f.clients.All()
	for i, client := range all {
		if client.Address() == source {
			return append([]*messenger.Client{client}, append(all[:i:i], all[i+1:]...)...)
		}
	}
	return all
}

// FetchFrom fetches the remaining parts from control processes, the preferred one first.
func (f *Fetcher) FetchFrom(ctx context.Context, clients []*messenger.Client, current *Fetch) (Source, error) {
	sources := chooser.New(chooser.Config{Delay: copyDelay, MaxDelay: maxCopyDelay}, clients)
	for {
		source, err := f.fetchPart(ctx, sources, current)
		if err != nil || current.Complete() {
			return source, err
		}
	}
}

// fetchPart adds the next part. A control process that does not send it soon is waited for, but
// another one is asked as well.
func (f *Fetcher) fetchPart(ctx context.Context, sources *chooser.Chooser[*messenger.Client], current *Fetch) (Source, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan partResult)
	var meters []*assembler.Meter
	sources.Begin()
	for !sources.Exhausted() {
		for client, ok := sources.Next(timer.Now()); ok; client, ok = sources.Next(timer.Now()) {
			request := current.NextPart(&wire.Fetch{HaveRevision: uint64(current.From), Revision: uint64(current.revision)})
			current.record.requests++
			meters = append(meters, assembler.NewMeter(timer.Now(), client.Received))
			go requestPart(ctx, client, request, results)
		}
		var due <-chan time.Time
		if at, ok := sources.DueAt(); ok {
			due = time.After(at - timer.Now())
		}
		select {
		case <-ctx.Done():
			return Source{}, ctx.Err()
		case <-due:
			for _, m := range meters {
				if now := timer.Now(); m.Progresses(now) {
					sources.Progress(now)
				}
			}
		case result := <-results:
			current.record.addResult(result)
			if result.err == nil {
				result.err = current.addChanges(result.part)
			}
			if result.err == nil {
				sources.Reply(timer.Now(), result.client)
				return Source{Control: result.client.Address(), Age: time.Duration(result.part.GetRevisionAgeMillis()) * time.Millisecond}, nil
			}
			sources.Fail(timer.Now(), result.client)
			f.handleFailure(result, current)
		}
		f.logOverdue(current)
	}
	return Source{}, &noPartError{Revision: current.revision, Bytes: len(current.Data)}
}

// requestPart sends a request to a control process and delivers the result until ctx ends.
func requestPart(ctx context.Context, client *messenger.Client, request *wire.Fetch, results chan<- partResult) {
	askedAt := timer.Now()
	part, err := assembler.FetchPart(ctx, client, request)
	select {
	case results <- partResult{client: client, part: part, err: err, took: timer.Now() - askedAt}:
	case <-ctx.Done():
	}
}

func (f *Fetcher) handleFailure(result partResult, current *Fetch) {
	f.log.Debug("fetching configuration changes failed", zap.String("control", result.client.Address()),
		zap.Int("bytes", len(current.Data)), zap.Error(result.err))
	if errors.Is(result.err, context.DeadlineExceeded) {
		current.Shrink()
	}
	if errors.As(result.err, new(*messenger.UnreachableError)) {
		f.clients.MarkFailed(result.client)
	}
}

// addChanges adds a part of configuration changes.
func (f *Fetch) addChanges(part *wire.FetchReply) error {
	revision := configurer.Revision(part.GetRevision())
	if least := f.least(); revision < least {
		f.record.refused++
		return &noLaterRevisionError{Revision: revision, Least: least}
	}
	before := len(f.Data)
	if err := f.Add(part); err != nil {
		return err
	}
	if f.record.parts++; len(f.Data) < before {
		f.record.restarts++
	}
	f.revision = revision
	return nil
}

// least returns the earliest revision of which a part may be added: the one that the fetch has begun with.
func (f *Fetch) least() configurer.Revision {
	if f.revision != 0 {
		return f.revision
	}
	return f.Least
}

// Deliver has the complete changes of a fetch applied.
func (f *Fetcher) Deliver(control string, current *Fetch, age time.Duration) {
	reply := &wire.SyncReply{}
	err := errors.Wrap(proto.Unmarshal(current.Data, reply), "decoding the changes")
	if err == nil {
		err = f.Apply(control, reply, len(current.Data), age)
	}
	if err != nil {
		f.log.Error("fetched configuration was rejected", zap.String("control", control), zap.Error(err))
	}
}
