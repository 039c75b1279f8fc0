package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/aggregator"
	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/collector"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/enumerator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/synchronizer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// gossipInterval is the time between two checks for changes to send to the other control processes.
	gossipInterval = 50 * time.Millisecond
	// maxGossipInterval is the longest time between two gossip messages, and the time
	// between two that carry renewals and the entry processes that poll the sender. It
	// also bounds the time to send one message.
	maxGossipInterval = time.Second
	// entryPollTimeout is the time after which an entry process is no longer considered
	// live if it has not polled and no gossip message has named it.
	entryPollTimeout = 5 * time.Second
	// countTime is the time for which the number of live entry processes is used.
	countTime = 200 * time.Millisecond
	// discoveryTime is the time from the start of a process in which all live entry processes
	// have polled a control process and gossip has named them.
	discoveryTime = 2 * maxGossipInterval
	// clockTimeout is the time after which the clock reading of a silent host is dropped.
	clockTimeout = 10 * time.Second
	// maxPollWait bounds the time that a poll waits for changes.
	maxPollWait = 2 * time.Second
)

// clusterView holds what this process learns from the polls of entry processes and
// from the gossip messages of the other control processes: the live entry
// processes, the failure domains of the control processes and the agreed time. It is
// kept in memory only.
type clusterView struct {
	mu sync.Mutex
	// entries holds the hosts of the entry processes that poll or that a gossip message names,
	// localEntries those that poll this process.
	entries, localEntries *enumerator.Enumerator
	clock                 *synchronizer.Synchronizer
	// failureDomains holds the failure domains of the other control processes, by host.
	failureDomains map[string]string
	// gossipReceived holds, by host, when the latest gossip message of another control
	// process arrived.
	gossipReceived map[string]time.Duration
	// lacking holds the hosts whose announcements this process lacks, lackedBy those that
	// lack announcements of this process.
	lacking, lackedBy map[string]bool
	createdAt         time.Duration
	// counted is how many entry processes are live and, once all are known, the ids of their hosts;
	// computed at countedAt.
	counted struct {
		entries int
		ids     []uint64
	}
	countedAt time.Duration
}

func newClusterView() *clusterView {
	config, now := enumerator.Config{Timeout: entryPollTimeout, Discovery: discoveryTime}, timer.Now()
	return &clusterView{
		entries:        enumerator.New(now, config),
		localEntries:   enumerator.New(now, config),
		clock:          synchronizer.New(clockTimeout),
		failureDomains: map[string]string{},
		gossipReceived: map[string]time.Duration{},
		lacking:        map[string]bool{},
		lackedBy:       map[string]bool{},
		createdAt:      now,
	}
}

// requestAll makes the next gossip message to a host ask for all its upstreams.
func (v *clusterView) requestAll(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lacking[host] = true
}

func (v *clusterView) takeRequestOfAll(host string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	lacking := v.lacking[host]
	delete(v.lacking, host)
	return lacking
}

// recordRequestForAll records that a host wants all upstreams of this process.
func (v *clusterView) recordRequestForAll(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lackedBy[host] = true
}

func (v *clusterView) takeRequestForAll(host string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	lacked := v.lackedBy[host]
	delete(v.lackedBy, host)
	return lacked
}

// recordEntry records a poll of an entry process.
func (v *clusterView) recordEntry(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := timer.Now()
	v.addEntry(host, now)
	v.localEntries.Name(now, enumerator.Process(host))
}

// receive records a gossip message of another control process.
func (v *clusterView) receive(s *wire.Spread) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := timer.Now()
	v.clock.AddSample(now, synchronizer.Host(s.GetHost()), time.UnixMilli(s.GetWallMillis()))
	v.failureDomains[s.GetHost()] = s.GetFailureDomain()
	v.gossipReceived[s.GetHost()] = now
	for _, host := range s.GetEntryHosts() {
		v.addEntry(host, now)
	}
}

// lastGossip returns when the latest gossip message of a host arrived, or zero.
func (v *clusterView) lastGossip(host string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gossipReceived[host]
}

