package journaler

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Layout of a file's header, in bytes.
const (
	magic          = "BANYANJL"
	versionOffset  = 8
	checksumOffset = 12
	headerSize     = 16
)

// Versions of the format.
const (
	// versionChecksummed frames each record with its length and a checksum of its
	// content.
	versionChecksummed = 1
	// versionNumbered also numbers the records, and its checksum covers the frame.
	versionNumbered = 2
	// versionSyncPoints also stores how many records before each one were not synced when
	// it was written.
	versionSyncPoints = 3
	currentVersion    = versionSyncPoints
)

// Sizes of the frame that precedes a record's content, in bytes.
const (
	checksummedFrameSize = 8
	numberedFrameSize    = 16
	syncPointsFrameSize  = 20
)

// maxRecordSize is the maximum size of a record's content, in bytes.
const maxRecordSize = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// framing describes the record frames of one format version.
type framing struct {
	frameSize int
	// valid reports whether frame has the right checksum and, if records are numbered,
	// a number above lastNumber.
	valid func(frame, content []byte, lastNumber uint64) bool
	// number returns the record's number, given that of the previous record.
	number func(frame []byte, lastNumber uint64) uint64
	// synced returns the number of the last record that was synced when the record with
	// the given number was written, or that number if the format does not store it.
	synced func(frame []byte, number uint64) uint64
}

// framingByVersion maps the readable format versions to their framing.
var framingByVersion = map[uint32]*framing{
	versionChecksummed: {
		frameSize: checksummedFrameSize,
		valid: func(frame, content []byte, _ uint64) bool {
			return binary.BigEndian.Uint32(frame[4:]) == checksum(content)
		},
		number: func(_ []byte, lastNumber uint64) uint64 { return lastNumber + 1 },
		synced: func(_ []byte, number uint64) uint64 { return number },
	},
	versionNumbered: {
		frameSize: numberedFrameSize,
		valid:     validNumbered,
		number:    storedNumber,
		synced:    func(_ []byte, number uint64) uint64 { return number },
	},
	versionSyncPoints: {
		frameSize: syncPointsFrameSize,
		valid:     validNumbered,
		number:    storedNumber,
		synced: func(frame []byte, number uint64) uint64 {
			return number - 1 - min(uint64(binary.BigEndian.Uint32(frame[16:])), number-1)
		},
	},
}

// validNumbered implements framing.valid for records that store their number.
func validNumbered(frame, content []byte, lastNumber uint64) bool {
	if storedNumber(frame, lastNumber) <= lastNumber {
		return false
	}
	return binary.BigEndian.Uint32(frame[4:]) == numberedChecksum(frame, content)
}

// storedNumber implements framing.number for records that store their number.
func storedNumber(frame []byte, _ uint64) uint64 { return binary.BigEndian.Uint64(frame[8:]) }

// readRecords returns the records that follow the header, up to the first one that a crash
// lost or tore before it was synced. An invalid one is reported as corruption if a later
// record shows that it was synced.
func (f *framing) readRecords(path string, data []byte) ([][]byte, error) {
	var records [][]byte
	var lastNumber uint64
	for offset := headerSize; offset < len(data); {
		content, ok := f.readRecord(data[offset:], lastNumber)
		if !ok {
			if f.wasSynced(data[offset+1:], lastNumber) {
				return nil, &CorruptError{file: path, offset: int64(offset), reason: "invalid record that was synced"}
			}
			return records, nil
		}
		number := f.number(data[offset:offset+f.frameSize], lastNumber)
		if number != lastNumber+1 {
			return nil, &CorruptError{file: path, offset: int64(offset), reason: "record missing"}
		}
		lastNumber = number
		records = append(records, content)
		offset += f.frameSize + len(content)
	}
	return records, nil
}

// readRecord returns the content of the record at the start of data, and whether it is
// complete and valid.
func (f *framing) readRecord(data []byte, lastNumber uint64) ([]byte, bool) {
	if len(data) < f.frameSize {
		return nil, false
	}
	size := int64(binary.BigEndian.Uint32(data))
	if size == 0 || size > maxRecordSize || size > int64(len(data)-f.frameSize) {
		return nil, false
	}
	content := data[f.frameSize : f.frameSize+int(size)]
	return content, f.valid(data[:f.frameSize], content, lastNumber)
}

// wasSynced reports whether a valid record anywhere in data shows that the record after
// lastNumber was synced.
func (f *framing) wasSynced(data []byte, lastNumber uint64) bool {
	for offset := range data {
		if _, ok := f.readRecord(data[offset:], lastNumber); !ok {
			continue
		}
		frame := data[offset : offset+f.frameSize]
		if f.synced(frame, f.number(frame, lastNumber)) > lastNumber {
			return true
		}
	}
	return false
}

// appendRecord appends a record in the current format to data. Of the records before it,
// the last unsynced ones are not synced yet.
func appendRecord(data []byte, number, unsynced uint64, content []byte) []byte {
	var frame [syncPointsFrameSize]byte
	binary.BigEndian.PutUint32(frame[:], uint32(len(content)))
	binary.BigEndian.PutUint64(frame[8:], number)
	binary.BigEndian.PutUint32(frame[16:], uint32(min(unsynced, math.MaxUint32)))
	binary.BigEndian.PutUint32(frame[4:], numberedChecksum(frame[:], content))
	data = append(data, frame[:]...)
	return append(data, content...)
}

// numberedChecksum returns the checksum of a record that stores its number: over its frame,
// without the checksum field, and its content.
func numberedChecksum(frame, content []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:4])
	sum = crc32.Update(sum, castagnoli, frame[8:])
	return crc32.Update(sum, castagnoli, content)
}

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
