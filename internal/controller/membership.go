package controller

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/replication"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// membershipInterval is the time between two steps of awaitGroup and of run.
	membershipInterval = 200 * time.Millisecond
	// applicantLifetime is the time after which a process that sends no more introductions is dropped.
	applicantLifetime = 5 * membershipInterval
	// newLeaderPatience is the time for which a new leader waits for an answer of a member
	// whose gossip it has not received for long. It covers several heartbeats and gossip
	// messages.
	newLeaderPatience = time.Second + 200*time.Millisecond
)

type (
	// membershipManager forms the replication group, or joins it with a new
	// disk, and as leader adds and removes members.
	membershipManager struct {
		controller *Controller

		mu sync.Mutex
		// node is nil until the process belongs to a group.
		node    *node
		inGroup bool
		// initialMembership is the membership that the group was formed with, nil if
		// this process joined later or no longer holds the start of the log.
		initialMembership *replication.Membership
		// membership is the latest one from the node's status.
		membership *replication.Membership
		// applicants holds the processes that sent an introduction recently, by
		// incarnation. Members that have no vote or know no leader are among them.
		applicants map[uint64]applicant
	}

	// applicant is a control process that introduced itself and may become a member.
	applicant struct {
		introduction *wire.Introduction
		receivedAt   time.Time
	}
)

func newMembershipManager(c *Controller, recovered *journaler.Recovered) *membershipManager {
	m := &membershipManager{controller: c, applicants: map[uint64]applicant{}}
	header := recovered.Snapshot.GetHeader()
	m.inGroup = recovered.Snapshot != nil || len(recovered.Entries) > 0
	if recovered.Snapshot != nil && header.GetIndex() == 0 {
		// The snapshot at index 0 holds nothing but the initial membership.
		m.initialMembership = header.GetMembership()
	}
	return m
}

func (m *membershipManager) setNode(n *node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = n
	m.inGroup = true
}

func (m *membershipManager) currentNode() *node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// introduction returns the message that describes this process to the other control
// processes.
func (m *membershipManager) introduction() *wire.Introduction {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.Introduction{
		Host:        m.controller.settings.GetHost().GetId(),
		Incarnation: m.controller.identity.GetIncarnation(),
		Formed:      m.inGroup,
		Founding:    m.initialMembership,
		Address:     m.controller.peers.selfAddress,
		Membership:  m.membership,
	}
}

// receiveIntroduction records the introduction of another process and returns that of this one.
func (m *membershipManager) receiveIntroduction(i *wire.Introduction) *wire.Introduction {
	m.controller.peers.recordIntroduction(i)
	m.mu.Lock()
	m.applicants[i.GetIncarnation()] = applicant{introduction: i, receivedAt: time.Now()}
	m.mu.Unlock()
	return m.introduction()
}

// awaitGroup waits until the group is formed or found. It returns the initial
// membership if this process is one of the initial members, or nil if it
// resumes its membership or joins an existing group.
func (m *membershipManager) awaitGroup(ctx context.Context) *replication.Membership {
	if m.introduction().GetFormed() {
		return nil
	}
	for ctx.Err() == nil {
		introductions := m.exchangeIntroductions(ctx)
		if initial, decided := m.chooseInitialMembership(introductions); decided {
			m.mu.Lock()
			m.inGroup = true
			m.initialMembership = initial
			m.mu.Unlock()
			return initial
		}
		timer.Sleep(ctx, membershipInterval)
	}
	return nil
}

// chooseInitialMembership returns the initial membership, if this process is one
// of the initial members, and whether a decision is possible yet.
//
// If another process belongs to a group, that group's initial membership is
// returned if it lists this process; otherwise the result is nil, and this process
// joins as a new member. If no process belongs to a group, the group is formed as
// soon as every control process listed in the settings responds.
func (m *membershipManager) chooseInitialMembership(introductions []*wire.Introduction) (*replication.Membership, bool) {
	own := m.introduction()
	if !m.controller.peers.static {
		return m.chooseSeededMembership(own, introductions)
	}
	members := []*replication.Member{{Id: own.GetIncarnation(), Host: own.GetHost(), Voter: true}}
	for _, i := range introductions {
		if i.GetFormed() && replicator.FindMember(i.GetFounding(), replicator.MemberID(own.GetIncarnation())) != nil {
			return i.GetFounding(), true
		}
	}
	for _, i := range introductions {
		if i.GetFormed() {
			return nil, true
		}
		members = append(members, &replication.Member{Id: i.GetIncarnation(), Host: i.GetHost(), Voter: true})
	}
	if len(introductions) < len(m.controller.peers.clients()) {
		return nil, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].GetHost() < members[j].GetHost() })
	return &replication.Membership{Members: members}, true
}

