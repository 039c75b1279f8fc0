package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/versioner"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which a request fails.
const (
	// ReasonNoLeader means that no leader served the request, which had no effect.
	ReasonNoLeader = "noLeader"
	// ReasonNotCommitted means that another leader's entry replaced the command, which has no effect.
	ReasonNotCommitted = "notCommitted"
	// ReasonInDoubt means that it is unknown whether the command takes effect.
	ReasonInDoubt = "inDoubt"
	// ReasonInvalid means that the request is malformed or of an unknown kind.
	ReasonInvalid = "invalid"
)

// Values of wire.Read.What.
const (
	ReadConfiguration = "configuration"
	ReadKeys          = "keys"
	ReadAudit         = "audit"
	ReadStatus        = "status"
	ReadUpstreams     = "upstreams"
	ReadDocument      = "document"
	ReadParts         = "parts"
	ReadVersions      = "versions"
	ReadEvacuations   = "evacuations"
)

// leastBytesPerSecond is the rate at which a large request is expected to be committed at
// least: it is decoded, written and sent to the other members on a small host.
const leastBytesPerSecond = 1 << 20

// handle serves one request of another process. It returns nil for messages without a reply.
func (c *Controller) handle(ctx context.Context, r *wire.Request) *wire.Reply {
	switch kind := r.GetKind().(type) {
	case *wire.Request_Replicate:
		c.deliver(kind.Replicate)
		return nil
	case *wire.Request_Introduction:
		own := c.membership.receiveIntroduction(kind.Introduction)
		return &wire.Reply{Kind: &wire.Reply_Introduction{Introduction: own}}
	case *wire.Request_Follow:
		return c.servePoll(ctx, kind.Follow)
	case *wire.Request_Evidence:
		c.mergeEvidence(kind.Evidence)
		return nil
	case *wire.Request_Fetch:
		return c.serveFetch(kind.Fetch)
	case *wire.Request_EntryHosts:
		return c.serveEntryHosts(kind.EntryHosts)
	case *wire.Request_Origins:
		return &wire.Reply{Kind: &wire.Reply_Origins{Origins: c.versions.Serve(timer.Now(), kind.Origins)}}
	case *wire.Request_Spread:
		c.receiveGossip(kind.Spread)
		return nil
	case *wire.Request_Sync, *wire.Request_Propose, *wire.Request_Read:
		return c.execute(ctx, r)
	default:
		return failureReply(ReasonInvalid, "unknown request")
	}
}

// deliver passes messages of the replicated log to the node, if this process belongs to a group.
func (c *Controller) deliver(r *wire.Replicate) {
	n := c.membership.currentNode()
	if n == nil {
		return
	}
	for _, m := range r.GetMessages() {
		n.Deliver(m)
	}
}

// execute serves a request if this process is the leader, and otherwise forwards
// it to the leader. A request is forwarded only once: one that was forwarded to a
// process that is not the leader any more fails there.
func (c *Controller) execute(ctx context.Context, r *wire.Request) *wire.Reply {
	bytes := proto.Size(r)
	if r.GetRead().GetWhat() == ReadDocument {
		bytes += len(c.stateMachine.Document().GetContent())
	}
	ctx, cancel := withTimeoutFor(ctx, requestTimeout, bytes)
	defer cancel()
	n := c.membership.currentNode()
	if n == nil {
		return failureReply(ReasonNoLeader, "not a member of a group yet")
	}
	s := n.Status()
	if s.Role != replicator.Leader && !r.GetForwarded() {
		return c.forward(ctx, s, r)
	}
	switch kind := r.GetKind().(type) {
	case *wire.Request_Sync:
		return c.sync(ctx, n, kind.Sync)
	case *wire.Request_Propose:
		return c.serveProposal(ctx, kind.Propose)
	case *wire.Request_Read:
		return c.read(ctx, n, kind.Read)
	default:
		return failureReply(ReasonInvalid, "unknown request")
	}
}

// forward sends a request to the leader and returns its reply. The outcome is in
// doubt if the request may have been sent but no reply arrived.
func (c *Controller) forward(ctx context.Context, s *replicator.Status, r *wire.Request) *wire.Reply {
	client := c.peers.clientOf(c.peers.hostOf(s.Leader))
	if client == nil {
		return failureReply(ReasonNoLeader, "no leader is known")
	}
	r.Forwarded = true
	reply, err := client.Call(ctx, r)
	if err == nil {
		return reply
	}
	var remoteError *messenger.RemoteError
	if errors.As(err, &remoteError) {
		return failureReply(remoteError.Reason, remoteError.Detail)
	}
	var unreachable *messenger.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.MayHaveArrived {
		return failureReply(ReasonNoLeader, err.Error())
	}
	return failureReply(ReasonInDoubt, err.Error())
}

// withTimeoutFor returns a context with a timeout for a small request that is prolonged by
// the time that a number of bytes may take.
func withTimeoutFor(ctx context.Context, timeout time.Duration, bytes int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, timeout+time.Duration(bytes)*time.Second/leastBytesPerSecond)
}

func (c *Controller) serveProposal(ctx context.Context, command *state.Command) *wire.Reply {
	if d := command.GetDocument(); d != nil {
		if err := c.checkDocument(d); err != nil {
			return &wire.Reply{Kind: &wire.Reply_Propose{Propose: &wire.ProposeReply{Outcome: &state.Outcome{
				Revision: uint64(c.stateMachine.Revision()), Reason: keeper.ReasonInvalid, Detail: err.Error(),
			}}}}
		}
	}
	reply, err := c.propose(ctx, command)
	if err != nil {
		c.failedProposals.Inc(1)
		return errorReply(err)
	}
	return &wire.Reply{Kind: &wire.Reply_Propose{Propose: reply}}
}

