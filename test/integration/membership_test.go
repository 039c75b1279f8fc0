package integration

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/schema/settings"
)

// memberSilence is the time after which a newer member replaces one that is silent.
const memberSilence = time.Second

// useSeeds changes settings so that a control process finds its group through the first three as seeds.
func (s *system) useSeeds(founder bool) func(*settings.Settings) {
	return func(file *settings.Settings) {
		file.Control.Peers = nil
		for _, c := range s.controls[:3] {
			file.Control.Seeds = append(file.Control.Seeds, c.peerAddress)
		}
		file.Control.Founder = founder
		file.Control.MemberSilence = durationpb.New(memberSilence)
	}
}

// newSeededSystem returns a system of three seeds that are not started yet.
func newSeededSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, network: newNetwork(t), folder: t.TempDir()}
	s.token = s.writeOperatorTokens()
	for range 3 {
		s.newControl()
	}
	return s
}

// newControl adds a control process that is not started yet.
func (s *system) newControl() *controlProcess {
	s.t.Helper()
	id := fmt.Sprintf("control-%d", len(s.controls)+1)
	c := &controlProcess{
		id: id, peerAddress: freeAddress(s.t), operatorAddress: freeAddress(s.t), dataFolder: filepath.Join(s.folder, "data-"+id),
	}
	s.controls = append(s.controls, c)
	return c
}

// startNewControl adds and starts a control process that has an empty disk and knows only the seeds.
func (s *system) startNewControl(founder bool) *controlProcess {
	s.t.Helper()
	c := s.newControl()
	s.startControl(c, founder)
	return c
}

func (s *system) startControl(c *controlProcess, founder bool) {
	c.settingsFile = s.writeSettings(c.id, s.controlSettings(c), s.useSeeds(founder))
	c.process = startProcess(s.t, c.id, "control", "--settings", c.settingsFile)
}

// awaitVoters waits until the voters are exactly the given processes.
func (s *system) awaitVoters(ids ...string) {
	s.t.Helper()
	eventually(s.t, waitTimeout, func() error {
		reply, err := s.operator().Read(s.t.Context(), "status")
		if err != nil {
			return err
		}
		voters := map[string]bool{}
		for _, m := range reply.GetStatus().GetMembership().GetMembers() {
			if m.GetVoter() {
				voters[m.GetHost()] = true
			}
		}
		for _, id := range ids {
			if !voters[id] {
				return fmt.Errorf("%s is not a voter: %v", id, voters)
			}
		}
		if len(voters) != len(ids) {
			return fmt.Errorf("voters: %v", voters)
		}
		return nil
	})
}

// TestFormGroupFromSeeds guards against changes that are lost when members come and
// go. Three seeds form a group, a fourth process joins, one is lost for good, and a
// process at a new address takes its place.
func TestFormGroupFromSeeds(t *testing.T) {
	s := newSeededSystem(t)
	for _, c := range s.controls {
		s.startControl(c, true)
	}
	s.startNewControl(true)
	s.awaitVoters("control-1", "control-2", "control-3", "control-4")
	const changes = 5
	s.makeChanges(changes)
	s.controls[1].kill()
	s.startNewControl(false)
	s.awaitVoters("control-1", "control-3", "control-4", "control-5")
	s.awaitChanges(changes)
}

// TestNoGroupWithoutAllSeeds guards against two separate groups at the first start.
// Two of three seeds run beside a process that may not found a group: no group may
// form until the third seed has started.
func TestNoGroupWithoutAllSeeds(t *testing.T) {
	s := newSeededSystem(t)
	s.startControl(s.controls[0], true)
	s.startControl(s.controls[1], true)
	late := s.controls[2]
	s.controls = s.controls[:3]
	s.startNewControl(false)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if reply, err := s.operator("control-1", "control-2").Read(ctx, "status"); err == nil {
		t.Fatalf("a group formed: %v", reply.GetStatus())
	}
	s.startControl(late, true)
	s.awaitVoters("control-1", "control-2", "control-3", "control-4")
}

// TestMemberReplacement guards against losing the quorum during planned replacements.
// A new member joins, an old one is terminated and leaves the group, then another
// one is killed: the group must go on. A member that was only frozen must become a
// voter again by itself.
func TestMemberReplacement(t *testing.T) {
	s := newSeededSystem(t)
	for _, c := range s.controls {
		s.startControl(c, true)
	}
	s.awaitVoters("control-1", "control-2", "control-3")
	const changes = 5
	s.makeChanges(changes)
	s.startNewControl(false)
	s.awaitVoters("control-1", "control-2", "control-3", "control-4")
	s.controls[1].terminate()
	s.awaitVoters("control-1", "control-3", "control-4")
	s.controls[0].kill()
	s.startNewControl(false)
	s.awaitVoters("control-3", "control-4", "control-5")
	s.startNewControl(false)
	s.awaitVoters("control-3", "control-4", "control-5", "control-6")
	frozen := s.controls[2]
	if s.leader() == frozen {
		frozen = s.controls[3]
	}
	frozen.freeze()
	var rest []string
	for _, c := range s.controls[2:] {
		if c != frozen {
			rest = append(rest, c.id)
		}
	}
	s.awaitVoters(rest...)
	frozen.thaw()
	s.awaitVoters("control-3", "control-4", "control-5", "control-6")
	s.awaitChanges(changes)
}
