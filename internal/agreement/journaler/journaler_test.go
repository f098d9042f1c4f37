package journaler_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/bits"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
)

const (
	journalPath = "data/voter.journal"
	headerSize  = 16
	frameSize   = 20
)

func openStore(t testing.TB, fs journaler.FS) *journaler.Store {
	t.Helper()
	s, err := journaler.Open(fs, "data")
	assert.NilError(t, err)
	return s
}

func openJournal(t testing.TB, fs journaler.FS) *journaler.Journal {
	t.Helper()
	j, err := openStore(t, fs).OpenJournal("voter")
	assert.NilError(t, err)
	return j
}

func record(i int) []byte { return fmt.Appendf(nil, "record %d", i) }

// writeRecords writes n records, the first by Rewrite, and returns how many were
// acknowledged.
func writeRecords(j *journaler.Journal, n int) int {
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

// assertRecords checks that records are the first ones written: all acknowledged ones, and
// at most one more.
func assertRecords(t testing.TB, records [][]byte, acknowledged int) {
	t.Helper()
	assert.Assert(t, len(records) == acknowledged || len(records) == acknowledged+1, "%d records read, %d acknowledged", len(records), acknowledged)
	for i, r := range records {
		assert.Equal(t, string(r), string(record(i)))
	}
}

// TestAcknowledgedRecordsSurviveCrashAtAnyOperation fails all operations from the n-th on,
// crashes, and checks that every acknowledged record is read after the restart.
func TestAcknowledgedRecordsSurviveCrashAtAnyOperation(t *testing.T) {
	for n := range 20 {
		for _, unsyncedTail := range []int{0, 1, 9, 20, 1000} {
			for _, keepNames := range []bool{false, true} {
				fs := newFakeFS()
				fs.fail = failFrom(n, errIO)
				acknowledged := writeRecords(openJournal(t, fs), 5)
				afterCrash := fs.crash(unsyncedTail, keepNames)
				assertRecords(t, openJournal(t, afterCrash).Records(), acknowledged)
			}
		}
	}
}

// TestLostUnsyncedWriteBeforeKeptOneIsNoCorruption loses power during the sync of a record that
// follows unsynced ones, with each subset of these writes kept.
func TestLostUnsyncedWriteBeforeKeptOneIsNoCorruption(t *testing.T) {
	const synced, unsynced = 3, 3
	for mask := range 1 << (unsynced + 1) {
		t.Run(fmt.Sprintf("kept-%04b", mask), func(t *testing.T) {
			fs := newFakeFS()
			j := openJournal(t, fs)
			assert.Equal(t, writeRecords(j, synced), synced)
			for i := range unsynced {
				assert.NilError(t, j.AppendUnsynced(record(synced+i)))
			}
			fs.fail = failEvery(opSync, errIO)
			assert.ErrorIs(t, j.Append(record(synced+unsynced)), journaler.ErrDiskFailed)
			reopened := openJournal(t, fs.crashKeeping(mask))
			// Records up to the first lost one are read.
			kept := bits.TrailingZeros(^uint(mask))
			assert.Equal(t, len(reopened.Records()), synced+kept)
			assertRecords(t, reopened.Records(), synced+kept)
		})
	}
}

// TestRecordReadAtStartSurvivesPowerLoss ends a process before its sync. The next one starts on a
// full disk, relies on the record that it reads, and loses power.
func TestRecordReadAtStartSurvivesPowerLoss(t *testing.T) {
	fs := newFakeFS()
	j := openJournal(t, fs)
	assert.Equal(t, writeRecords(j, 3), 3)
	assert.NilError(t, j.AppendUnsynced(record(3)))
	fs.fail = failEvery(opWrite, errNoSpace)
	reopened := openJournal(t, fs)
	assertRecords(t, reopened.Records(), 4)
	assert.ErrorIs(t, reopened.Rewrite(reopened.Records()), journaler.ErrDiskFull)
	afterPowerLoss := openJournal(t, fs.crashKeeping(0))
	assert.Equal(t, len(afterPowerLoss.Records()), 4)
}

func TestTornRecordIsDropped(t *testing.T) {
	fs := newFakeFS()
	j := openJournal(t, fs)
	writeRecords(j, 3)
	completeSize := len(fs.files[journalPath].content)
	assert.NilError(t, j.AppendUnsynced(record(3)))
	content := fs.files[journalPath].content
	for size := completeSize; size < len(content); size++ {
		fs.files[journalPath] = &inode{content: content[:size]}
		reopened := openJournal(t, fs)
		assert.Equal(t, len(reopened.Records()), 3)
	}
	// A crash may also leave zeros at the end.
	fs.files[journalPath] = &inode{content: append(bytes.Clone(content[:completeSize]), make([]byte, 4096)...)}
	reopened := openJournal(t, fs)
	assert.NilError(t, reopened.Append(record(3)))
	assertRecords(t, openJournal(t, fs).Records(), 4)
}

func TestCorruptionBeforeLastRecordIsReported(t *testing.T) {
	fs := newFakeFS()
	writeRecords(openJournal(t, fs), 3)
	content := fs.files[journalPath].content
	lastRecord := len(content) - len(record(2)) - frameSize
	for offset := range lastRecord {
		damaged := bytes.Clone(content)
		damaged[offset] ^= 0x10
		fs.files[journalPath] = &inode{content: damaged}
		_, err := openStore(t, fs).OpenJournal("voter")
		var corrupt *journaler.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "offset %d: %v", offset, err)
		assert.Equal(t, corrupt.File(), journalPath)
		assert.Equal(t, corrupt.Offset(), recordStart(offset))
	}
}

