package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/assembler"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxPollWait is the longest time for which a control process may hold a poll until
	// there is an update.
	maxPollWait = 500 * time.Millisecond
	// pollTimeout bounds one poll, including the wait.
	pollTimeout = maxPollWait + 500*time.Millisecond
	// polledControlProcesses is the number of control processes polled in parallel, so that
	// updates still arrive while one of them hangs or is unreachable.
	polledControlProcesses = 2
	// pollPause is the pause between two polls. Updates in that time arrive with the next
	// poll.
	pollPause = 100 * time.Millisecond
	// tableWait is the time for which a poll waits for a table that is being fetched, before it
	// polls again.
	tableWait = 300 * time.Millisecond
	// changeDelay is the time after which the configuration changes that another control
	// process has are taken from it, if the preferred one has not sent them.
	changeDelay = 300 * time.Millisecond
	// renewalsPerLease is how often within a lease the leases are renewed.
	renewalsPerLease = 4
	// unconfirmedDelay is the time after the start after which a process without a
	// configuration accepts one that no quorum has confirmed to be the latest.
	unconfirmedDelay = 200 * time.Millisecond
	// reportedWindows is the number of recent usage windows whose counts every sync request
	// reports, so that a lost report is made up for.
	reportedWindows = 4
)

type (
	// controlPoller gets updates from control processes by long polling and applies them.
	controlPoller struct {
		router    *Router
		startedAt time.Duration
		// loadSentAt is when the load was last sent. Only poll with index 0 uses it.
		loadSentAt time.Duration
		tables     assembler.Tables
		// self returns what this process says of itself as one that takes requests of others, nil for
		// nothing. It is set before run is called.
		self func() *wire.EntryHost

		// mu guards standby.
		mu      sync.Mutex
		standby *ranker.Standby
	}

	// tableView is what this process holds of the table of a control process.
	tableView struct {
		// tableID identifies the table.
		tableID uint64
		// members are the upstreams in the table.
		members map[registrar.UpstreamID]bool
		// renewedAt is when the leases of the upstreams were last renewed.
		renewedAt time.Duration
		// lacking are upstreams in the table that the registry lacks.
		lacking []string
		// lagging reports that the control process lags behind the majority.
		lagging bool
		// unheard holds the control hosts from which the control process has not heard lately.
		unheard []uint64
		// fetch is the fetch of the whole table in progress, nil if there is none.
		fetch *assembler.TableFetch
	}
)

func newControlPoller(r *Router) *controlPoller {
	p := &controlPoller{router: r, startedAt: timer.Now(), standby: ranker.NewStandby(timer.Now())}
	p.tables.Apply = p.applyUpstreams
	return p
}

// run polls control processes until ctx is done.
func (p *controlPoller) run(ctx context.Context) error {
	if !p.router.settings.GetEntry().GetFollowControl() {
		return nil
	}
	var wait sync.WaitGroup
	for index := range polledControlProcesses {
		wait.Go(func() { p.poll(ctx, index) })
	}
	wait.Go(func() { p.sendEvidence(ctx) })
	wait.Wait()
	return nil
}

