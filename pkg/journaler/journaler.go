// Package journaler stores the replicated log of one member on disk. A record is
// written as a checksummed frame and synced before it is acknowledged. A
// snapshot replaces the log entries up to its index.
//
// The data folder holds four kinds of files: "identity", which is written once;
// "snapshot-N", the state machine at log index N; "journal-N", segment N of
// the journal; and "synced", how much of the journal has been synced. Each snapshot
// starts a new segment, after which the older files are removed. A file is written and
// synced under a temporary name before it gets its final name.
package journaler

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	identityName    = "identity"
	snapshotPrefix  = "snapshot-"
	journalPrefix   = "journal-"
	temporarySuffix = ".temporary"

	folderMode = 0o700
	fileMode   = 0o600
)

type (
	// Disk holds the file operations of a Journal that tests replace to inject faults.
	Disk struct {
		// Write appends data to a file, as (*os.File).Write does.
		Write func(*os.File, []byte) (int, error)
		// Sync flushes a file or folder to stable storage, as (*os.File).Sync does.
		Sync func(*os.File) error
	}

	// Journal is the open journal of one member. It is not safe for concurrent use.
	Journal struct {
		folder string
		disk   Disk
		// segment is the file that records are appended to.
		segment       *os.File
		segmentNumber uint64
		// segmentSize is the length of the complete frames in the segment, in bytes.
		segmentSize int64
		// mark is the file with the synced length of the journal, nil before it is written.
		mark *os.File
		// failed is the *WriteError that every further write returns, nil if none has
		// occurred.
		failed error
	}

	// Recovered is the state of a member that Open read from disk.
	Recovered struct {
		// Identity is the host and the incarnation of the member.
		Identity *replication.Identity
		// HardState is the latest one stored; it is empty for a new member.
		HardState *replication.HardState
		// Snapshot is the latest snapshot, nil if there is none.
		Snapshot *replication.Snapshot
		// Entries are the log entries that follow the snapshot, without gaps.
		Entries []*replication.Entry
		// TruncatedBytes is the size of the torn tail that was removed from the latest
		// segment.
		TruncatedBytes int64
	}
)

// OSDisk returns the file operations of the operating system.
func OSDisk() Disk {
	return Disk{Write: (*os.File).Write, Sync: (*os.File).Sync}
}

// Open recovers the journal in folder, or creates one for host if the folder is
// empty or absent. A torn tail, which an interrupted write leaves, is removed; see
// Recovered.TruncatedBytes. If the file "synced" was lost or lags behind, as after a loss
// of power, a changed or shortened last frame of the latest segment cannot be
// distinguished from a torn tail and is removed too, even if it was synced.
//
// The error is a *CorruptionError if other synced content is found to have changed
// or to be missing, a *NoSpaceError if the disk has no space for a new file, and a
// *WriteError if writing or syncing a file failed in another way. Other errors have
// no type of their own, for example the one returned if the folder belongs to
// another host.
func Open(folder, host string, disk Disk) (*Journal, *Recovered, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, errors.Wrap(err, "creating the data folder")
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
	if err := j.markSynced(); err != nil {
		return nil, nil, err
	}
	return j, r, nil
}

// Append writes and syncs one record. After a *NoSpaceError the journal is
// unchanged and the same call may be retried. After a *WriteError every later
// call of Append and SaveSnapshot fails.
func (j *Journal) Append(record *replication.Record) error {
	if j.failed != nil {
		return j.failed
	}
	payload, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encoding a record")
	}
	if err = j.writeFrame(j.segment, payload); err != nil {
		return j.discardPartialFrame(err)
	}
	j.segmentSize += int64(headerBytes + len(payload))
	return j.markSynced()
}

// SaveSnapshot stores a snapshot and starts a new journal segment with the hard
// state and the entries after the snapshot. Older snapshots and segments are
// removed. After a *NoSpaceError, Append continues with the current segment and the
// call may be retried; the snapshot may have been stored already. After a
// *WriteError every later call of Append and SaveSnapshot fails.
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
	if err = j.markSynced(); err != nil {
		return err
	}
	return j.removeObsolete(name)
}

