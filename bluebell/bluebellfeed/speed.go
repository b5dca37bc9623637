package bluebellfeed

import (
	"fmt"
	"math"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// Estimated speeds of engines are exchanged as their mean over the entries, weighted by calls.

// maxSpeedCalls bounds the calls that the estimate of one message is based on, so that sums over all
// entries do not overflow.
const maxSpeedCalls = 1 << 16

// speedTables is the number of tables for entries of which one contains the speeds. These change slowly,
// and would be a quarter of what an entry receives.
const speedTables = 5

// encodeSpeed returns the mean rate in tokens a second, and the number of calls.
func encodeSpeed(s bluebellplacement.Speed) (rate, calls uint32) {
	if s.Calls <= 0 {
		return 0, 0
	}
	return uint32(min(max(s.TokensPerSecond(), 0), math.MaxUint32)), uint32(min(s.Calls, maxSpeedCalls))
}

// decodeSpeed decodes the result of encodeSpeed.
func decodeSpeed(rate, calls uint32) bluebellplacement.Speed {
	return bluebellplacement.NewSpeed(float64(rate), int(min(calls, maxSpeedCalls)))
}

// addSpeed adds the speed of the endpoint in a row to a table, if it is known.
func addSpeed(t *pb.UseTable, row int, s bluebellplacement.Speed) {
	if rate, calls := encodeSpeed(s); calls > 0 {
		t.RateRows, t.PrefillRates, t.PrefillCalls = append(t.RateRows, uint32(row)), append(t.PrefillRates, rate), append(t.PrefillCalls, calls)
	}
}

// decodeSpeeds sets the speeds of a table. It returns errMalformedTable if the columns differ in length
// or name a row that does not exist.
func decodeSpeeds(t *pb.UseTable, uses []Use) error {
	if len(t.PrefillRates) != len(t.RateRows) || len(t.PrefillCalls) != len(t.RateRows) {
		return fmt.Errorf("%w: %d speeds with %d and %d values", errMalformedTable, len(t.RateRows), len(t.PrefillRates), len(t.PrefillCalls))
	}
	for i, row := range t.RateRows {
		if int(row) >= len(uses) {
			return fmt.Errorf("%w: speed of row %d of %d", errMalformedTable, row, len(uses))
		}
		uses[row].Speed = decodeSpeed(t.PrefillRates[i], t.PrefillCalls[i])
	}
	return nil
}
