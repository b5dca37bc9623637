package bluebellfeed

import (
	"fmt"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// Load reports of endpoints are exchanged like limits: the latest that any entry has got counts.

// encodeLoadReport encodes a report at the time now, nil if there is none.
func encodeLoadReport(r bluebellplacement.LoadReport, now time.Duration) *pb.LoadReport {
	if r.At == 0 {
		return nil
	}
	return &pb.LoadReport{
		Running: uint32(max(r.Running, 0)), Waiting: uint32(max(r.Waiting, 0)), Slots: uint32(max(r.Slots, 0)),
		WorkPercent: uint32(max(r.WorkPercent, 0)), AgeMillis: millisSince(r.At, now),
	}
}

// decodeLoadReport decodes the result of encodeLoadReport.
func decodeLoadReport(m *pb.LoadReport, now time.Duration) bluebellplacement.LoadReport {
	if m == nil {
		return bluebellplacement.LoadReport{}
	}
	return bluebellplacement.LoadReport{
		Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), WorkPercent: int(m.WorkPercent),
		At: timeOfAnswer(now, time.Duration(m.AgeMillis)*time.Millisecond),
	}
}

// addLoadReport adds the report of the endpoint in a row to a table, if there is one.
func addLoadReport(t *pb.UseTable, row int, r bluebellplacement.LoadReport, now time.Duration) {
	m := encodeLoadReport(r, now)
	if m == nil {
		return
	}
	t.ReportRows = append(t.ReportRows, uint32(row))
	t.ReportRunning, t.ReportWaiting = append(t.ReportRunning, m.Running), append(t.ReportWaiting, m.Waiting)
	t.ReportSlots, t.ReportWorkPercent = append(t.ReportSlots, m.Slots), append(t.ReportWorkPercent, m.WorkPercent)
	t.ReportMillis = append(t.ReportMillis, m.AgeMillis)
}

// decodeLoadReports sets the reports of a table that arrived at the time now. It returns
// errMalformedTable if the columns differ in length or name a row that does not exist.
func decodeLoadReports(t *pb.UseTable, uses []Use, now time.Duration) error {
	n := len(t.ReportRows)
	for _, length := range []int{len(t.ReportRunning), len(t.ReportWaiting), len(t.ReportSlots), len(t.ReportWorkPercent), len(t.ReportMillis)} {
		if length != n {
			return fmt.Errorf("%w: %d load reports with %d values", errMalformedTable, n, length)
		}
	}
	for i, row := range t.ReportRows {
		if int(row) >= len(uses) {
			return fmt.Errorf("%w: load report of row %d of %d", errMalformedTable, row, len(uses))
		}
		uses[row].Report = decodeLoadReport(&pb.LoadReport{
			Running: t.ReportRunning[i], Waiting: t.ReportWaiting[i], Slots: t.ReportSlots[i], WorkPercent: t.ReportWorkPercent[i], AgeMillis: t.ReportMillis[i],
		}, now)
	}
	return nil
}
