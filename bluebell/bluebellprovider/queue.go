// Package bluebellprovider decides which call to the infrastructure provider is sent next. It has no
// clock, socket or goroutine.
//
// The load that it answers: a window of usage every 5 s, and up to a few dozen targets and failure
// domains whose number of endpoints changes, at a provider that takes 50 calls a second from all
// processes together, may be slow, down or cut off, and may carry out a call that got no answer
// seconds later, after newer ones.
//
// All windows of usage are one subject, and the number of endpoints of each target in each failure
// domain is one. At most one call waits and one is in flight for each subject; a newer call
// replaces one that waits. The most overdue call is sent first. Calls use at most half of the
// provider's rate, so that a previous holder has room for its last ones.
//
// A call that got no answer may have been carried out, or be carried out later. Whatever is
// wanted for its subject is therefore sent until it is answered. A number of endpoints that
// follows a different, unanswered one is sent once more after settleTime, since the unanswered
// one, which has the same fencing number, may have been carried out last. A window of usage
// needs no such repeat: its report is always the same.
//
// # Usage
//
//	queue := bluebellprovider.New(bluebellprovider.Config{CallsPerSecond: 50, Rand: rand.Float64})
//	queue.Want(now, calls)
//	for call, ok := queue.Next(now, fencing); ok; call, ok = queue.Next(now, fencing) {
//		// Send the call, then:
//		queue.Finish(later, call.Subject, outcome)
//	}
package bluebellprovider

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateShare is the share of the provider's rate that is used.
	rateShare = 0.5
	// minBackoff and maxBackoff bound the time before a call is sent again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// settleTime is the time after which a call without an answer is no longer expected to be
	// carried out. The provider states only that it may take seconds.
	settleTime = 10 * time.Second
	// maxSubjects bounds the subjects that have a call: the largest known deployment has 34.
	maxSubjects = 1024
	// maxInFlight bounds the calls in flight. At the time-out of a call (1 s), it is more than a
	// provider needs that answers within 0.3 s.
	maxInFlight = 8
)

// Duty is a kind of calls.
type Duty int

// The duties.
const (
	// Usage reports the calls that customers' endpoints began to run in a window of time.
	Usage Duty = iota + 1
	// Scale orders the number of endpoints of a target in a failure domain.
	Scale
)

// String returns the duty's name in logs and metrics.
func (d Duty) String() string {
	switch d {
	case Usage:
		return "usage"
	case Scale:
		return "scale"
	}
	return "unknown"
}

// Subject is what a call is about. Calls of one subject are sent one after the other.
type Subject struct {
	Duty Duty
	// Target and FailureDomain are set for Scale.
	Target, FailureDomain string
}

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Duty, other.Duty), cmp.Compare(s.Target, other.Target), cmp.Compare(s.FailureDomain, other.FailureDomain))
}

// Call is a call to the provider.
type Call struct {
	Subject Subject
	// Due is when the call should have been carried out, on the clock of the queue's user.
	Due time.Duration
	// Fencing is set by Queue.Next.
	Fencing uint64

	// Window, Customers and Counts are set for Usage: the number of the window, and for each
	// customer the calls that began to run.
	Window    int64
	Customers []string
	Counts    []uint64
	// Endpoints is set for Scale.
	Endpoints uint32
}

// same reports whether two calls of one subject ask for the same. A window has one report only.
func (c *Call) same(other *Call) bool {
	return c != nil && other != nil && c.Window == other.Window && c.Endpoints == other.Endpoints
}

// Outcome is the outcome of a call.
type Outcome int

// The outcomes.
const (
	// Accepted means that the provider has carried out the call.
	Accepted Outcome = iota
	// Refused means that the provider has seen a higher fencing number.
	Refused
	// Limited means that the provider gets too many calls.
	Limited
	// Failed means any other answer.
	Failed
	// Unanswered means that the call was sent, at least in part, and got no answer in time.
	Unanswered
	// Unreachable means that no connection was opened.
	Unreachable
	// NotSent means that the sender was no longer certain to be the holder.
	NotSent
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"accepted", "refused", "limited", "failed", "unanswered", "unreachable", "not_sent"}[o]
}

// Config sets up a Queue.
type Config struct {
	// CallsPerSecond is the number of calls that the provider takes from all processes together.
	CallsPerSecond float64
	// Rand returns a random number from 0 to below 1.
	Rand func() float64
}

// Queue holds the calls that are wanted. It is not safe for concurrent use.
type Queue struct {
	cfg      Config
	subjects map[Subject]*subject
	inFlight int
	nextAt   time.Duration
	// provider is the back-off for failures that concern all calls.
	provider backoff
}

// subject is the state of one subject.
type subject struct {
	// wanted is the latest call that was wanted, nil if none is.
	wanted *Call
	// inFlight is the call in flight, and startedAt when it was returned by Next.
	inFlight  *Call
	startedAt time.Duration
	// accepted is the latest call if the provider has accepted it and no other call can have been
	// carried out since.
	accepted *Call
	// unanswered holds the calls that may still be carried out, one for each number of endpoints.
	unanswered []unansweredCall
	// repeatAt is when the accepted call is sent once more, 0 if it is not.
	repeatAt time.Duration
	// refused is the highest fencing number that was refused.
	refused uint64
	backoff backoff
}

// unansweredCall is a call that got no answer.
type unansweredCall struct {
	call *Call
	at   time.Duration
}

// backoff is an exponential delay.
type backoff struct {
	failures int
	failedAt time.Duration
	until    time.Duration
}

