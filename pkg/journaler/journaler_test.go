package journaler

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func entry(index, term uint64) *replication.Entry {
	return &replication.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", index, term))}
}

// appendEntries opens the journal in folder and appends one record for each entry.
func appendEntries(t *testing.T, folder string, entries ...*replication.Entry) {
	t.Helper()
	j, _, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		record := &replication.Record{
			HardState: &replication.HardState{Term: e.GetTerm(), Vote: 7, Commit: e.GetIndex()},
			Entries:   []*replication.Entry{e},
		}
		if err = j.Append(record); err != nil {
			t.Fatal(err)
		}
	}
	if err = j.Close(); err != nil {
		t.Fatal(err)
	}
}

// segmentFile returns the path of the only segment.
func segmentFile(t *testing.T, folder string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, journalPrefix+"*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("segments are %v (error %v), want one", names, err)
	}
	return names[0]
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	appendEntries(t, folder, entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2))
	j, r, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = j.Close() }()
	if len(r.Entries) != 2 || !proto.Equal(r.Entries[1], entry(2, 2)) {
		t.Errorf("entries are %v, want entry 1 of term 1 and entry 2 of term 2", r.Entries)
	}
	if r.HardState.GetTerm() != 2 || r.HardState.GetVote() != 7 {
		t.Errorf("hard state is %v, want term 2 and vote 7", r.HardState)
	}
	if _, _, err = Open(folder, "another", OSDisk()); err == nil {
		t.Error("a data folder of another host was opened")
	}
}

// TestTornTail truncates the file at every byte of the last record, as a crash
// during a write may do, with and without zeros in place of the lost bytes. The
// record before must be recovered, and the journal must accept new records.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	appendEntries(t, folder, entry(1, 1))
	first, err := os.ReadFile(segmentFile(t, folder))
	if err != nil {
		t.Fatal(err)
	}
	// The crash happens before the last record is synced.
	mark := readTestFile(t, filepath.Join(folder, markName))
	appendEntries(t, folder, entry(2, 1))
	both, err := os.ReadFile(segmentFile(t, folder))
	if err != nil {
		t.Fatal(err)
	}
	for size := len(first); size < len(both); size++ {
		for name, tail := range map[string][]byte{"short": {}, "zeros": make([]byte, len(both)-size)} {
			torn := append(append([]byte(nil), both[:size]...), tail...)
			writeTestFile(t, segmentFile(t, folder), torn)
			writeTestFile(t, filepath.Join(folder, markName), mark)
			j, r, openErr := Open(folder, "host", OSDisk())
			if openErr != nil {
				t.Fatalf("truncated at byte %d, tail %s: %v", size, name, openErr)
			}
			if len(r.Entries) != 1 || r.TruncatedBytes != int64(len(torn)-len(first)) {
				t.Fatalf("truncated at byte %d, tail %s: %d entries and %d bytes removed, want 1 and %d",
					size, name, len(r.Entries), r.TruncatedBytes, len(torn)-len(first))
			}
			_ = j.Close()
			appendEntries(t, folder, entry(2, 3))
		}
	}
}

// TestCorruption changes each byte of a record that synced records follow. Open
// must report corruption and not take the change for a torn tail.
func TestCorruption(t *testing.T) {
	folder := t.TempDir()
	appendEntries(t, folder, entry(1, 1))
	first, err := os.ReadFile(segmentFile(t, folder))
	if err != nil {
		t.Fatal(err)
	}
	appendEntries(t, folder, entry(2, 1), entry(3, 1))
	intact, err := os.ReadFile(segmentFile(t, folder))
	if err != nil {
		t.Fatal(err)
	}
	for offset := range first {
		corrupted := append([]byte(nil), intact...)
		corrupted[offset] ^= 0x40
		if err = os.WriteFile(segmentFile(t, folder), corrupted, fileMode); err != nil {
			t.Fatal(err)
		}
		_, _, err = Open(folder, "host", OSDisk())
		var corruption *CorruptionError
		if !errors.As(err, &corruption) {
			t.Fatalf("byte %d changed: error is %v, want a *CorruptionError", offset, err)
		}
	}
}

func TestSnapshotReplacesRecords(t *testing.T) {
	folder := t.TempDir()
	j, _, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	snapshot := func(index uint64) *replication.Snapshot {
		return &replication.Snapshot{Header: &replication.SnapshotHeader{Index: index, Term: 1}, Data: []byte("state")}
	}
	for i := range uint64(10) {
		if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(i+1, 1)}}); err != nil {
			t.Fatal(err)
		}
		if err = j.SaveSnapshot(snapshot(i+1), &replication.HardState{Term: 1, Commit: i + 1}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(11, 1)}}); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	_, r, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	if r.Snapshot.GetHeader().GetIndex() != 10 || len(r.Entries) != 1 || r.HardState.GetCommit() != 10 {
		t.Errorf("snapshot %v, entries %v, hard state %v; want a snapshot at index 10, entry 11 and commit index 10", r.Snapshot.GetHeader(), r.Entries, r.HardState)
	}
	names, _ := os.ReadDir(folder)
	if len(names) != 4 {
		t.Errorf("files are %v, want the identity, one snapshot, one journal segment and the synced length", names)
	}
}