// recordStart returns where the header or record that contains the offset starts.
func recordStart(offset int) int64 {
	if offset < headerSize {
		return 0
	}
	size := frameSize + len(record(0))
	return int64(headerSize + (offset-headerSize)/size*size)
}

func TestMissingRecordIsReported(t *testing.T) {
	fs := newFakeFS()
	writeRecords(openJournal(t, fs), 4)
	size := frameSize + len(record(0))
	content := fs.files[journalPath].content
	withoutSecond := append(bytes.Clone(content[:headerSize+size]), content[headerSize+2*size:]...)
	fs.files[journalPath] = &inode{content: withoutSecond}
	_, err := openStore(t, fs).OpenJournal("voter")
	assert.ErrorContains(t, err, "corrupt at offset 44: record missing")
}

func TestWritesAreRefusedAfterDiskFailure(t *testing.T) {
	for _, op := range []operation{opSync, opSyncFolder, opRename} {
		t.Run(string(op), func(t *testing.T) {
			fs := newFakeFS()
			store := openStore(t, fs)
			j, err := store.OpenJournal("voter")
			assert.NilError(t, err)
			writeRecords(j, 2)
			fs.fail = failEvery(op, errIO)
			if op == opSync {
				assert.ErrorIs(t, j.Append(record(2)), journaler.ErrDiskFailed)
			} else {
				assert.ErrorIs(t, j.Rewrite([][]byte{record(0)}), journaler.ErrDiskFailed)
			}
			fs.fail = nil
			assert.ErrorIs(t, j.Append(record(2)), journaler.ErrDiskFailed)
			assert.ErrorIs(t, j.AppendUnsynced(record(2)), journaler.ErrDiskFailed)
			assert.ErrorIs(t, store.WriteBlob("ledger", record(0)), journaler.ErrDiskFailed)
		})
	}
}

func TestFullDiskRefusesWritesAndKeepsContent(t *testing.T) {
	fs := newFakeFS()
	store := openStore(t, fs)
	j, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	writeRecords(j, 2)
	assert.NilError(t, store.WriteBlob("ledger", record(0)))
	fs.fail = failEvery(opWrite, errNoSpace)
	assert.ErrorIs(t, j.Append(record(2)), journaler.ErrDiskFull)
	assert.ErrorIs(t, j.Rewrite([][]byte{record(0)}), journaler.ErrDiskFull)
	assert.ErrorIs(t, store.WriteBlob("ledger", record(1)), journaler.ErrDiskFull)
	assert.Equal(t, len(fs.files), 2, "a partial temporary file remains")
	// A process that starts on a full disk can still read.
	reopened := openJournal(t, fs)
	assertRecords(t, reopened.Records(), 2)
	assert.ErrorIs(t, reopened.Append(record(2)), journaler.ErrDiskFull)
	blob, err := store.ReadBlob("ledger")
	assert.NilError(t, err)
	assert.Equal(t, string(blob), string(record(0)))
	fs.fail = nil
	assert.NilError(t, j.Append(record(2)))
	assertRecords(t, openJournal(t, fs).Records(), 3)
	assert.NilError(t, reopened.Append(record(2)))
	assertRecords(t, openJournal(t, fs).Records(), 3)
}

