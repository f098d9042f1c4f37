// Package journaler stores the durable state of a process in files in one data folder.
//
// A blob is a small file that is replaced atomically: a crash leaves either the old or the
// new content. A journal is a file of records that grows by appending and is rewritten
// from time to time. Every file starts with its format version, and every blob and record
// has a checksum.
//
// A crash may lose or tear any record that was not synced, whatever it does to later ones.
// When the journal is opened, such a record and those after it are dropped, since their
// append was never acknowledged. Corruption of a record that a later one shows to have been
// synced is reported as a CorruptError with the file and the offset.
//
// After a failed sync the content of the disk is unknown. The store then refuses every
// write with ErrDiskFailed until the process restarts. The first write after opening a
// journal replaces the whole file, so that pages whose sync failed are never assumed to
// be durable. A full disk is no such failure: writes return ErrDiskFull until there is
// space.
//
// # Usage
//
//	store, err := journaler.Open(journaler.OS{}, folder)
//	j, err := store.OpenJournal("voter")
//	for _, record := range j.Records() {
//		replay(record)
//	}
//	err = j.Rewrite(compacted) // once after opening, and when j.Appended() is large
//	err = j.Append(record)     // durable when it returns nil
//	err = store.WriteBlob("ledger", data)
//	err = store.Close()        // later writes return ErrClosed
package journaler

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// Names of files in the data folder.
const (
	lockName      = "lock"
	blobSuffix    = ".blob"
	journalSuffix = ".journal"
	tempSuffix    = ".tmp"
)

var (
	// ErrNotFound means that the blob does not exist.
	ErrNotFound = errors.New("no such blob")
	// ErrDiskFull means that the disk is full and that the write changed nothing.
	ErrDiskFull = errors.New("disk is full")
	// ErrDiskFailed means that an earlier write or sync failed, so that writes are
	// refused until the process restarts.
	ErrDiskFailed = errors.New("an earlier write or sync failed; restart to read the files again")
	// ErrClosed means that the store or the journal is closed.
	ErrClosed = errors.New("journal or data folder is closed")
)

// CorruptError describes a corrupt file.
type CorruptError struct {
	file   string
	offset int64
	reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.file, e.offset, e.reason)
}

// File returns the path of the corrupt file.
func (e *CorruptError) File() string { return e.file }

// Offset returns where the corruption starts, in bytes.
func (e *CorruptError) Offset() int64 { return e.offset }

// Store is an open data folder. It is safe for concurrent use.
type Store struct {
	fs     FS
	folder string
	lock   io.Closer

	mu       sync.Mutex
	err      error // Why writes are refused: a write or sync failed, or the store is closed.
	journals []*Journal
}

// Open opens the data folder and locks it against other processes. It creates the folder
// if it does not exist.
func Open(fs FS, folder string) (*Store, error) {
	if err := fs.MakeFolder(folder); err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	lock, err := fs.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return &Store{fs: fs, folder: folder, lock: lock}, nil
}

// Close waits for running journal writes, refuses later writes, and unlocks the data
// folder.
func (s *Store) Close() error {
	s.mu.Lock()
	s.err = cmp.Or(s.err, ErrClosed)
	journals := s.journals
	s.mu.Unlock()
	for _, j := range journals {
		if err := j.Close(); err != nil {
			return fmt.Errorf("close data folder: %w", err)
		}
	}
	if err := s.lock.Close(); err != nil {
		return fmt.Errorf("unlock data folder: %w", err)
	}
	return nil
}

// Err returns why writes are refused, or nil: ErrDiskFailed, wrapped with its cause,
// after a failed write or sync, or ErrClosed after Close, whichever came first.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// ReadBlob returns the content of the named blob, or ErrNotFound.
func (s *Store) ReadBlob(name string) ([]byte, error) {
	path := s.path(name, blobSuffix)
	data, err := s.fs.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("read blob %s: %w", name, ErrNotFound)
	}
	if err != nil {
		return nil, fmt.Errorf("read blob %s: %w", name, err)
	}
	records, err := decode(path, data)
	if err != nil {
		return nil, fmt.Errorf("read blob %s: %w", name, err)
	}
	if len(records) != 1 {
		return nil, &CorruptError{file: path, offset: headerSize, reason: "expected one complete record"}
	}
	return records[0], nil
}

