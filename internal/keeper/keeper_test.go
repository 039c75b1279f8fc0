package keeper

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Times in milliseconds.
const (
	hour      = 60 * 60 * 1000
	retention = 24 * hour
)

// apply applies a command that was proposed at a time in milliseconds.
func apply(t *testing.T, m *StateMachine, at int64, command *state.Command) *wire.ProposeReply {
	t.Helper()
	command.AtMillis = at
	command.Limits = &state.Limits{
		ClaimRetentionMillis: retention, ClaimsPerOrganisation: 2, AuditRecords: 3, SettleMillis: 5000,
	}
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, data)
}

func change(id string, base uint64, op *state.Operation) *state.Command {
	return &state.Command{Kind: &state.Command_Change{Change: &state.Change{
		ChangeId: id, Operator: "op", BaseRevision: base, Operation: op, Fingerprint: []byte(op.String()),
	}}}
}

func putOrganisation(id string) *state.Operation {
	return &state.Operation{Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: id}}}
}

func grantKey(id, organisation string) *state.Operation {
	hash := make([]byte, 32)
	copy(hash, id)
	return &state.Operation{Kind: &state.Operation_GrantKey{GrantKey: &state.Key{Id: id, Organisation: organisation, Hash: hash}}}
}

func TestApplyChange(t *testing.T) {
	m := New()
	steps := []struct {
		name     string
		command  *state.Command
		reason   string
		revision uint64
	}{
		{"first", change("c1", 0, putOrganisation("one")), "", 1},
		{"resent", change("c1", 0, putOrganisation("one")), "", 1},
		{"same id, different change", change("c1", 0, putOrganisation("two")), ReasonReusedChangeID, 1},
		{"made against an old revision", change("c2", 0, putOrganisation("two")), ReasonConflict, 1},
		{"refused change resent", change("c2", 0, putOrganisation("two")), ReasonConflict, 1},
		{"invalid", change("c3", 1, grantKey("k", "nobody")), ReasonInvalid, 1},
		{"valid", change("c4", 1, grantKey("k", "one")), "", 2},
	}
	for _, step := range steps {
		outcome := apply(t, m, 1, step.command).GetOutcome()
		if outcome.GetReason() != step.reason || outcome.GetAccepted() != (step.reason == "") {
			t.Errorf("%s: outcome %v, want reason %q", step.name, outcome, step.reason)
		}
		if m.Revision() != 0 && uint64(m.Revision()) != step.revision {
			t.Errorf("%s: revision %d, want %d", step.name, m.Revision(), step.revision)
		}
	}
	if n := len(m.Audit()); n != 3 {
		t.Errorf("%d audit records kept, want 3", n)
	}
}

// TestRecentChangesAreBounded applies large configurations, of which nothing stays the same,
// until old changes are dropped: an entry process at an older revision gets the whole
// configuration.
func TestRecentChangesAreBounded(t *testing.T) {
	m := New()
	for revision := range uint64(10) {
		large := &state.Configuration{}
		for i := range 2000 {
			large.Organisations = append(large.Organisations, &state.Organisation{
				Id: fmt.Sprint(i), Name: strings.Repeat(fmt.Sprint(revision), 1000),
			})
		}
		op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: large}}
		apply(t, m, 1, change(fmt.Sprint("c", revision), revision, op))
	}
	size := 0
	for _, r := range m.recentChanges {
		size += proto.Size(r)
	}
	if size > maxRecentBytes || len(m.recentChanges) == 0 {
		t.Errorf("kept %d recent changes of %d bytes in total, want at least 1 and at most %d bytes", len(m.recentChanges), size, maxRecentBytes)
	}
	if reply := changesBetween(t, m, 1, 0, true); !reply.GetWhole() || reply.GetRevision() != 10 {
		t.Errorf("after revision 1: revision %d, whole %t; want revision 10, whole true", reply.GetRevision(), reply.GetWhole())
	}
	if reply := changesBetween(t, m, 9, 0, true); reply.GetWhole() || len(reply.GetChanges()) != 1 {
		t.Errorf("after revision 9: whole %t and %d changes; want one change", reply.GetWhole(), len(reply.GetChanges()))
	}
}

// TestSummarizeOmitsKeyHash checks that audit summaries name a key by its id only.
func TestSummarizeOmitsKeyHash(t *testing.T) {
	op := grantKey("k1", "one")
	if text := Summarize(op); strings.Contains(text, string(op.GetGrantKey().GetHash())) || !strings.Contains(text, "k1") {
		t.Errorf("summary %q, want the key id without the hash", text)
	}
}

func claim(attempt, key, content string) *state.Command {
	return &state.Command{Kind: &state.Command_Claim{Claim: &state.Claim{
		Organisation: "one", Route: "r", IdempotencyKey: key, Attempt: attempt, Fingerprint: []byte(content),
	}}}
}

