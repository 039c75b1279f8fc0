package keeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// changesBetween returns the decoded changes between two revisions.
func changesBetween(t *testing.T, m *StateMachine, from, to configurer.Revision, patches bool) *wire.SyncReply {
	t.Helper()
	content, err := m.ContentBetween(from, to, patches)
	if err != nil {
		t.Fatal(err)
	}
	reply := &wire.SyncReply{}
	if err = proto.Unmarshal(content.Data, reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// applyChanges returns a catalog after a reply, as an entry process computes it.
func applyChanges(t *testing.T, c *configurer.Catalog, reply *wire.SyncReply) *configurer.Catalog {
	t.Helper()
	if reply.GetWhole() {
		return configurer.Restore(configurer.Revision(reply.GetRevision()), reply.GetConfiguration(), reply.GetKeys())
	}
	for _, change := range reply.GetChanges() {
		if change.GetPatch() != nil {
			c = c.ApplyPatch(change.GetPatch())
			continue
		}
		next, err := c.Apply(change.GetOperation())
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	return c
}

// describe returns the content of a catalog as bytes.
func describe(t *testing.T, c *configurer.Catalog) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.SyncReply{
		Revision: uint64(c.Revision()), Configuration: c.Configuration(), Keys: c.Keys(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// randomDocument returns a document with a random part of some routes, classes,
// organisations, pools and keys, of which each has a random property.
func randomDocument(r *rand.Rand, version uint64) *state.Document {
	const most = 12
	d := &state.Document{Version: version, Configuration: &state.Configuration{
		Classes: []*state.Class{{Name: "c", Tier: 1}}, Organisations: []*state.Organisation{{Id: "o"}},
	}}
	c := d.GetConfiguration()
	for i := range most {
		if r.IntN(2) == 0 {
			c.Routes = append(c.Routes, &state.Route{
				Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/%d/", i, r.IntN(2)), Kind: "service",
				Service: "s", Classes: []string{"c"}, Attempts: int32(r.IntN(2)),
			})
		}
		if r.IntN(2) == 0 {
			c.Classes = append(c.Classes, &state.Class{Name: fmt.Sprint("c", i), Tier: int32(1 + r.IntN(2))})
		}
		if r.IntN(2) == 0 {
			c.Organisations = append(c.Organisations, &state.Organisation{Id: fmt.Sprint("o", i), Tier: int32(r.IntN(3))})
		}
		if r.IntN(2) == 0 {
			hash := configurer.HashKey(fmt.Sprint(i))
			d.Keys = append(d.Keys, &state.Key{Id: fmt.Sprint("k", r.IntN(2), i), Organisation: "o", Hash: hash[:]})
		}
	}
	return d
}

// TestPatchesLeadToTheSameCatalog guards against entry processes whose configuration differs
// from that of the control processes because a patch misses a part of a change.
func TestPatchesLeadToTheSameCatalog(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := New()
		catalogs := []*configurer.Catalog{m.Catalog()}
		for version := uint64(1); version <= 8; version++ {
			if r.IntN(3) == 0 && version > 1 {
				op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: randomDocument(r, version).GetConfiguration()}}
				apply(t, m, int64(version), change(fmt.Sprint("c", version), uint64(m.Revision()), op))
			} else {
				applyDocumentCommand(t, m, randomDocument(r, version))
			}
			catalogs = append(catalogs, m.Catalog())
		}
		want := describe(t, m.Catalog())
		for from, held := range catalogs {
			for _, patches := range []bool{true, false} {
				got := describe(t, applyChanges(t, held, changesBetween(t, m, configurer.Revision(from), 0, patches)))
				if !bytes.Equal(got, want) {
					t.Fatalf("seed %d: from revision %d, patches %t: the catalog differs", seed, from, patches)
				}
			}
		}
	}
}

// TestSmallChangeOfLargeDocument guards against changes that cost as much as the whole
// configuration, as each document contains all of it.
func TestSmallChangeOfLargeDocument(t *testing.T) {
	m := New()
	large := func(version uint64, routes int) *state.Document {
		d := documentOf(version, "first")
		for i := range routes {
			d.Configuration.Routes = append(d.Configuration.Routes, &state.Route{
				Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Kind: "service", Service: "s", Classes: []string{"c"},
			})
		}
		return d
	}
	applyDocumentCommand(t, m, large(1, 2000))
	applyDocumentCommand(t, m, large(2, 2001))
	applyDocumentCommand(t, m, large(3, 2001))
	content, err := m.ContentBetween(1, 0, true)
	if err != nil || len(content.Data) > 200 || content.Revision != 3 {
		t.Errorf("%d bytes up to revision %d, error %v; want at most 200 up to revision 3", len(content.Data), content.Revision, err)
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err = restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := restored.ContentBetween(1, 0, true)
	if err != nil || !bytes.Equal(again.Data, content.Data) || again.Digest != content.Digest {
		t.Errorf("after a restart the changes are %d bytes, error %v; want the same %d bytes", len(again.Data), err, len(content.Data))
	}
}

// TestContentBetweenEarlierRevisions guards against a fetch that cannot go on since a later
// change has come: the changes up to the revision that it began with must stay available.
func TestContentBetweenEarlierRevisions(t *testing.T) {
	m, other := New(), New()
	for version := uint64(1); version <= 5; version++ {
		applyDocumentCommand(t, m, documentOf(version, fmt.Sprint("r", version)))
		applyDocumentCommand(t, other, documentOf(version, fmt.Sprint("r", version)))
	}
	begun, err := m.ContentBetween(1, 3, true)
	if err != nil || begun.Revision != 3 {
		t.Fatalf("revision %d, error %v; want revision 3", begun.Revision, err)
	}
	elsewhere, err := other.ContentBetween(1, 3, true)
	if err != nil || elsewhere.Digest != begun.Digest || !bytes.Equal(elsewhere.Data, begun.Data) {
		t.Errorf("another control process has other bytes for the same changes, error %v", err)
	}
	if none, err := m.ContentBetween(5, 0, true); err != nil || len(none.Data) != 0 || none.Revision != 5 {
		t.Errorf("%d bytes after the latest revision, error %v; want none", len(none.Data), err)
	}
	for range 3 * maxCachedContents {
		applyDocumentCommand(t, m, documentOf(uint64(m.Revision())+1, "x"))
		if _, err := m.ContentBetween(1, 0, true); err != nil {
			t.Fatal(err)
		}
	}
	if len(m.contents) > maxCachedContents {
		t.Errorf("%d contents are kept, want at most %d", len(m.contents), maxCachedContents)
	}
}

// TestWholeConfigurationOfEarlierRevision guards against a whole configuration that changes while it is
// fetched: its parts must fit together after later changes, and at every control process.
func TestWholeConfigurationOfEarlierRevision(t *testing.T) {
	m, other := New(), New()
	large := func(version uint64) *state.Document {
		d := documentOf(version, "first")
		for i := range 2000 {
			d.Configuration.Routes = append(d.Configuration.Routes, &state.Route{
				Name: fmt.Sprint("r", version, "-", i), Host: "h", PathPrefix: fmt.Sprintf("/%d-%d/", version, i), Kind: "service", Service: "s", Classes: []string{"c"},
			})
		}
		return d
	}
	for version := uint64(1); version <= 2; version++ {
		applyDocumentCommand(t, m, large(version))
		applyDocumentCommand(t, other, large(version))
	}
	begun, err := m.ContentBetween(0, 2, true)
	if err != nil || begun.Revision != 2 {
		t.Fatalf("revision %d, error %v; want revision 2", begun.Revision, err)
	}
	if !changesBetween(t, m, 0, 2, true).GetWhole() {
		t.Fatal("the changes are not sent as a whole configuration")
	}
	for version := uint64(3); version <= 5; version++ {
		applyDocumentCommand(t, m, large(version))
		applyDocumentCommand(t, other, large(version))
		for from := range configurer.Revision(2 * maxCachedContents) {
			if _, err = m.ContentBetween(from, 0, true); err != nil {
				t.Fatal(err)
			}
			if _, err = m.ContentBetween(from, 0, false); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, machine := range map[string]*StateMachine{"the same": m, "another": other} {
		later, err := machine.ContentBetween(0, 2, true)
		if err != nil || later.Revision != 2 || later.Digest != begun.Digest {
			t.Errorf("%s control process has revision %d and other bytes (%t) after later changes, error %v; want revision 2 and the same bytes",
				name, later.Revision, later.Digest != begun.Digest, err)
		}
	}
}
