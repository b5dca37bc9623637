package bluebellusage

import (
	"cmp"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// DefaultDue is the time after the end of a window within which its report is due if the settings name none.
const DefaultDue = 10 * time.Second

// Reporter selects the decided windows that the holder of the duty sends to the provider. It keeps no state: a
// window is returned until the replicated state records that it was sent, always with the same counts.
type Reporter struct {
	// Window is the length of a window. If it is 0, there is nothing to send.
	Window time.Duration
	// Due is the time after the end of a window within which its report is due, DefaultDue if it is 0.
	Due time.Duration
	// Core returns the replicated state, which is not modified.
	Core func() *pb.CoreState
}

// Next returns the decided window to send next, the names of its customers and their counts, and in how much time
// its report is due. dueIn is negative if the report is late. now is the time of day. A window that can still be
// in time goes before one that is late; of each the oldest is first. ok is false if there is nothing to send. The
// lists must not be modified.
func (r *Reporter) Next(now time.Time) (window int64, customers []string, counts []uint64, dueIn time.Duration, ok bool) {
	if r.Window <= 0 {
		return 0, nil, nil, 0, false
	}
	var next *pb.DecideUsage
	for _, d := range r.Core().GetUsage() {
		if d.Sent || d.Usage == nil {
			continue
		}
		in := r.dueIn(d.Usage.Window, now)
		if next == nil || dueIn < 0 && in >= 0 {
			next, dueIn = d.Usage, in
		}
	}
	if next == nil {
		return 0, nil, nil, 0, false
	}
	return next.Window, next.Customers, next.Counts, dueIn, true
}

// dueIn returns the time until the report of a window is due.
func (r *Reporter) dueIn(window int64, now time.Time) time.Duration {
	return EndOf(window, r.Window).Add(cmp.Or(r.Due, DefaultDue)).Sub(now)
}

// At returns the number of the window that contains the time of day t. Window k begins k times the length after
// the start of 1970.
func At(t time.Time, length time.Duration) int64 {
	nanos := t.UnixNano()
	window := nanos / int64(length)
	if nanos%int64(length) < 0 {
		window--
	}
	return window
}

// EndOf returns the end of a window.
func EndOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}