// entryCount returns the number of live entry processes.
func (v *clusterView) entryCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count()
	return v.counted.entries
}

// entryIDs returns the ids of the hosts of the live entry processes, or nil until they are known.
func (v *clusterView) entryIDs() []uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count()
	return v.counted.ids
}

// count counts the live entry processes, unless that was done within countTime and none was added
// since: each poll asks for them.
func (v *clusterView) count() {
	now := timer.Now()
	if v.counted.ids != nil && now-v.countedAt < countTime {
		return
	}
	v.countedAt = now
	live := enumerator.Names(v.entries.Live(now))
	v.counted.entries, v.counted.ids = len(live), nil
	if v.entries.IsComplete(now) {
		v.counted.ids = announcer.HostIDs(live)
	}
}

// confirmedEntries returns the number of entry processes that may share a limit, zero if it is not known.
func (v *clusterView) confirmedEntries(contact enumerator.Contact) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries.Confirmed(timer.Now(), contact)
}

// addEntry records that an entry process is live.
func (v *clusterView) addEntry(host string, now time.Duration) {
	if v.entries.Name(now, enumerator.Process(host)) {
		v.counted.ids = nil
	}
}

// addEntryHosts adds the number of live entry processes to the reply to a poll, and their ids if
// the entry process has others.
func (c *Controller) addEntryHosts(reply *wire.FollowReply, f *wire.Follow) {
	reply.EntryHosts = int32(c.clusterView.entryCount())
	reply.EntryIds = changedIDs(c.clusterView.entryIDs(), f.GetEntryIdsDigest())
	contact := enumerator.Contact{Majority: c.lag() == 0, AllHeard: len(c.unheard()) == 0}
	reply.ConfirmedEntryHosts = int32(c.clusterView.confirmedEntries(contact))
}

// changedIDs returns ids of hosts, or nil if their digest is the one that an entry process has.
func changedIDs(ids []uint64, digest uint64) []uint64 {
	if announcer.DigestOf(ids) == digest {
		return nil
	}
	return ids
}

// localEntryHosts returns the hosts of the entry processes that poll this process.
func (v *clusterView) localEntryHosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return enumerator.Names(v.localEntries.Live(timer.Now()))
}

// agreedTime returns the agreed time: the time of day by the median of the control
// processes' clocks.
func (v *clusterView) agreedTime(self string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := timer.Now()
	v.clock.AddSample(now, synchronizer.Host(self), time.Now())
	agreed, _ := v.clock.AgreedTime(now)
	return agreed
}

// servePoll serves a long poll of an entry process. It replies as soon as there is a
// change or the wait is over, and needs no confirmation by a majority.
func (c *Controller) servePoll(ctx context.Context, f *wire.Follow) *wire.Reply {
	c.recordPoll(f)
	c.loads.RecordEntry(f.GetHost(), f.GetLoadShare())
	for _, u := range f.GetLeaving() {
		c.recordReportedLeave(ctx, registrar.Departure{ID: registrar.UpstreamID(u.GetId()), Incarnation: registrar.Incarnation(u.GetIncarnation())})
	}
	c.mergeEvidence(f.GetEvidence())
	knownRevision := max(f.GetHaveRevision(), f.GetFetchedRevision())
	reply := c.awaitUpdates(ctx, f, knownRevision)
	if reply == nil {
		return failureReply(ReasonNoLeader, "the process stops")
	}
	if reply.GetWholeTable() && f.GetAcceptsRenewals() {
		if err := c.addWholeTable(reply, f); err != nil {
			return failureReply(ReasonInvalid, err.Error())
		}
	}
	if f.GetWantRenewals() && !reply.GetStandby() {
		reply.Renewals = c.upstreamTable.RenewalsNow()
	}
	if f.GetLoadShare() != nil {
		loadPosition, cachedPartsPosition := f.GetLoadPosition(), f.GetHeldPosition()
		if f.GetTable() != reply.GetTable() {
			// The positions were given by another process, so everything is sent.
			loadPosition, cachedPartsPosition = 0, 0
		}
		c.loads.FillReply(reply, loadPosition, cachedPartsPosition, registrar.FailureDomain(f.GetFailureDomain()), c.upstreamTable.Places())
		c.loads.FillProfiles(reply, f.GetLoadShare(), registrar.FailureDomain(f.GetFailureDomain()), c.upstreamTable.Places())
	}
	reply.RevisionAgeMillis = c.revisionAge().Milliseconds()
	reply.LagMillis = c.lag().Milliseconds()
	reply.ControlAddresses = c.controlAddresses(f.GetFailureDomain(), f.GetHost())
	reply.Unheard = c.unheard()
	c.addEntryHosts(reply, f)
	reply.Evacuations = c.evacuationsAfter(f.EvacuationPosition)
	reply.TrueMillis = c.clusterView.agreedTime(c.settings.GetHost().GetId()).UnixMilli()
	if f.GetWantUnconfirmed() && reply.GetRevision() > knownRevision && c.mayConfigure(f) {
		if err := c.addChanges(reply, f); err != nil {
			return failureReply(ReasonInvalid, err.Error())
		}
	}
	return &wire.Reply{Kind: &wire.Reply_Follow{Follow: reply}}
}