func claimOutcome(attempt, key string, notRun bool, status int32) *state.Command {
	return &state.Command{Kind: &state.Command_ClaimOutcome{ClaimOutcome: &state.ClaimOutcome{
		Organisation: "one", Route: "r", IdempotencyKey: key, Attempt: attempt, NotRun: notRun,
		Answer: &state.StoredAnswer{Status: status},
	}}}
}

func TestApplyClaim(t *testing.T) {
	m := New()
	steps := []struct {
		name    string
		at      int64
		command *state.Command
		reason  string
		status  int32
	}{
		{"first", 0, claim("a1", "x", "body"), "", 0},
		{"same attempt again", 0, claim("a1", "x", "body"), "", 0},
		{"resend while the first request runs", 0, claim("a2", "x", "body"), ReasonClaimed, 0},
		{"different request with the same key", 0, claim("a3", "x", "other"), ReasonReusedKey, 0},
		{"outcome of another attempt", 0, claimOutcome("a2", "x", false, 500), ReasonInvalid, 0},
		{"outcome of the first request", 0, claimOutcome("a1", "x", false, 200), "", 0},
		{"resend after the outcome", 0, claim("a4", "x", "body"), ReasonClaimed, 200},
		{"second outcome is ignored", 0, claimOutcome("a1", "x", false, 500), "", 0},
		{"resend gets the first outcome", 0, claim("a5", "x", "body"), ReasonClaimed, 200},
		{"second key", 1, claim("b1", "y", "body"), "", 0},
		{"limit of the organisation reached", 1, claim("c1", "z", "body"), ReasonTooManyClaims, 0},
		{"released", 1, claimOutcome("b1", "y", true, 0), "", 0},
		{"new claim after the release", 1, claim("c2", "z", "body"), "", 0},
		{"first key after the retention time", retention + 1, claim("d1", "x", "body"), "", 0},
	}
	for _, step := range steps {
		reply := apply(t, m, step.at, step.command)
		if reply.GetOutcome().GetReason() != step.reason {
			t.Errorf("%s: reply %v, want reason %q", step.name, reply, step.reason)
		}
		if status := reply.GetClaim().GetAnswer().GetStatus(); status != step.status {
			t.Errorf("%s: response status %d, want %d", step.name, status, step.status)
		}
	}
}

func push(incarnation string, calls uint64, unreportedMillis int64) *state.Command {
	return &state.Command{Kind: &state.Command_UsageBatch{UsageBatch: &state.UsageBatch{Pushes: []*state.Usage{{
		Incarnation: incarnation, UnreportedMillis: unreportedMillis,
		Counters: []*state.UsageCounter{{Organisation: "one", Class: "c", Calls: calls, TokensOut: 10 * calls}},
	}}}}}
}

func freeze(end int64) *state.Command {
	return &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: &state.FreezeWindow{EndMillis: end}}}
}

func TestUsageWindows(t *testing.T) {
	m := New()
	apply(t, m, 1*hour, push("e1", 3, 500))
	apply(t, m, 1*hour+1000, push("e1", 5, 500))
	apply(t, m, 1*hour+1001, push("e1", 4, 500)) // Sent before the previous push, but delayed.
	apply(t, m, 1*hour+1002, push("e2", 1, 500))
	apply(t, m, 2*hour, freeze(2*hour))
	apply(t, m, 2*hour+1, freeze(2*hour)) // Repeated by another leader.
	apply(t, m, 2*hour+10_000, push("e1", 6, 500))
	apply(t, m, 2*hour+10_000, push("e3", 7, hour)) // Was partitioned for an hour.
	apply(t, m, 3*hour, freeze(3*hour))

	windows := m.UnsentWindows()
	if len(windows) != 2 {
		t.Fatalf("%d unsent windows, want 2", len(windows))
	}
	// Late, calls and output tokens of each row.
	want := [][]string{{"false 6 60"}, {"false 1 10", "true 7 70"}}
	for i, w := range windows {
		var report ReportBody
		if err := json.Unmarshal(w.GetReport(), &report); err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, row := range report.Rows {
			got = append(got, fmt.Sprint(row.Late, row.Calls, row.TokensOut))
		}
		if strings.Join(got, ",") != strings.Join(want[i], ",") {
			t.Errorf("window %d: %v, want %v", i+1, got, want[i])
		}
	}
	apply(t, m, 3*hour, &state.Command{Kind: &state.Command_WindowSent{WindowSent: &state.WindowSent{Number: 1}}})
	if left := m.UnsentWindows(); len(left) != 1 || left[0].GetNumber() != 2 {
		t.Errorf("unsent windows %v, want window 2 only", left)
	}
}

