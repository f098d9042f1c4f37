package journaler_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
)

const (
	journalPath = "data/voter.journal"
	headerSize  = 16
	frameSize   = 16
)

func open(t testing.TB, fs journaler.FS) *journaler.Store {
	t.Helper()
	s, err := journaler.Open(fs, "data")
	assert.NilError(t, err)
	return s
}

func openJournal(t testing.TB, fs journaler.FS) *journaler.Journal {
	t.Helper()
	j, err := open(t, fs).OpenJournal("voter")
	assert.NilError(t, err)
	return j
}

func record(i int) []byte { return fmt.Appendf(nil, "record %d", i) }

// write writes n records, the first by Rewrite, and returns how many were
// acknowledged.
func write(j *journaler.Journal, n int) int {
	if j.Rewrite([][]byte{record(0)}) != nil {
		return 0
	}
	for i := 1; i < n; i++ {
		if j.Append(record(i)) != nil {
			return i
		}
	}
	return n
}

// assertPrefix checks that records are the first ones written, at least
// acknowledged of them and at most one more.
func assertPrefix(t testing.TB, records [][]byte, acknowledged int) {
	t.Helper()
	assert.Assert(t, len(records) == acknowledged || len(records) == acknowledged+1, "%d of %d", len(records), acknowledged)
	for i, r := range records {
		assert.Equal(t, string(r), string(record(i)))
	}
}

func TestCrashAtEveryStep(t *testing.T) {
	for step := range 20 {
		for _, tail := range []int{0, 1, 9, 20, 1000} {
			for _, renames := range []bool{false, true} {
				fs := newFakeFS()
				fs.fail = failAt(step, errIO)
				acknowledged := write(openJournal(t, fs), 5)
				after := fs.crash(tail, renames)
				assertPrefix(t, openJournal(t, after).Records(), acknowledged)
			}
		}
	}
}

func TestTornTail(t *testing.T) {
	fs := newFakeFS()
	j := openJournal(t, fs)
	write(j, 3)
	whole := len(fs.names[journalPath].content)
	assert.NilError(t, j.AppendUnsynced(record(3)))
	content := fs.names[journalPath].content
	for size := whole; size < len(content); size++ {
		fs.names[journalPath] = &node{content: content[:size]}
		again := openJournal(t, fs)
		assert.Equal(t, len(again.Records()), 3)
	}
	// The rest may also be zeros.
	fs.names[journalPath] = &node{content: append(bytes.Clone(content[:whole]), make([]byte, 4096)...)}
	again := openJournal(t, fs)
	assert.NilError(t, again.Append(record(3)))
	assertPrefix(t, openJournal(t, fs).Records(), 4)
}

func TestCorruptMiddle(t *testing.T) {
	fs := newFakeFS()
	write(openJournal(t, fs), 3)
	content := fs.names[journalPath].content
	last := len(content) - len(record(2)) - frameSize
	for at := range last {
		damaged := bytes.Clone(content)
		damaged[at] ^= 0x10
		fs.names[journalPath] = &node{content: damaged}
		_, err := open(t, fs).OpenJournal("voter")
		var corrupt *journaler.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "offset %d: %v", at, err)
		assert.Equal(t, corrupt.File(), journalPath)
		assert.Equal(t, corrupt.Offset(), recordStart(at))
	}
}

// recordStart returns where the record or header that holds the byte starts.
func recordStart(at int) int64 {
	if at < headerSize {
		return 0
	}
	size := frameSize + len(record(0))
	return int64(headerSize + (at-headerSize)/size*size)
}

func TestMissingRecord(t *testing.T) {
	fs := newFakeFS()
	write(openJournal(t, fs), 4)
	size := frameSize + len(record(0))
	content := fs.names[journalPath].content
	cut := append(bytes.Clone(content[:headerSize+size]), content[headerSize+2*size:]...)
	fs.names[journalPath] = &node{content: cut}
	_, err := open(t, fs).OpenJournal("voter")
	assert.ErrorContains(t, err, "corrupt at offset 40: record missing")
}

func TestFailedSync(t *testing.T) {
	for _, op := range []operation{opSync, opSyncFolder, opRename} {
		t.Run(string(op), func(t *testing.T) {
			fs := newFakeFS()
			store := open(t, fs)
			j, err := store.OpenJournal("voter")
			assert.NilError(t, err)
			write(j, 2)
			fs.fail = failOp(op, errIO)
			if op == opSync {
				assert.ErrorIs(t, j.Append(record(2)), journaler.ErrFailed)
			} else {
				assert.ErrorIs(t, j.Rewrite([][]byte{record(0)}), journaler.ErrFailed)
			}
			fs.fail = nil
			assert.ErrorIs(t, j.Append(record(2)), journaler.ErrFailed)
			assert.ErrorIs(t, j.AppendUnsynced(record(2)), journaler.ErrFailed)
			assert.ErrorIs(t, store.WriteBlob("ledger", record(0)), journaler.ErrFailed)
		})
	}
}

