package bluebellfeed

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// Uses are reported as a list of messages, one for each endpoint that an entry uses. Sums over
// all entries are sent as columns, since they are much longer and are sent more often.

// Use describes the calls in flight at an endpoint, or the fetches in flight at a cache store.
type Use struct {
	// Endpoint is the ID of the endpoint, or the address of the store.
	Endpoint string
	// Calls is the number of calls, or of large fetches.
	Calls int
	// Tokens is the memory that the calls take, Unread the number of prompt tokens that are
	// not known to have been processed. Both are in tokens.
	Tokens, Unread int
	// UnreadByPriority is the part of Unread that belongs to calls of each priority, where they are known.
	UnreadByPriority bluebellplacement.TokensByPriority
	// Failing is the number of entries with a recent failure and no answer since.
	Failing int
	// AnsweredAt is the time of the last answer on the clock of this process, 0 if there was
	// no recent one.
	AnsweredAt time.Duration
	// Waited is the sum of the times that large fetches are overdue.
	Waited time.Duration
	// Limit is the latest that the endpoint has said about the number of calls a second that it takes,
	// Brittle about the number that it can turn away.
	Limit, Brittle bluebellplacement.RateLimit
	// Report is the latest load report of the endpoint.
	Report bluebellplacement.LoadReport
	// Speed is the estimated speed of an engine.
	Speed bluebellplacement.Speed
}

// minus returns the use without a part of it. The last answer and limits stay: they are the latest.
func (u Use) minus(part Use) Use {
	u.Calls = max(u.Calls-part.Calls, 0)
	u.Tokens = max(u.Tokens-part.Tokens, 0)
	u.Unread = max(u.Unread-part.Unread, 0)
	u.UnreadByPriority = u.UnreadByPriority.Sub(part.UnreadByPriority)
	u.Failing = max(u.Failing-part.Failing, 0)
	u.Waited = max(u.Waited-part.Waited, 0)
	u.Speed = u.Speed.Minus(part.Speed)
	return u
}

// encodeReport encodes the uses that an entry reports at the time now.
func encodeReport(uses []Use, now time.Duration) []*pb.EndpointUse {
	list := make([]*pb.EndpointUse, 0, len(uses))
	for _, u := range uses {
		m := &pb.EndpointUse{
			Endpoint: u.Endpoint, Calls: uint32(max(u.Calls, 0)), Tokens: uint64(max(u.Tokens, 0)),
			Unread: uint64(max(u.Unread, 0)), Failing: uint32(max(u.Failing, 0)),
			UnreadByPriority: encodePriorities(u.UnreadByPriority),
		}
		if u.AnsweredAt > 0 {
			m.AnsweredAgo = durationpb.New(now - u.AnsweredAt)
		}
		if u.Waited > 0 {
			m.Waited = durationpb.New(u.Waited)
		}
		m.LimitThousandths, m.LimitMillis = encodeLimit(u.Limit, now)
		m.BrittleThousandths, m.BrittleMillis = encodeLimit(u.Brittle, now)
		m.Report = encodeLoadReport(u.Report, now)
		m.PrefillRate, m.PrefillCalls = encodeSpeed(u.Speed)
		list = append(list, m)
	}
	return list
}

// decodeReport decodes a use that was reported at the time now.
func decodeReport(m *pb.EndpointUse, now time.Duration) Use {
	u := Use{
		Endpoint: m.Endpoint, Calls: int(m.Calls), Tokens: int(m.Tokens), Unread: int(m.Unread), Failing: int(m.Failing),
		Waited: m.Waited.AsDuration(), UnreadByPriority: decodePriorities(m.UnreadByPriority),
	}
	if m.AnsweredAgo != nil {
		u.AnsweredAt = timeOfAnswer(now, m.AnsweredAgo.AsDuration())
	}
	u.Limit = decodeLimit(m.LimitThousandths, m.LimitMillis, now)
	u.Brittle = decodeLimit(m.BrittleThousandths, m.BrittleMillis, now)
	u.Report = decodeLoadReport(m.Report, now)
	u.Speed = decodeSpeed(m.PrefillRate, m.PrefillCalls)
	return u
}

// maxLimitThousandths bounds the limits that are sent: no endpoint takes that many calls.
const maxLimitThousandths = 1e12

// encodeLimit encodes a limit at the time now: 0 if nothing is known, 1 for no limit, and otherwise
// 2 plus its thousandths of a call a second; and the milliseconds since it was heard.
func encodeLimit(l bluebellplacement.RateLimit, now time.Duration) (thousandths uint64, millis uint32) {
	switch {
	case l.At == 0:
		return 0, 0
	case !l.Named:
		return 1, millisSince(l.At, now)
	}
	return 2 + uint64(math.Round(min(max(1000*l.PerSecond, 0), maxLimitThousandths))), millisSince(l.At, now)
}

