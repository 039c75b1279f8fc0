package keeper

import (
	"crypto/sha256"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

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

func put(t *testing.T, k *StateMachine, d *state.Document) *wire.ProposeReply {
	t.Helper()
	data, err := proto.Marshal(&state.Command{Kind: &state.Command_Document{Document: d}, Limits: &state.Limits{AuditRecords: 100}})
	if err != nil {
		t.Fatal(err)
	}
	return k.Apply(data)
}

func TestDocuments(t *testing.T) {
	invalid := documentOf(9, "x")
	invalid.Configuration.Routes = append(invalid.Configuration.Routes, invalid.GetConfiguration().GetRoutes()[0])
	tests := map[string]struct {
		documents []*state.Document
		accepted  bool
		version   uint64
		route     string
		revision  uint64
	}{
		"the first":                       {documents: []*state.Document{documentOf(3, "a")}, accepted: true, version: 3, route: "a", revision: 1},
		"a higher version replaces":       {documents: []*state.Document{documentOf(3, "a"), documentOf(8, "b")}, accepted: true, version: 8, route: "b", revision: 2},
		"a lower one changes nothing":     {documents: []*state.Document{documentOf(8, "b"), documentOf(3, "a")}, accepted: true, version: 8, route: "b", revision: 1},
		"the same again changes nothing":  {documents: []*state.Document{documentOf(8, "b"), documentOf(8, "b")}, accepted: true, version: 8, route: "b", revision: 1},
		"other content, the same version": {documents: []*state.Document{documentOf(8, "b"), documentOf(8, "c")}, accepted: true, version: 8, route: "b", revision: 1},
		"an invalid one":                  {documents: []*state.Document{documentOf(8, "b"), invalid}, version: 8, route: "b", revision: 1},
		"two keys that are the same":      {documents: []*state.Document{documentOf(8, "b"), documentOf(9, "c", "k", "k")}, version: 8, route: "b", revision: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := New()
			var last *wire.ProposeReply
			for _, d := range test.documents {
				last = put(t, k, d)
			}
			if last.GetOutcome().GetAccepted() != test.accepted {
				t.Errorf("outcome %v", last.GetOutcome())
			}
			if k.Document().GetVersion() != test.version || string(k.Document().GetContent()) != test.route {
				t.Errorf("held: version %d, content %s", k.Document().GetVersion(), k.Document().GetContent())
			}
			if uint64(k.Revision()) != test.revision || k.Catalog().Route("h", "/"+test.route+"/x") == nil {
				t.Errorf("in force: revision %d, %v", k.Revision(), k.Catalog().Configuration())
			}
		})
	}
}

// TestDocumentSurvivesSnapshots restores a snapshot: the document is read back
// as it was sent, and entry processes get hashes and no content.
func TestDocumentSurvivesSnapshots(t *testing.T) {
	k := New()
	put(t, k, documentOf(5, "a", "secret"))
	snapshot, err := k.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err = restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if restored.Document().GetVersion() != 5 || string(restored.Document().GetContent()) != "a" {
		t.Errorf("document %v", restored.Document())
	}
	reply := restored.SyncSince(0)
	if !reply.GetWhole() || len(reply.GetKeys()) != 1 || len(reply.GetChanges()) != 0 {
		t.Errorf("an entry process gets %v", reply)
	}
	put(t, restored, documentOf(6, "b", "secret"))
	if reply = restored.SyncSince(1); !reply.GetWhole() || reply.GetRevision() != 2 {
		t.Errorf("after a change an entry process gets revision %d, whole %t", reply.GetRevision(), reply.GetWhole())
	}
}

// TestAlignedWindows freezes windows by number: the first bytes of a number stand.
func TestAlignedWindows(t *testing.T) {
	k := New()
	freeze := func(number uint64, report string) bool {
		data, err := proto.Marshal(&state.Command{Kind: &state.Command_FreezeWindow{
			FreezeWindow: &state.FreezeWindow{Number: number, Report: []byte(report), EntryHosts: int32(number)},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return k.Apply(data).GetOutcome().GetAccepted()
	}
	for _, step := range []struct {
		number   uint64
		report   string
		accepted bool
	}{{7, "first", true}, {7, "second", false}, {6, "late", false}, {9, "next", true}} {
		if freeze(step.number, step.report) != step.accepted {
			t.Errorf("window %d with %q: accepted %t", step.number, step.report, !step.accepted)
		}
	}
	windows := k.UnsentWindows()
	highest, hosts := k.AlignedWindow()
	if len(windows) != 2 || string(windows[0].GetReport()) != "first" || highest != 9 || hosts != 9 {
		t.Errorf("windows %v, highest %d, told by %d", windows, highest, hosts)
	}
}
