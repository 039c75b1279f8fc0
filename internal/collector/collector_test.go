package collector

import (
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// endedRuns returns evidence that runs of engines ended under a part, a second apart.
func endedRuns(part string, first, last uint64) *wire.Evidence {
	e := &wire.Evidence{Parts: []*wire.PartEvidence{{Id: part}}}
	for id := first; id <= last; id++ {
		e.Runs = append(e.Runs, &wire.EndedRun{Id: id, EndedAtMillis: int64(id) * 1000})
		e.Parts[0].Runs = append(e.Parts[0].Runs, id)
	}
	return e
}

// TestEvidenceGossip guards against a part that is held in one failure domain only since a
// gossip message was lost: what changed is sent at once and again for some time, and all of
// it now and then.
func TestEvidenceGossip(t *testing.T) {
	now := time.UnixMilli(10_000)
	near, far := NewTable(), NewTable()
	g := &Gossip{}
	near.Merge(now, endedRuns("bad", 1, 3))
	if g.Next(near, false) == nil {
		t.Fatal("new evidence is not sent at once")
	}
	if e := g.Next(near, false); e != nil {
		t.Errorf("%v is sent although nothing is new", e)
	}
	received := 0
	for n := range 2 * evidenceRefresh {
		e := g.Next(near, true)
		if e == nil {
			continue
		}
		received++
		if changed := far.Merge(now, e); changed != (n == 0) {
			t.Errorf("message %d has something new: %t", n, changed)
		}
	}
	if received < 2 || received > 2*evidenceRepeats {
		t.Errorf("%d of %d messages have old evidence, want some at first and one now and then", received, 2*evidenceRefresh)
	}
	if held := far.NewlyHeld(); len(held) != 1 || held[0].Part != "bad" {
		t.Errorf("held %v, want the part", held)
	}
	if held := far.NewlyHeld(); len(held) != 0 {
		t.Errorf("%v is logged twice", held)
	}
}

// TestLiftedPart checks that an operator's lift ends a hold and reaches other processes, and
// that later ends of engines count again.
func TestLiftedPart(t *testing.T) {
	near, far := NewTable(), NewTable()
	now := time.UnixMilli(10_000)
	for _, table := range []*Table{near, far} {
		table.Merge(now, endedRuns("bad", 1, 4))
	}
	_, position, updated := near.Since(0)
	near.Lift(now, "bad")
	select {
	case <-updated:
	default:
		t.Error("polls are not woken by the lift")
	}
	e, _, _ := near.Since(position)
	if !far.Merge(now, e) || len(far.Accused()) > 0 {
		t.Errorf("accused elsewhere after the lift: %v", far.Accused())
	}
	far.Merge(now, endedRuns("bad", 11, 13))
	if parts := far.Accused(); len(parts) != 1 || !parts[0].GetHeld() || parts[0].GetInstants() != 3 {
		t.Errorf("%v after further ends, want a held part with 3 instants", parts)
	}
}

// TestLimitsReachAllProcesses guards against a request limit that is known to one control process
// only, or not to one that was restarted.
func TestLimitsReachAllProcesses(t *testing.T) {
	now := time.UnixMilli(10_000)
	limit := 1.5
	named := &wire.Evidence{Limits: []*wire.RequestLimit{{Upstream: "engine", Incarnation: 2, Limit: &limit, AtMillis: 9000}}}
	near, far := NewTable(), NewTable()
	g := &Gossip{}
	_, _, updated := near.Since(0)
	if !near.Merge(now, named) || near.Merge(now, named) {
		t.Error("the limit is not new at first, or again")
	}
	select {
	case <-updated:
	default:
		t.Error("polls are not woken by a limit")
	}
	near.Merge(now, endedRuns("bad", 1, 3))
	e, position, _ := near.Since(0)
	if len(e.GetLimits()) != 1 || len(e.GetParts()) != 1 {
		t.Fatalf("evidence %v, want a limit and a part", e)
	}
	if e, _, _ = near.Since(position); e != nil {
		t.Errorf("%v is sent again", e)
	}
	if e = g.Next(near, false); !far.Merge(now, e) {
		t.Error("the limit is not sent to other control processes")
	}
	if s := far.Limits()["engine"]; s.Limit != 1.5 || s.Upstream.Incarnation != 2 {
		t.Errorf("limits %v", far.Limits())
	}
	far.Merge(now, &wire.Evidence{Limits: []*wire.RequestLimit{{Upstream: "engine", Incarnation: 2, AtMillis: 9500}}})
	if len(far.Limits()) != 0 {
		t.Errorf("limits %v after the end", far.Limits())
	}
	if e, _, _ = far.Since(0); !near.Merge(now, e) || len(near.Limits()) != 0 {
		t.Error("the end does not reach the other process")
	}
}