// sync serves a sync request of an entry process: it records the usage and load,
// and returns the configuration changes since the revision that the entry
// process has. A majority has to confirm the leader first.
func (c *Controller) sync(ctx context.Context, n *node, s *wire.Sync) *wire.Reply {
	if err := n.Barrier(ctx); err != nil {
		return errorReply(err)
	}
	c.usage.record(s.GetUsage())
	c.entries.Record(s)
	c.listEntryHost(s.GetHost(), s.GetSelf())
	c.windows.record(c.clusterView.agreedTime(c.settings.GetHost().GetId()), s)
	reply, err := c.syncChanges(s)
	if err != nil {
		return failureReply(ReasonInvalid, err.Error())
	}
	reply.RevisionAgeMillis = c.revisionAge().Milliseconds()
	reply.LightParts = c.entries.LightShares()
	c.addDepartures(reply, s)
	reply.Evacuations = c.evacuationsAfter(s.EvacuationPosition)
	if s.GetEvidence() != nil {
		c.mergeEvidence(s.GetEvidence())
	}
	if s.GetWantsEvidence() {
		reply.Evidence, _, _ = c.evidence.Since(0)
		reply.EntryIds = changedIDs(announcer.HostIDs(c.entries.Hosts()), s.GetEntryIdsDigest())
	}
	if a := c.autoscaler.Load(); a != nil {
		reply.Draining = a.drainingUpstreams()
	}
	return &wire.Reply{Kind: &wire.Reply_Sync{Sync: reply}}
}

// read serves a read after a majority has confirmed the leader.
func (c *Controller) read(ctx context.Context, n *node, r *wire.Read) *wire.Reply {
	if err := n.Barrier(ctx); err != nil {
		return errorReply(err)
	}
	catalog := c.stateMachine.Catalog()
	reply := &wire.ReadReply{Revision: uint64(catalog.Revision())}
	switch r.GetWhat() {
	case ReadConfiguration:
		reply.Configuration = catalog.Configuration()
	case ReadKeys:
		reply.Keys = withoutHashes(catalog.Keys())
	case ReadAudit:
		reply.Audit = c.stateMachine.Audit()
	case ReadStatus:
		reply.Status = c.status(n)
	case ReadUpstreams:
		reply.Upstreams, reply.Profiles = c.upstreams(), c.loads.Profiles(c.upstreamTable.Places())
	case ReadParts:
		reply.Parts = c.evidence.Accused()
	case ReadVersions:
		reply.Versions = versioner.Served(c.stateMachine.Versions(), c.upstreams())
	case ReadEvacuations:
		reply.Evacuations = c.stateMachine.Evacuations()
	case ReadDocument:
		reply.Version = c.stateMachine.Document().GetVersion()
		reply.Document = c.stateMachine.Document().GetContent()
	default:
		return failureReply(ReasonInvalid, "unknown read")
	}
	return &wire.Reply{Kind: &wire.Reply_Read{Read: reply}}
}

func (c *Controller) status(n *node) *wire.Status {
	s := n.Status()
	return &wire.Status{
		LeaderHost:    c.peers.hostOf(s.Leader),
		Term:          uint64(s.Term),
		Commit:        uint64(s.Commit),
		Membership:    s.Membership,
		EntryHosts:    c.entries.Hosts(),
		WindowsUnsent: uint64(len(c.stateMachine.UnsentWindows())),

		MembershipCommitted: s.MembershipCommitted,
	}
}

// upstreams returns the upstreams that announce themselves to the control
// processes or, if there are none, those that the entry processes report.
func (c *Controller) upstreams() []*wire.Upstream {
	if c.upstreamTable.Len() == 0 {
		return c.entries.LatestUpstreams()
	}
	return c.upstreamTable.All()
}

// withoutHashes returns copies of the keys without their hashes, for operators.
func withoutHashes(keys []*state.Key) []*state.Key {
	out := make([]*state.Key, 0, len(keys))
	for _, k := range keys {
		out = append(out, &state.Key{
			Id:                k.GetId(),
			Organisation:      k.GetOrganisation(),
			Withdrawn:         k.GetWithdrawn(),
			GrantedRevision:   k.GetGrantedRevision(),
			WithdrawnRevision: k.GetWithdrawnRevision(),
		})
	}
	return out
}

func failureReply(reason, detail string) *wire.Reply {
	return &wire.Reply{Failure: &wire.Failure{Reason: reason, Detail: detail}}
}

// errorReply returns the failure reply for an error of the replicated log.
func errorReply(err error) *wire.Reply {
	var (
		notLeader    *replicator.NotLeaderError
		notCommitted *replicator.NotCommittedError
	)
	switch {
	case errors.As(err, new(*replicator.InDoubtError)):
		return failureReply(ReasonInDoubt, err.Error())
	case errors.As(err, &notLeader):
		return failureReply(ReasonNoLeader, err.Error())
	case errors.As(err, &notCommitted):
		return failureReply(ReasonNotCommitted, err.Error())
	default:
		return failureReply(ReasonNoLeader, err.Error())
	}
}
