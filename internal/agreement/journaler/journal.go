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

	mu         sync.Mutex
	records    [][]byte // Records of the file when it was opened; nil after the first write.
	file       File     // Nil until the first write.
	lastNumber uint64   // Number of the last record.
	lastSynced uint64   // Number of the last record that is synced.
	size       int64    // Bytes up to the end of the last complete record.
	appended   int64    // Bytes appended since the file was last rewritten.
	closed     bool
}

// OpenJournal opens the named journal, which is empty if it does not exist. The first
// write replaces the whole file.
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
	// An earlier process may have ended before it synced what was just read.
	if err := s.syncExisting(j.path); err != nil {
		return nil, fmt.Errorf("open journal %s: %w", name, err)
	}
	return j, nil
}

// Records returns the records that the journal had when it was opened, oldest first. After
// the first write it returns nil.
func (j *Journal) Records() [][]byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.records
}

// Appended returns the number of bytes appended since the journal was last rewritten.
func (j *Journal) Appended() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appended
}

// Size returns the size of the journal file in bytes, or 0 before the first write.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// Append appends records and syncs them: all are durable when it returns nil. After
// ErrDiskFull none was appended; after any other error it is unknown how many were.
func (j *Journal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return j.rewrite(append(j.records, records...))
	}
	if err := j.appendWithoutSync(records); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("append to journal: %w", j.store.recordFailure(err))
	}
	j.lastSynced = j.lastNumber
	return nil
}

// AppendUnsynced appends records without syncing them. They become durable with the next
// Append; a crash before that may lose them.
func (j *Journal) AppendUnsynced(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return j.rewrite(append(j.records, records...))
	}
	return j.appendWithoutSync(records)
}

// Rewrite atomically replaces the journal with the given records: a crash leaves either the
// old or the new journal.
func (j *Journal) Rewrite(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rewrite(records)
}

// Close closes the journal. Later writes return ErrClosed.
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

// checkWritable returns why writes are refused, or nil.
func (j *Journal) checkWritable() error {
	if j.closed {
		return ErrClosed
	}
	return j.store.Err()
}

// rewrite implements Rewrite; j.mu must be held.
func (j *Journal) rewrite(records [][]byte) error {
	if err := j.checkWritable(); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	data := encode(records...)
	if err := j.store.replaceFile(j.path, data); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	f, err := j.store.fs.OpenAppend(j.path)
	if err != nil {
		return fmt.Errorf("rewrite journal: %w", j.store.recordFailure(err))
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file = f
	j.records = nil
	j.lastNumber = uint64(len(records))
	j.lastSynced = j.lastNumber
	j.size = int64(len(data))
	j.appended = 0
	return nil
}

// appendWithoutSync appends records without syncing them. If the disk is full, it removes
// the part that was written. j.mu must be held.
func (j *Journal) appendWithoutSync(records [][]byte) error {
	if err := j.checkWritable(); err != nil {
		return fmt.Errorf("append to journal: %w", err)
	}
	var data []byte
	number := j.lastNumber
	for _, record := range records {
		data = appendRecord(data, number+1, number-j.lastSynced, record)
		number++
	}
	if _, err := j.file.Write(data); err != nil {
		return fmt.Errorf("append to journal: %w", j.rollBack(err))
	}
	j.lastNumber = number
	j.size += int64(len(data))
	j.appended += int64(len(data))
	return nil
}

// rollBack truncates the file to its last complete record if a write failed because the
// disk is full, as cause shows. After any other failure the content is unknown.
func (j *Journal) rollBack(cause error) error {
	if !isDiskFull(cause) {
		return j.store.recordFailure(cause)
	}
	if err := j.file.Truncate(j.size); err != nil {
		return j.store.recordFailure(err)
	}
	return j.store.classifyWriteError(cause)
}
