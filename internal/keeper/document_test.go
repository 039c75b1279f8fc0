package keeper

import (
	"crypto/sha256"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// documentOf returns a document whose content is the name of its only route.
func documentOf(version uint64, route string, keys ...string) *state.Document {
	d := &state.Document{
		Version: version, Content: []byte(route),
		Configuration: &state.Configuration{
			Classes: []*state.Class{{Name: "c", Tier: 1}},
			Routes: []*state.Route{{
				Name: route, Host: "h", PathPrefix: "/" + route + "/", Kind: "service", Service: "s", Classes: []string{"c"},
			}},
			Organisations: []*state.Organisation{{Id: "o"}},
		},
	}
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		d.Keys = append(d.Keys, &state.Key{Id: key, Organisation: "o", Hash: sum[:]})
	}
	return d
}

func applyDocumentCommand(t *testing.T, m *StateMachine, d *state.Document) *wire.ProposeReply {
	t.Helper()
	data, err := proto.Marshal(&state.Command{Kind: &state.Command_Document{Document: d}, Limits: &state.Limits{AuditRecords: 100}})
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, data)
}

func TestApplyDocument(t *testing.T) {
	invalid := documentOf(9, "x")
	invalid.Configuration.Routes = append(invalid.Configuration.Routes, invalid.GetConfiguration().GetRoutes()[0])
	tests := map[string]struct {
		documents []*state.Document
		accepted  bool
		version   uint64
		route     string
		revision  uint64
	}{
		"first document":                         {documents: []*state.Document{documentOf(3, "a")}, accepted: true, version: 3, route: "a", revision: 1},
		"higher version replaces it":             {documents: []*state.Document{documentOf(3, "a"), documentOf(8, "b")}, accepted: true, version: 8, route: "b", revision: 2},
		"lower version is ignored":               {documents: []*state.Document{documentOf(8, "b"), documentOf(3, "a")}, accepted: true, version: 8, route: "b", revision: 1},
		"same version is ignored":                {documents: []*state.Document{documentOf(8, "b"), documentOf(8, "b")}, accepted: true, version: 8, route: "b", revision: 1},
		"same version, other content is ignored": {documents: []*state.Document{documentOf(8, "b"), documentOf(8, "c")}, accepted: true, version: 8, route: "b", revision: 1},
		"invalid configuration":                  {documents: []*state.Document{documentOf(8, "b"), invalid}, version: 8, route: "b", revision: 1},
		"duplicate key":                          {documents: []*state.Document{documentOf(8, "b"), documentOf(9, "c", "k", "k")}, version: 8, route: "b", revision: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New()
			var last *wire.ProposeReply
			for _, d := range test.documents {
				last = applyDocumentCommand(t, m, d)
			}
			if last.GetOutcome().GetAccepted() != test.accepted {
				t.Errorf("last outcome %v, want accepted %t", last.GetOutcome(), test.accepted)
			}
			if m.Document().GetVersion() != test.version || string(m.Document().GetContent()) != test.route {
				t.Errorf("document of version %d with content %q, want version %d with %q",
					m.Document().GetVersion(), m.Document().GetContent(), test.version, test.route)
			}
			if uint64(m.Revision()) != test.revision || m.Catalog().Route("h", "/"+test.route+"/x") == nil {
				t.Errorf("catalog of revision %d with %v, want revision %d with route %q",
					m.Revision(), m.Catalog().Configuration(), test.revision, test.route)
			}
		})
	}
}

// TestSnapshotRestoresDocument checks that the document is restored as it was
// sent, and that entry processes get the whole configuration with the hashes
// of the keys instead of changes, and no content of the document.
func TestSnapshotRestoresDocument(t *testing.T) {
	m := New()
	applyDocumentCommand(t, m, documentOf(5, "a", "secret"))
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err = restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if restored.Document().GetVersion() != 5 || string(restored.Document().GetContent()) != "a" {
		t.Errorf("restored document %v, want version 5 with content %q", restored.Document(), "a")
	}
	reply := changesBetween(t, restored, 0, 0, false)
	if !reply.GetWhole() || len(reply.GetKeys()) != 1 || len(reply.GetChanges()) != 0 {
		t.Errorf("without patches: %v, want the whole configuration and one key", reply)
	}
	applyDocumentCommand(t, restored, documentOf(6, "b", "secret"))
	if reply = changesBetween(t, restored, 1, 0, false); !reply.GetWhole() || reply.GetRevision() != 2 {
		t.Errorf("after another document, without patches: revision %d, whole %t; want revision 2, whole true", reply.GetRevision(), reply.GetWhole())
	}
	reply = changesBetween(t, restored, 0, 0, true)
	if reply.GetWhole() || len(reply.GetChanges()) != 2 || strings.Contains(reply.String(), "content") {
		t.Errorf("with patches: %v, want two changes without the content of the documents", reply)
	}
}

// TestFreezeAlignedWindow checks that the first report of a window is final and
// that a lower window number is refused.
func TestFreezeAlignedWindow(t *testing.T) {
	m := New()
	freeze := func(number uint64, report string) bool {
		data, err := proto.Marshal(&state.Command{Kind: &state.Command_FreezeWindow{
			FreezeWindow: &state.FreezeWindow{Number: number, Report: []byte(report), EntryHosts: int32(number)},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return m.Apply(1, data).GetOutcome().GetAccepted()
	}
	for _, step := range []struct {
		number   uint64
		report   string
		accepted bool
	}{{7, "first", true}, {7, "second", false}, {6, "late", false}, {9, "next", true}} {
		if freeze(step.number, step.report) != step.accepted {
			t.Errorf("window %d with %q: accepted %t, want %t", step.number, step.report, !step.accepted, step.accepted)
		}
	}
	windows := m.UnsentWindows()
	highest, hosts := m.AlignedWindow()
	if len(windows) != 2 || string(windows[0].GetReport()) != "first" || highest != 9 || hosts != 9 {
		t.Errorf("windows %v, highest %d, expected hosts %d; want two windows, highest 9, expected hosts 9", windows, highest, hosts)
	}
}