func TestIntentsOfAnEarlierHolderAreFenced(t *testing.T) {
	m := New()
	fence := func() uint64 {
		return apply(t, m, 1, &state.Command{Kind: &state.Command_Fence{Fence: &state.Fence{Holder: "h"}}}).GetOutcome().GetRevision()
	}
	intent := func(id string, number uint64) *state.Command {
		return &state.Command{Kind: &state.Command_Intent{Intent: &state.Intent{OrderId: id, FencingNumber: number}}}
	}
	first := fence()
	if !apply(t, m, 1, intent("o1", first)).GetOutcome().GetAccepted() {
		t.Fatal("the holder's intent was refused")
	}
	second := fence()
	if reason := apply(t, m, 1, intent("o2", first)).GetOutcome().GetReason(); second <= first || reason != ReasonFenced {
		t.Errorf("intent of the earlier holder: reason %q, want %q; fencing numbers %d and %d", reason, ReasonFenced, first, second)
	}
	if open := m.OpenIntents(); len(open) != 1 {
		t.Fatalf("open intents %v, want one", open)
	}
	apply(t, m, 1, &state.Command{Kind: &state.Command_IntentOutcome{IntentOutcome: &state.IntentOutcome{OrderId: "o1"}}})
	if open := m.OpenIntents(); len(open) != 0 {
		t.Errorf("open intents after the outcome: %v, want none", open)
	}
}

// TestSnapshotRestore applies the same commands to the original and to the restored
// state and compares the replies.
func TestSnapshotRestore(t *testing.T) {
	m := New()
	apply(t, m, 1, change("c1", 0, putOrganisation("one")))
	apply(t, m, 1, change("c2", 1, grantKey("k1", "one")))
	apply(t, m, 1, claim("a1", "x", "body"))
	apply(t, m, 1, claimOutcome("a1", "x", false, 200))
	apply(t, m, 1, push("e1", 3, 0))
	apply(t, m, hour, freeze(hour))
	apply(t, m, hour, push("e1", 4, 0))
	apply(t, m, hour, &state.Command{Kind: &state.Command_Fence{Fence: &state.Fence{Holder: "h"}}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err = restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	later := map[string]*state.Command{
		"resent change":             change("c1", 0, putOrganisation("one")),
		"resent request":            claim("a9", "x", "body"),
		"withdrawal":                change("c3", 2, &state.Operation{Kind: &state.Operation_WithdrawKey{WithdrawKey: "k1"}}),
		"next push":                 push("e1", 9, 0),
		"next window":               freeze(2 * hour),
		"next fencing number":       {Kind: &state.Command_Fence{Fence: &state.Fence{Holder: "g"}}},
		"fencing number after that": {Kind: &state.Command_Fence{Fence: &state.Fence{Holder: "g"}}},
	}
	for _, name := range []string{"resent change", "resent request", "withdrawal", "next push", "next window", "next fencing number", "fencing number after that"} {
		a, b := apply(t, m, 2*hour, later[name]), apply(t, restored, 2*hour, later[name])
		if !proto.Equal(a, b) {
			t.Errorf("%s: original replied %v, restored %v", name, a, b)
		}
	}
	one, two := m.UnsentWindows(), restored.UnsentWindows()
	if len(one) != 2 || len(two) != 2 || string(one[1].GetReport()) != string(two[1].GetReport()) {
		t.Errorf("windows differ: %v and %v", one, two)
	}
}

// TestDeparturesSurviveSnapshot guards against an entry process that misses the leave of an
// upstream because a control process that was restored from a snapshot counts anew.
func TestDeparturesSurviveSnapshot(t *testing.T) {
	departure := func(id string) []byte {
		data, err := proto.Marshal(&state.Command{Kind: &state.Command_Departure{Departure: &state.Departure{Upstream: id, Incarnation: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	m := New()
	for i := range maxDepartures + 2 {
		m.Apply(1, departure(fmt.Sprint("u", i)))
	}
	_, position := m.DeparturesSince(0, 1)
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err = restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	restored.Apply(1, departure("last"))
	got, reached := restored.DeparturesSince(position, 1)
	if len(got) != 1 || got[0].ID != "last" || reached != position+1 {
		t.Errorf("departures %v until position %d after position %d, want the last one until %d", got, reached, position, position+1)
	}
}

// TestPoolVersions guards against a version that a restarted control process does not know any
// more, so that a stream of it seems to be one of the only other version.
func TestPoolVersions(t *testing.T) {
	m := New()
	apply := func(v *state.PoolVersion) bool {
		data, err := proto.Marshal(&state.Command{Kind: &state.Command_PoolVersion{PoolVersion: v}})
		if err != nil {
			t.Fatal(err)
		}
		return m.Apply(1, data).GetOutcome().GetAccepted()
	}
	for _, version := range []string{"v1", "v2", "v2", "v3"} {
		if !apply(&state.PoolVersion{Pool: "model/m", Version: version}) {
			t.Errorf("version %s was refused", version)
		}
	}
	apply(&state.PoolVersion{Pool: "model/m", Version: "v3", Retired: true})
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m = New()
	if err = m.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(m.Versions()); got != "[{model/m v1} {model/m v2}]" {
		t.Errorf("versions %s after a restart, want v1 and v2", got)
	}
	for i := range maxVersions {
		apply(&state.PoolVersion{Pool: "model/m", Version: fmt.Sprint("w", i)})
	}
	if apply(&state.PoolVersion{Pool: "model/m", Version: "another"}) {
		t.Errorf("a pool has %d versions, want at most %d", len(m.Versions()), maxVersions)
	}
}
