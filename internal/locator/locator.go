// Package locator keeps in an entry process that is cut off from all upstreams the list of the
// entry processes that may take its requests. It asks the control processes, which entry processes
// tell about themselves, and nothing while the list is not wanted.
package locator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/diverter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// askInterval is the time between two rounds in which all control processes are asked.
	askInterval = 300 * time.Millisecond
	// askTimeout bounds a question to one control process.
	askTimeout = 400 * time.Millisecond
	// maxQuestions is the number of control processes that are asked at once.
	maxQuestions = 4
	// maxRetries is the number of control processes that are asked in a round although they did not
	// answer when they were asked last.
	maxRetries = 2
	// statementTimeout is the age from which what a host has said is dropped.
	statementTimeout = 5 * time.Second
	// maxHosts bounds the number of hosts in the list.
	maxHosts = 1024
	// avoidTime is the time for which a host is left out that could not be reached.
	avoidTime = time.Second
)

type (
	// Locator keeps the list. It is safe for concurrent use.
	Locator struct {
		// Now returns the time since some fixed moment. It may be replaced before Run is called.
		Now func() time.Duration
		// Self returns what this process says of itself with each question, nil for nothing. It may be
		// set before Run is called.
		Self func() *wire.EntryHost
		// Ask asks a control process. It may be replaced before Run is called.
		Ask func(ctx context.Context, control *messenger.Client) (*wire.EntryHostsReply, error)

		self    diverter.HostID
		clients func() []*messenger.Client
		log     *zap.Logger
		// wake has an element when the list becomes wanted.
		wake chan struct{}

		mu         sync.Mutex
		wanted     bool
		statements map[diverter.HostID]statement
		// cutOffAt holds when hosts have replied that they are cut off, unreachableAt when they could
		// not be reached.
		cutOffAt, unreachableAt map[diverter.HostID]time.Duration
	}

	// statement is what a host has said of itself. Its age is not set.
	statement struct {
		host diverter.Host
		at   time.Duration
	}
)

// New returns the locator of an entry host. clients returns the control processes in the order in
// which to ask them.
func New(self diverter.HostID, clients func() []*messenger.Client, log *zap.Logger) *Locator {
	l := &Locator{
		Now: timer.Now, self: self, clients: clients, log: log, wake: make(chan struct{}, 1),
		statements: map[diverter.HostID]statement{},
		cutOffAt:   map[diverter.HostID]time.Duration{}, unreachableAt: map[diverter.HostID]time.Duration{},
	}
	l.Ask = l.ask
	return l
}

