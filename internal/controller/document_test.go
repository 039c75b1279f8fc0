package controller

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestHeldDocumentNeedsNoQuorum guards against a document that is never acknowledged although
// it is in force: the operator sends it again after the first acknowledgement was lost or
// late, and each time all of it had to be committed once more.
func TestHeldDocumentNeedsNoQuorum(t *testing.T) {
	s := &settings.Settings{Host: &settings.Host{Id: "c"}, Control: &settings.Control{}}
	c, err := New(s, Dialect{}, zap.NewNop(), instrumenter.New("control"))
	if err != nil {
		t.Fatal(err)
	}
	c.membership = &membershipManager{}
	document := func(version uint64) *state.Document {
		return &state.Document{Version: version, Configuration: &state.Configuration{}}
	}
	command, err := proto.Marshal(&state.Command{Kind: &state.Command_Document{Document: document(5)}})
	if err != nil {
		t.Fatal(err)
	}
	if outcome := c.stateMachine.Apply(command).GetOutcome(); !outcome.GetAccepted() {
		t.Fatal(outcome)
	}
	for version, acknowledged := range map[uint64]bool{4: true, 5: true, 6: false} {
		if err := c.putDocument(t.Context(), document(version)); (err == nil) != acknowledged {
			t.Errorf("version %d: error %v, want an acknowledgement: %t", version, err, acknowledged)
		}
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
