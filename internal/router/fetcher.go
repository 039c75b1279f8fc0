package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/assembler"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// fetchPause is the pause after no control process has sent a part.
	fetchPause = 100 * time.Millisecond
)

type (
	// configurationFetcher fetches configuration changes that are too large for the reply to
	// a poll or sync request. There is one fetch at a time, in parts, so that it makes
	// progress whatever the size of the changes and the speed of the link. A part that does
	// not come is asked for at another control process.
	configurationFetcher struct {
		router *Router
		// requested wakes run.
		requested chan struct{}

		mu sync.Mutex
		// target is the latest revision that is known to exist.
		target configurer.Revision
		// source is the address of the control process that reported the target.
		source string
	}

	// fetch is a fetch of configuration changes in progress.
	fetch struct {
		from configurer.Revision
		// least is the earliest revision that may be applied.
		least    configurer.Revision
		revision configurer.Revision
		assembler.Transfer
	}

	// noLaterRevisionError reports a control process that has no revision that may be applied.
	noLaterRevisionError struct {
		Revision configurer.Revision
	}
)

// Error implements error.
func (e *noLaterRevisionError) Error() string { return "the control process has no later revision" }

func newConfigurationFetcher(r *Router) *configurationFetcher {
	return &configurationFetcher{router: r, requested: make(chan struct{}, 1)}
}

// request makes run fetch the changes up to a revision that a control process has reported.
// It does not block.
func (f *configurationFetcher) request(revision configurer.Revision, source string) {
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

// wanted returns the revision that is to be fetched and the control process that reported
// it. The revision is zero if the configuration in use is not older.
func (f *configurationFetcher) wanted() (configurer.Revision, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.target <= f.router.controlPlane.revision() {
		return 0, ""
	}
	return f.target, f.source
}

// run fetches what is requested until ctx ends.
func (f *configurationFetcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-f.requested:
		}
		current := &fetch{}
		for ctx.Err() == nil {
			if target, _ := f.wanted(); target == 0 {
				break
			}
			current = f.fetchFromAny(ctx, current)
		}
	}
	return nil
}

// fetchFromAny continues a fetch at one control process after the other until it is
// complete, and applies the changes. It returns the fetch to go on with.
func (f *configurationFetcher) fetchFromAny(ctx context.Context, current *fetch) *fetch {
	if held := f.router.controlPlane.revision(); current.from != held {
		// Another reply has brought changes meanwhile.
		current = &fetch{from: held}
	}
	current.least = max(current.from+1, f.router.controlPlane.confirmedRevision())
	for _, client := range f.clients() {
		age, err := f.fetchFrom(ctx, client, current)
		if err == nil {
			f.apply(client.Address(), current, age)
			return &fetch{from: f.router.controlPlane.revision()}
		}
		f.router.log.Debug("fetching configuration changes failed", zap.String("control", client.Address()),
			zap.Int("bytes", len(current.Data)), zap.Error(err))
		if errors.As(err, new(*messenger.UnreachableError)) && ctx.Err() == nil {
			f.router.controlClients.MarkFailed(client)
		}
	}
	timer.Sleep(ctx, fetchPause)
	return current
}

// clients returns the control processes in the order in which to try them: first the one
// that reported the wanted revision.
func (f *configurationFetcher) clients() []*messenger.Client {
	_, source := f.wanted()
	all := f.router.controlClients.All()
	for i, client := range all {
		if client.Address() == source {
			return append([]*messenger.Client{client}, append(all[:i:i], all[i+1:]...)...)
		}
	}
	return all
}

// fetchFrom fetches the remaining parts from one control process. It returns the time since
// that applied its latest revision.
func (f *configurationFetcher) fetchFrom(ctx context.Context, client *messenger.Client, current *fetch) (time.Duration, error) {
	for {
		reply, err := f.fetchPart(ctx, client, current)
		if err != nil {
			return 0, err
		}
		if err = current.addChanges(reply); err != nil {
			return 0, err
		}
		if current.Complete() {
			return millis(reply.GetRevisionAgeMillis()), nil
		}
	}
}

func (f *configurationFetcher) fetchPart(ctx context.Context, client *messenger.Client, current *fetch) (*wire.FetchReply, error) {
	return current.FetchPart(ctx, client, &wire.Fetch{HaveRevision: uint64(current.from), Revision: uint64(current.revision)})
}

// addChanges adds a part of configuration changes.
func (f *fetch) addChanges(part *wire.FetchReply) error {
	revision := configurer.Revision(part.GetRevision())
	if revision < f.least {
		return &noLaterRevisionError{Revision: revision}
	}
	if err := f.Add(part); err != nil {
		return err
	}
	f.revision = revision
	return nil
}

// apply applies complete changes.
func (f *configurationFetcher) apply(control string, current *fetch, age time.Duration) {
	reply := &wire.SyncReply{}
	err := errors.Wrap(proto.Unmarshal(current.Data, reply), "decoding the changes")
	if err == nil {
		err = f.router.controlPlane.applyConfiguration(reply, delivery{control: control, request: "fetch", bytes: len(current.Data), age: age})
	}
	var earlier *earlierRevisionError
	if err != nil && !errors.As(err, &earlier) {
		f.router.log.Error("fetched configuration was rejected", zap.String("control", control), zap.Error(err))
	}
}
