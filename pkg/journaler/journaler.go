// Package journaler keeps the log of one voter on disk: checksummed frames
// that are synced before they are acknowledged, and snapshots that replace the
// frames before them.
//
// The folder holds three kinds of files: "identity", written once;
// "snapshot-N", the state machine at index N; and "journal-N", the frames
// since the N-th compaction. A file gets its final name only after it was
// synced under a temporary one.
package journaler

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	identityName   = "identity"
	snapshotPrefix = "snapshot-"
	journalPrefix  = "journal-"
	temporary      = ".temporary"

	folderMode = 0o700
	fileMode   = 0o600
)

type (
	// Disk holds the seams to the file system.
	Disk struct {
		// Write appends to a file.
		Write func(*os.File, []byte) (int, error)
		// Sync makes what was written last.
		Sync func(*os.File) error
	}

	// Journal is the open journal of one voter. It is not safe for concurrent use.
	Journal struct {
		folder   string
		disk     Disk
		segment  *os.File
		sequence uint64
		// size is the length of the whole frames in the segment.
		size   int64
		failed error
	}

	// Recovered is what a voter finds on its disk.
	Recovered struct {
		Identity  *replication.Identity
		HardState *replication.HardState
		// Snapshot is nil if none was taken.
		Snapshot *replication.Snapshot
		// Entries follow the snapshot without a gap.
		Entries []*replication.Entry
		// TruncatedBytes is the size of the torn tail that was removed.
		TruncatedBytes int64
	}
)

// OSDisk returns the seams of the operating system's file system.
func OSDisk() Disk {
	return Disk{Write: (*os.File).Write, Sync: (*os.File).Sync}
}

// Open recovers the journal in folder, or starts one for host if the folder is
// empty. The error is a *DamageError when synced content has changed.
func Open(folder, host string, disk Disk) (*Journal, *Recovered, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, errors.Wrap(err, "making the data folder")
	}
	j := &Journal{folder: folder, disk: disk}
	if err := j.removeTemporaryFiles(); err != nil {
		return nil, nil, err
	}
	r := &Recovered{HardState: &replication.HardState{}}
	steps := []func(*Recovered) error{
		func(r *Recovered) error { return j.recoverIdentity(r, host) },
		j.recoverSnapshot,
		j.recoverSegment,
	}
	for _, step := range steps {
		if err := step(r); err != nil {
			return nil, nil, err
		}
	}
	return j, r, nil
}

// Append writes and syncs one record. The error is a *RefusedError if the disk
// took nothing; the same call may be made again then. After any other error every
// later call fails.
func (j *Journal) Append(record *replication.Record) error {
	if j.failed != nil {
		return j.failed
	}
	payload, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encoding a record")
	}
	if err = j.writeFrame(j.segment, payload); err != nil {
		return j.cutBack(err)
	}
	j.size += int64(headerBytes + len(payload))
	return nil
}

// SaveSnapshot makes the snapshot last and replaces the journal by the hard
// state and the entries after the snapshot. The error is a *RefusedError if the
// disk took nothing; the journal stays as it was then.
func (j *Journal) SaveSnapshot(
	snapshot *replication.Snapshot,
	hard *replication.HardState,
	entries []*replication.Entry,
) error {
	if j.failed != nil {
		return j.failed
	}
	name := fmt.Sprintf("%s%020d", snapshotPrefix, snapshot.GetHeader().GetIndex())
	file, err := j.writeFile(name, snapshot)
	if err != nil {
		return err
	}
	_ = file.Close()
	if err = j.startSegment(&replication.Record{HardState: hard, Entries: entries}); err != nil {
		return err
	}
	return j.removeOlder(name)
}

// Close closes the open file.
func (j *Journal) Close() error {
	return errors.Wrap(j.segment.Close(), "closing the journal")
}