// poll polls a control process until ctx is done. index is the place of the control
// process in the order of preference.
func (p *controlPoller) poll(ctx context.Context, index int) {
	cursors := map[string]cursor{}
	views := map[string]*tableView{}
	// moved reports that the last poll went to a control process that was replaced by another one. It is
	// not set twice in a row, in case the order never settles.
	moved := false
	for ctx.Err() == nil {
		client := p.router.controlClients.At(index)
		if client == nil {
			timer.Sleep(ctx, pollPause)
			continue
		}
		view := views[client.Address()]
		if view == nil {
			view = &tableView{}
			views[client.Address()] = view
		}
		request := p.newRequest(cursors[client.Address()], index)
		var reported evidencePosition
		request.Evidence, reported = p.router.evidenceSince(cursors[client.Address()].reportedEvidence)
		request.Lacking = view.lacking
		request.WantRenewals = request.GetPosition() > 0 && timer.Now()-view.renewedAt > p.router.settings.GetEntry().GetAnnouncementLease().AsDuration()/renewalsPerLease
		request.Standby = index > 0 && p.leavesSuffice(view)
		reply, err := p.send(ctx, client, request)
		if err != nil {
			p.router.controlClients.MarkFailed(client)
			p.router.dispatcher.requeueCachedParts(request.GetLoadShare())
			p.router.log.Debug("polling a control process failed", zap.String("control", client.Address()), zap.Error(err))
			timer.Sleep(ctx, pollPause)
			continue
		}
		p.rankControl(client, view, reply.GetFollow())
		p.recordUnheard(index, view, reply.GetFollow())
		next := cursorAfter(request, reply.GetFollow())
		if request.GetTable() == 0 || request.GetTable() == next.tableID {
			// Otherwise the control process was restarted and has nothing of it yet.
			next.reportedEvidence = reported
		}
		if err = assembler.DecodeUpstreams(reply.GetFollow()); err != nil {
			p.router.log.Error("upstreams of a control process cannot be read", zap.String("control", client.Address()), zap.Error(err))
			timer.Sleep(ctx, pollPause)
			continue
		}
		p.apply(client.Address(), request, reply.GetFollow())
		next.behindSince = p.behindSince(cursors[client.Address()], reply.GetFollow())
		if reply.GetFollow().GetTableFetchable() && !moved && p.replaced(index, client) {
			// The table of the other one is fetched instead.
			moved = true
			continue
		}
		moved = false
		if reply.GetFollow().GetStandby() {
			view.lacking = nil
		} else {
			next.position = p.awaitTable(ctx, client, view, reply.GetFollow())
			next.leavesPosition = next.position
		}
		cursors[client.Address()] = next
		timer.Sleep(ctx, pollPause)
	}
}

// behindSince returns since when a control process has a later configuration than this process, or zero.
func (p *controlPoller) behindSince(before cursor, reply *wire.FollowReply) time.Duration {
	switch {
	case configurer.Revision(reply.GetRevision()) <= p.router.controlPlane.revision():
		return 0
	case before.behindSince != 0:
		return before.behindSince
	default:
		return timer.Now()
	}
}

// replaced reports whether another control process is polled from now on, in the place of the one that has
// just told of the order in which they are preferred.
func (p *controlPoller) replaced(index int, client *messenger.Client) bool {
	return p.router.controlClients.At(index) != client
}

// awaitTable has the whole table of a control process fetched if the reply says so, and renews
// leases. It returns the position reached in the table: zero while the table is being fetched,
// beside which the polls go on, so that the next reply says so again.
func (p *controlPoller) awaitTable(ctx context.Context, client *messenger.Client, view *tableView, reply *wire.FollowReply) uint64 {
	if !reply.GetTableFetchable() {
		p.renewLeases(view, reply)
		return reply.GetPosition()
	}
	if view.fetch == nil || view.fetch.Table != reply.GetTable() {
		view.fetch = p.tables.Start(ctx, client, reply.GetTable())
	}
	table, err := view.fetch.Wait(ctx, tableWait)
	switch {
	case err != nil:
		view.fetch = nil
		p.router.controlClients.MarkFailed(client)
		p.router.log.Debug("fetching the upstreams of a control process failed", zap.String("control", client.Address()), zap.Error(err))
	case table != nil:
		view.fetch = nil
		p.renewLeases(view, table)
	}
	return table.GetPosition()
}

func (p *controlPoller) applyUpstreams(control string, reply *wire.FollowReply) {
	now := timer.Now()
	for _, u := range reply.GetUpstreams() {
		p.router.applyAnnouncement(announcer.FromWire(u, now), leavePolled, control)
	}
	p.router.applyLeaving(reply.GetLeaving(), leavePolled, control)
}

// leavesSuffice reports whether a control process that is not the preferred one needs to tell only of
// leaves.
func (p *controlPoller) leavesSuffice(view *tableView) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standby.LeavesSuffice(timer.Now(), view.unheard)
}

// recordUnheard records from which control hosts a control process has not heard.
func (p *controlPoller) recordUnheard(index int, view *tableView, reply *wire.FollowReply) {
	view.unheard = reply.GetUnheard()
	if index > 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standby.RecordReply(timer.Now(), view.unheard)
}

