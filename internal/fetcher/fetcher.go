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
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// fetchPause is the pause after no control process has sent a part.
	fetchPause = 100 * time.Millisecond
)

type (
	// Fetcher fetches configuration changes that are too large for the reply to
	// a poll or sync request. There is one fetch at a time, in parts, so that it makes
	// progress whatever the size of the changes and the speed of the link. A part that does
	// not come is asked for at another control process.
	Fetcher struct {
		// Held returns the revision that changes may follow, Confirmed the latest one that a quorum has
		// confirmed.
		Held, Confirmed func() configurer.Revision
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

	// noLaterRevisionError reports a control process that has no revision that may be applied.
	noLaterRevisionError struct {
		Revision configurer.Revision
		Least    configurer.Revision
	}
)

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
	if f.target <= f.Held() {
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
		current := newFetch(f.Held())
		for ctx.Err() == nil {
			if target, _ := f.Wanted(); target == 0 {
				break
			}
			current = f.ContinueAtAny(ctx, current)
		}
	}
	return nil
}

// ContinueAtAny continues a fetch at one control process after the other until it is
// complete, and applies the changes. It returns the fetch to go on with.
func (f *Fetcher) ContinueAtAny(ctx context.Context, current *Fetch) *Fetch {
	if held := f.Held(); current.From != held {
		// Another reply has brought changes meanwhile.
		current = newFetch(held)
	}
	current.record.passes++
	current.Least = max(current.From+1, f.Confirmed())
	before, behind := current.record.parts, false
	for _, client := range f.ordered() {
		age, err := f.FetchFrom(ctx, client, current)
		if err == nil {
			f.Deliver(client.Address(), current, age)
			f.log.Info("configuration changes were fetched", current.logFields()...)
			return newFetch(f.Held())
		}
		f.log.Debug("fetching configuration changes failed", zap.String("control", client.Address()),
			zap.Int("bytes", len(current.Data)), zap.Error(err))
		if errors.As(err, new(*messenger.UnreachableError)) && ctx.Err() == nil {
			f.clients.MarkFailed(client)
		}
		behind = behind || errors.As(err, new(*noLaterRevisionError))
		f.logOverdue(current)
	}
	timer.Sleep(ctx, fetchPause)
	if behind && current.record.parts == before {
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

// FetchFrom fetches the remaining parts from one control process. It returns the time since
// that applied its latest revision.
func (f *Fetcher) FetchFrom(ctx context.Context, client *messenger.Client, current *Fetch) (time.Duration, error) {
	for {
		reply, err := f.fetchPart(ctx, client, current)
		if err != nil {
			return 0, err
		}
		if err = current.addChanges(reply); err != nil {
			return 0, err
		}
		if current.Complete() {
			return time.Duration(reply.GetRevisionAgeMillis()) * time.Millisecond, nil
		}
	}
}

func (f *Fetcher) fetchPart(ctx context.Context, client *messenger.Client, current *Fetch) (*wire.FetchReply, error) {
	askedAt := timer.Now()
	part, err := current.FetchPart(ctx, client, &wire.Fetch{HaveRevision: uint64(current.From), Revision: uint64(current.revision)})
	current.record.addRequest(client.Address(), timer.Now()-askedAt)
	if err != nil {
		current.record.failures++
	}
	return part, err
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
