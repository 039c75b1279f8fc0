package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func readTestFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeTestFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// folderContent returns the content of the files in a folder by name.
func folderContent(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	items, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	content := map[string][]byte{}
	for _, item := range items {
		content[item.Name()] = readTestFile(t, filepath.Join(folder, item.Name()))
	}
	return content
}

// syncedFolder returns the content of a data folder with a snapshot and synced records after it.
func syncedFolder(t *testing.T) map[string][]byte {
	t.Helper()
	folder := t.TempDir()
	j, _, err := Open(folder, "host", OSDisk())
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &replication.Snapshot{Header: &replication.SnapshotHeader{Index: 1, Term: 1}, Data: []byte("state")}
	if err = j.SaveSnapshot(snapshot, &replication.HardState{Term: 1, Commit: 1}, []*replication.Entry{entry(2, 1)}); err != nil {
		t.Fatal(err)
	}
	if err = j.Close(); err != nil {
		t.Fatal(err)
	}
	appendEntries(t, folder, entry(3, 1), entry(4, 1))
	return folderContent(t, folder)
}

// TestSyncedRecordsAreNotLost guards against acknowledged records that are lost in silence: each
// byte of the data folder is changed, each file shortened to each length, and each removed.
func TestSyncedRecordsAreNotLost(t *testing.T) {
	intact := syncedFolder(t)
	check := func(name string, content []byte, what string, at int) {
		folder := t.TempDir()
		for other, bytes := range intact {
			if other == name {
				bytes = content
			}
			if bytes != nil {
				writeTestFile(t, filepath.Join(folder, other), bytes)
			}
		}
		j, r, err := Open(folder, "host", OSDisk())
		if err == nil {
			defer func() { _ = j.Close() }()
		}
		if name == markName {
			// The mark alone is of no use.
			if err != nil || len(r.Entries) != 3 {
				t.Fatalf("%s %s at %d: %d entries, error %v; want all", name, what, at, len(r.Entries), err)
			}
			return
		}
		if !errors.As(err, new(*CorruptionError)) {
			t.Fatalf("%s %s at %d: error %v, want a *CorruptionError", name, what, at, err)
		}
	}
	for name, content := range intact {
		for i := range content {
			changed := append([]byte(nil), content...)
			changed[i] ^= 0x40
			check(name, changed, "changed", i)
			check(name, content[:i:i], "shortened", i)
		}
		check(name, nil, "removed", 0)
	}
}

// TestMarkLagsBehind guards against a member that does not start after a loss of power, which may
// leave each earlier content of the mark, or a part of it.
func TestMarkLagsBehind(t *testing.T) {
	folder := t.TempDir()
	var marks [][]byte
	appendEntries(t, folder, entry(1, 1))
	marks = append(marks, nil, readTestFile(t, filepath.Join(folder, markName)))
	appendEntries(t, folder, entry(2, 1))
	marks = append(marks, readTestFile(t, filepath.Join(folder, markName)))
	appendEntries(t, folder, entry(3, 1))
	intact := folderContent(t, folder)
	for i, mark := range append(marks, append(marks[1][:len(marks[1])/2:len(marks[1])/2], marks[2][len(marks[1])/2:]...)) {
		for name, content := range intact {
			writeTestFile(t, filepath.Join(folder, name), content)
		}
		writeTestFile(t, filepath.Join(folder, markName), mark)
		j, r, err := Open(folder, "host", OSDisk())
		if err != nil || len(r.Entries) != 3 {
			t.Fatalf("mark %d: error %v, want all entries", i, err)
		}
		_ = j.Close()
		if got := readTestFile(t, filepath.Join(folder, markName)); string(got) != string(intact[markName]) {
			t.Errorf("mark %d: it is %x after the start, want %x", i, got, intact[markName])
		}
	}
}

// TestFullDiskKeepsMark guards against a record that is refused although it is durable, since the
// mark after it cannot be written, and against a mark that is not written again.
func TestFullDiskKeepsMark(t *testing.T) {
	folder, full := t.TempDir(), false
	disk := OSDisk()
	write := disk.Write
	disk.Write = func(f *os.File, data []byte) (int, error) {
		if full && strings.HasPrefix(filepath.Base(f.Name()), markName) {
			return 0, os.NewSyscallError("write", syscall.ENOSPC)
		}
		return write(f, data)
	}
	j, _, err := Open(folder, "host", disk)
	if err != nil {
		t.Fatal(err)
	}
	full = true
	if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(1, 1)}}); err != nil {
		t.Fatal(err)
	}
	full = false
	if err = j.Append(&replication.Record{Entries: []*replication.Entry{entry(2, 1)}}); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	content := readTestFile(t, segmentFile(t, folder))
	writeTestFile(t, segmentFile(t, folder), content[:len(content)-1])
	if _, _, err = Open(folder, "host", OSDisk()); !errors.As(err, new(*CorruptionError)) {
		t.Errorf("error %v after the last record was shortened, want a *CorruptionError", err)
	}
}