// fail delays the next call. Calls that were started before the latest failure count once.
func (b *backoff) fail(now, startedAt time.Duration, random float64) {
	if b.failures > 0 && startedAt <= b.failedAt {
		return
	}
	delay := min(minBackoff<<b.failures, maxBackoff)
	// Shifting by more than this would overflow, and exceeds maxBackoff by far.
	b.failures = min(b.failures+1, 16)
	b.failedAt = now
	b.until = now + min(max(time.Duration((0.75+0.5*random)*float64(delay)), minBackoff), maxBackoff)
}

// New returns an empty queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg, subjects: map[Subject]*subject{}} }

// Want replaces the calls that are wanted, at most one for each subject. Calls that the provider
// has accepted may still be wanted and are not sent again. It returns how many calls found no room.
// The queue keeps the slice.
func (q *Queue) Want(now time.Duration, calls []Call) (excess int) {
	for _, s := range q.subjects {
		s.wanted = nil
	}
	for i, c := range calls {
		if s := q.subjects[c.Subject]; s != nil {
			s.wanted = &calls[i]
		}
	}
	// Subjects that are no longer wanted leave room for others.
	for key, s := range q.subjects {
		if s.wanted == nil && s.inFlight == nil {
			delete(q.subjects, key)
		} else if s.repeatAt > 0 && now >= s.repeatAt {
			s.repeatAt, s.accepted = 0, nil
		}
	}
	for i, c := range calls {
		switch {
		case q.subjects[c.Subject] != nil:
		case len(q.subjects) >= maxSubjects:
			excess++
		default:
			q.subjects[c.Subject] = &subject{wanted: &calls[i]}
		}
	}
	return excess
}

// Forget deletes everything except which calls are in flight. It is called when the holder's
// fencing number is lost, since another holder may act then.
func (q *Queue) Forget() {
	for key, s := range q.subjects {
		if s.inFlight == nil {
			delete(q.subjects, key)
			continue
		}
		*s = subject{inFlight: s.inFlight, startedAt: s.startedAt, refused: s.refused}
	}
}

// Next returns the call to send now with the given fencing number, and notes that it is in flight. It
// reports false if none may be sent.
func (q *Queue) Next(now time.Duration, fencing uint64) (Call, bool) {
	if now < q.nextAt || now < q.provider.until || q.inFlight >= maxInFlight {
		return Call{}, false
	}
	var best *subject
	for _, s := range q.subjects {
		if s.sendable(now, fencing) && (best == nil || s.before(best)) {
			best = s
		}
	}
	if best == nil {
		return Call{}, false
	}
	call := *best.wanted
	call.Fencing = fencing
	best.inFlight, best.startedAt = &call, now
	q.inFlight++
	q.nextAt = now + time.Duration(float64(time.Second)/(rateShare*q.cfg.CallsPerSecond))
	return call, true
}

func (s *subject) sendable(now time.Duration, fencing uint64) bool {
	return s.wanted != nil && s.inFlight == nil && !s.wanted.same(s.accepted) && s.refused < fencing && now >= s.backoff.until
}

// before reports whether the wanted call of s is sent before that of other.
func (s *subject) before(other *subject) bool {
	return cmp.Or(cmp.Compare(s.wanted.Due, other.wanted.Due), s.wanted.Subject.compare(other.wanted.Subject)) < 0
}

// Waiting returns the number of calls that wait to be sent.
func (q *Queue) Waiting() int {
	n := 0
	for _, s := range q.subjects {
		if s.wanted != nil && s.inFlight == nil && !s.wanted.same(s.accepted) {
			n++
		}
	}
	return n
}

// Finish notes the outcome of the call in flight of a subject.
func (q *Queue) Finish(now time.Duration, key Subject, outcome Outcome) {
	s := q.subjects[key]
	if s == nil || s.inFlight == nil {
		return
	}
	call := s.inFlight
	s.inFlight = nil
	q.inFlight--
	switch outcome {
	case Accepted:
		s.accept(now, call)
		s.backoff, q.provider = backoff{}, backoff{}
	case Refused:
		s.refused = max(s.refused, call.Fencing)
	case Limited, Unreachable:
		q.provider.fail(now, s.startedAt, q.cfg.Rand())
	case Failed, Unanswered:
		s.accepted, s.repeatAt = nil, 0
		s.unanswered = slices.DeleteFunc(s.unanswered, func(u unansweredCall) bool { return u.call.same(call) || now-u.at >= settleTime })
		s.unanswered = append(s.unanswered, unansweredCall{call, now})
		s.backoff.fail(now, s.startedAt, q.cfg.Rand())
	case NotSent:
		s.backoff.until = now + minBackoff
	}
}

// accept notes that the provider has carried out a call.
func (s *subject) accept(now time.Duration, call *Call) {
	s.accepted, s.repeatAt = call, 0
	s.unanswered = slices.DeleteFunc(s.unanswered, func(u unansweredCall) bool { return now-u.at >= settleTime })
	if call.Subject.Duty != Scale {
		return
	}
	for _, u := range s.unanswered {
		// One that asks for the same is kept too: a later call may ask for something else.
		if !u.call.same(call) {
			s.repeatAt = max(s.repeatAt, u.at+settleTime)
		}
	}
}

// ScaleOrder is the number of endpoints that is agreed for a target in a failure domain.
type ScaleOrder struct {
	Target, FailureDomain string
	Endpoints             uint32
}
