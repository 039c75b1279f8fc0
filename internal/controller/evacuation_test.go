package controller

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/pkg/planner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func newEvacuationController(t *testing.T) *Controller {
	t.Helper()
	s := &settings.Settings{Host: &settings.Host{Id: "c", FailureDomain: "a"}, Control: &settings.Control{AnnouncementLease: durationpb.New(time.Minute)}}
	c, err := New(s, Dialect{}, zap.NewNop(), instrumenter.New("control"))
	if err != nil {
		t.Fatal(err)
	}
	c.membership = &membershipManager{}
	return c
}

// applyEvacuation applies an order at an index of the log.
func applyEvacuation(t *testing.T, c *Controller, index replicator.Index, o *state.EvacuationOrder) {
	t.Helper()
	data, err := proto.Marshal(&state.Command{Kind: &state.Command_EvacuationOrder{EvacuationOrder: o}})
	if err != nil {
		t.Fatal(err)
	}
	if outcome := c.stateMachine.Apply(index, data).GetOutcome(); !outcome.GetAccepted() {
		t.Fatalf("order refused: %v", outcome)
	}
}

// TestPollsTellOfEvacuations guards against a poll that waits on although an evacuation has started, against
// polls that do not wait since the entry process has a later set or knows no evacuations, and against sets
// that are sent again and again.
func TestPollsTellOfEvacuations(t *testing.T) {
	const wait = time.Second
	tests := map[string]struct {
		position *uint64
		// at is the position of the order that is applied while the poll waits, zero for none.
		at   replicator.Index
		sent bool
		// waits is whether the reply comes only at the end of the wait.
		waits bool
	}{
		"has an earlier set":            {position: proto.Uint64(0), sent: true},
		"has the same set":              {position: proto.Uint64(5), waits: true},
		"has a later set":               {position: proto.Uint64(9), sent: true, waits: true},
		"of an earlier release":         {waits: true},
		"an order comes while it waits": {position: proto.Uint64(5), at: 7, sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newEvacuationController(t)
			applyEvacuation(t, c, 5, &state.EvacuationOrder{FailureDomain: "a"})
			c.upstreamTable.Update(registrar.Upstream{
				ID: "one", Incarnation: 1, Sequence: 1, URL: "http://one", FailureDomain: "a", Kind: registrar.KindService,
				Serves: []string{"pool"}, State: registrar.Serving, AnnouncedAt: timer.Now(),
			}, true)
			table := c.servePoll(t.Context(), &wire.Follow{Host: "e", AcceptsRenewals: true}).GetFollow()
			applied := make(chan struct{})
			go func() {
				defer close(applied)
				if test.at > 0 {
					timer.Sleep(t.Context(), wait/10)
					applyEvacuation(t, c, test.at, &state.EvacuationOrder{FailureDomain: "b"})
				}
			}()
			began := timer.Now()
			reply := c.servePoll(t.Context(), &wire.Follow{
				Host: "e", Table: table.GetTable(), Position: table.GetPosition(), AcceptsRenewals: true,
				WaitMillis: wait.Milliseconds(), EvacuationPosition: test.position,
			}).GetFollow()
			<-applied
			if waited := timer.Now()-began >= wait; waited != test.waits || (reply.GetEvacuations() != nil) != test.sent {
				t.Errorf("waited %t, reply with %v; want %t and a set %t", waited, reply.GetEvacuations(), test.waits, test.sent)
			}
		})
	}
}

// TestRestoredSnapshotDoesNotConfigure guards against a configuration that is handed out between the restore of a
// snapshot and the start of the log, when the process does not know yet whether its log holds an evacuation.
func TestRestoredSnapshotDoesNotConfigure(t *testing.T) {
	c := newEvacuationController(t)
	c.settings.Control.ElectionTimeout = durationpb.New(time.Minute)
	started := &wire.Follow{Host: "e", EvacuationPosition: proto.Uint64(0)}
	if c.mayConfigure(started) {
		t.Error("a process whose log is not known yet may configure an entry process that starts")
	}
	started.HaveRevision = 1
	if !c.mayConfigure(started) {
		t.Error("an entry process with a configuration gets no changes")
	}
	started.HaveRevision = 0
	c.settings.Control.ElectionTimeout = nil
	if !c.mayConfigure(started) {
		t.Error("without the log there is no configuration, whatever time has passed")
	}
}

// TestDrainEndsInEvacuatedDomain guards against the stop of an upstream that was draining when its domain was
// evacuated.
func TestDrainEndsInEvacuatedDomain(t *testing.T) {
	c := newEvacuationController(t)
	a := newAutoscaler(&platformAgent{controller: c})
	applyEvacuation(t, c, 5, &state.EvacuationOrder{FailureDomain: "a"})
	for id, domain := range map[string]planner.FailureDomain{"one": "a", "two": "b"} {
		a.draining[id] = pendingStop{startedAt: timer.Now(), order: planner.Order{Action: planner.Stop, Upstream: planner.UpstreamID(id), FailureDomain: domain}}
	}
	pools := []planner.Pool{{Upstreams: []planner.Upstream{{ID: "one", Load: 1}, {ID: "two", Load: 1}}}}
	c.settings.Control.Ordering = &settings.Ordering{}
	if err := a.stopDrained(t.Context(), pools); err == nil {
		t.Error("the other upstream is not stopped: the test shows nothing")
	}
	if left := a.drainingUpstreams(); len(left) != 1 || left[0] != "two" {
		t.Errorf("%v are draining, want only the one outside of the evacuated domain", left)
	}
}

// TestUpstreamsInEvacuatedDomains guards against numbers of upstreams that count on those in evacuated
// domains.
func TestUpstreamsInEvacuatedDomains(t *testing.T) {
	c := newEvacuationController(t)
	upstreams := []*wire.Upstream{{Id: "one", FailureDomain: "a"}, {Id: "two", FailureDomain: "b"}, {Id: "three"}}
	if left := withoutEvacuated(upstreams, c.evacuatedDomains()); len(left) != 3 {
		t.Errorf("%v are left without an evacuation", left)
	}
	applyEvacuation(t, c, 5, &state.EvacuationOrder{FailureDomain: "a"})
	if left := withoutEvacuated(upstreams, c.evacuatedDomains()); len(left) != 2 || left[0].GetId() != "two" || left[1].GetId() != "three" {
		t.Errorf("%v are left, want those that are not in the domain", left)
	}
}
