package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

const (
	// plainObjectiveFactor times the route's objective is the shortest time that an
	// endpoint gets to answer a call, other than a stream, that may be retried elsewhere.
	plainObjectiveFactor = 1.5
	// streamObjectiveFactor is the same for the first event of a stream. The rest of the
	// objective is enough to begin the stream elsewhere.
	streamObjectiveFactor = 0.6
	// expectedTimeFactor times the expected time to the first event is a lower bound of its
	// timeout.
	expectedTimeFactor = 4
	// maxEventGapFactor times the route's longest gap between events, and at least
	// minEventTimeout, is how long a stream may send nothing before it is resumed elsewhere. A
	// sound endpoint may be silent for about a second.
	maxEventGapFactor = 2
	minEventTimeout   = 1200 * time.Millisecond
	// typicalTimeFactor times the mean time to the first event over the target's endpoints
	// is a lower bound of the timeout of the first event. When all endpoints are busy,
	// early retries only add load.
	typicalTimeFactor = 3
	// activeEndpointFactor times its first timeout is how long a call stays at an endpoint
	// that still answers other calls. Such an endpoint is busy, and another one would have
	// to process the prompt again. After that time the call itself is assumed to be stuck.
	activeEndpointFactor = 3
	// minFirstEventTimeout is the shortest timeout of the first event. A slow first answer of a
	// healthy endpoint takes about that long.
	minFirstEventTimeout = 150 * time.Millisecond
	// connectObjectiveShare is the share of the objective after which opening a connection
	// times out, within bounds of many round trips. TCP resends a lost first packet after a
	// second; the call is at another endpoint long before that.
	connectObjectiveShare = 0.5
	minConnectTimeout     = 80 * time.Millisecond
	maxConnectTimeout     = 400 * time.Millisecond
	// defaultMaxEventGap is the longest gap between events for routes that declare none.
	defaultMaxEventGap = 2 * time.Second
)

// firstEventTimeout returns how long an endpoint may take to begin its answer. A call that
// is not retryable, or that has too little time left for another attempt, waits for all its
// remaining time.
func firstEventTimeout(r *bluebelldeployment.Route, c bluebellplacement.Choice, timeLeft time.Duration, retryable bool) time.Duration {
	if !retryable {
		return timeLeft
	}
	factor := plainObjectiveFactor
	if r.Work == bluebelldeployment.Stream {
		factor = streamObjectiveFactor
	}
	timeout := max(time.Duration(factor*float64(r.Objective)), expectedTimeFactor*c.Expected, typicalTimeFactor*c.Typical, minFirstEventTimeout)
	if timeout > timeLeft/2 {
		return timeLeft
	}
	return timeout
}

// nextEventTimeout returns how long a stream may send nothing between two events.
func nextEventTimeout(r *bluebelldeployment.Route, timeLeft time.Duration, retryable bool) time.Duration {
	if !retryable {
		return timeLeft
	}
	maxGap := r.MaxEventGap
	if maxGap <= 0 {
		maxGap = defaultMaxEventGap
	}
	return min(max(maxEventGapFactor*maxGap, minEventTimeout), timeLeft)
}

// ackTimeout returns how long a connection may receive no acknowledgement, or 0 for the
// default of the transport. A call that cannot be retried is lost with its connection, but a
// network partition may end within the call's remaining time.
func ackTimeout(timeLeft time.Duration, retryable bool) time.Duration {
	if retryable {
		return 0
	}
	return timeLeft
}

// connectTimeout returns how long a new connection may take to open. Nothing has been sent
// before that, so every call may be sent to another endpoint.
func connectTimeout(r *bluebelldeployment.Route) time.Duration {
	return min(max(time.Duration(connectObjectiveShare*float64(r.Objective)), minConnectTimeout), maxConnectTimeout)
}