// TestCrashDuringSnapshot opens a journal and stores a snapshot on a disk that fails from
// the n-th write or sync on, for increasing n until none fails. Either the state before or
// the one after must be recovered; entry 3 is the last in both.
func TestCrashDuringSnapshot(t *testing.T) {
	for firstFailure := 1; ; firstFailure++ {
		folder := t.TempDir()
		appendEntries(t, folder, entry(1, 1), entry(2, 1), entry(3, 1))
		calls := 0
		crash := func() error {
			calls++
			if calls >= firstFailure {
				return errors.New("crashed")
			}
			return nil
		}
		disk := Disk{
			Write: func(f *os.File, data []byte) (int, error) {
				if err := crash(); err != nil {
					_, _ = f.Write(data[:len(data)/2])
					return 0, err
				}
				return f.Write(data)
			},
			Sync: func(*os.File) error { return crash() },
		}
		j, _, err := Open(folder, "host", disk)
		if err == nil {
			header := &replication.SnapshotHeader{Index: 2, Term: 1}
			err = j.SaveSnapshot(&replication.Snapshot{Header: header}, &replication.HardState{Term: 1}, []*replication.Entry{entry(3, 1)})
		}
		_, r, openErr := Open(folder, "host", OSDisk())
		if openErr != nil {
			t.Fatalf("crash at call %d: %v", firstFailure, openErr)
		}
		last := r.Entries[len(r.Entries)-1]
		if !proto.Equal(last, entry(3, 1)) {
			t.Fatalf("crash at call %d: last entry is %v, want entry 3 of term 1", firstFailure, last)
		}
		if err == nil {
			return
		}
	}
}

// TestSyncFailure lets one sync fail. Nothing may be acknowledged afterwards, since
// the content of the disk is unknown.
func TestSyncFailure(t *testing.T) {
	failing := false
	disk := OSDisk()
	disk.Sync = func(f *os.File) error {
		if failing {
			failing = false
			return errors.New("input/output error")
		}
		return f.Sync()
	}
	j, _, err := Open(t.TempDir(), "host", disk)
	if err != nil {
		t.Fatal(err)
	}
	failing = true
	var failure *WriteError
	if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(1, 1)}}); !errors.As(err, &failure) {
		t.Fatalf("append with a failing sync returned %v, want a *WriteError", err)
	}
	if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(2, 1)}}); !errors.As(err, &failure) {
		t.Errorf("append after a failed sync returned %v, want a *WriteError", err)
	}
	if err = j.SaveSnapshot(&replication.Snapshot{}, &replication.HardState{}, nil); !errors.As(err, &failure) {
		t.Errorf("snapshot after a failed sync returned %v, want a *WriteError", err)
	}
}