func TestBlobIsReplacedAtomically(t *testing.T) {
	fs := newFakeFS()
	store := openStore(t, fs)
	_, err := store.ReadBlob("ledger")
	assert.ErrorIs(t, err, journaler.ErrNotFound)
	assert.NilError(t, store.WriteBlob("ledger", record(0)))
	// WriteBlob takes five operations. The first failing one varies from first to last.
	for n := fs.operations + 1; n < fs.operations+6; n++ {
		afterCrash := fs.crash(0, true)
		afterCrash.fail = failFrom(n-fs.operations, errIO)
		assert.Assert(t, openStore(t, afterCrash).WriteBlob("ledger", record(1)) != nil || n == fs.operations+5)
		afterCrash = afterCrash.crash(3, false)
		blob, err := openStore(t, afterCrash).ReadBlob("ledger")
		assert.NilError(t, err)
		assert.Assert(t, string(blob) == string(record(0)) || n == fs.operations+5)
	}
	fs.files["data/ledger.blob"].content[20] ^= 1
	_, err = store.ReadBlob("ledger")
	assert.ErrorContains(t, err, "data/ledger.blob: corrupt at offset 16")
}

// format1Journal returns a journal of n records in format version 1.
func format1Journal(n int) []byte {
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

func TestOlderFormatIsReadAndUpgraded(t *testing.T) {
	golden.AssertBytes(t, format1Journal(3), "format-1.journal")
	old, err := os.ReadFile(filepath.Join("testdata", "format-1.journal"))
	assert.NilError(t, err)
	fs := newFakeFS()
	fs.files[journalPath] = &inode{content: old}
	j := openJournal(t, fs)
	assertRecords(t, j.Records(), 3)
	assert.NilError(t, j.Append(record(3)))
	assert.Equal(t, binary.BigEndian.Uint32(fs.files[journalPath].content[8:]), uint32(3))
	assertRecords(t, openJournal(t, fs).Records(), 4)
}

// format2Journal returns a journal of n records in format version 2.
func format2Journal(n int) []byte {
	table := crc32.MakeTable(crc32.Castagnoli)
	data := binary.BigEndian.AppendUint32([]byte("BANYANJL"), 2)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(data, table))
	for i := range n {
		covered := binary.BigEndian.AppendUint32(nil, uint32(len(record(i))))
		covered = binary.BigEndian.AppendUint64(covered, uint64(i)+1)
		covered = append(covered, record(i)...)
		data = append(data, covered[:4]...)
		data = binary.BigEndian.AppendUint32(data, crc32.Checksum(covered, table))
		data = append(data, covered[4:]...)
	}
	return data
}

func TestNumberedFormatIsReadAndUpgraded(t *testing.T) {
	fs := newFakeFS()
	fs.files[journalPath] = &inode{content: format2Journal(3)}
	j := openJournal(t, fs)
	assertRecords(t, j.Records(), 3)
	assert.NilError(t, j.Append(record(3)))
	assert.Equal(t, binary.BigEndian.Uint32(fs.files[journalPath].content[8:]), uint32(3))
	assertRecords(t, openJournal(t, fs).Records(), 4)
}

func TestUnknownFormatIsRejected(t *testing.T) {
	fs := newFakeFS()
	data := binary.BigEndian.AppendUint32([]byte("BANYANJL"), 99)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)))
	fs.files[journalPath] = &inode{content: data}
	_, err := openStore(t, fs).OpenJournal("voter")
	assert.ErrorContains(t, err, "unknown format version 99")
}

func TestDataFolderIsLockedUntilClosed(t *testing.T) {
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
	assert.Equal(t, writeRecords(j, 3), 3)
	assert.NilError(t, j.Close())
	assert.ErrorIs(t, j.Append(record(3)), journaler.ErrClosed)
	reopened, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	assertRecords(t, reopened.Records(), 3)
}

// TestClosedStoreRefusesWrites checks that nothing is written after the folder is unlocked.
func TestClosedStoreRefusesWrites(t *testing.T) {
	fs := newFakeFS()
	store := openStore(t, fs)
	j, err := store.OpenJournal("voter")
	assert.NilError(t, err)
	assert.Equal(t, writeRecords(j, 3), 3)
	assert.NilError(t, store.Close())
	for name, err := range map[string]error{
		"append":  j.Append(record(3)),
		"rewrite": j.Rewrite(nil),
		"blob":    store.WriteBlob("ledger", nil),
	} {
		assert.ErrorIs(t, err, journaler.ErrClosed, name)
	}
	assertRecords(t, openJournal(t, fs).Records(), 3)
}

func FuzzOpenJournal(f *testing.F) {
	fs := newFakeFS()
	writeRecords(openJournal(f, fs), 3)
	f.Add(fs.files[journalPath].content)
	f.Add(format1Journal(3))
	f.Add(format1Journal(3)[:50])
	f.Add(format2Journal(3))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newFakeFS()
		fs.files[journalPath] = &inode{content: data}
		j, err := openStore(t, fs).OpenJournal("voter")
		if err != nil {
			return
		}
		// Records that can be read can be rewritten and read again.
		records := j.Records()
		assert.NilError(t, j.Append(record(9)))
		assert.DeepEqual(t, openJournal(t, fs).Records(), append(records, record(9)))
	})
}