func (j *Journal) recoverIdentity(r *Recovered, host string) error {
	identity := &replication.Identity{}
	found, err := j.readFile(identityName, identity)
	if err != nil {
		return err
	}
	if !found {
		others, listErr := j.list("")
		if listErr != nil {
			return listErr
		}
		if len(others) > 0 {
			return &DamageError{File: filepath.Join(j.folder, identityName), Detail: "missing beside " + others[0]}
		}
		identity = &replication.Identity{Incarnation: rand.Uint64() | 1, Host: host}
		file, writeErr := j.writeFile(identityName, identity)
		if writeErr != nil {
			return writeErr
		}
		_ = file.Close()
	}
	if identity.GetHost() != host {
		return errors.Errorf("data folder belongs to host %q, not %q", identity.GetHost(), host)
	}
	r.Identity = identity
	return nil
}

func (j *Journal) recoverSnapshot(r *Recovered) error {
	names, err := j.list(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return err
	}
	snapshot := &replication.Snapshot{}
	if _, err = j.readFile(names[len(names)-1], snapshot); err != nil {
		return err
	}
	r.Snapshot = snapshot
	return nil
}

func (j *Journal) recoverSegment(r *Recovered) error {
	names, err := j.list(journalPrefix)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		if r.Snapshot != nil && r.Snapshot.GetHeader().GetIndex() > 0 {
			return &DamageError{File: j.folder, Detail: "snapshot without a journal"}
		}
		return j.startSegment(&replication.Record{HardState: r.HardState})
	}
	name := names[len(names)-1]
	if _, err = fmt.Sscanf(strings.TrimPrefix(name, journalPrefix), "%d", &j.sequence); err != nil {
		return &DamageError{File: name, Detail: "name is not a journal's"}
	}
	path := filepath.Join(j.folder, name)
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the journal")
	}
	whole, err := replay(path, content, r)
	if err != nil {
		return err
	}
	return j.reopen(path, whole, r)
}

