package journaler

import (
	"encoding/binary"
	"hash/crc32"
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
	currentVersion  = versionNumbered
)

// Sizes of the frame that precedes a record's content, in bytes.
const (
	checksummedFrameSize = 8
	numberedFrameSize    = 16
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
}

// framingByVersion maps the readable format versions to their framing.
var framingByVersion = map[uint32]*framing{
	versionChecksummed: {
		frameSize: checksummedFrameSize,
		valid: func(frame, content []byte, _ uint64) bool {
			return binary.BigEndian.Uint32(frame[4:]) == checksum(content)
		},
		number: func(_ []byte, lastNumber uint64) uint64 { return lastNumber + 1 },
	},
	versionNumbered: {
		frameSize: numberedFrameSize,
		valid: func(frame, content []byte, lastNumber uint64) bool {
			if binary.BigEndian.Uint64(frame[8:]) <= lastNumber {
				return false
			}
			return binary.BigEndian.Uint32(frame[4:]) == numberedChecksum(frame, content)
		},
		number: func(frame []byte, _ uint64) uint64 { return binary.BigEndian.Uint64(frame[8:]) },
	},
}

// readRecords returns the records that follow the header. Invalid data at the end of the
// file is dropped as a torn record, but is reported as corruption if it contains a valid
// record.
func (f *framing) readRecords(path string, data []byte) ([][]byte, error) {
	var records [][]byte
	var lastNumber uint64
	for offset := headerSize; offset < len(data); {
		content, ok := f.readRecord(data[offset:], lastNumber)
		if !ok {
			if f.containsRecord(data[offset+1:], lastNumber) {
				return nil, &CorruptError{file: path, offset: int64(offset), reason: "invalid record followed by a valid one"}
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

// containsRecord reports whether a valid record starts anywhere in data.
func (f *framing) containsRecord(data []byte, lastNumber uint64) bool {
	for offset := range data {
		if _, ok := f.readRecord(data[offset:], lastNumber); ok {
			return true
		}
	}
	return false
}

// appendRecord appends a record in the current format to data.
func appendRecord(data []byte, number uint64, content []byte) []byte {
	var frame [numberedFrameSize]byte
	binary.BigEndian.PutUint32(frame[:], uint32(len(content)))
	binary.BigEndian.PutUint64(frame[8:], number)
	binary.BigEndian.PutUint32(frame[4:], numberedChecksum(frame[:], content))
	data = append(data, frame[:]...)
	return append(data, content...)
}

// numberedChecksum returns the checksum of a record of versionNumbered: over its frame,
// without the checksum field, and its content.
func numberedChecksum(frame, content []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:4])
	sum = crc32.Update(sum, castagnoli, frame[8:numberedFrameSize])
	return crc32.Update(sum, castagnoli, content)
}

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
