// Package journaler keeps a process's durable state as files under one data
// folder.
//
// A blob is a small file that is replaced as a whole: a crash leaves the old
// content or the new one. A journal is a file of records that grows by
// appending and is rewritten as a whole from time to time. Every file starts
// with the number of its format, and every blob and record has a checksum.
//
// After a crash the last record of a journal may be torn; it is dropped when
// the journal is opened, since its append was never acknowledged. Damage
// before the last record is a CorruptError that names the file and the offset.
//
// After a failed sync nobody knows what the disk holds. The store then refuses
// every write with ErrFailed until the process starts again; opening a
// journal makes the next write replace the file as a whole, so that pages
// whose sync failed are never taken for durable. A full disk is no such
// failure: writes are refused with ErrFull until there is space.
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
//	err = store.Close()        // nothing is written after it
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
	// ErrNotFound means that a blob was never written.
	ErrNotFound = errors.New("no such blob")
	// ErrFull means that the disk is full and that nothing was changed.
	ErrFull = errors.New("disk is full")
	// ErrFailed means that an earlier write or sync failed, so that nothing
	// more is written until the process starts again.
	ErrFailed = errors.New("disk failed earlier; restart to read the files again")
	// ErrClosed means that the store was closed, so that nothing more is written.
	ErrClosed = errors.New("data folder is closed")
)

// CorruptError reports damage to a file.
type CorruptError struct {
	file   string
	offset int64
	reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.file, e.offset, e.reason)
}

// File returns the path of the damaged file.
func (e *CorruptError) File() string { return e.file }

// Offset returns where the damage starts, in bytes.
func (e *CorruptError) Offset() int64 { return e.offset }

// Store is an open data folder.
type Store struct {
	fs     FS
	folder string
	lock   io.Closer

	mu       sync.Mutex
	err      error // Why nothing more is written: the store is closed, or the content of the disk is unknown.
	journals []*Journal
}

// Open opens the data folder, makes it if it is missing, and locks it against
// other processes.
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

// Close waits for writes to the journals, refuses later ones, and unlocks the
// data folder.
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

// Err returns ErrFailed, wrapped with its cause, once a write or sync has
// failed, and ErrClosed once the store is closed.
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
		return nil, &CorruptError{file: path, offset: headerSize, reason: "not one whole record"}
	}
	return records[0], nil
}

// WriteBlob replaces the content of the named blob. The content is durable
// when WriteBlob returns nil; after an error the old one may be in place.
func (s *Store) WriteBlob(name string, data []byte) error {
	if err := s.replace(s.path(name, blobSuffix), encode(data)); err != nil {
		return fmt.Errorf("write blob %s: %w", name, err)
	}
	return nil
}

func (s *Store) path(name, suffix string) string {
	return filepath.Join(s.folder, name+suffix)
}

// replace writes a whole file beside the old one and renames it into place.
func (s *Store) replace(path string, data []byte) error {
	if err := s.Err(); err != nil {
		return err
	}
	temp := path + tempSuffix
	if err := s.writeTemp(temp, data); err != nil {
		// What was written of it may hold the last of the disk's space. Nothing
		// reads it, so that it does no harm where it can't be removed.
		_ = s.fs.Remove(temp)
		return err
	}
	if err := s.fs.Rename(temp, path); err != nil {
		return s.fail(err)
	}
	if err := s.fs.SyncFolder(s.folder); err != nil {
		return s.fail(err)
	}
	return nil
}

// writeTemp writes and syncs a file that nobody reads yet.
func (s *Store) writeTemp(temp string, data []byte) error {
	f, err := s.fs.Create(temp)
	if err != nil {
		return s.refuse(err)
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return s.refuse(err)
	}
	if err := f.Sync(); err != nil {
		return s.fail(err)
	}
	return nil
}

// refuse returns ErrFull for a full disk, and remembers any other failure.
func (s *Store) refuse(err error) error {
	if isFull(err) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return s.fail(err)
}

// fail remembers the first failure after which the disk's content is unknown.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return s.err
}

// encode returns the content of a whole file with the given records.
func encode(records ...[]byte) []byte {
	data := appendHeader(nil)
	for i, record := range records {
		data = appendRecord(data, uint64(i)+1, record)
	}
	return data
}

// decode returns the records of a file, without a torn one at its end.
func decode(path string, data []byte) ([][]byte, error) {
	version, err := readHeader(path, data)
	if err != nil {
		return nil, err
	}
	f, ok := framings[version]
	if !ok {
		return nil, &CorruptError{file: path, offset: versionOffset, reason: fmt.Sprintf("unknown format version %d", version)}
	}
	return f.readAll(path, data)
}

func appendHeader(data []byte) []byte {
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint32(data, currentVersion)
	return binary.BigEndian.AppendUint32(data, checksum(data[:checksumOffset]))
}

func readHeader(path string, data []byte) (uint32, error) {
	if len(data) < headerSize || string(data[:versionOffset]) != magic {
		return 0, &CorruptError{file: path, reason: "not a file of this program"}
	}
	if binary.BigEndian.Uint32(data[checksumOffset:]) != checksum(data[:checksumOffset]) {
		return 0, &CorruptError{file: path, reason: "wrong checksum of the header"}
	}
	return binary.BigEndian.Uint32(data[versionOffset:]), nil
}
