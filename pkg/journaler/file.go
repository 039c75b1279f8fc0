package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// File is a file with one checksummed message, which is replaced as a whole. It is not safe for
// concurrent use.
type File struct {
	path string
	disk Disk
}

// NewFile returns the file with a path, which need not exist yet. Its folder must exist.
func NewFile(path string, disk Disk) *File { return &File{path: path, disk: disk} }

// Read reads the message into m. It returns false if the file does not exist. The error is a
// *CorruptionError if the content has changed.
func (f *File) Read(m proto.Message) (bool, error) { return readFile(f.path, m) }

// Replace writes and syncs a message in place of the one that the file holds. The error is a
// *NoSpaceError or a *WriteError, and the file holds the former message or the new one then.
func (f *File) Replace(m proto.Message) error {
	file, err := createFile(f.disk, f.path, m)
	if err != nil {
		return err
	}
	if err = file.Close(); err != nil {
		return &WriteError{File: f.path, Cause: err}
	}
	return nil
}

// createFile creates a file that contains m as its only frame, syncs the file and its
// folder, and returns the file open for appending.
func createFile(disk Disk, path string, m proto.Message) (*os.File, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encoding "+filepath.Base(path))
	}
	file, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if isNoSpace(err) {
		return nil, &NoSpaceError{File: path, Cause: err}
	}
	if err != nil {
		return nil, &WriteError{File: path, Cause: err}
	}
	if err = writeFrame(disk, file, payload); err != nil {
		_ = file.Close()
		// If this fails, the file is overwritten, or removed by Open.
		_ = os.Remove(path + temporarySuffix)
		return nil, err
	}
	if err = os.Rename(path+temporarySuffix, path); err != nil {
		_ = file.Close()
		return nil, &WriteError{File: path, Cause: err}
	}
	if err = syncFolder(disk, filepath.Dir(path)); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// writeFrame appends a frame to a file and syncs it. The error is a *NoSpaceError or a *WriteError.
func writeFrame(disk Disk, file *os.File, payload []byte) error {
	if err := writeUnsynced(disk, file, EncodeFrame(payload)); err != nil {
		return err
	}
	if err := disk.Sync(file); err != nil {
		return &WriteError{File: file.Name(), Cause: err}
	}
	return nil
}

// writeUnsynced writes data to a file. The error is a *NoSpaceError or a *WriteError.
func writeUnsynced(disk Disk, file *os.File, data []byte) error {
	_, err := disk.Write(file, data)
	if isNoSpace(err) {
		return &NoSpaceError{File: file.Name(), Cause: err}
	}
	if err != nil {
		return &WriteError{File: file.Name(), Cause: err}
	}
	return nil
}

// syncFolder makes the names of files in a folder durable. The error is a *WriteError.
func syncFolder(disk Disk, path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return &WriteError{File: path, Cause: err}
	}
	defer func() { _ = folder.Close() }()
	if err = disk.Sync(folder); err != nil {
		return &WriteError{File: path, Cause: err}
	}
	return nil
}

// readFile reads a file with a single frame into m. It returns false if the file does not exist.
func readFile(path string, m proto.Message) (bool, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "reading "+filepath.Base(path))
	}
	payload, state := decodeFrame(content)
	if state != frameValid || headerBytes+len(payload) != len(content) {
		return false, &CorruptionError{File: path, Detail: "invalid frame, or data after it"}
	}
	if err = proto.Unmarshal(payload, m); err != nil {
		return false, &CorruptionError{File: path, Detail: err.Error()}
	}
	return true, nil
}