// Close closes the journal. The journal must not be used afterwards.
func (j *Journal) Close() error {
	if j.mark != nil {
		_ = j.mark.Close()
	}
	return errors.Wrap(j.segment.Close(), "closing the journal")
}

// openSegment opens a recovered segment for appending and removes its torn tail.
func (j *Journal) openSegment(path string, validBytes int64, r *Recovered) error {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the journal")
	}
	j.segment = file
	j.segmentSize = validBytes
	if r.TruncatedBytes > 0 {
		if err = file.Truncate(validBytes); err != nil {
			return errors.Wrap(err, "truncating the torn tail")
		}
	}
	// The process before may have ended between the write and the sync of the last frame.
	if err = j.disk.Sync(file); err != nil {
		return j.fail(path, err)
	}
	return nil
}

// startSegment creates the next segment with record in it and makes it the current one.
func (j *Journal) startSegment(record *replication.Record) error {
	file, err := j.writeFile(fmt.Sprintf("%s%020d", journalPrefix, j.segmentNumber+1), record)
	if err != nil {
		return err
	}
	j.segmentNumber++
	if j.segment != nil {
		_ = j.segment.Close()
	}
	j.segment = file
	j.segmentSize, err = file.Seek(0, io.SeekEnd)
	if err != nil {
		return j.fail(file.Name(), err)
	}
	return nil
}

// writeFile creates a file that contains m as its only frame, syncs the file and the
// folder, and returns the file open for appending.
func (j *Journal) writeFile(name string, m proto.Message) (*os.File, error) {
	file, err := createFile(j.disk, filepath.Join(j.folder, name), m)
	return file, j.recordFailure(err)
}

// writeFrame appends a frame to a file and syncs it. The error is a *NoSpaceError or a *WriteError.
func (j *Journal) writeFrame(file *os.File, payload []byte) error {
	return j.recordFailure(writeFrame(j.disk, file, payload))
}

// recordFailure makes every later write return an error that is a *WriteError. It returns err.
func (j *Journal) recordFailure(err error) error {
	var failure *WriteError
	if errors.As(err, &failure) {
		j.failed = failure
	}
	return err
}

// discardPartialFrame removes the incomplete frame that a failed write has left if
// cause is a *NoSpaceError, so that the next frame follows a complete one. It
// returns cause, or the error of the removal.
func (j *Journal) discardPartialFrame(cause error) error {
	var noSpace *NoSpaceError
	if !errors.As(cause, &noSpace) {
		return cause
	}
	if err := j.segment.Truncate(j.segmentSize); err != nil {
		return j.fail(j.segment.Name(), err)
	}
	return cause
}

// fail returns a *WriteError with the given cause and makes every later write
// return it too.
func (j *Journal) fail(path string, cause error) error {
	j.failed = &WriteError{File: path, Cause: cause}
	return j.failed
}

// readFile reads a file with a single frame into m. It returns false if the file does not exist.
func (j *Journal) readFile(name string, m proto.Message) (bool, error) {
	return readFile(filepath.Join(j.folder, name), m)
}

// list returns the names of the files in the data folder that begin with prefix, in ascending order.
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

// removeTemporaryFiles removes the files whose writing was interrupted.
func (j *Journal) removeTemporaryFiles() error {
	names, err := j.list("")
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err = os.Remove(filepath.Join(j.folder, name)); err != nil {
			return errors.Wrap(err, "removing a temporary file")
		}
	}
	return nil
}

// removeObsolete removes the snapshots older than the given file and the segments
// older than the current one.
func (j *Journal) removeObsolete(snapshot string) error {
	current := fmt.Sprintf("%s%020d", journalPrefix, j.segmentNumber)
	names, err := j.list("")
	if err != nil {
		return err
	}
	for _, name := range names {
		obsolete := strings.HasPrefix(name, snapshotPrefix) && name < snapshot ||
			strings.HasPrefix(name, journalPrefix) && name < current
		if !obsolete {
			continue
		}
		if err = os.Remove(filepath.Join(j.folder, name)); err != nil {
			return errors.Wrap(err, "removing an older file")
		}
	}
	return nil
}
