package keeper

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/state"
)

// order applies an evacuation order at an index of the log.
func order(t *testing.T, m *StateMachine, index replicator.Index, o *state.EvacuationOrder) *state.Outcome {
	t.Helper()
	data, err := proto.Marshal(&state.Command{
		AtMillis: 1, Kind: &state.Command_EvacuationOrder{EvacuationOrder: o}, Limits: &state.Limits{AuditRecords: 100},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(index, data).GetOutcome()
}

func checkEvacuations(t *testing.T, m *StateMachine, position uint64, domains ...string) {
	t.Helper()
	if e := m.Evacuations(); e.GetPosition() != position || !slices.Equal(e.GetFailureDomains(), domains) {
		t.Errorf("evacuated %v at position %d, want %v at %d", e.GetFailureDomains(), e.GetPosition(), domains, position)
	}
}

// TestEvacuationSurvivesSnapshot guards against an evacuation that is forgotten or revoked when a control
// process starts from a snapshot, alone or with all others.
func TestEvacuationSurvivesSnapshot(t *testing.T) {
	m := New()
	order(t, m, 5, &state.EvacuationOrder{FailureDomain: "b"})
	order(t, m, 6, &state.EvacuationOrder{FailureDomain: "a"})
	order(t, m, 9, &state.EvacuationOrder{FailureDomain: "c"})
	order(t, m, 12, &state.EvacuationOrder{FailureDomain: "c", Finish: true})
	checkEvacuations(t, m, 12, "a", "b")
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	order(t, restored, 40, &state.EvacuationOrder{FailureDomain: "other"})
	if err = restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	checkEvacuations(t, restored, 12, "a", "b")
	if len(restored.Audit()) != len(m.Audit()) {
		t.Errorf("%d audit records after the snapshot, want %d", len(restored.Audit()), len(m.Audit()))
	}
	order(t, restored, 13, &state.EvacuationOrder{FailureDomain: "a", Finish: true})
	checkEvacuations(t, restored, 13, "b")
}

// TestEvacuationOrders guards against orders that are refused when they are resent, and against orders
// that the audit trail lacks.
func TestEvacuationOrders(t *testing.T) {
	m := New()
	changed := m.Changed()
	steps := []struct {
		name  string
		order *state.EvacuationOrder
		// reason is that of a refusal; records is the number of audit records afterwards.
		reason  string
		records int
	}{
		{"start", &state.EvacuationOrder{FailureDomain: "a", Operator: "ann"}, "", 1},
		{"resent", &state.EvacuationOrder{FailureDomain: "a", Operator: "ann"}, "", 1},
		{"by another operator", &state.EvacuationOrder{FailureDomain: "a", Operator: "bob"}, "", 2},
		{"finish", &state.EvacuationOrder{FailureDomain: "a", Operator: "ann", Finish: true}, "", 3},
		{"finish of what is not evacuated", &state.EvacuationOrder{FailureDomain: "z", Operator: "ann", Finish: true}, "", 4},
		{"start again", &state.EvacuationOrder{FailureDomain: "a", Operator: "ann"}, "", 5},
		{"invalid name", &state.EvacuationOrder{FailureDomain: "", Operator: "ann"}, ReasonInvalid, 6},
	}
	for i, step := range steps {
		outcome := order(t, m, replicator.Index(i+1), step.order)
		if outcome.GetReason() != step.reason || outcome.GetAccepted() != (step.reason == "") {
			t.Errorf("%s: outcome %v, want reason %q", step.name, outcome, step.reason)
		}
		audit := m.Audit()
		if len(audit) != step.records {
			t.Fatalf("%s: %d audit records, want %d", step.name, len(audit), step.records)
		}
		if last := audit[len(audit)-1]; last.GetSummary() != SummarizeEvacuation(step.order) || last.GetOperator() != step.order.GetOperator() {
			t.Errorf("%s: audit record %v, want one of the order", step.name, last)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("those who wait for a change are not told of the evacuation")
	}
	checkEvacuations(t, m, 6, "a")
	for i := range 255 {
		order(t, m, replicator.Index(100+i), &state.EvacuationOrder{FailureDomain: fmt.Sprint(i)})
	}
	if outcome := order(t, m, 400, &state.EvacuationOrder{FailureDomain: "one more"}); outcome.GetReason() != ReasonTooManyEvacuations {
		t.Errorf("outcome %v of an order beyond the limit, want reason %q", outcome, ReasonTooManyEvacuations)
	}
}
