package bluebellplacement

import (
	"math"
	"time"
)

const (
	// minPause and maxPause bound the back-off after failures of an endpoint. A restart
	// takes about a second, and a probe costs one call.
	minPause = 400 * time.Millisecond
	maxPause = 3 * time.Second
	// failureHalfLife is the half-life of the counts of failures and calls.
	failureHalfLife = 3 * time.Second
	// An endpoint is failing if more than suspectFailureRate of its recent calls failed.
	// suspectMinCalls is the smallest decayed number of calls for that decision.
	suspectFailureRate = 0.3
	suspectMinCalls    = 2.5
	// defaultResponseTime is the assumed time to the first event of a plain service, which
	// runs no model, until its first answer. It is from the specifications of both users
	// of this software.
	defaultResponseTime = 30 * time.Millisecond
	// responseTimeWeight is the weight of the latest answer in the moving average of the
	// time to the first event.
	responseTimeWeight = 0.1
)

// Outcome is how a call ended at its endpoint.
type Outcome int

// The outcomes of a call. String returns the name used in logs and metrics.
const (
	// Answered means that the endpoint sent a complete answer.
	Answered Outcome = iota
	// Errored means that the endpoint answered with an error of its own.
	Errored
	// InvalidAnswer means that the endpoint sent something other than a complete answer to
	// the call. String returns "Spoiled".
	InvalidAnswer
	// TimedOut means that the endpoint did not answer in time. String returns "Silent".
	TimedOut
	// ConnectionFailed means that the connection was reset or refused. String returns
	// "BrokenOff".
	ConnectionFailed
	// Malformed means that the endpoint sent bytes that are no response, or more of them than any sound endpoint does.
	Malformed
	// Declined means that the endpoint did not run the call because it is full.
	Declined
	// Misdirected means that the call reached another endpoint than intended, or one with
	// other weights.
	Misdirected
	// Abandoned means that the result of the call was no longer needed.
	Abandoned
)

func (o Outcome) String() string {
	return [...]string{
		"Answered", "Errored", "Spoiled", "Silent", "BrokenOff", "Malformed", "Declined", "Misdirected", "Abandoned",
	}[o]
}

// failureWeight is how much an outcome counts as a failure. Errors that a service answers
// with are part of its normal operation, so their weight is low.
var failureWeight = map[Outcome]float64{Errored: 0.4, InvalidAnswer: 1, TimedOut: 1, ConnectionFailed: 1, Malformed: 1}

// endpointState is the state of one endpoint as estimated by this entry.
type endpointState struct {
	// hash is the hash of the endpoint's ID.
	hash uint64
	// running is the number of calls in flight.
	running int
	// prefillTokens is the number of prompt tokens in calls that have had no first event.
	prefillTokens int
	// unreadByPriority is the part of prefillTokens of calls that are ranked by urgency.
	unreadByPriority TokensByPriority
	// tokens is the memory that the calls in flight take, in tokens.
	tokens int
	speed  engineSpeed
	// meanFirstEvent is the moving average of the time to the first event.
	meanFirstEvent time.Duration
	// failed is the weighted number of failures and total the number of calls; both decay
	// exponentially and are as of countedAt.
	failed, total float64
	countedAt     time.Duration
	// pausedUntil is the end of the back-off, and pause its length.
	pausedUntil time.Duration
	pause       time.Duration
	// probeUntil is the time until which a probe of the suspect endpoint excludes further
	// probes.
	probeUntil time.Duration
	// The times of the last answer, the last failed connection and the last call sent
	// while the endpoint was cold.
	answeredAt     time.Duration
	disconnectedAt time.Duration
	coldSentAt     time.Duration
	// failedAt is the time of the last timeout, failed connection or malformed response.
	failedAt time.Duration
	// suspectedSince is the time since which suspectedByEntries is true for the endpoint,
	// 0 if it is false. probeAfter is the earliest time of this entry's next probe.
	suspectedSince, probeAfter time.Duration
	// senderRank is the position of this entry among those that share limits of the endpoint, by
	// the entries as of senderRankVersion. It is -1 while this entry is not in their list.
	senderRank        int
	senderRankVersion uint64
	// limit is the limit of calls a second, brittle that of calls a second that are turned away.
	limit, brittle sharedLimit
	// startUnixMillis is the incarnation that limit and brittle are about.
	startUnixMillis int64
	// refusedAt is when the endpoint, being brittle, last turned away a call for want of room. window
	// is the number of calls that may be in flight since, 0 if the whole share may be. refusedTogether
	// is set if other entries may have been turned away at the same time.
	refusedAt       time.Duration
	refusedTogether bool
	window          int
	// givenUp holds, for each call that was given up while the endpoint was brittle, until when it
	// may occupy its slot.
	givenUp []time.Duration
	// holders are the entries other than this one that have a share of the slots while the endpoint
	// is brittle, by the entries as of holdersVersion.
	holders        []string
	holdersVersion uint64
	load           reportedLoad
	// home is kept when the endpoint starts again, so that homes do not move.
	home homeWeight
	// othersCalls is the number of calls of the other entries.
	othersCalls int
	// pickedAt is when the endpoint was last picked, 0 if never.
	pickedAt time.Duration
}

