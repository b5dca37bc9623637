package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

const (
	// plainPatience is how many objectives an endpoint of a plain service may take
	// before a call that may be repeated goes to another one.
	plainPatience = 1.5
	// streamPatience is the same for the first event of a stream: what is left of
	// the objective is enough to begin elsewhere.
	streamPatience = 0.6
	// expectedPatience is how far the first event may exceed what was expected.
	expectedPatience = 4
	// pausePatience is how many of the route's longest pauses a stream may be silent
	// for before it is resumed elsewhere.
	pausePatience = 2
	// typicalPatience is how far it may exceed what all endpoints take at the time: when
	// all are busy, leaving early only makes the load worse.
	typicalPatience = 3
	// alivePatience is how many times as long a call stays at an endpoint that goes on
	// answering others: it is busy, and what it has read already would be read again
	// elsewhere. Beyond that the call itself is taken to be stuck.
	alivePatience = 3
	// leastPatience is a slow first answer of a healthy endpoint.
	leastPatience = 150 * time.Millisecond
	// connectShare of the objective is spent on a new connection at the most, within
	// bounds that are many round trips; a lost first packet is sent again after a second,
	// when another endpoint has long been asked.
	connectShare = 0.5
	leastConnect = 80 * time.Millisecond
	mostConnect  = 400 * time.Millisecond
	// defaultPause is used where a route states none.
	defaultPause = 2 * time.Second
)

// firstPatience returns how long an endpoint may take to begin its answer. A call
// that cannot be repeated waits for all the time that is left, and so does one
// with too little left for another attempt.
func firstPatience(r *bluebelldeployment.Route, c bluebellplacement.Choice, left time.Duration, mayRepeat bool) time.Duration {
	if !mayRepeat {
		return left
	}
	share := plainPatience
	if r.Work == bluebelldeployment.Stream {
		share = streamPatience
	}
	patience := max(time.Duration(share*float64(r.Objective)), expectedPatience*c.Expected, typicalPatience*c.Typical, leastPatience)
	if patience > left/2 {
		return left
	}
	return patience
}

// goOn returns how a call waits beyond its patience, as bluebelltransport.Request has it.
func (s *serving) goOn(choice bluebellplacement.Choice, patience time.Duration) func() time.Time {
	placer, now := s.relay.cfg.Placer, s.relay.cfg.Now
	last := min(now()+alivePatience*patience, now()+s.left())
	return func() time.Time {
		at := now()
		stays := at < last && placer.AnsweredSince(choice, at-patience)
		s.relay.cfg.Logger.Info("unanswered", "Call", s.q.Call.ID, "Endpoint", choice.Endpoint.ID, "Stays", stays,
			"Patience", patience.Round(time.Millisecond), "Typical", choice.Typical.Round(time.Millisecond), "Attempt", s.sends)
		if !stays {
			return time.Time{}
		}
		return time.Now().Add(min(patience, last-at))
	}
}

// eventPatience returns how long a stream may be silent between two events.
func eventPatience(r *bluebelldeployment.Route, left time.Duration, mayRepeat bool) time.Duration {
	if !mayRepeat {
		return left
	}
	pause := r.MaxEventGap
	if pause <= 0 {
		pause = defaultPause
	}
	return min(pausePatience*pause, left)
}

// silencePatience returns how long a connection may go without an acknowledgement; 0 for
// the usual time. A call that cannot be repeated is lost with its connection, while a cut
// may heal within the time that it has.
func silencePatience(left time.Duration, mayRepeat bool) time.Duration {
	if mayRepeat {
		return 0
	}
	return left
}

// connectPatience returns how long a new connection may take. Nothing has been sent
// until then, so any call may go elsewhere.
func connectPatience(r *bluebelldeployment.Route) time.Duration {
	return min(max(time.Duration(connectShare*float64(r.Objective)), leastConnect), mostConnect)
}