// rankControl prefers other control processes to one that lags behind the majority.
func (p *controlPoller) rankControl(client *messenger.Client, view *tableView, reply *wire.FollowReply) {
	lag := millis(reply.GetLagMillis())
	lagging := lag > 0
	if lagging {
		p.router.controlClients.MarkLagging(client)
	} else {
		p.router.controlClients.MarkSucceeded(client)
	}
	if lagging != view.lagging {
		view.lagging = lagging
		p.router.log.Info("control process lags behind the majority", zap.String("control", client.Address()),
			zap.Bool("lagging", lagging), zap.Duration("lag", lag))
	}
}

// sendEvidence sends new evidence about prompt parts without waiting for the next poll, until
// ctx is done. What gets lost comes with a poll.
func (p *controlPoller) sendEvidence(ctx context.Context) {
	var sent evidencePosition
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.router.isolation.changed:
		}
		var evidence *wire.Evidence
		if evidence, sent = p.router.evidenceSince(sent); evidence == nil {
			continue
		}
		for index := range polledControlProcesses {
			if client := p.router.controlClients.At(index); client != nil {
				go p.notifyEvidence(ctx, client, evidence)
			}
		}
	}
}

func (p *controlPoller) notifyEvidence(ctx context.Context, client *messenger.Client, evidence *wire.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := client.Notify(ctx, &wire.Request{Kind: &wire.Request_Evidence{Evidence: evidence}}); err != nil {
		p.router.log.Debug("evidence about prompt parts was not delivered", zap.String("control", client.Address()), zap.Error(err))
	}
}

func (p *controlPoller) send(ctx context.Context, client *messenger.Client, request *wire.Follow) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return client.Call(ctx, &wire.Request{Kind: &wire.Request_Follow{Follow: request}})
}

// renewLeases updates what is held of a control process's table by a reply, and renews the
// leases of the upstreams in it. Those that the registry lacks, since their leases have
// ended here, are asked for with the next poll.
func (p *controlPoller) renewLeases(view *tableView, reply *wire.FollowReply) {
	now := timer.Now()
	if reply.GetWholeTable() || view.tableID != reply.GetTable() {
		view.tableID, view.members = reply.GetTable(), map[registrar.UpstreamID]bool{}
	}
	for _, u := range reply.GetUpstreams() {
		view.members[registrar.UpstreamID(u.GetId())] = true
	}
	for _, id := range reply.GetRemoved() {
		delete(view.members, registrar.UpstreamID(id))
	}
	view.lacking = nil
	if reply.GetRenewals() == nil {
		return
	}
	overdue := map[registrar.UpstreamID]bool{}
	for _, id := range reply.GetRenewals().GetOverdue() {
		overdue[registrar.UpstreamID(id)] = true
	}
	view.renewedAt = now
	announcedAt := now - announcer.Stated(reply.GetRenewals().GetAgeMillis())
	view.lacking = p.router.dispatcher.renewLeases(view.members, overdue, announcedAt)
}

// newRequest returns a poll request for updates since a cursor. Only requests to the
// control process at index 0 carry the load of this process. The load has an interval of
// its own, since most polls return immediately: there is usually an update of some
// upstream.
func (p *controlPoller) newRequest(from cursor, index int) *wire.Follow {
	host := p.router.settings.GetHost()
	request := &wire.Follow{
		Host:            host.GetId(),
		FailureDomain:   host.GetFailureDomain(),
		HaveRevision:    uint64(p.router.controlPlane.revision()),
		Table:           from.tableID,
		Position:        from.position,
		WaitMillis:      maxPollWait.Milliseconds(),
		AcceptsRenewals: true,
		AcceptsLeaving:  true,
		LeavesPosition:  from.leavesPosition,
		WantUnconfirmed: p.router.controlPlane.hasConfiguration() || timer.Now()-p.startedAt > unconfirmedDelay,
		FetchesChanges:  true,

		WantsEvidence:    true,
		EvidencePosition: from.evidencePosition,
		EntryIdsDigest:   p.router.restrainer.HostsDigest(),

		EvacuationPosition: p.router.dispatcher.evacuationPosition(),
	}
	if p.self != nil {
		request.Self = p.self()
	}
	fetched, _ := p.router.fetcher.Wanted()
	request.FetchedRevision = uint64(fetched)
	if index > 0 && p.router.controlPlane.hasConfiguration() {
		// Changes come from the control process at index 0, unless that does not answer.
		request.WantUnconfirmed = from.behindSince != 0 && timer.Now()-from.behindSince > changeDelay
	}
	for _, u := range p.router.dispatcher.unreportedWithdrawals() {
		request.Leaving = append(request.Leaving, &wire.UpstreamRun{Id: string(u.ID), Incarnation: uint64(u.Incarnation)})
	}
	if index == 0 {
		p.addLoadShare(request, from)
	}
	return request
}