// TestFullDisk lets the disk run full in the middle of a frame. Nothing may be
// acknowledged or lost, and the journal must accept records again once there is
// space.
func TestFullDisk(t *testing.T) {
	full := false
	disk := OSDisk()
	disk.Write = func(f *os.File, data []byte) (int, error) {
		if !full {
			return f.Write(data)
		}
		n, err := f.Write(data[:len(data)/2])
		if err != nil {
			return n, err
		}
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	folder := t.TempDir()
	j, _, err := Open(folder, "host", disk)
	if err != nil {
		t.Fatal(err)
	}
	record := func(index uint64) *replication.Record {
		return &replication.Record{Entries: []*replication.Entry{entry(index, 1)}}
	}
	if err = j.Append(record(1)); err != nil {
		t.Fatal(err)
	}
	full = true
	for range 3 {
		var noSpace *NoSpaceError
		if err = j.Append(record(2)); !errors.As(err, &noSpace) {
			t.Fatalf("append on a full disk returned %v, want a *NoSpaceError", err)
		}
		err = j.SaveSnapshot(&replication.Snapshot{Header: &replication.SnapshotHeader{Index: 1}}, &replication.HardState{}, nil)
		if !errors.As(err, &noSpace) {
			t.Fatalf("snapshot on a full disk returned %v, want a *NoSpaceError", err)
		}
	}
	full = false
	if err = j.Append(record(2)); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	_, recovered, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	if len(recovered.Entries) != 2 || recovered.TruncatedBytes != 0 {
		t.Errorf("%d entries and %d bytes removed, want 2 and 0", len(recovered.Entries), recovered.TruncatedBytes)
	}
}

func TestMissingIdentity(t *testing.T) {
	folder := t.TempDir()
	appendEntries(t, folder, entry(1, 1))
	if err := os.Remove(filepath.Join(folder, identityName)); err != nil {
		t.Fatal(err)
	}
	var corruption *CorruptionError
	if _, _, err := Open(folder, "host", OSDisk()); !errors.As(err, &corruption) {
		t.Errorf("opening a journal without its identity file returned %v, want a *CorruptionError", err)
	}
}

// FuzzDecodeFrame decodes arbitrary bytes, and frames with one changed bit.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte{}, uint16(0))
	f.Add(EncodeFrame([]byte("payload")), uint16(3))
	f.Add(append(EncodeFrame([]byte("a")), EncodeFrame([]byte("b"))...), uint16(13))
	f.Fuzz(func(t *testing.T, data []byte, position uint16) {
		if payload, state := decodeFrame(data); state == frameValid && !bytes.Equal(EncodeFrame(payload), data[:headerBytes+len(payload)]) {
			t.Fatal("encoding the decoded payload again does not give the original frame")
		}
		frame := EncodeFrame(data)
		payload, state := decodeFrame(frame)
		if state != frameValid || !bytes.Equal(payload, data) {
			t.Fatalf("a valid frame decodes as state %v", state)
		}
		frame[int(position)%len(frame)] ^= 1
		if _, state = decodeFrame(frame); state == frameValid {
			t.Fatal("a changed frame decodes as valid")
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	j, _, err := Open(b.TempDir(), "host", OSDisk())
	if err != nil {
		b.Fatal(err)
	}
	record := &replication.Record{HardState: &replication.HardState{Term: 1}, Entries: []*replication.Entry{entry(1, 1)}}
	for b.Loop() {
		if err = j.Append(record); err != nil {
			b.Fatal(err)
		}
	}
}

// TestFile guards against a file that is lost or half written when it is replaced, and against
// changed content that is read as if it were sound.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	file := NewFile(path, OSDisk())
	if found, err := file.Read(&replication.Entry{}); found || err != nil {
		t.Fatalf("found %v, error %v before the first write, want neither", found, err)
	}
	for index := range uint64(3) {
		if err := file.Replace(entry(index, 1)); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		disk Disk
		want any
	}{
		"no space": {
			disk: Disk{Write: func(*os.File, []byte) (int, error) { return 0, syscall.ENOSPC }, Sync: (*os.File).Sync}, want: new(*NoSpaceError),
		},
		"torn write": {
			disk: Disk{Write: func(f *os.File, data []byte) (int, error) {
				_, _ = f.Write(data[:len(data)/2])
				return len(data) / 2, syscall.EIO
			}, Sync: (*os.File).Sync}, want: new(*WriteError),
		},
		"failed sync": {disk: Disk{Write: (*os.File).Write, Sync: func(*os.File) error { return syscall.EIO }}, want: new(*WriteError)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := NewFile(path, test.disk).Replace(entry(9, 1)); !errors.As(err, test.want) {
				t.Errorf("error %v, want a %T", err, test.want)
			}
			got := &replication.Entry{}
			if found, err := file.Read(got); !found || err != nil || !proto.Equal(got, entry(2, 1)) {
				t.Errorf("found %v, error %v, content %v; want the former one", found, err, got)
			}
		})
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content[len(content)-1] ^= 1
	if err = os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err = file.Read(&replication.Entry{}); !errors.As(err, new(*CorruptionError)) {
		t.Errorf("error %v for changed content, want a *CorruptionError", err)
	}
}

// FuzzOpen checks that a segment with any bytes after its valid frames yields these frames or an
// error, and that a journal which opened opens again with the same entries.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 40))
	f.Add(EncodeFrame([]byte{0x12, 0x02, 0x08, 0x03}))
	f.Add(EncodeFrame([]byte{0x12, 0x04, 0x08, 0xff, 0xff, 0x7f}))
	f.Fuzz(func(t *testing.T, tail []byte) {
		folder := t.TempDir()
		appendEntries(t, folder, entry(1, 1), entry(2, 1))
		path := segmentFile(t, folder)
		writeTestFile(t, path, append(readTestFile(t, path), tail...))
		j, r, err := Open(folder, "host", OSDisk())
		if err != nil {
			if !errors.As(err, new(*CorruptionError)) {
				t.Fatal(err)
			}
			return
		}
		_ = j.Close()
		for i, e := range r.Entries {
			if e.GetIndex() != uint64(i+1) {
				t.Fatalf("entry %d has the index %d", i+1, e.GetIndex())
			}
		}
		j, again, err := Open(folder, "host", OSDisk())
		if err != nil || len(again.Entries) != len(r.Entries) || again.TruncatedBytes != 0 {
			t.Fatalf("%d entries when opened again, %d before; error %v", len(again.Entries), len(r.Entries), err)
		}
		_ = j.Close()
	})
}
