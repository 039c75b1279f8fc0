package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/comfreybend/comfreybend/internal/operator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

type (
	// revisionInput is a change based on a revision, or a read.
	revisionInput struct {
		change bool
		base   uint64
	}

	// revisionOutput is the result of an operation, unknown if no response arrived.
	revisionOutput struct {
		unknown  bool
		accepted bool
		revision uint64
	}

	// historyRecorder collects operations for the linearizability check.
	historyRecorder struct {
		mu         sync.Mutex
		start      time.Time
		operations []porcupine.Operation
	}
)

// revisionModel models a register that grows by one with each accepted change.
func revisionModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(current, input, output any) []any {
			revision, in, out := current.(uint64), input.(revisionInput), output.(revisionOutput)
			switch {
			case !in.change:
				return nextStates(out.revision == revision, revision)
			case out.unknown && in.base == revision:
				return []any{revision, revision + 1}
			case out.unknown:
				return []any{revision}
			case out.accepted:
				return nextStates(in.base == revision && out.revision == revision+1, revision+1)
			default:
				return nextStates(in.base != revision && out.revision == revision, revision)
			}
		},
	}
	return model.ToModel()
}

func nextStates(possible bool, next uint64) []any {
	if !possible {
		return nil
	}
	return []any{next}
}

func (h *historyRecorder) add(client int, in revisionInput, out revisionOutput, call time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Since(h.start).Nanoseconds()
	if out.unknown {
		// A change without a response may take effect at any later time.
		returned = int64(time.Hour)
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call.Sub(h.start).Nanoseconds(), Return: returned,
	})
}

func putOrganisation(id string) *state.Operation {
	return &state.Operation{Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: id}}}
}

// change makes a change and records its result.
func (h *historyRecorder) change(ctx context.Context, client int, c *operator.Client, base uint64) {
	call := time.Now()
	outcome, err := c.Change(ctx, putOrganisation(fmt.Sprintf("client-%d", client)), int64(base), "")
	var refused *operator.RefusedError
	switch {
	case err == nil:
		h.add(client, revisionInput{change: true, base: base}, revisionOutput{accepted: true, revision: outcome.GetRevision()}, call)
	case errors.As(err, &refused):
		h.add(client, revisionInput{change: true, base: base}, revisionOutput{revision: refused.Outcome.GetRevision()}, call)
	default:
		h.add(client, revisionInput{change: true, base: base}, revisionOutput{unknown: true}, call)
	}
}

// read reads the revision. A failed read has no effect and is not recorded.
func (h *historyRecorder) read(ctx context.Context, client int, c *operator.Client) (uint64, bool) {
	call := time.Now()
	reply, err := c.Read(ctx, "configuration")
	if err != nil {
		return 0, false
	}
	h.add(client, revisionInput{}, revisionOutput{revision: reply.GetRevision()}, call)
	return reply.GetRevision(), true
}

// leader waits until the control processes report a leader and returns it.
func (s *system) leader() *controlProcess {
	s.t.Helper()
	var found *controlProcess
	eventually(s.t, waitTimeout, func() error {
		reply, err := s.operator().Read(s.t.Context(), "status")
		if err != nil {
			return err
		}
		for _, c := range s.controls {
			if c.id == reply.GetStatus().GetLeaderHost() {
				found = c
				return nil
			}
		}
		return errors.New("no leader")
	})
	return found
}

// injectFaults kills, freezes and partitions the control processes in turn until ctx is done.
func (s *system) injectFaults(ctx context.Context) {
	const pause = 1500 * time.Millisecond
	wait := func() {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	for round := 0; ctx.Err() == nil; round++ {
		victim := s.controls[round%len(s.controls)]
		switch round % 4 {
		case 0:
			victim.kill()
			wait()
			victim.start()
		case 1:
			victim.freeze()
			wait()
			victim.thaw()
		case 2:
			other := s.controls[(round+1)%len(s.controls)]
			s.network.dropTraffic(victim.id, other.id, sending)
			wait()
			s.network.heal(victim.id, other.id)
		case 3:
			for _, other := range s.controls {
				if other != victim {
					s.network.partition(victim.id, other.id)
				}
			}
			wait()
			for _, other := range s.controls {
				s.network.heal(victim.id, other.id)
			}
		}
		wait()
	}
}

// TestConfigurationLinearizability guards against lost changes and stale reads of the
// configuration. Clients change and read it through every control process while
// these are killed, frozen and partitioned: the history must be linearizable. An
// entry process, also when restarted, must never go back to an earlier revision.
func TestConfigurationLinearizability(t *testing.T) {
	const length = 25 * time.Second
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}})
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	h := &historyRecorder{start: time.Now()}
	var wait sync.WaitGroup
	for client := range 4 {
		wait.Go(func() {
			c := s.operator(s.controls[client%3].id)
			for ctx.Err() == nil {
				revision, known := h.read(ctx, client, c)
				if known {
					h.change(ctx, client, c, revision)
				}
			}
		})
	}
	wait.Go(func() { s.injectFaults(ctx) })
	e := s.entries[0]
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(length / 4):
			e.kill()
			e.start()
		}
	}
	wait.Wait()

	accepted := 0
	for _, op := range h.operations {
		if op.Output.(revisionOutput).accepted {
			accepted++
		}
	}
	t.Logf("%d operations, %d accepted changes", len(h.operations), accepted)
	if accepted == 0 {
		t.Fatal("no change was accepted")
	}
	if result := porcupine.CheckOperationsTimeout(revisionModel(), h.operations, time.Minute); result != porcupine.Ok {
		t.Errorf("history is not linearizable: %v", result)
	}
	e.checkRevisions()
}

