package journaler

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/replication"
)

// markName is the name of the file that says how much of the journal has been synced. It is
// overwritten after each sync and not synced itself: after a loss of power it may lag behind, or be
// torn and then say nothing, but it is never ahead of the journal.
const markName = "synced"

// readMark returns how much of the journal had been synced at least, nil if that is not known.
func (j *Journal) readMark() (*replication.SyncMark, error) {
	mark := &replication.SyncMark{}
	found, err := j.readFile(markName, mark)
	if err != nil && !errors.As(err, new(*CorruptionError)) {
		return nil, err
	}
	if err != nil || !found {
		return nil, nil
	}
	return mark, nil
}

// checkSynced returns a *CorruptionError if a segment of which validBytes are intact lacks what has
// been synced.
func (j *Journal) checkSynced(path string, validBytes int64) error {
	mark, err := j.readMark()
	if err != nil {
		return err
	}
	lacks := func(detail string) error { return &CorruptionError{File: path, Offset: validBytes, Detail: detail} }
	switch {
	case validBytes == 0:
		return lacks("the first frame, which was synced before the segment got its name, is invalid")
	case mark.GetSegment() > j.segmentNumber:
		return lacks(fmt.Sprintf("segment %d, which was synced, is missing", mark.GetSegment()))
	case mark.GetSegment() == j.segmentNumber && mark.GetBytes() > uint64(validBytes):
		return lacks(fmt.Sprintf("%d bytes were synced", mark.GetBytes()))
	}
	return nil
}

// markSynced records that the current segment has been synced. Without disk space the mark lags
// behind, as after a loss of power. The error is a *WriteError.
func (j *Journal) markSynced() error {
	mark := &replication.SyncMark{Segment: j.segmentNumber, Bytes: uint64(j.segmentSize)}
	err := j.writeMark(mark)
	if errors.As(err, new(*NoSpaceError)) {
		return nil
	}
	return j.recordFailure(err)
}

func (j *Journal) writeMark(mark *replication.SyncMark) error {
	path := filepath.Join(j.folder, markName)
	if j.mark == nil {
		created, err := createFile(j.disk, path, mark)
		if err != nil {
			return err
		}
		_ = created.Close()
		// The file from createFile can only be appended to.
		if j.mark, err = os.OpenFile(path, os.O_WRONLY, fileMode); err != nil {
			return &WriteError{File: path, Cause: err}
		}
		return nil
	}
	payload, err := proto.Marshal(mark)
	if err != nil {
		return errors.Wrap(err, "encoding the synced length")
	}
	if _, err = j.mark.Seek(0, io.SeekStart); err != nil {
		return &WriteError{File: path, Cause: err}
	}
	return writeUnsynced(j.disk, j.mark, EncodeFrame(payload))
}