func TestDiskFull(t *testing.T) {
	fs := newFakeFS()
	store := open(t, fs)
	j, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	write(j, 2)
	assert.NilError(t, store.WriteBlob("ledger", record(0)))
	fs.fail = failOp(opWrite, errFull)
	assert.ErrorIs(t, j.Append(record(2)), journaler.ErrFull)
	assert.ErrorIs(t, j.Rewrite([][]byte{record(0)}), journaler.ErrFull)
	assert.ErrorIs(t, store.WriteBlob("ledger", record(1)), journaler.ErrFull)
	assert.Equal(t, len(fs.names), 2, "part of a new file is left")
	// A process that starts on a full disk still reads.
	again := openJournal(t, fs)
	assertPrefix(t, again.Records(), 2)
	assert.ErrorIs(t, again.Append(record(2)), journaler.ErrFull)
	blob, err := store.ReadBlob("ledger")
	assert.NilError(t, err)
	assert.Equal(t, string(blob), string(record(0)))
	fs.fail = nil
	assert.NilError(t, j.Append(record(2)))
	assertPrefix(t, openJournal(t, fs).Records(), 3)
	assert.NilError(t, again.Append(record(2)))
	assertPrefix(t, openJournal(t, fs).Records(), 3)
}

func TestBlob(t *testing.T) {
	fs := newFakeFS()
	store := open(t, fs)
	_, err := store.ReadBlob("ledger")
	assert.ErrorIs(t, err, journaler.ErrNotFound)
	assert.NilError(t, store.WriteBlob("ledger", record(0)))
	for step := fs.ops + 1; step < fs.ops+6; step++ {
		after := fs.crash(0, true)
		after.fail = failAt(step-fs.ops, errIO)
		assert.Assert(t, open(t, after).WriteBlob("ledger", record(1)) != nil || step == fs.ops+5)
		after = after.crash(3, false)
		blob, err := open(t, after).ReadBlob("ledger")
		assert.NilError(t, err)
		assert.Assert(t, string(blob) == string(record(0)) || step == fs.ops+5)
	}
	fs.names["data/ledger.blob"].content[20] ^= 1
	_, err = store.ReadBlob("ledger")
	assert.ErrorContains(t, err, "data/ledger.blob: corrupt at offset 16")
}

// checksummed returns a file of format 1, as an older binary wrote it.
func checksummed(n int) []byte {
	table := crc32.MakeTable(crc32.Castagnoli)
	data := binary.BigEndian.AppendUint32([]byte("BANYANJL"), 1)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(data, table))
	for i := range n {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record(i))))
		data = binary.BigEndian.AppendUint32(data, crc32.Checksum(record(i), table))
		data = append(data, record(i)...)
	}
	return data
}

func TestOlderFormat(t *testing.T) {
	golden.AssertBytes(t, checksummed(3), "format-1.journal")
	old, err := os.ReadFile(filepath.Join("testdata", "format-1.journal"))
	assert.NilError(t, err)
	fs := newFakeFS()
	fs.names[journalPath] = &node{content: old}
	j := openJournal(t, fs)
	assertPrefix(t, j.Records(), 3)
	assert.NilError(t, j.Append(record(3)))
	assert.Equal(t, binary.BigEndian.Uint32(fs.names[journalPath].content[8:]), uint32(2))
	assertPrefix(t, openJournal(t, fs).Records(), 4)
}

func TestNewerFormat(t *testing.T) {
	fs := newFakeFS()
	data := binary.BigEndian.AppendUint32([]byte("BANYANJL"), 99)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)))
	fs.names[journalPath] = &node{content: data}
	_, err := open(t, fs).OpenJournal("voter")
	assert.ErrorContains(t, err, "unknown format version 99")
}

func TestLock(t *testing.T) {
	folder := t.TempDir()
	store, err := journaler.Open(journaler.OS{}, folder)
	assert.NilError(t, err)
	_, err = journaler.Open(journaler.OS{}, folder)
	assert.ErrorContains(t, err, "open data folder")
	assert.NilError(t, store.Close())
	store, err = journaler.Open(journaler.OS{}, folder)
	assert.NilError(t, err)
	assert.NilError(t, store.WriteBlob("ledger", record(0)))
	j, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	assert.Equal(t, write(j, 3), 3)
	assert.NilError(t, j.Close())
	assert.ErrorIs(t, j.Append(record(3)), journaler.ErrClosed)
	again, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	assertPrefix(t, again.Records(), 3)
}

// TestClosedStore checks that nothing is written to a folder that is unlocked.
func TestClosedStore(t *testing.T) {
	fs := newFakeFS()
	store := open(t, fs)
	j, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	assert.Equal(t, write(j, 3), 3)
	assert.NilError(t, store.Close())
	for name, err := range map[string]error{
		"append":  j.Append(record(3)),
		"rewrite": j.Rewrite(nil),
		"blob":    store.WriteBlob("ledger", nil),
	} {
		assert.ErrorIs(t, err, journaler.ErrClosed, name)
	}
	assertPrefix(t, openJournal(t, fs).Records(), 3)
}

func FuzzOpenJournal(f *testing.F) {
	fs := newFakeFS()
	write(openJournal(f, fs), 3)
	f.Add(fs.names[journalPath].content)
	f.Add(checksummed(3))
	f.Add(checksummed(3)[:50])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newFakeFS()
		fs.names[journalPath] = &node{content: data}
		j, err := open(t, fs).OpenJournal("voter")
		if err != nil {
			return
		}
		// What is read can be written and is then read again.
		records := j.Records()
		assert.NilError(t, j.Append(record(9)))
		assert.DeepEqual(t, openJournal(t, fs).Records(), append(records, record(9)))
	})
}