// Want says whether the list is wanted. The control processes are asked at once when it becomes so.
func (l *Locator) Want(wanted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wanted && !l.wanted {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	l.wanted = wanted
}

// Hosts returns what hosts have said of themselves last, ordered by id, without this host and those
// that could not be reached lately.
func (l *Locator) Hosts() []diverter.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.dropOld(now)
	hosts := make([]diverter.Host, 0, len(l.statements))
	for _, id := range slices.Sorted(maps.Keys(l.statements)) {
		if _, avoided := l.unreachableAt[id]; avoided {
			continue
		}
		s := l.statements[id]
		host := s.host
		host.Age = now - s.at
		if at, found := l.cutOffAt[id]; found && s.at <= at {
			host.CutOff = true
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// MarkCutOff records that a host has just replied that it is cut off too. It counts until the host
// says otherwise.
func (l *Locator) MarkCutOff(id diverter.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOffAt[id] = l.Now()
}

// MarkUnreachable leaves a host out for a second: it could not be reached.
func (l *Locator) MarkUnreachable(id diverter.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableAt[id] = l.Now()
}

// Run asks the control processes while the list is wanted, until ctx is done.
func (l *Locator) Run(ctx context.Context) error {
	failedAt := map[string]time.Duration{}
	for ctx.Err() == nil {
		if !l.isWanted() {
			select {
			case <-ctx.Done():
				return nil
			case <-l.wake:
			}
			continue
		}
		select {
		case <-l.wake:
		default:
		}
		began := l.Now()
		l.askAll(ctx, failedAt)
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-time.After(askInterval - (l.Now() - began)):
		}
	}
	return nil
}

func (l *Locator) isWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// askAll asks the control processes. failedAt holds when those that did not answer were asked last, by
// address, and is updated.
func (l *Locator) askAll(ctx context.Context, failedAt map[string]time.Duration) {
	var (
		mu    sync.Mutex
		asked sync.WaitGroup
	)
	places := make(chan struct{}, maxQuestions)
	for _, client := range due(l.clients(), failedAt) {
		places <- struct{}{}
		if ctx.Err() != nil || !l.isWanted() {
			break
		}
		asked.Go(func() {
			defer func() { <-places }()
			began := l.Now()
			reply, err := l.Ask(ctx, client)
			if err == nil {
				l.merge(began, reply)
			} else {
				l.log.Debug("asking a control process for entry hosts failed", zap.String("control", client.Address()), zap.Error(err))
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				delete(failedAt, client.Address())
			} else {
				failedAt[client.Address()] = began
			}
		})
	}
	asked.Wait()
}

// due returns the control processes to ask in a round: those that have not failed, and a few of the
// others, so that the round does not take long. All are asked if none is left.
func due(clients []*messenger.Client, failedAt map[string]time.Duration) []*messenger.Client {
	var sound, failed []*messenger.Client
	known := map[string]bool{}
	for _, client := range clients {
		known[client.Address()] = true
		if _, found := failedAt[client.Address()]; found {
			failed = append(failed, client)
		} else {
			sound = append(sound, client)
		}
	}
	maps.DeleteFunc(failedAt, func(address string, _ time.Duration) bool { return !known[address] })
	slices.SortStableFunc(failed, func(a, b *messenger.Client) int {
		return cmp.Compare(failedAt[a.Address()], failedAt[b.Address()])
	})
	if len(sound) == 0 {
		return failed
	}
	return append(sound, failed[:min(maxRetries, len(failed))]...)
}

// ask is the default of Ask.
func (l *Locator) ask(ctx context.Context, control *messenger.Client) (*wire.EntryHostsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := &wire.EntryHosts{Host: string(l.self)}
	if l.Self != nil {
		question.Self = l.Self()
	}
	reply, err := control.Call(ctx, &wire.Request{Kind: &wire.Request_EntryHosts{EntryHosts: question}})
	if err != nil {
		return nil, err
	}
	return reply.GetEntryHosts(), nil
}

// merge takes over statements that are younger than the known ones. They are taken to be as old as
// if the reply to the question of askedAt had come at once, so never for younger than they are.
func (l *Locator) merge(askedAt time.Duration, reply *wire.EntryHostsReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOld(l.Now())
	for _, h := range reply.GetHosts() {
		id := diverter.HostID(h.GetHost())
		at := askedAt - time.Duration(max(0, h.GetAgeMillis()))*time.Millisecond
		known, found := l.statements[id]
		if id == "" || id == l.self || found && known.at >= at || !found && len(l.statements) >= maxHosts {
			continue
		}
		l.statements[id] = statement{at: at, host: diverter.Host{
			ID: id, FailureDomain: registrar.FailureDomain(h.GetFailureDomain()), Address: h.GetAddress(),
			CutOff: h.GetCutOff(), Requests: int(max(0, h.GetRequests())),
		}}
	}
}

// dropOld drops what is too old.
func (l *Locator) dropOld(now time.Duration) {
	maps.DeleteFunc(l.statements, func(_ diverter.HostID, s statement) bool { return now-s.at > statementTimeout })
	maps.DeleteFunc(l.cutOffAt, func(_ diverter.HostID, at time.Duration) bool { return now-at > statementTimeout })
	maps.DeleteFunc(l.unreachableAt, func(_ diverter.HostID, at time.Duration) bool { return now-at > avoidTime })
}
