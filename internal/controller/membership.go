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
	// memberKeeper forms the group, joins it with a new disk, and as leader
	// brings new members in.
	memberKeeper struct {
		controller *Controller

		mu       sync.Mutex
		node     *node
		formed   bool
		founding *replication.Membership
		// membership is the latest one seen in the node's status.
		membership *replication.Membership
		// applicants are the processes that introduced themselves, by incarnation.
		applicants map[uint64]applicant
	}

	applicant struct {
		introduction *wire.Introduction
		seen         time.Time
	}
)

func newMemberKeeper(c *Controller, recovered *journaler.Recovered) *memberKeeper {
	k := &memberKeeper{controller: c, applicants: map[uint64]applicant{}}
	header := recovered.Snapshot.GetHeader()
	k.formed = recovered.Snapshot != nil || len(recovered.Entries) > 0
	if recovered.Snapshot != nil && header.GetIndex() == 0 {
		k.founding = header.GetMembership()
	}
	return k
}

func (k *memberKeeper) setNode(n *node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.node = n
	k.formed = true
}

func (k *memberKeeper) currentNode() *node {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node
}

// introduction returns what this process tells others about itself.
func (k *memberKeeper) introduction() *wire.Introduction {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &wire.Introduction{
		Host:        k.controller.settings.GetHost().GetId(),
		Incarnation: k.controller.identity.GetIncarnation(),
		Formed:      k.formed,
		Founding:    k.founding,
		Address:     k.controller.peers.address,
		Membership:  k.membership,
	}
}

// receive notes an introduction and answers with an own one.
func (k *memberKeeper) receive(i *wire.Introduction) *wire.Introduction {
	k.controller.peers.note(i)
	k.mu.Lock()
	k.applicants[i.GetIncarnation()] = applicant{introduction: i, seen: time.Now()}
	k.mu.Unlock()
	return k.introduction()
}

// findGroup waits until the group is known. It returns the membership that
// the group starts with, or nil if this process continues or joins later.
func (k *memberKeeper) findGroup(ctx context.Context) *replication.Membership {
	if k.introduction().GetFormed() {
		return nil
	}
	for ctx.Err() == nil {
		known := k.introduceAll(ctx)
		if founding, decided := k.decideFounding(known); decided {
			k.mu.Lock()
			k.formed = true
			k.founding = founding
			k.mu.Unlock()
			return founding
		}
		timer.Sleep(ctx, introductionInterval)
	}
	return nil
}

// decideFounding forms the group only when every configured control process is
// there and none belongs to a group. If one does, its founding counts when it
// names this process; otherwise this process joins as a new member.
func (k *memberKeeper) decideFounding(known []*wire.Introduction) (*replication.Membership, bool) {
	own := k.introduction()
	if !k.controller.peers.closed {
		return k.decideSeeded(own, known)
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
	if len(known) < len(k.controller.peers.clients()) {
		return nil, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].GetHost() < members[j].GetHost() })
	return &replication.Membership{Members: members}, true
}

// decideSeeded joins the group that another process belongs to. If there is
// none, the seeds form one, provided that this process is one of them, that it
// may, and that all of them are there.
func (k *memberKeeper) decideSeeded(own *wire.Introduction, known []*wire.Introduction) (*replication.Membership, bool) {
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
	s := k.controller.settings.GetControl()
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

// introduceAll exchanges introductions with every other control process that answers.
func (k *memberKeeper) introduceAll(ctx context.Context) []*wire.Introduction {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		known []*wire.Introduction
	)
	request := &wire.Request{Kind: &wire.Request_Introduction{Introduction: k.introduction()}}
	for _, client := range k.controller.peers.introductionClients() {
		group.Go(func() {
			reply, err := client.Exchange(ctx, request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known = append(known, reply.GetIntroduction())
			k.controller.peers.note(reply.GetIntroduction())
		})
	}
	group.Wait()
	return known
}

// run keeps introducing a process that has no vote, and as leader changes the membership.
func (k *memberKeeper) run(ctx context.Context) error {
	var last replicator.Status
	for ctx.Err() == nil {
		n := k.currentNode()
		s := n.Status()
		if s.Role != last.Role || s.Term != last.Term || s.Leader != last.Leader {
			last = *s
			k.controller.log.Info("leadership", zap.Stringer("memberRole", s.Role), zap.Uint64("term", uint64(s.Term)),
				zap.String("leader", k.controller.peers.host(s.Leader)), zap.Uint64("commit", uint64(s.Commit)))
		}
		k.controller.peers.learn(s.Membership)
		k.mu.Lock()
		before := k.membership
		k.membership = s.Membership
		k.mu.Unlock()
		k.controller.peers.forget(before, s.Membership)
		if !replicator.FindMember(s.Membership, s.ID).GetVoter() || s.Leader == 0 {
			// A member without a leader may have been taken for gone.
			k.introduceAll(ctx)
		}
		if s.Role == replicator.Leader {
			k.changeMembership(n, s)
		}
		timer.Sleep(ctx, introductionInterval)
	}
	return nil
}

func (k *memberKeeper) changeMembership(n *node, s *replicator.Status) {
	caughtUp := func(id replicator.MemberID) bool { return s.Matches[id] >= s.Commit }
	next := replicator.NextMembership(s.Membership, k.freshApplicants(), caughtUp)
	if !k.controller.peers.closed {
		if next == nil {
			next = replicator.RemoveSilentVoter(s.Membership, k.silent(s))
		}
	}
	if next == nil || !s.MembershipCommitted {
		return
	}
	k.controller.peers.learn(next)
	k.controller.log.Info("proposing a membership change", zap.Stringer("membership", next))
	n.ProposeMembership(next)
}

// silent tells which members have not answered the leader's heartbeats for long.
func (k *memberKeeper) silent(s *replicator.Status) func(replicator.MemberID) bool {
	now := timer.Now()
	silence := k.controller.settings.GetControl().GetMemberSilence().AsDuration()
	return func(id replicator.MemberID) bool {
		confirmed, found := s.LastContact[id]
		return found && now-confirmed > silence
	}
}

func (k *memberKeeper) freshApplicants() []replicator.Applicant {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []replicator.Applicant
	for id, a := range k.applicants {
		if time.Since(a.seen) > applicantLifetime {
			delete(k.applicants, id)
			continue
		}
		if k.controller.peers.client(a.introduction.GetHost()) == nil {
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