// checkRevisions fails the test if the log shows that an entry process went back to
// an earlier revision, across all its restarts.
func (e *entryProcess) checkRevisions() {
	e.t.Helper()
	var last float64
	var lastLine string
	for line := range strings.Lines(string(e.log())) {
		var entry struct {
			Msg      string  `json:"msg"`
			Revision float64 `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Msg != "configuration in force" {
			continue
		}
		if entry.Revision < last {
			e.t.Errorf("%s went back from revision %.0f to %.0f:\n%s%s", e.id, last, entry.Revision, lastLine, line)
		}
		last, lastLine = entry.Revision, line
	}
	if last == 0 {
		e.t.Errorf("%s had no revision in force", e.id)
	}
}

// TestConcurrentOperators guards against overwritten and repeated changes. Three
// operators change the same revision at once: one is accepted, the others conflict.
// After the leader is killed, a resend must return the first outcome, and another
// change under the same ID must be refused.
func TestConcurrentOperators(t *testing.T) {
	s := startSystem(t, layout{controls: 3})
	s.leader()
	var (
		wait      sync.WaitGroup
		mu        sync.Mutex
		accepted  []string
		conflicts int
	)
	for i, c := range s.controls {
		wait.Go(func() {
			id := fmt.Sprintf("change-%d", i)
			_, err := s.operator(c.id).Change(t.Context(), putOrganisation(c.id), 0, id)
			mu.Lock()
			defer mu.Unlock()
			var refused *operator.RefusedError
			switch {
			case err == nil:
				accepted = append(accepted, id)
			case errors.As(err, &refused) && refused.Outcome.GetReason() == "conflict":
				conflicts++
			default:
				t.Errorf("change %d: %v", i, err)
			}
		})
	}
	wait.Wait()
	if len(accepted) != 1 || conflicts != 2 {
		t.Fatalf("%d changes accepted, %d conflicts", len(accepted), conflicts)
	}

	winner := accepted[0]
	var index int
	_, _ = fmt.Sscanf(winner, "change-%d", &index)
	s.leader().kill()
	outcome, err := s.operator().Change(t.Context(), putOrganisation(s.controls[index].id), 0, winner)
	if err != nil || outcome.GetRevision() != 1 {
		t.Errorf("resend after a change of leader: %v, %v", outcome, err)
	}
	var refused *operator.RefusedError
	_, err = s.operator().Change(t.Context(), putOrganisation("another"), 1, winner)
	if !errors.As(err, &refused) || refused.Outcome.GetReason() != "reusedChangeId" {
		t.Errorf("another change under the same ID: %v", err)
	}
	reply, err := s.operator().Read(t.Context(), "audit")
	if err != nil || len(reply.GetAudit()) != 3 {
		t.Fatalf("audit trail: %v, %v", reply.GetAudit(), err)
	}
	for _, r := range reply.GetAudit() {
		if r.GetOperator() != "tester" || r.GetAtMillis() == 0 || r.GetSummary() == "" || r.GetOutcome() == nil {
			t.Errorf("audit record: %v", r)
		}
	}
}

// TestLostDisk guards against losing accepted changes with a disk. The disk of the
// leader is erased; after all members vote again, another control process is lost
// for good: every change must still be there, and a new one must be accepted.
func TestLostDisk(t *testing.T) {
	s := startSystem(t, layout{controls: 3, adjustControl: frequentSnapshots})
	const changes = 60
	s.makeChanges(changes)
	erased := s.leader()
	before, err := s.operator().Read(t.Context(), "status")
	if err != nil {
		t.Fatal(err)
	}
	former := map[uint64]bool{}
	for _, m := range before.GetStatus().GetMembership().GetMembers() {
		former[m.GetId()] = m.GetHost() == erased.id
	}
	erased.kill()
	if err = os.RemoveAll(erased.dataFolder); err != nil {
		t.Fatal(err)
	}
	erased.start()
	eventually(t, waitTimeout, func() error {
		reply, err := s.operator().Read(t.Context(), "status")
		if err != nil {
			return err
		}
		voters := 0
		for _, m := range reply.GetStatus().GetMembership().GetMembers() {
			if m.GetVoter() && !former[m.GetId()] {
				voters++
			}
		}
		if !reply.GetStatus().GetMembershipCommitted() || voters != len(s.controls) || len(reply.GetStatus().GetMembership().GetMembers()) != len(s.controls) {
			return fmt.Errorf("membership: %v", reply.GetStatus().GetMembership())
		}
		return nil
	})
	for _, c := range s.controls {
		if c != erased {
			c.kill()
			break
		}
	}
	s.awaitChanges(changes)
	s.makeChanges(1)
}

// TestLostDiskWhileAllOthersLosePower guards against losing accepted changes when a control process
// loses its disk at the moment at which all other processes, entry processes too, are lost.
func TestLostDiskWhileAllOthersLosePower(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustControl: frequentSnapshots})
	const changes = 40
	s.makeChanges(changes)
	erased := s.leader()
	for _, c := range s.controls {
		c.kill()
	}
	for _, e := range s.entries {
		e.kill()
	}
	if err := os.RemoveAll(erased.dataFolder); err != nil {
		t.Fatal(err)
	}
	for _, c := range s.controls {
		c.start()
	}
	for _, e := range s.entries {
		e.start()
	}
	s.awaitChanges(changes)
	s.makeChanges(1)
	for _, e := range s.entries {
		eventually(t, waitTimeout, e.ready)
	}
}

// TestRestartAllControlProcesses guards against losing changes when all control
// processes fail at once. They are killed after many changes and restarted.
func TestRestartAllControlProcesses(t *testing.T) {
	s := startSystem(t, layout{controls: 3, adjustControl: frequentSnapshots})
	const changes = 300
	s.makeChanges(changes)
	for _, c := range s.controls {
		c.kill()
	}
	for _, c := range s.controls {
		c.start()
	}
	s.awaitChanges(changes)
}

// TestFrozenLeader guards against stale reads from a former leader. The leader is
// frozen while the configuration is changed through the others, and is read from as
// soon as it is thawed.
func TestFrozenLeader(t *testing.T) {
	s := startSystem(t, layout{controls: 3})
	s.makeChanges(1)
	old := s.leader()
	old.freeze()
	var others []string
	for _, c := range s.controls {
		if c != old {
			others = append(others, c.id)
		}
	}
	eventually(t, waitTimeout, func() error {
		_, err := s.operator(others...).Change(t.Context(), putOrganisation("later"), 1, "while-frozen")
		return err
	})
	old.thaw()
	reply, err := s.operator(old.id).Read(t.Context(), "configuration")
	if err == nil && reply.GetRevision() != 2 {
		t.Errorf("the thawed leader returned revision %d", reply.GetRevision())
	}
}

// TestCorruptJournal guards against a control process that runs on corrupt data. A
// byte in the middle of its journal is changed: it must refuse to start and report the
// corruption, and the others must accept changes.
func TestCorruptJournal(t *testing.T) {
	s := startSystem(t, layout{controls: 3})
	s.makeChanges(10)
	c := s.controls[0]
	c.kill()
	corruptJournal(t, c.dataFolder)
	c.start()
	c.awaitExit()
	if !strings.Contains(string(c.log()), "is damaged at byte") {
		t.Error("the log does not report the corruption")
	}
	s.makeChanges(1)
}

func corruptJournal(t *testing.T, folder string) {
	t.Helper()
	items, err := os.ReadDir(folder + "/log")
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		if !strings.HasPrefix(item.Name(), "journal-") {
			continue
		}
		path := folder + "/log/" + item.Name()
		data, readErr := os.ReadFile(path)
		if readErr != nil {
			t.Fatal(readErr)
		}
		data[len(data)/3] ^= 1
		if err = os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func frequentSnapshots(s *settings.Settings) { s.Control.SnapshotEntries = 16 }

// makeChanges makes n changes one after the other.
func (s *system) makeChanges(n int) {
	s.t.Helper()
	for i := range n {
		if _, err := s.operator().Change(s.t.Context(), putOrganisation(fmt.Sprintf("organisation-%d", i)), -1, ""); err != nil {
			s.t.Fatal(err)
		}
	}
}

// awaitChanges waits until the configuration holds all n accepted changes and no others.
func (s *system) awaitChanges(n int) {
	s.t.Helper()
	eventually(s.t, waitTimeout, func() error {
		reply, err := s.operator().Read(s.t.Context(), "configuration")
		if err != nil {
			return err
		}
		if got := len(reply.GetConfiguration().GetOrganisations()); got != n || reply.GetRevision() != uint64(n) {
			return fmt.Errorf("%d organisations at revision %d, want %d", got, reply.GetRevision(), n)
		}
		return nil
	})
}

// TestOperatorNeedsToken guards against access to the operator API without a valid
// token.
func TestOperatorNeedsToken(t *testing.T) {
	s := startSystem(t, layout{controls: 1})
	s.makeChanges(1)
	for name, token := range map[string]string{"none": "", "wrong": "wrong"} {
		_, err := operator.New([]string{"http://" + s.controls[0].operatorAddress}, token).Read(t.Context(), "configuration")
		var responseError *operator.ResponseError
		if !errors.As(err, &responseError) || responseError.Status != http.StatusUnauthorized {
			t.Errorf("token %s: %v", name, err)
		}
	}
}