// replay applies every whole frame to r and returns the bytes they take.
func replay(path string, content []byte, r *Recovered) (int64, error) {
	offset := 0
	for offset < len(content) {
		payload, state := decodeFrame(content[offset:])
		if state == frameTorn {
			break
		}
		if state == frameDamaged {
			return 0, &DamageError{File: path, Offset: int64(offset), Detail: "checksum mismatch before whole records"}
		}
		record := &replication.Record{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, &DamageError{File: path, Offset: int64(offset), Detail: err.Error()}
		}
		if err := applyRecord(r, record); err != nil {
			return 0, &DamageError{File: path, Offset: int64(offset), Detail: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	r.TruncatedBytes = int64(len(content) - offset)
	return int64(offset), nil
}

func applyRecord(r *Recovered, record *replication.Record) error {
	if record.GetHardState() != nil {
		r.HardState = record.GetHardState()
	}
	first := r.Snapshot.GetHeader().GetIndex() + 1
	for _, e := range record.GetEntries() {
		if e.GetIndex() < first {
			continue
		}
		position := e.GetIndex() - first
		if position > uint64(len(r.Entries)) {
			return errors.Errorf("entry %d leaves a gap", e.GetIndex())
		}
		r.Entries = append(r.Entries[:position], e)
	}
	return nil
}

func (j *Journal) reopen(path string, whole int64, r *Recovered) error {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the journal")
	}
	j.segment = file
	j.size = whole
	if r.TruncatedBytes == 0 {
		return nil
	}
	if err = file.Truncate(whole); err != nil {
		return errors.Wrap(err, "cutting the torn tail")
	}
	if err = j.disk.Sync(file); err != nil {
		return j.fail(path, err)
	}
	return nil
}

func (j *Journal) startSegment(record *replication.Record) error {
	j.sequence++
	file, err := j.writeFile(fmt.Sprintf("%s%020d", journalPrefix, j.sequence), record)
	if err != nil {
		return err
	}
	if j.segment != nil {
		_ = j.segment.Close()
	}
	j.segment = file
	j.size, err = file.Seek(0, io.SeekEnd)
	if err != nil {
		return j.fail(file.Name(), err)
	}
	return nil
}

// writeFile makes a file of one frame and returns it open for appending.
func (j *Journal) writeFile(name string, m proto.Message) (*os.File, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encoding "+name)
	}
	path := filepath.Join(j.folder, name)
	file, err := os.OpenFile(path+temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if refusedByDisk(err) {
		return nil, &NoSpaceError{File: path, Cause: err}
	}
	if err != nil {
		return nil, j.fail(path, err)
	}
	if err = j.writeFrame(file, payload); err != nil {
		_ = file.Close()
		// What is left of it is removed at the next start at the latest.
		_ = os.Remove(path + temporary)
		return nil, err
	}
	if err = os.Rename(path+temporary, path); err != nil {
		_ = file.Close()
		return nil, j.fail(path, err)
	}
	if err = j.syncFolder(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func (j *Journal) writeFrame(file *os.File, payload []byte) error {
	if _, err := j.disk.Write(file, EncodeFrame(payload)); err != nil {
		if refusedByDisk(err) {
			return &NoSpaceError{File: file.Name(), Cause: err}
		}
		return j.fail(file.Name(), err)
	}
	if err := j.disk.Sync(file); err != nil {
		return j.fail(file.Name(), err)
	}
	return nil
}

// cutBack removes what a refused write has left of a frame, so that the next
// one follows whole ones.
func (j *Journal) cutBack(cause error) error {
	var refused *NoSpaceError
	if !errors.As(cause, &refused) {
		return cause
	}
	if err := j.segment.Truncate(j.size); err != nil {
		return j.fail(j.segment.Name(), err)
	}
	return cause
}

func (j *Journal) syncFolder() error {
	folder, err := os.Open(j.folder)
	if err != nil {
		return j.fail(j.folder, err)
	}
	defer func() { _ = folder.Close() }()
	if err = j.disk.Sync(folder); err != nil {
		return j.fail(j.folder, err)
	}
	return nil
}

func (j *Journal) fail(path string, cause error) error {
	j.failed = &SyncError{File: path, Cause: cause}
	return j.failed
}

// readFile reads a file of one frame; it reports false if there is none.
func (j *Journal) readFile(name string, m proto.Message) (bool, error) {
	path := filepath.Join(j.folder, name)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "reading "+name)
	}
	payload, state := decodeFrame(content)
	if state != frameWhole || headerBytes+len(payload) != len(content) {
		return false, &DamageError{File: path, Detail: "checksum mismatch"}
	}
	if err = proto.Unmarshal(payload, m); err != nil {
		return false, &DamageError{File: path, Detail: err.Error()}
	}
	return true, nil
}

// list returns the names with a prefix in ascending order.
func (j *Journal) list(prefix string) ([]string, error) {
	items, err := os.ReadDir(j.folder)
	if err != nil {
		return nil, errors.Wrap(err, "listing the data folder")
	}
	var names []string
	for _, item := range items {
		if strings.HasPrefix(item.Name(), prefix) {
			names = append(names, item.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (j *Journal) removeTemporaryFiles() error {
	names, err := j.list("")
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			continue
		}
		if err = os.Remove(filepath.Join(j.folder, name)); err != nil {
			return errors.Wrap(err, "removing a temporary file")
		}
	}
	return nil
}

func (j *Journal) removeOlder(snapshot string) error {
	current := fmt.Sprintf("%s%020d", journalPrefix, j.sequence)
	names, err := j.list("")
	if err != nil {
		return err
	}
	for _, name := range names {
		older := strings.HasPrefix(name, snapshotPrefix) && name < snapshot ||
			strings.HasPrefix(name, journalPrefix) && name < current
		if !older {
			continue
		}
		if err = os.Remove(filepath.Join(j.folder, name)); err != nil {
			return errors.Wrap(err, "removing an older file")
		}
	}
	return nil
}
