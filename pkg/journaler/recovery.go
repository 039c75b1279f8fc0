package journaler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// recoverIdentity reads the identity file, or creates it if the folder is empty.
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
			return &CorruptionError{
				File: filepath.Join(j.folder, identityName), Detail: "missing although the data folder contains " + others[0],
			}
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

// recoverSnapshot reads the latest snapshot, if there is one.
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

// recoverSegment replays and opens the latest segment, or starts the first one.
func (j *Journal) recoverSegment(r *Recovered) error {
	names, err := j.list(journalPrefix)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		if r.Snapshot != nil && r.Snapshot.GetHeader().GetIndex() > 0 {
			return &CorruptionError{File: j.folder, Detail: "snapshot without a journal segment"}
		}
		mark, markErr := j.readMark()
		if markErr != nil {
			return markErr
		}
		if mark != nil {
			return &CorruptionError{File: j.folder, Detail: "journal without a segment, although one was synced"}
		}
		return j.startSegment(&replication.Record{HardState: r.HardState})
	}
	name := names[len(names)-1]
	if _, err = fmt.Sscanf(strings.TrimPrefix(name, journalPrefix), "%d", &j.segmentNumber); err != nil {
		return &CorruptionError{File: name, Detail: "file name has no valid segment number"}
	}
	path := filepath.Join(j.folder, name)
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the journal")
	}
	validBytes, err := replayFrames(path, content, r)
	if err != nil {
		return err
	}
	if err = j.checkSynced(path, validBytes); err != nil {
		return err
	}
	return j.openSegment(path, validBytes, r)
}

// replayFrames applies the records of all valid frames to r, sets r.TruncatedBytes
// to the length of the torn tail, and returns the length of the valid frames in bytes.
func replayFrames(path string, content []byte, r *Recovered) (int64, error) {
	offset := 0
	for offset < len(content) {
		payload, state := decodeFrame(content[offset:])
		if state == frameTorn {
			break
		}
		if state == frameCorrupt {
			return 0, &CorruptionError{File: path, Offset: int64(offset), Detail: "invalid frame that an incomplete write cannot explain"}
		}
		record := &replication.Record{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, &CorruptionError{File: path, Offset: int64(offset), Detail: err.Error()}
		}
		if err := applyRecord(r, record); err != nil {
			return 0, &CorruptionError{File: path, Offset: int64(offset), Detail: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	r.TruncatedBytes = int64(len(content) - offset)
	return int64(offset), nil
}

// applyRecord applies a record to r. An entry replaces the one with the same index
// and all after it; entries that the snapshot covers are skipped.
func applyRecord(r *Recovered, record *replication.Record) error {
	if record.GetHardState() != nil {
		r.HardState = record.GetHardState()
	}
	firstIndex := r.Snapshot.GetHeader().GetIndex() + 1
	for _, e := range record.GetEntries() {
		if e.GetIndex() < firstIndex {
			continue
		}
		position := e.GetIndex() - firstIndex
		if position > uint64(len(r.Entries)) {
			return errors.Errorf("gap in the log before entry %d", e.GetIndex())
		}
		r.Entries = append(r.Entries[:position], e)
	}
	return nil
}