// chooseSeededMembership is the variant of chooseInitialMembership for settings with
// seeds. If no other process belongs to a group, the seeds form one, under three
// conditions: all of them respond, this process is a seed, and its settings make it
// a founder. The membership is valid only if the second result is true.
func (m *membershipManager) chooseSeededMembership(own *wire.Introduction, introductions []*wire.Introduction) (*replication.Membership, bool) {
	byAddress := map[string]*wire.Introduction{own.GetAddress(): own}
	for _, i := range introductions {
		if i.GetFormed() {
			if replicator.FindMember(i.GetFounding(), replicator.MemberID(own.GetIncarnation())) != nil {
				return i.GetFounding(), true
			}
			return nil, true
		}
		byAddress[i.GetAddress()] = i
	}
	s := m.controller.settings.GetControl()
	if !s.GetFounder() {
		return nil, false
	}
	initial := &replication.Membership{}
	selfIsSeed := false
	for _, address := range s.GetSeeds() {
		i := byAddress[address]
		if i == nil {
			return nil, false
		}
		selfIsSeed = selfIsSeed || i == own
		initial.Members = append(initial.Members, &replication.Member{
			Id: i.GetIncarnation(), Host: i.GetHost(), Voter: true, Address: address,
		})
	}
	sort.Slice(initial.Members, func(i, j int) bool {
		return initial.Members[i].GetHost() < initial.Members[j].GetHost()
	})
	return initial, selfIsSeed
}

// exchangeIntroductions sends the introduction of this process to every other
// control process and returns the introductions of those that respond.
func (m *membershipManager) exchangeIntroductions(ctx context.Context) []*wire.Introduction {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var (
		group         sync.WaitGroup
		mu            sync.Mutex
		introductions []*wire.Introduction
	)
	request := &wire.Request{Kind: &wire.Request_Introduction{Introduction: m.introduction()}}
	for _, client := range m.controller.peers.introductionClients() {
		group.Go(func() {
			reply, err := client.Call(ctx, request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			introductions = append(introductions, reply.GetIntroduction())
			m.controller.peers.recordIntroduction(reply.GetIntroduction())
		})
	}
	group.Wait()
	return introductions
}

// run watches the state of the node until ctx ends. It exchanges introductions
// while this process has no vote or knows no leader, and as leader it proposes
// membership changes.
func (m *membershipManager) run(ctx context.Context) error {
	var last replicator.Status
	for ctx.Err() == nil {
		n := m.currentNode()
		s := n.Status()
		if s.Role != last.Role || s.Term != last.Term || s.Leader != last.Leader {
			last = *s
			m.controller.log.Info("leadership", zap.Stringer("memberRole", s.Role), zap.Uint64("term", uint64(s.Term)),
				zap.String("leader", m.controller.peers.hostOf(s.Leader)), zap.Uint64("commit", uint64(s.Commit)))
		}
		m.controller.peers.recordMembership(s.Membership)
		m.mu.Lock()
		before := m.membership
		m.membership = s.Membership
		m.mu.Unlock()
		m.controller.peers.removeDeparted(before, s.Membership)
		if !replicator.FindMember(s.Membership, s.ID).GetVoter() || s.Leader == 0 {
			// A member that knows no leader may have been removed as silent and has to ask to join again.
			m.exchangeIntroductions(ctx)
		}
		if s.Role == replicator.Leader {
			m.proposeMembershipChange(n, s)
		}
		timer.Sleep(ctx, membershipInterval)
	}
	return nil
}

// proposeMembershipChange proposes the next single change that is due: one that
// brings in an applicant or else, with seeds, the removal of a silent member. It
// proposes nothing before the previous change is committed.
func (m *membershipManager) proposeMembershipChange(n *node, s *replicator.Status) {
	isCaughtUp := func(id replicator.MemberID) bool { return s.Matches[id] >= s.Commit }
	contact := func(id replicator.MemberID) replicator.Contact {
		if id == s.ID {
			return replicator.ContactAnswers
		}
		return s.Contacts[id]
	}
	next := replicator.NextMembership(s.Membership, m.recentApplicants(), isCaughtUp, contact)
	if next == nil && !m.controller.peers.static {
		next = replicator.RemoveSilentVoter(s.Membership, m.silenceCheck(s))
	}
	if next == nil || !s.MembershipCommitted {
		return
	}
	m.controller.peers.recordMembership(next)
	m.controller.log.Info("proposing a membership change", zap.Stringer("membership", next))
	n.ProposeMembership(next)
}

// silenceCheck returns a function that reports whether a member has been silent for
// longer than the configured silence.
func (m *membershipManager) silenceCheck(s *replicator.Status) func(replicator.MemberID) bool {
	now := timer.Now()
	silence := m.controller.settings.GetControl().GetMemberSilence().AsDuration()
	return func(id replicator.MemberID) bool {
		lastContact, found := s.LastContact[id]
		return found && isSilent(now, lastContact, m.controller.clusterView.lastGossip(m.controller.peers.hostOf(id)), silence)
	}
}

// isSilent reports whether a member has been silent for longer than silence. Either it
// has not answered the leader since lastContact, which for a new leader is its election.
// Or its gossip, which every control process receives, ended at lastGossip, long before
// this process became the leader: otherwise each election would give a member that is
// gone the whole time again. lastGossip is zero if there was none.
func isSilent(now, lastContact, lastGossip, silence time.Duration) bool {
	if now-lastContact > silence {
		return true
	}
	return lastGossip != 0 && now-lastGossip > silence && now-lastContact > newLeaderPatience
}

// recentApplicants drops the expired applicants and returns the others whose address is known.
func (m *membershipManager) recentApplicants() []replicator.Applicant {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []replicator.Applicant
	for id, a := range m.applicants {
		if time.Since(a.receivedAt) > applicantLifetime {
			delete(m.applicants, id)
			continue
		}
		if m.controller.peers.clientOf(a.introduction.GetHost()) == nil {
			continue
		}
		out = append(out, replicator.Applicant{
			ID:   replicator.MemberID(id),
			Host: a.introduction.GetHost(),

			Address: a.introduction.GetAddress(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