// decodeLimit decodes the result of encodeLimit.
func decodeLimit(thousandths uint64, millis uint32, now time.Duration) bluebellplacement.RateLimit {
	l := bluebellplacement.RateLimit{At: timeOfAnswer(now, time.Duration(millis)*time.Millisecond)}
	switch {
	case thousandths == 0:
		return bluebellplacement.RateLimit{}
	case thousandths >= 2:
		l.Named, l.PerSecond = true, float64(thousandths-2)/1000
	}
	return l
}

// timeOfAnswer returns when an answer came that is ago old. It is never 0, which means none,
// also for an answer from before the start of this process.
func timeOfAnswer(now, ago time.Duration) time.Duration { return max(now-ago, 1) }

// errMalformedTable means that the columns of a table differ in length or name an endpoint
// whose name was not sent.
var errMalformedTable = errors.New("table of uses is malformed")

// decodeTable decodes the sums that a source sent at the time now.
func decodeTable(encoded []byte, names []string, now time.Duration) ([]Use, error) {
	var t pb.UseTable
	if err := proto.Unmarshal(encoded, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedTable, err)
	}
	n := len(t.Names)
	for _, length := range []int{len(t.Calls), len(t.Tokens), len(t.Unread), len(t.Failing), len(t.AnsweredMillis), len(t.WaitedMillis)} {
		if length != n {
			return nil, fmt.Errorf("%w: columns of %d and %d elements", errMalformedTable, n, length)
		}
	}
	uses := make([]Use, n)
	for i, name := range t.Names {
		if int(name) >= len(names) {
			return nil, fmt.Errorf("%w: name %d of %d", errMalformedTable, name, len(names))
		}
		uses[i] = Use{
			Endpoint: names[name], Calls: int(t.Calls[i]), Tokens: int(t.Tokens[i]), Unread: int(t.Unread[i]), Failing: int(t.Failing[i]),
			Waited: time.Duration(t.WaitedMillis[i]) * time.Millisecond,
		}
		if millis := t.AnsweredMillis[i]; millis > 0 {
			uses[i].AnsweredAt = timeOfAnswer(now, time.Duration(millis-1)*time.Millisecond)
		}
	}
	if err := decodePriorityColumns(&t, uses); err != nil {
		return nil, err
	}
	limits := limitColumns{t.LimitRows, t.LimitThousandths, t.LimitMillis}
	if err := limits.decode(now, n, func(row int, l bluebellplacement.RateLimit) { uses[row].Limit = l }); err != nil {
		return nil, err
	}
	brittle := limitColumns{t.BrittleRows, t.BrittleThousandths, t.BrittleMillis}
	if err := brittle.decode(now, n, func(row int, l bluebellplacement.RateLimit) { uses[row].Brittle = l }); err != nil {
		return nil, err
	}
	if err := decodeLoadReports(&t, uses, now); err != nil {
		return nil, err
	}
	if err := decodeSpeeds(&t, uses); err != nil {
		return nil, err
	}
	return uses, nil
}

// limitColumns are the columns of a table for a limit that few endpoints name: their rows, and for each
// the values of encodeLimit.
type limitColumns struct {
	rows        []uint32
	thousandths []uint64
	millis      []uint32
}

// add adds a limit to the columns, if anything is known.
func (c *limitColumns) add(row int, l bluebellplacement.RateLimit, now time.Duration) {
	if thousandths, millis := encodeLimit(l, now); thousandths > 0 {
		c.rows, c.thousandths, c.millis = append(c.rows, uint32(row)), append(c.thousandths, thousandths), append(c.millis, millis)
	}
}

// decode calls set for each limit of a table with a number of rows.
func (c *limitColumns) decode(now time.Duration, rows int, set func(row int, l bluebellplacement.RateLimit)) error {
	if len(c.thousandths) != len(c.rows) || len(c.millis) != len(c.rows) {
		return fmt.Errorf("%w: %d limits with %d and %d values", errMalformedTable, len(c.rows), len(c.thousandths), len(c.millis))
	}
	for i, row := range c.rows {
		if int(row) >= rows {
			return fmt.Errorf("%w: limit of row %d of %d", errMalformedTable, row, rows)
		}
		set(int(row), decodeLimit(c.thousandths[i], c.millis[i], now))
	}
	return nil
}
