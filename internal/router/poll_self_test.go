package router

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestPollStatesItsSender guards against control processes that do not know whether an entry host
// reaches upstreams, because only some of its polls say so.
func TestPollStatesItsSender(t *testing.T) {
	p := newControlPoller(newTestRouter(t))
	if self := p.newRequest(cursor{}, 0).GetSelf(); self != nil {
		t.Errorf("%v is stated by a process that takes no requests of others", self)
	}
	said := &wire.EntryHost{Host: "entry-1", Address: "10.0.0.1:1", CutOff: true}
	p.self = func() *wire.EntryHost { return said }
	for index := range polledControlProcesses {
		if self := p.newRequest(cursor{}, index).GetSelf(); !proto.Equal(self, said) {
			t.Errorf("poll %d states %v, want %v", index, self, said)
		}
	}
}