// awaitUpdates returns the start of the reply to a poll once there is an update or the wait is
// over, or nil if ctx ends before.
func (c *Controller) awaitUpdates(ctx context.Context, f *wire.Follow, knownRevision uint64) *wire.FollowReply {
	until := timer.Now() + min(time.Duration(f.GetWaitMillis())*time.Millisecond, maxPollWait)
	table := f.GetTable()
	if !f.GetAcceptsRenewals() && c.upstreamTable.WholeTableDue(f.GetHost()) {
		table = 0
	}
	for {
		configurationChanged := c.stateMachine.Changed()
		reply, tableUpdated := c.upstreamChanges(f, table)
		c.upstreamTable.AddLacking(reply, f.GetLacking())
		evidenceUpdated := c.addEvidence(reply, f)
		reply.Revision = uint64(c.stateMachine.Revision())
		remaining := until - timer.Now()
		if reply.GetWholeTable() || reply.GetEvidence() != nil || len(reply.GetUpstreams())+len(reply.GetLeaving())+len(reply.GetRemoved()) > 0 || reply.GetRevision() > knownRevision || c.hasLaterEvacuations(f.EvacuationPosition) || remaining <= 0 {
			return reply
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tableUpdated:
		case <-evidenceUpdated:
		case <-configurationChanged:
		case <-time.After(remaining):
		}
	}
}

// upstreamChanges returns the changes of upstreams that a poll asks for. Where there are many, an entry
// process that has them from another control process gets those that are leaving.
func (c *Controller) upstreamChanges(f *wire.Follow, table uint64) (*wire.FollowReply, <-chan struct{}) {
	if f.GetStandby() && c.upstreamTable.Len() > aggregator.MaxDetailedUpstreams {
		return c.upstreamTable.LeavesSince(tabulator.Reader{Table: f.GetTable(), Position: f.GetLeavesPosition()})
	}
	return c.upstreamTable.ChangesSince(tabulator.Reader{
		Table: table, Position: f.GetPosition(), WithRows: !f.GetAcceptsRenewals(), AcceptsLeaving: f.GetAcceptsLeaving(),
	})
}

// addEvidence adds the evidence after the position of a poll to its reply, and returns a
// channel that is closed when there is more.
func (c *Controller) addEvidence(reply *wire.FollowReply, f *wire.Follow) <-chan struct{} {
	if !f.GetWantsEvidence() {
		return nil
	}
	position := collector.Position(f.GetEvidencePosition())
	if f.GetTable() != reply.GetTable() {
		position = 0
	}
	evidence, position, updated := c.evidence.Since(position)
	reply.Evidence, reply.EvidencePosition = evidence, uint64(position)
	return updated
}

