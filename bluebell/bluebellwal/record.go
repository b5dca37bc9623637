package bluebellwal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// ErrCorrupt tells that confirmed state may be lost.
var ErrCorrupt = errors.New("log is corrupt")

type recordType byte

const (
	snapshotRecord recordType = iota + 1
	hardStateRecord
	entriesRecord
)

const headerSize = 12 // bytes

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// headerSum covers the place too, so that a misplaced record is noticed.
func headerSum(length uint32, place uint64) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], length)
	binary.LittleEndian.PutUint64(b[4:], place)
	return crc32.Checksum(b[:], castagnoli)
}

// appendRecord adds one record to buf, which will stand at place in its file.
func appendRecord(buf []byte, place uint64, t recordType, m proto.Message) ([]byte, error) {
	payload, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(t)}, m)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	length := uint32(len(payload))
	var head [headerSize]byte
	binary.LittleEndian.PutUint32(head[:], length)
	binary.LittleEndian.PutUint32(head[4:], headerSum(length, place+uint64(len(buf))))
	binary.LittleEndian.PutUint32(head[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buf, head[:]...), payload...), nil
}

// readRecords calls visit for each record and returns the length of what is
// whole. What follows, if anything, is the start of an unconfirmed record.
func readRecords(data []byte, visit func(t recordType, payload []byte) error) (int, error) {
	place := 0
	for len(data)-place >= headerSize {
		head := data[place:]
		length := binary.LittleEndian.Uint32(head)
		if binary.LittleEndian.Uint32(head[4:]) != headerSum(length, uint64(place)) || length == 0 {
			return place, fmt.Errorf("%w: header at byte %d", ErrCorrupt, place)
		}
		if uint64(len(data)-place-headerSize) < uint64(length) {
			return place, nil
		}
		payload := head[headerSize : headerSize+int(length)]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(head[8:]) {
			return place, fmt.Errorf("%w: payload at byte %d", ErrCorrupt, place)
		}
		if err := visit(recordType(payload[0]), payload[1:]); err != nil {
			return place, fmt.Errorf("%w: record at byte %d: %w", ErrCorrupt, place, err)
		}
		place += headerSize + int(length)
	}
	return place, nil
}
