package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

// newIdle returns a control process that has not been started and belongs to no group.
func newIdle(t *testing.T) *Controller {
	t.Helper()
	s := &settings.Settings{Host: &settings.Host{Id: "c"}, Control: &settings.Control{}}
	c, err := New(s, Dialect{}, zap.NewNop(), instrumenter.New("control"))
	if err != nil {
		t.Fatal(err)
	}
	c.membership = &membershipManager{}
	return c
}

// TestHeldDocumentNeedsNoQuorum guards against a document that is never acknowledged although
// it is in force: the operator sends it again after the first acknowledgement was lost or
// late, and each time all of it had to be committed once more.
func TestHeldDocumentNeedsNoQuorum(t *testing.T) {
	c := newIdle(t)
	document := func(version uint64) *state.Document {
		return &state.Document{Version: version, Configuration: &state.Configuration{}}
	}
	command, err := proto.Marshal(&state.Command{Kind: &state.Command_Document{Document: document(5)}})
	if err != nil {
		t.Fatal(err)
	}
	if outcome := c.stateMachine.Apply(1, command).GetOutcome(); !outcome.GetAccepted() {
		t.Fatal(outcome)
	}
	for version, acknowledged := range map[uint64]bool{4: true, 5: true, 6: false} {
		if err := c.putDocument(t.Context(), document(version)); (err == nil) != acknowledged {
			t.Errorf("version %d: error %v, want an acknowledgement: %t", version, err, acknowledged)
		}
	}
}

// documentToUnknownService returns a document whose route names a service, and whose list of services is
// empty.
func documentToUnknownService(version uint64) *state.Document {
	return &state.Document{
		Version: version, Content: fmt.Append(nil, "version ", version),
		Configuration: &state.Configuration{
			Classes: []*state.Class{{Name: "c", Tier: 1}},
			Routes:  []*state.Route{{Name: "r", Host: "h", PathPrefix: "/x/", Kind: "service", Service: "s", Classes: []string{"c"}}},
		},
	}
}

// TestForwardedDocumentIsChecked guards against a document to an unknown service that a host of an earlier
// release accepts and forwards to the leader.
func TestForwardedDocumentIsChecked(t *testing.T) {
	c := newIdle(t)
	reply := c.serveProposal(t.Context(), &state.Command{Kind: &state.Command_Document{Document: documentToUnknownService(5)}})
	outcome := reply.GetPropose().GetOutcome()
	if outcome.GetAccepted() || outcome.GetReason() != keeper.ReasonInvalid {
		t.Errorf("reply %v, want a refusal as invalid", reply)
	}
}

// TestDocumentOfEarlierRelease guards against an invalid document that an earlier release has put in force
// and that stops a start, is refused when it is sent again, or keeps out a valid one.
func TestDocumentOfEarlierRelease(t *testing.T) {
	c := newIdle(t)
	held := documentToUnknownService(5)
	command, err := proto.Marshal(&state.Command{Kind: &state.Command_Document{Document: held}})
	if err != nil {
		t.Fatal(err)
	}
	if outcome := c.stateMachine.Apply(1, command).GetOutcome(); !outcome.GetAccepted() {
		t.Fatalf("outcome %v of a committed command, want the same as in an earlier release", outcome)
	}
	snapshot, err := c.stateMachine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	c = newIdle(t)
	if err = c.stateMachine.Restore(snapshot); err != nil {
		t.Fatalf("the snapshot of an earlier release is rejected: %v", err)
	}
	if !c.holdsDocument(held.GetContent()) || c.holdsDocument(documentToUnknownService(6).GetContent()) {
		t.Error("the document in force is not recognised")
	}
	if err = c.putDocument(t.Context(), held); err != nil {
		t.Errorf("the document in force is refused when it is sent again: %v", err)
	}
	valid := documentToUnknownService(6)
	valid.Configuration.Pools = []*state.Pool{{Name: "s"}}
	if err = c.checkDocument(valid); err != nil {
		t.Errorf("a valid document is refused: %v", err)
	}
	if c.checkDocument(documentToUnknownService(6)) == nil {
		t.Error("the next invalid document is accepted")
	}
}

// TestRequestTimeoutGrowsWithSize guards against requests that can never succeed since they
// are too large for a fixed timeout.
func TestRequestTimeoutGrowsWithSize(t *testing.T) {
	tests := map[string]struct {
		bytes       int
		least, most time.Duration
	}{
		"small":                 {bytes: 100, least: requestTimeout, most: requestTimeout + 10*time.Millisecond},
		"a large configuration": {bytes: 16 << 20, least: 16 * time.Second, most: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := withTimeoutFor(context.Background(), requestTimeout, test.bytes)
			defer cancel()
			deadline, _ := ctx.Deadline()
			if left := time.Until(deadline); left < test.least-time.Second || left > test.most {
				t.Errorf("timeout %v, want %v to %v", left, test.least, test.most)
			}
		})
	}
}
