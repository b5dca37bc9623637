package bluebellplacement

import (
	"math"
	"time"
)

const (
	// firstPause and lastPause bound how long a failing endpoint is left alone: a
	// restart takes about a second, and a trial costs one call.
	firstPause = 400 * time.Millisecond
	lastPause  = 3 * time.Second
	// rateHalfLife is how fast answers are forgotten when failures are counted.
	rateHalfLife = 3 * time.Second
	// suspectRate of the answers failed, and at least suspectCount of them.
	suspectRate  = 0.3
	suspectCount = 2.5
	// typicalWork of a plain service, until its answers have shown it: from the
	// sheets of both users.
	typicalWork = 30 * time.Millisecond
	// typicalWeight of the latest answer in the running mean.
	typicalWeight = 0.1
)

// Outcome is how a call ended at its endpoint.
type Outcome int

// The outcomes of a call.
const (
	// Answered in whole.
	Answered Outcome = iota
	// Errored calls were answered with a failure of the endpoint's own.
	Errored
	// InvalidAnswer answers were no whole answer to the call.
	InvalidAnswer
	// TimedOut endpoints did not answer in time.
	TimedOut
	// ConnectionFailed connections were reset or refused.
	ConnectionFailed
	// Declined calls were not run by an endpoint that is full.
	Declined
	// Misdirected calls met another endpoint, or other weights.
	Misdirected
	// Abandoned calls were no longer wanted.
	Abandoned
)

func (o Outcome) String() string {
	return [...]string{
		"Answered", "Errored", "Spoiled", "Silent", "BrokenOff", "Declined", "Misdirected", "Abandoned",
	}[o]
}

// failureWeight is how much an outcome counts as a failure. Errors of its own are
// part of a service's normal work, and count little.
var failureWeight = map[Outcome]float64{Errored: 0.4, InvalidAnswer: 1, TimedOut: 1, ConnectionFailed: 1}

// belief is what this entry thinks of one endpoint.
type belief struct {
	running int
	// reading is the number of prompt tokens that were sent and not answered yet.
	reading int
	// tokens that the running calls take.
	tokens int
	// mean is the running mean of the time to the first event.
	mean time.Duration
	// failed and total are decaying counts as of countedAt.
	failed, total float64
	countedAt     time.Duration
	pausedUntil   time.Duration
	pause         time.Duration
	// tryingUntil is set while one call tries a suspect endpoint.
	tryingUntil time.Duration
	answeredAt  time.Duration
	brokeAt     time.Duration
	coldAt      time.Duration
	// failedAt is when it last broke off or stayed silent.
	failedAt time.Duration
	// doubtedSince and triedAfter pace this entry's trials while it is doubtful.
	doubtedSince, triedAfter time.Duration
}

func (b *belief) typical() time.Duration {
	if b.mean == 0 {
		return typicalWork
	}
	return b.mean
}

// noteWait takes in how long the first event of an answer took.
func (b *belief) noteWait(now, waited time.Duration) {
	b.answeredAt = now
	if b.mean == 0 {
		b.mean = waited
	}
	b.mean += time.Duration(typicalWeight * float64(waited-b.mean))
}

func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// note takes in how a call ended.
func (b *belief) note(now time.Duration, o Outcome) {
	b.tryingUntil = 0
	switch o {
	case Abandoned:
		return
	case Declined:
		b.pausedUntil = max(b.pausedUntil, now+firstPause/8)
		return
	case Misdirected:
		b.pausedUntil = max(b.pausedUntil, now+firstPause)
		return
	}
	fade := decay(now-b.countedAt, rateHalfLife)
	b.failed, b.total, b.countedAt = b.failed*fade+failureWeight[o], b.total*fade+1, now
	if o == Answered || o == Errored {
		b.answeredAt = now
	}
	if o == TimedOut {
		b.failedAt = now
	}
	switch {
	case o == ConnectionFailed:
		b.brokeAt, b.failedAt = now, now
		b.leave(now)
	case b.failing() && o != Answered:
		b.leave(now)
	case o == Answered && !b.failing():
		b.pause = 0
	}
}

// failing tells whether too many of the latest answers failed.
func (b *belief) failing() bool {
	return b.failed >= suspectCount*suspectRate && b.total >= suspectCount && b.failed > suspectRate*b.total
}

// leave lets the endpoint alone for a while, each time for longer.
func (b *belief) leave(now time.Duration) {
	b.pause = min(max(2*b.pause, firstPause), lastPause)
	b.pausedUntil = now + b.pause
}

// suspect tells whether others are to be preferred.
func (b *belief) suspect(now time.Duration) bool {
	return now < b.pausedUntil || b.pause > 0 && b.failing()
}

// mayTry lets one call at a time through to a suspect endpoint whose pause is over.
func (b *belief) mayTry(now time.Duration) bool {
	if now < b.pausedUntil || now < b.tryingUntil {
		return false
	}
	b.tryingUntil = now + firstPause
	return true
}
