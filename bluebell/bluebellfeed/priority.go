package bluebellfeed

import (
	"fmt"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// Unread tokens by priority are sent for the endpoints that have any. Priorities above the last that
// this release knows count as the last one.

// encodePriorities encodes tokens by priority without the zeros at the end.
func encodePriorities(t bluebellplacement.TokensByPriority) []uint64 {
	n := usedPriorities(t)
	if n == 0 {
		return nil
	}
	encoded := make([]uint64, n)
	for i := range encoded {
		encoded[i] = uint64(max(t[i], 0))
	}
	return encoded
}

// usedPriorities returns the number of priorities up to the last one that has tokens.
func usedPriorities(t bluebellplacement.TokensByPriority) int {
	for n := len(t); n > 0; n-- {
		if t[n-1] > 0 {
			return n
		}
	}
	return 0
}

// decodePriorities decodes the result of encodePriorities.
func decodePriorities(encoded []uint64) bluebellplacement.TokensByPriority {
	var t bluebellplacement.TokensByPriority
	for i, n := range encoded {
		t[min(i, len(t)-1)] += int(n)
	}
	return t
}

// addSign adds tokens by priority to a sum, or removes them if sign is -1.
func addSign(sum *bluebellplacement.TokensByPriority, part bluebellplacement.TokensByPriority, sign int) {
	for i, n := range part {
		sum[i] += sign * n
	}
}

// encodePriorityColumns sets the columns of a table for tokens by priority. rows holds them for each
// row of the table.
func encodePriorityColumns(t *pb.UseTable, rows []bluebellplacement.TokensByPriority) {
	count := 0
	for _, tokens := range rows {
		count = max(count, usedPriorities(tokens))
	}
	if count == 0 {
		return
	}
	t.PriorityCount = uint32(count)
	for row, tokens := range rows {
		if usedPriorities(tokens) == 0 {
			continue
		}
		t.PriorityRows = append(t.PriorityRows, uint32(row))
		for _, n := range tokens[:count] {
			t.PriorityUnread = append(t.PriorityUnread, uint64(max(n, 0)))
		}
	}
}

// decodePriorityColumns sets the tokens by priority of the uses of a table, which has one row for each.
func decodePriorityColumns(t *pb.UseTable, uses []Use) error {
	count := int(t.PriorityCount)
	if len(t.PriorityUnread) != count*len(t.PriorityRows) {
		return fmt.Errorf("%w: %d rows of %d priorities with %d values", errMalformedTable, len(t.PriorityRows), count, len(t.PriorityUnread))
	}
	for i, row := range t.PriorityRows {
		if int(row) >= len(uses) {
			return fmt.Errorf("%w: priorities of row %d of %d", errMalformedTable, row, len(uses))
		}
		uses[row].UnreadByPriority = decodePriorities(t.PriorityUnread[i*count : (i+1)*count])
	}
	return nil
}