// responseTime returns meanFirstEvent, or defaultResponseTime before the first answer.
func (s *endpointState) responseTime() time.Duration {
	if s.meanFirstEvent == 0 {
		return defaultResponseTime
	}
	return s.meanFirstEvent
}

// recordFirstEvent updates meanFirstEvent with the time to the first event of an answer.
func (s *endpointState) recordFirstEvent(now, waited time.Duration) {
	s.answeredAt = now
	if s.meanFirstEvent == 0 {
		s.meanFirstEvent = waited
	}
	s.meanFirstEvent += time.Duration(responseTimeWeight * float64(waited-s.meanFirstEvent))
}

// decay returns the factor by which a count shrinks in the time d.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// recordOutcome updates the failure counts and the back-off with the outcome of a call.
func (s *endpointState) recordOutcome(now time.Duration, o Outcome) {
	s.probeUntil = 0
	switch o {
	case Abandoned:
		return
	case Declined:
		s.pausedUntil = max(s.pausedUntil, now+minPause/8)
		return
	case Misdirected:
		s.pausedUntil = max(s.pausedUntil, now+minPause)
		return
	}
	factor := decay(now-s.countedAt, failureHalfLife)
	s.failed, s.total, s.countedAt = s.failed*factor+failureWeight[o], s.total*factor+1, now
	if o == Answered || o == Errored {
		s.answeredAt = now
	}
	if o == TimedOut {
		s.failedAt = now
	}
	switch {
	case o == ConnectionFailed:
		s.disconnectedAt, s.failedAt = now, now
		s.startPause(now)
	case o == Malformed:
		// Each such response costs the call and memory, so that one is enough to prefer other endpoints until an
		// answer shows that the endpoint is sound.
		s.failed, s.total, s.failedAt = suspectMinCalls, suspectMinCalls, now
		s.startPause(now)
	case s.failing() && o != Answered:
		s.startPause(now)
	case o == Answered && !s.failing():
		s.pause = 0
	}
}

// failing reports whether too large a share of the recent calls failed.
func (s *endpointState) failing() bool {
	return s.failed >= suspectMinCalls*suspectFailureRate && s.total >= suspectMinCalls && s.failed > suspectFailureRate*s.total
}

// forgetFailures forgets the failures and the back-off.
func (s *endpointState) forgetFailures() {
	s.failed, s.pause, s.pausedUntil, s.probeUntil, s.failedAt, s.disconnectedAt = 0, 0, 0, 0, 0, 0
}

// startPause starts a back-off that is twice as long as the last one, up to maxPause.
func (s *endpointState) startPause(now time.Duration) {
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.pausedUntil = now + s.pause
}

// suspect reports whether other endpoints are preferred: during a back-off, and after it
// for as long as the endpoint is failing.
func (s *endpointState) suspect(now time.Duration) bool {
	return now < s.pausedUntil || s.pause > 0 && s.failing()
}

// mayProbe reports whether a suspect endpoint may get a call as a probe.
func (s *endpointState) mayProbe(now time.Duration) bool {
	return now >= s.pausedUntil && now >= s.probeUntil
}

// allowProbe reports whether a suspect endpoint may get a call as a probe, and reserves
// the probe if so. There is one probe at a time, and none during a back-off.
func (s *endpointState) allowProbe(now time.Duration) bool {
	if !s.mayProbe(now) {
		return false
	}
	s.probeUntil = now + minPause
	return true
}
