package bluebellwal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// ErrCorrupt is returned if a log file is damaged, so that acknowledged state may be lost.
var ErrCorrupt = errors.New("log is corrupt")

// recordType is the first byte of a record's payload.
type recordType byte

const (
	snapshotRecord recordType = iota + 1
	hardStateRecord
	entriesRecord
)

// headerSize is the length of a record header in bytes.
const headerSize = 12

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// headerChecksum returns the checksum of a record's payload length and its offset in the
// file. It covers the offset so that a record at the wrong offset is detected.
func headerChecksum(length uint32, offset uint64) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], length)
	binary.LittleEndian.PutUint64(b[4:], offset)
	return crc32.Checksum(b[:], castagnoliTable)
}

// appendRecord appends one record to buf, which is to be written at offset in the log file.
func appendRecord(buf []byte, offset uint64, t recordType, m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(t)}, m)
	if err != nil {
		return nil, fmt.Errorf("encode log record: %w", err)
	}
	length := uint32(len(payload))
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], length)
	binary.LittleEndian.PutUint32(header[4:], headerChecksum(length, offset+uint64(len(buf))))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoliTable))
	return append(append(buf, header[:]...), payload...), nil
}

// readRecords calls visit for each complete record and returns the length of these
// records. Any bytes after them belong to a record that was not written completely and so
// was never acknowledged. The error matches ErrCorrupt.
func readRecords(data []byte, visit func(t recordType, payload []byte) error) (int, error) {
	offset := 0
	for len(data)-offset >= headerSize {
		header := data[offset:]
		length := binary.LittleEndian.Uint32(header)
		if binary.LittleEndian.Uint32(header[4:]) != headerChecksum(length, uint64(offset)) || length == 0 {
			return offset, fmt.Errorf("%w: invalid record header at byte %d", ErrCorrupt, offset)
		}
		if uint64(len(data)-offset-headerSize) < uint64(length) {
			return offset, nil
		}
		payload := header[headerSize : headerSize+int(length)]
		if crc32.Checksum(payload, castagnoliTable) != binary.LittleEndian.Uint32(header[8:]) {
			return offset, fmt.Errorf("%w: payload checksum mismatch in the record at byte %d", ErrCorrupt, offset)
		}
		if err := visit(recordType(payload[0]), payload[1:]); err != nil {
			return offset, fmt.Errorf("%w: invalid record at byte %d: %w", ErrCorrupt, offset, err)
		}
		offset += headerSize + int(length)
	}
	return offset, nil
}
