// Package forwarder passes the requests of an entry process that is cut off from all upstreams on
// to other entry processes. It detects the cut by connections that fail and by probes of its own.
package forwarder

import (
	"context"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/internal/locator"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/pkg/diverter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// checkInterval is the time between two looks at whether probes are due, and between two attempts
	// to pass on the requests that wait.
	checkInterval = 50 * time.Millisecond
	// probeHold is the time for which a probe's connection must last: a gateway that has lost what is
	// behind it may accept connections and reset them.
	probeHold = 100 * time.Millisecond
)

// Forwarder detects the cut and passes requests on. It is safe for concurrent use.
type Forwarder struct {
	// Dial establishes bare connections to upstreams, Upstreams returns those that are announced.
	// Divert is called while the process is cut off, for the requests that wait for an upstream, and
	// says whether another process can take them. They may be set before Run.
	Dial      dialer.DialFunc
	Upstreams func() []*registrar.Upstream
	Divert    func(available bool)
	// Locator knows the other entry processes.
	Locator *locator.Locator

	self   diverter.Host
	random func(n int) int
	now    func() time.Duration
	sender *relayer.Sender
	log    *zap.Logger
	scope  tally.Scope
	cutOff atomic.Bool

	mu       sync.Mutex
	detector *diverter.Detector
	// cutOffAt is when the verdict began. passedOn counts the requests that were passed on since.
	cutOffAt time.Duration
	passedOn int
	// inProgress counts the requests in progress at other hosts.
	inProgress map[diverter.HostID]int
}

// New returns the forwarder of an entry process. clients returns the control processes that know the
// other entry processes. random must return uniformly distributed integers from 0 to n-1.
func New(
	self diverter.Host, security messenger.Security, clients func() []*messenger.Client,
	random func(n int) int, log *zap.Logger, scope tally.Scope,
) *Forwarder {
	return &Forwarder{
		Upstreams: func() []*registrar.Upstream { return nil }, Divert: func(bool) {},
		self: self, random: random, now: timer.Now, log: log, scope: scope,
		Locator:    locator.New(self.ID, clients, log),
		sender:     relayer.NewSender(security),
		detector:   diverter.NewDetector(random),
		inProgress: map[diverter.HostID]int{},
	}
}

// Run probes upstreams while a cut is suspected, until ctx is done.
func (f *Forwarder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.Locator.Run(ctx) })
	group.Go(func() error { return f.sender.Run(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			f.check(ctx)
			timer.Sleep(ctx, checkInterval)
		}
		return nil
	})
	return group.Wait()
}

// Connected records that bytes of an upstream have arrived on a new connection.
func (f *Forwarder) Connected() {
	f.update(func() { f.detector.Connected() })
}

// Failed records that a connection to an upstream could not be established, or ended before any bytes
// of the upstream arrived, or since nothing was acknowledged.
func (f *Forwarder) Failed(u *registrar.Upstream) {
	f.update(func() { f.detector.Failed(f.now(), u.ID, u.FailureDomain) })
}

// CutOff reports whether this process cannot reach any upstream.
func (f *Forwarder) CutOff() bool { return f.cutOff.Load() }

// Available reports whether this process is cut off and another one can take its requests.
func (f *Forwarder) Available() bool {
	if !f.CutOff() {
		return false
	}
	_, _, found := f.choose(func(hosts []diverter.Host) []diverter.Host { return hosts })
	return found
}

// update changes the detector, and logs a change of its verdict.
func (f *Forwarder) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	cutOff := f.detector.CutOff()
	if f.cutOff.Swap(cutOff) == cutOff {
		return
	}
	if !cutOff {
		f.log.Info("upstreams can be reached again", zap.Duration("cutOff", f.now()-f.cutOffAt), zap.Int("passedOn", f.passedOn))
		return
	}
	f.cutOffAt, f.passedOn = f.now(), 0
	f.scope.Counter("cut_off").Inc(1)
	evidence := f.detector.Evidence()
	f.log.Warn("no upstream can be reached", zap.Duration("since", f.now()-evidence.Since),
		zap.Int("failed", evidence.Failed), zap.Int("known", evidence.Known),
		zap.Int("failedDomains", evidence.Domains), zap.Int("knownDomains", evidence.KnownDomains))
}

// check starts the probes that are due, and has the waiting requests passed on.
func (f *Forwarder) check(ctx context.Context) {
	f.mu.Lock()
	suspected := f.detector.Suspected()
	f.mu.Unlock()
	f.Locator.Want(suspected)
	if !suspected {
		return
	}
	announced := map[registrar.UpstreamID]*registrar.Upstream{}
	var known []diverter.Upstream
	for _, u := range f.Upstreams() {
		announced[u.ID] = u
		known = append(known, diverter.Upstream{ID: u.ID, Domain: u.FailureDomain})
	}
	var due []diverter.Upstream
	f.update(func() { due = f.detector.Probes(f.now(), known) })
	for _, u := range due {
		go f.probe(ctx, announced[u.ID])
	}
	if f.CutOff() {
		f.Divert(f.Available())
	}
}

// probe establishes a connection to an upstream, and closes it if the other end does not.
func (f *Forwarder) probe(ctx context.Context, u *registrar.Upstream) {
	f.scope.Counter("connections_probed").Inc(1)
	address, err := url.Parse(u.URL)
	if err == nil {
		err = f.connect(ctx, address.Host)
	}
	switch {
	case err == nil:
		f.Connected()
	case !errors.Is(err, context.Canceled):
		f.Failed(u)
	}
}

func (f *Forwarder) connect(ctx context.Context, address string) error {
	conn, err := f.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err = conn.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return err
	}
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
