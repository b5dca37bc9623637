package bluebellrelay

import "time"

const (
	// firstReturn is when a refused caller may come back at the earliest: endpoints
	// that break off are tried again after about this time.
	firstReturn = 400 * time.Millisecond
	// returnSpread keeps callers that were refused together from coming back
	// together.
	returnSpread = 400 * time.Millisecond
	// returnShare of the time that a caller has left is the longest that it is made
	// to wait: callers give up beyond it.
	returnShare = 1.0 / 3
)

// returnAfter tells a refused caller when to come back, given a draw in [0, 1).
func returnAfter(left time.Duration, draw float64) time.Duration {
	after := firstReturn + time.Duration(draw*float64(returnSpread))
	return min(after, time.Duration(returnShare*float64(left)))
}