// controlAddresses returns the addresses of the control processes for an entry process, those in its failure
// domain first. The order is the same whichever control process tells it, and spreads the entry processes.
func (c *Controller) controlAddresses(domain, entryHost string) []string {
	var near, far []string
	add := func(address, addressDomain string) {
		if addressDomain == domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	add(c.peers.selfAddress, c.settings.GetHost().GetFailureDomain())
	c.clusterView.mu.Lock()
	defer c.clusterView.mu.Unlock()
	for host, client := range c.peers.clientsByHost() {
		add(client.Address(), c.clusterView.failureDomains[host])
	}
	return append(ranker.Arrange(entryHost, near), ranker.Arrange(entryHost, far)...)
}

// receiveGossip applies a gossip message of another control process.
func (c *Controller) receiveGossip(s *wire.Spread) {
	c.clusterView.receive(s)
	c.loads.RecordPeer(s.GetHost(), s.GetLoadShare())
	c.mergeEvidence(s.GetEvidence())
	now := timer.Now()
	for _, u := range s.GetUpstreams() {
		c.upstreamTable.Update(announcer.FromWire(u, now), false)
	}
	for _, r := range s.GetRenewals() {
		if !c.upstreamTable.Renew(r) {
			c.clusterView.requestAll(s.GetHost())
		}
	}
	if s.GetWantAll() {
		c.clusterView.recordRequestForAll(s.GetHost())
	}
}

// runGossip sends the changes of this process's upstream and load tables to the
// other control processes until ctx ends. Every maxGossipInterval it sends a message
// even without changes. A process that is new or has a new address gets all upstreams.
func (c *Controller) runGossip(ctx context.Context) error {
	sentTo := map[string]*messenger.Client{}
	lastPeriodic, lastLoad := time.Duration(0), time.Duration(0)
	gossip := &collector.Gossip{}
	lag := c.lag()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.gossipWanted:
		case <-time.After(gossipInterval):
		}
		lag = c.logLag(lag)
		now := timer.Now()
		updates := c.upstreamTable.TakeUnsent()
		periodicDue := now-lastPeriodic >= maxGossipInterval
		var (
			renewals   []*wire.Renewal
			entryHosts []string
		)
		if periodicDue {
			lastPeriodic = now
			renewals = c.upstreamTable.TakeRenewals()
			entryHosts = c.clusterView.localEntryHosts()
		}
		evidence := gossip.Next(c.evidence, periodicDue)
		var load *wire.LoadShare
		if now-lastLoad >= announcer.LoadInterval(c.clusterView.entryCount()) {
			lastLoad = now
			load = c.loads.TakeOutgoing()
		}
		for host, client := range c.peers.clientsByHost() {
			message := &wire.Spread{
				Upstreams: updates, Renewals: renewals, LoadShare: load, EntryHosts: entryHosts, WantAll: c.clusterView.takeRequestOfAll(host), Evidence: evidence,
			}
			added := sentTo[host] != client || c.clusterView.takeRequestForAll(host)
			if added {
				sentTo[host] = client
				message.Upstreams = c.upstreamTable.All()
				message.Evidence, _, _ = c.evidence.Since(0)
			}
			if len(message.GetUpstreams())+len(renewals) == 0 && load == nil && evidence == nil && !periodicDue && !added && !message.GetWantAll() {
				continue
			}
			go c.sendGossip(ctx, client, message)
		}
	}
	return nil
}

// sendGossip sends a message to one control process. A lost message is not sent
// again: later messages carry newer loads and renewals, by which the other process notices
// an announcement that it lacks and asks for all; lost cached parts only cost cache hits.
func (c *Controller) sendGossip(ctx context.Context, client *messenger.Client, s *wire.Spread) {
	ctx, cancel := context.WithTimeout(ctx, maxGossipInterval)
	defer cancel()
	s.Host = c.settings.GetHost().GetId()
	s.FailureDomain = c.settings.GetHost().GetFailureDomain()
	s.WallMillis = time.Now().UnixMilli()
	err := client.Notify(ctx, &wire.Request{Kind: &wire.Request_Spread{Spread: s}})
	if err != nil {
		c.log.Debug("gossip message was not delivered", zap.String("peer", client.Address()), zap.Error(err))
	}
}
