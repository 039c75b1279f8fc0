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
	// introductionInterval is the time between introductions to the other control processes.
	introductionInterval = 200 * time.Millisecond
	// applicantLifetime is the time after which an applicant that fell silent is forgotten.
	applicantLifetime = 5 * introductionInterval
)

type (
	// membershipManager forms the group, joins it with a new disk, and as leader
	// brings new members in.
	membershipManager struct {
		controller *Controller

		mu       sync.Mutex
		node     *node
		hasGroup bool
		initial  *replication.Membership
		// membership is the latest one seen in the node's status.
		membership *replication.Membership
		// applicants are the processes that introduced themselves, by incarnation.
		applicants map[uint64]applicant
	}

	applicant struct {
		introduction *wire.Introduction
		lastSeen     time.Time
	}
)

func newMembershipManager(c *Controller, recovered *journaler.Recovered) *membershipManager {
	m := &membershipManager{controller: c, applicants: map[uint64]applicant{}}
	header := recovered.Snapshot.GetHeader()
	m.hasGroup = recovered.Snapshot != nil || len(recovered.Entries) > 0
	if recovered.Snapshot != nil && header.GetIndex() == 0 {
		m.initial = header.GetMembership()
	}
	return m
}

func (m *membershipManager) setNode(n *node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = n
	m.hasGroup = true
}

func (m *membershipManager) currentNode() *node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// introduction returns what this process tells others about itself.
func (m *membershipManager) introduction() *wire.Introduction {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.Introduction{
		Host:        m.controller.settings.GetHost().GetId(),
		Incarnation: m.controller.identity.GetIncarnation(),
		Formed:      m.hasGroup,
		Founding:    m.initial,
		Address:     m.controller.peers.selfAddress,
		Membership:  m.membership,
	}
}

// receiveIntroduction notes an introduction and answers with an own one.
func (m *membershipManager) receiveIntroduction(i *wire.Introduction) *wire.Introduction {
	m.controller.peers.recordIntroduction(i)
	m.mu.Lock()
	m.applicants[i.GetIncarnation()] = applicant{introduction: i, lastSeen: time.Now()}
	m.mu.Unlock()
	return m.introduction()
}

// awaitGroup waits until the group is known. It returns the membership that
// the group starts with, or nil if this process continues or joins later.
func (m *membershipManager) awaitGroup(ctx context.Context) *replication.Membership {
	if m.introduction().GetFormed() {
		return nil
	}
	for ctx.Err() == nil {
		known := m.exchangeIntroductions(ctx)
		if founding, decided := m.chooseInitialMembership(known); decided {
			m.mu.Lock()
			m.hasGroup = true
			m.initial = founding
			m.mu.Unlock()
			return founding
		}
		timer.Sleep(ctx, introductionInterval)
	}
	return nil
}

// chooseInitialMembership forms the group only when every configured control process is
// there and none belongs to a group. If one does, its founding counts when it
// names this process; otherwise this process joins as a new member.
func (m *membershipManager) chooseInitialMembership(known []*wire.Introduction) (*replication.Membership, bool) {
	own := m.introduction()
	if !m.controller.peers.static {
		return m.chooseSeededMembership(own, known)
	}
	members := []*replication.Member{{Id: own.GetIncarnation(), Host: own.GetHost(), Voter: true}}
	for _, i := range known {
		if i.GetFormed() && replicator.FindMember(i.GetFounding(), replicator.MemberID(own.GetIncarnation())) != nil {
			return i.GetFounding(), true
		}
	}
	for _, i := range known {
		if i.GetFormed() {
			return nil, true
		}
		members = append(members, &replication.Member{Id: i.GetIncarnation(), Host: i.GetHost(), Voter: true})
	}
	if len(known) < len(m.controller.peers.clients()) {
		return nil, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].GetHost() < members[j].GetHost() })
	return &replication.Membership{Members: members}, true
}

// chooseSeededMembership joins the group that another process belongs to. If there is
// none, the seeds form one, provided that this process is one of them, that it
// may, and that all of them are there.
func (m *membershipManager) chooseSeededMembership(own *wire.Introduction, known []*wire.Introduction) (*replication.Membership, bool) {
	byAddress := map[string]*wire.Introduction{own.GetAddress(): own}
	for _, i := range known {
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
	founding := &replication.Membership{}
	seeded := false
	for _, address := range s.GetSeeds() {
		i := byAddress[address]
		if i == nil {
			return nil, false
		}
		seeded = seeded || i == own
		founding.Members = append(founding.Members, &replication.Member{
			Id: i.GetIncarnation(), Host: i.GetHost(), Voter: true, Address: address,
		})
	}
	sort.Slice(founding.Members, func(i, j int) bool {
		return founding.Members[i].GetHost() < founding.Members[j].GetHost()
	})
	return founding, seeded
}

// exchangeIntroductions exchanges introductions with every other control process that answers.
func (m *membershipManager) exchangeIntroductions(ctx context.Context) []*wire.Introduction {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		known []*wire.Introduction
	)
	request := &wire.Request{Kind: &wire.Request_Introduction{Introduction: m.introduction()}}
	for _, client := range m.controller.peers.introductionClients() {
		group.Go(func() {
			reply, err := client.Exchange(ctx, request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known = append(known, reply.GetIntroduction())
			m.controller.peers.recordIntroduction(reply.GetIntroduction())
		})
	}
	group.Wait()
	return known
}

// run keeps introducing a process that has no vote, and as leader changes the membership.
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
		m.controller.peers.learnMembership(s.Membership)
		m.mu.Lock()
		before := m.membership
		m.membership = s.Membership
		m.mu.Unlock()
		m.controller.peers.removeDeparted(before, s.Membership)
		if !replicator.FindMember(s.Membership, s.ID).GetVoter() || s.Leader == 0 {
			// A member without a leader may have been taken for gone.
			m.exchangeIntroductions(ctx)
		}
		if s.Role == replicator.Leader {
			m.proposeMembershipChange(n, s)
		}
		timer.Sleep(ctx, introductionInterval)
	}
	return nil
}

func (m *membershipManager) proposeMembershipChange(n *node, s *replicator.Status) {
	caughtUp := func(id replicator.MemberID) bool { return s.Matches[id] >= s.Commit }
	next := replicator.NextMembership(s.Membership, m.recentApplicants(), caughtUp)
	if !m.controller.peers.static {
		if next == nil {
			next = replicator.Shrink(s.Membership, m.isSilent(s))
		}
	}
	if next == nil || !s.MembershipCommitted {
		return
	}
	m.controller.peers.learnMembership(next)
	m.controller.log.Info("proposing a membership change", zap.Stringer("membership", next))
	n.ProposeMembership(next)
}

// isSilent tells which members have not answered the leader's heartbeats for long.
func (m *membershipManager) isSilent(s *replicator.Status) func(replicator.MemberID) bool {
	now := timer.Now()
	silence := m.controller.settings.GetControl().GetMemberSilence().AsDuration()
	return func(id replicator.MemberID) bool {
		confirmed, found := s.Confirmed[id]
		return found && now-confirmed > silence
	}
}

func (m *membershipManager) recentApplicants() []replicator.Applicant {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []replicator.Applicant
	for id, a := range m.applicants {
		if time.Since(a.lastSeen) > applicantLifetime {
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