// addLoadShare adds this process's load to a poll request if the load is due. While client
// requests are in progress, it also shortens the wait of the poll, so that the next load is
// sent in time.
func (p *controlPoller) addLoadShare(request *wire.Follow, from cursor) {
	d := p.router.dispatcher
	if d.hasClusterLoadOf(from.tableID) {
		request.LoadPosition, request.HeldPosition = from.loadPosition, from.cachedPartsPosition
	}
	now := timer.Now()
	interval := announcer.LoadInterval(d.entryProcesses())
	if now-p.loadSentAt >= interval {
		p.loadSentAt = now
		request.LoadShare = d.loadShare()
	}
	if d.hasRequestsInProgress() {
		wait := max(0, interval-(now-p.loadSentAt)-pollPause)
		request.WaitMillis = min(maxPollWait, wait).Milliseconds()
	}
}

// apply applies the updates in the reply of a control process.
func (p *controlPoller) apply(control string, request *wire.Follow, reply *wire.FollowReply) {
	r := p.router
	now := timer.Now()
	r.applyEvacuations(reply.GetEvacuations(), leavePolled, control)
	r.windows.SetAgreedTime(now, time.UnixMilli(reply.GetTrueMillis()))
	r.mergeEvidence(reply.GetEvidence())
	for _, u := range request.GetLeaving() {
		r.dispatcher.withdrawalReported(registrar.UpstreamID(u.GetId()), registrar.Incarnation(u.GetIncarnation()))
	}
	r.restrainer.SetHosts(reply.GetEntryIds())
	p.applyUpstreams(control, reply)
	if request.GetLoadShare() != nil {
		r.dispatcher.applyClusterLoad(request.GetLoadShare(), reply)
	}
	r.controlClients.SetAddresses(reply.GetControlAddresses())
	r.dispatcher.setEntryProcesses(int(reply.GetEntryHosts()), int(reply.GetConfirmedEntryHosts()))
	p.applyUnconfirmed(control, reply)
	revision := configurer.Revision(reply.GetRevision())
	switch {
	case revision <= r.controlPlane.revision() || !request.GetWantUnconfirmed():
	case reply.GetFetchable():
		r.fetcher.Request(revision, control)
	case request.GetFetchedRevision() < reply.GetRevision():
		r.controlPlane.requestSync()
	}
}

// applyUnconfirmed applies a configuration that a control process has applied. It was
// committed, but no quorum has confirmed that there is no later one. Every control process
// can hand it out, so a change reaches the entry processes without the leader.
func (p *controlPoller) applyUnconfirmed(control string, reply *wire.FollowReply) {
	u := reply.GetUnconfirmedMessage()
	if len(reply.GetUnconfirmed()) > 0 {
		u = &wire.SyncReply{}
		if err := proto.Unmarshal(reply.GetUnconfirmed(), u); err != nil {
			p.router.log.Error("unconfirmed configuration was rejected", zap.Error(err))
			return
		}
	}
	plane := p.router.controlPlane
	if u == nil || configurer.Revision(u.GetRevision()) <= plane.revision() {
		return
	}
	var earlier *earlierRevisionError
	d := delivery{control: control, request: "poll", bytes: len(reply.GetUnconfirmed()), age: millis(reply.GetRevisionAgeMillis())}
	if err := plane.applyConfiguration(u, d); err != nil && !errors.As(err, &earlier) {
		p.router.log.Error("unconfirmed configuration was rejected", zap.Error(err))
	}
}
