package journaler

import (
	"fmt"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Journal is an open file of records. It is safe for concurrent use.
type Journal struct {
	store *Store
	path  string

	mu       sync.Mutex
	records  [][]byte // What the file held when it was opened, until it is replaced.
	file     File     // Nil until the file is replaced for the first time.
	last     uint64   // Number of the last record.
	size     int64    // Bytes of the file up to the last whole record.
	appended int64    // Bytes since the file was replaced.
	closed   bool
}

// OpenJournal reads the named journal; one that was never written is empty.
// The first write replaces the file as a whole.
func (s *Store) OpenJournal(name string) (*Journal, error) {
	j := &Journal{store: s, path: s.path(name, journalSuffix)}
	s.mu.Lock()
	s.journals = append(s.journals, j)
	s.mu.Unlock()
	data, err := s.fs.ReadFile(j.path)
	if errors.Is(err, os.ErrNotExist) {
		return j, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open journal %s: %w", name, err)
	}
	j.records, err = decode(j.path, data)
	if err != nil {
		return nil, fmt.Errorf("open journal %s: %w", name, err)
	}
	return j, nil
}

// Records returns what the journal held when it was opened, from old to new.
// After the first write it returns nil.
func (j *Journal) Records() [][]byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.records
}

// Appended returns how many bytes were appended since the journal was last
// replaced.
func (j *Journal) Appended() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appended
}

// Size returns the size of the journal in bytes.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// Append adds records, all durable when it returns nil. After ErrFull none
// was added; after another error it is unknown how many were.
func (j *Journal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return j.rewrite(append(j.records, records...))
	}
	if err := j.write(records); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("append to journal: %w", j.store.fail(err))
	}
	return nil
}

// AppendUnsynced adds records that become durable with the next Append. A
// crash before that may lose them.
func (j *Journal) AppendUnsynced(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return j.rewrite(append(j.records, records...))
	}
	return j.write(records)
}

// Rewrite replaces the whole journal by the given records. A crash leaves the
// old journal or the new one.
func (j *Journal) Rewrite(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rewrite(records)
}

// Close closes the file. Later writes return ErrClosed.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return nil
	}
	j.closed = true
	if j.file == nil {
		return nil
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}

// writable returns why nothing may be written, or nil.
func (j *Journal) writable() error {
	if j.closed {
		return ErrClosed
	}
	return j.store.Err()
}

func (j *Journal) rewrite(records [][]byte) error {
	if err := j.writable(); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	data := encode(records...)
	if err := j.store.replace(j.path, data); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	f, err := j.store.fs.OpenAppend(j.path)
	if err != nil {
		return fmt.Errorf("rewrite journal: %w", j.store.fail(err))
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file = f
	j.records = nil
	j.last = uint64(len(records))
	j.size = int64(len(data))
	j.appended = 0
	return nil
}

// write adds records without a sync. If the disk is full it removes what was
// written of them.
func (j *Journal) write(records [][]byte) error {
	if err := j.writable(); err != nil {
		return fmt.Errorf("append to journal: %w", err)
	}
	var data []byte
	last := j.last
	for _, record := range records {
		last++
		data = appendRecord(data, last, record)
	}
	if _, err := j.file.Write(data); err != nil {
		return fmt.Errorf("append to journal: %w", j.undo(err))
	}
	j.last = last
	j.size += int64(len(data))
	j.appended += int64(len(data))
	return nil
}

// undo cuts the file back to its last whole record after a failed write.
func (j *Journal) undo(cause error) error {
	if !isFull(cause) {
		return j.store.fail(cause)
	}
	if err := j.file.Truncate(j.size); err != nil {
		return j.store.fail(err)
	}
	return j.store.refuse(cause)
}
