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

// memberSilence is how long a member is silent before a newer one takes its place.
const memberSilence = time.Second

// seeded replaces the list of control processes by the first three as seeds.
func (s *system) seeded(founder bool) func(*settings.Settings) {
	return func(file *settings.Settings) {
		file.Control.Peers = nil
		for _, c := range s.controls[:3] {
			file.Control.Seeds = append(file.Control.Seeds, c.peer)
		}
		file.Control.Founder = founder
		file.Control.MemberSilence = durationpb.New(memberSilence)
	}
}

// seededSystem returns a system of three seeds that have not started.
func seededSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, network: newNetwork(t), folder: t.TempDir()}
	s.token = s.writeOperators()
	for range 3 {
		s.describeControl()
	}
	return s
}

// describeControl gives one more control process its name, addresses and folder.
func (s *system) describeControl() *controlProcess {
	s.t.Helper()
	id := fmt.Sprintf("control-%d", len(s.controls)+1)
	c := &controlProcess{
		id: id, peer: freeAddress(s.t), operator: freeAddress(s.t), folder: filepath.Join(s.folder, "data-"+id),
	}
	s.controls = append(s.controls, c)
	return c
}

// addControl starts one more control process with an empty disk, which knows the seeds alone.
func (s *system) addControl(founder bool) *controlProcess {
	s.t.Helper()
	c := s.describeControl()
	s.launch(c, founder)
	return c
}

func (s *system) launch(c *controlProcess, founder bool) {
	c.settings = s.writeSettings(c.id, s.controlSettings(c), s.seeded(founder))
	c.process = startProcess(s.t, c.id, "control", "--settings", c.settings)
}

// expectVoters waits until exactly these processes vote.
func (s *system) expectVoters(ids ...string) {
	s.t.Helper()
	eventually(s.t, startWithin, func() error {
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
				return fmt.Errorf("%s does not vote: %v", id, voters)
			}
		}
		if len(voters) != len(ids) {
			return fmt.Errorf("%v vote", voters)
		}
		return nil
	})
}

// TestSeededGroup forms a group from three seeds, lets a fourth process join,
// loses one for good and gets another at a new address: it takes the lost one's
// place, and everything acknowledged is kept.
func TestSeededGroup(t *testing.T) {
	s := seededSystem(t)
	for _, c := range s.controls {
		s.launch(c, true)
	}
	s.addControl(true)
	s.expectVoters("control-1", "control-2", "control-3", "control-4")
	const changes = 5
	s.change(changes)
	s.controls[1].kill()
	s.addControl(false)
	s.expectVoters("control-1", "control-3", "control-4", "control-5")
	s.expectChanges(changes)
}

// TestNobodyFoundsAlone starts two of three seeds, and processes that may not
// found a group: no group forms until all seeds are there.
func TestNobodyFoundsAlone(t *testing.T) {
	s := seededSystem(t)
	s.launch(s.controls[0], true)
	s.launch(s.controls[1], true)
	late := s.controls[2]
	s.controls = s.controls[:3]
	s.addControl(false)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if reply, err := s.operator("control-1", "control-2").Read(ctx, "status"); err == nil {
		t.Fatalf("a group formed: %v", reply.GetStatus())
	}
	s.launch(late, true)
	s.expectVoters("control-1", "control-2", "control-3", "control-4")
}

// TestPlannedReplacement brings the successor first, stops the old member for
// good and then loses another one: the group goes on, because the one that was
// stopped has left it. A member that was only frozen comes back by itself.
func TestPlannedReplacement(t *testing.T) {
	s := seededSystem(t)
	for _, c := range s.controls {
		s.launch(c, true)
	}
	s.expectVoters("control-1", "control-2", "control-3")
	const changes = 5
	s.change(changes)
	s.addControl(false)
	s.expectVoters("control-1", "control-2", "control-3", "control-4")
	s.controls[1].terminate()
	s.expectVoters("control-1", "control-3", "control-4")
	s.controls[0].kill()
	s.addControl(false)
	s.expectVoters("control-3", "control-4", "control-5")
	s.addControl(false)
	s.expectVoters("control-3", "control-4", "control-5", "control-6")
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
	s.expectVoters(rest...)
	frozen.thaw()
	s.expectVoters("control-3", "control-4", "control-5", "control-6")
	s.expectChanges(changes)
}