// WriteBlob atomically replaces the content of the named blob. The new content is durable
// when WriteBlob returns nil; after an error the blob has either the old or the new one.
func (s *Store) WriteBlob(name string, data []byte) error {
	if err := s.replaceFile(s.path(name, blobSuffix), encode(data)); err != nil {
		return fmt.Errorf("write blob %s: %w", name, err)
	}
	return nil
}

func (s *Store) path(name, suffix string) string {
	return filepath.Join(s.folder, name+suffix)
}

// replaceFile writes data to a temporary file and renames it to path.
func (s *Store) replaceFile(path string, data []byte) error {
	if err := s.Err(); err != nil {
		return err
	}
	temp := path + tempSuffix
	if err := s.writeTemp(temp, data); err != nil {
		// A partial file could take up the last space on the disk. An error here
		// is harmless, since temporary files are never read.
		_ = s.fs.Remove(temp)
		return err
	}
	if err := s.fs.Rename(temp, path); err != nil {
		return s.recordFailure(err)
	}
	if err := s.fs.SyncFolder(s.folder); err != nil {
		return s.recordFailure(err)
	}
	return nil
}

// syncExisting makes a file and its name durable.
func (s *Store) syncExisting(path string) error {
	f, err := s.fs.OpenAppend(path)
	if err != nil {
		return s.recordFailure(err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return s.recordFailure(err)
	}
	if err := s.fs.SyncFolder(s.folder); err != nil {
		return s.recordFailure(err)
	}
	return nil
}

// writeTemp writes and syncs a temporary file.
func (s *Store) writeTemp(temp string, data []byte) error {
	f, err := s.fs.Create(temp)
	if err != nil {
		return s.classifyWriteError(err)
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return s.classifyWriteError(err)
	}
	if err := f.Sync(); err != nil {
		return s.recordFailure(err)
	}
	return nil
}

// classifyWriteError returns ErrDiskFull if the disk is full, and records any other
// failure.
func (s *Store) classifyWriteError(err error) error {
	if isDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return s.recordFailure(err)
}

// recordFailure stores the first failure, after which the content of the disk is unknown,
// and returns why writes are refused.
func (s *Store) recordFailure(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = fmt.Errorf("%w: %w", ErrDiskFailed, err)
	}
	return s.err
}

// encode returns the content of a file with the given records.
func encode(records ...[]byte) []byte {
	data := appendHeader(nil)
	for i, record := range records {
		data = appendRecord(data, uint64(i)+1, 0, record)
	}
	return data
}

// decode returns the records of a file, except a torn one at its end.
func decode(path string, data []byte) ([][]byte, error) {
	version, err := readHeader(path, data)
	if err != nil {
		return nil, err
	}
	f, ok := framingByVersion[version]
	if !ok {
		return nil, &CorruptError{file: path, offset: versionOffset, reason: fmt.Sprintf("unknown format version %d", version)}
	}
	return f.readRecords(path, data)
}

func appendHeader(data []byte) []byte {
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint32(data, currentVersion)
	return binary.BigEndian.AppendUint32(data, checksum(data[:checksumOffset]))
}

func readHeader(path string, data []byte) (uint32, error) {
	if len(data) < headerSize || string(data[:versionOffset]) != magic {
		return 0, &CorruptError{file: path, reason: "file signature not found"}
	}
	if binary.BigEndian.Uint32(data[checksumOffset:]) != checksum(data[:checksumOffset]) {
		return 0, &CorruptError{file: path, reason: "header checksum mismatch"}
	}
	return binary.BigEndian.Uint32(data[versionOffset:]), nil
}
