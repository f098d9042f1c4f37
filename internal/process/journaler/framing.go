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
	// versionChecksummed frames a record by its length and the checksum of its content.
	versionChecksummed = 1
	// versionNumbered also numbers the records and covers the frame by the checksum.
	versionNumbered = 2
	currentVersion  = versionNumbered
)

// Sizes of a record's frame, in bytes.
const (
	checksummedFrame = 8
	numberedFrame    = 16
)

// maxRecordSize bounds a record, in bytes.
const maxRecordSize = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// framing reads the records of one version of the format.
type framing struct {
	frameSize int
	// valid reports whether a whole record with the given content and a
	// number above last has the frame.
	valid func(frame, content []byte, last uint64) bool
	// number returns the record's number, given the one before it.
	number func(frame []byte, last uint64) uint64
}

// framings lists the versions that can be read.
var framings = map[uint32]*framing{
	versionChecksummed: {
		frameSize: checksummedFrame,
		valid: func(frame, content []byte, _ uint64) bool {
			return binary.BigEndian.Uint32(frame[4:]) == checksum(content)
		},
		number: func(_ []byte, last uint64) uint64 { return last + 1 },
	},
	versionNumbered: {
		frameSize: numberedFrame,
		valid: func(frame, content []byte, last uint64) bool {
			if binary.BigEndian.Uint64(frame[8:]) <= last {
				return false
			}
			return binary.BigEndian.Uint32(frame[4:]) == numberedChecksum(frame, content)
		},
		number: func(frame []byte, _ uint64) uint64 { return binary.BigEndian.Uint64(frame[8:]) },
	},
}

// readAll returns the records that follow the header. An invalid rest of the
// file is a torn record if no valid record follows it.
func (f *framing) readAll(path string, data []byte) ([][]byte, error) {
	var records [][]byte
	var last uint64
	for offset := headerSize; offset < len(data); {
		content, ok := f.read(data[offset:], last)
		if !ok {
			if f.anyValid(data[offset+1:], last) {
				return nil, &CorruptError{file: path, offset: int64(offset), reason: "invalid record before valid ones"}
			}
			return records, nil
		}
		number := f.number(data[offset:offset+f.frameSize], last)
		if number != last+1 {
			return nil, &CorruptError{file: path, offset: int64(offset), reason: "record missing"}
		}
		last = number
		records = append(records, content)
		offset += f.frameSize + len(content)
	}
	return records, nil
}

// read returns the content of the record at the start of data.
func (f *framing) read(data []byte, last uint64) ([]byte, bool) {
	if len(data) < f.frameSize {
		return nil, false
	}
	size := int64(binary.BigEndian.Uint32(data))
	if size == 0 || size > maxRecordSize || size > int64(len(data)-f.frameSize) {
		return nil, false
	}
	content := data[f.frameSize : f.frameSize+int(size)]
	return content, f.valid(data[:f.frameSize], content, last)
}

// anyValid reports whether a valid record starts anywhere in data.
func (f *framing) anyValid(data []byte, last uint64) bool {
	for offset := range data {
		if _, ok := f.read(data[offset:], last); ok {
			return true
		}
	}
	return false
}

func appendRecord(data []byte, number uint64, content []byte) []byte {
	var frame [numberedFrame]byte
	binary.BigEndian.PutUint32(frame[:], uint32(len(content)))
	binary.BigEndian.PutUint64(frame[8:], number)
	binary.BigEndian.PutUint32(frame[4:], numberedChecksum(frame[:], content))
	data = append(data, frame[:]...)
	return append(data, content...)
}

func numberedChecksum(frame, content []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:4])
	sum = crc32.Update(sum, castagnoli, frame[8:numberedFrame])
	return crc32.Update(sum, castagnoli, content)
}

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
