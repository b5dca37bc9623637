package bluebellrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

// An answer is carried back only if it is known to be the endpoint's, in whole or, for a
// stream, event by event.

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errDeclined is the cause of a call that its endpoint did not run.
var errDeclined = errors.New("the endpoint did not run the call")

// errStrayRefusal is the cause of a call whose refusal may belong to another one.
var errStrayRefusal = errors.New("a refusal that names no call came on a kept connection")

// believes tells whether a refusal says that this call has not run. One that names no
// call, on a connection that carried another one before, may be a late answer to that
// one. For calls that may run again it does not matter.
func (s *serving) believes(a bluebellplatform.Answer, x *bluebelltransport.Exchange) bool {
	return a.CallID != "" || !x.Reused() || s.q.Route.Repeatable()
}

// answered handles an answer that has begun.
func (s *serving) answered(ctx context.Context, choice bluebellplacement.Choice, x *bluebelltransport.Exchange, mayRepeat bool) step {
	a := bluebellplatform.DecodeAnswer(x.Status(), x.Header())
	if a.NotRun && s.believes(a, x) {
		return s.declined(choice, x, a)
	}
	s.runs++
	if a.NotRun {
		s.done(choice, bluebellplacement.InvalidAnswer, errStrayRefusal)
		return again
	}
	good := x.Status() < http.StatusMultipleChoices
	if good && (!a.Sealed || a.ContentEncoded) {
		s.done(choice, bluebellplacement.InvalidAnswer, errors.New("the answer is not the endpoint's"))
		return again
	}
	if good && s.q.Route.Work == bluebelldeployment.Stream {
		return s.stream(ctx, choice, x, mayRepeat)
	}
	body, err := x.ReadAll(maxAnswer, s.q.Deadline)
	if err != nil {
		s.done(choice, s.readOutcome(ctx, err), err)
		return again
	}
	s.firstEvent(choice)
	if !good {
		return s.errored(choice, x, a, body)
	}
	s.done(choice, bluebellplacement.Answered, nil)
	s.deliver(wholeAnswer{x.Status(), x.Header(), body})
	return finished
}

func (s *serving) readOutcome(ctx context.Context, err error) bluebellplacement.Outcome {
	var failure *bluebelltransport.Error
	switch {
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bluebellplacement.Abandoned
	case errors.As(err, &failure) && failure.Timeout:
		return bluebellplacement.TimedOut
	}
	return bluebellplacement.InvalidAnswer
}

func (s *serving) declined(choice bluebellplacement.Choice, x *bluebelltransport.Exchange, a bluebellplatform.Answer) step {
	// The rest of the answer is of no use, but reading it keeps the connection.
	_, err := x.ReadAll(maxAnswer, time.Now().Add(leastLeft))
	outcome := bluebellplacement.Declined
	if a.WrongEndpoint {
		outcome = bluebellplacement.Misdirected
	}
	s.done(choice, outcome, errors.Join(errDeclined, err))
	return again
}

// errored handles a failure that an endpoint answered with. It is kept while
// another endpoint may do better. A status that promises that the call has not run
// is not passed on, since it does not come with that promise.
func (s *serving) errored(choice bluebellplacement.Choice, x *bluebelltransport.Exchange, a bluebellplatform.Answer, body []byte) step {
	outcome := bluebellplacement.Errored
	if x.Status() < http.StatusInternalServerError {
		outcome = bluebellplacement.Answered
	}
	s.done(choice, outcome, errors.New(http.StatusText(x.Status())))
	if a.Sealed && !promises(x.Status()) {
		s.kept = &wholeAnswer{x.Status(), x.Header(), body}
	}
	if outcome == bluebellplacement.Answered && s.kept != nil {
		return finished
	}
	return again
}

// promises tells whether a status says that a call has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (s *serving) firstEvent(choice bluebellplacement.Choice) {
	cfg := &s.relay.cfg
	cfg.Placer.FirstEvent(choice, cfg.Now())
	cfg.Tier.FetchesDone(s.tier)
	cfg.FirstEvent(s.q.Target.Name, cfg.Now()-s.start)
}

// stream passes events on as they come. After a break it goes on at another
// endpoint behind the last event that the caller has.
func (s *serving) stream(ctx context.Context, choice bluebellplacement.Choice, x *bluebelltransport.Exchange, mayRepeat bool) step {
	first := true
	for {
		patience := eventPatience(s.q.Route, s.left(), mayRepeat)
		if first {
			patience = firstPatience(s.q.Route, choice, s.left(), mayRepeat)
		}
		event, err := x.NextEvent(time.Now().Add(patience))
		if errors.Is(err, io.EOF) {
			s.done(choice, bluebellplacement.Answered, nil)
			s.begin(x.Status(), x.Header())
			s.end("answered", x.Status())
			return finished
		}
		if err != nil {
			s.done(choice, s.readOutcome(ctx, err), err)
			return again
		}
		if first {
			first = false
			s.firstEvent(choice)
			s.begin(x.Status(), x.Header())
		}
		if err := s.sink.Write(event.Text); err != nil {
			s.done(choice, bluebellplacement.Abandoned, err)
			s.cause = err
			s.abort()
		}
		switch {
		case event.ID != "":
			s.lastEvent = event.ID
		case event.HasData:
			s.unnumbered = true
		}
	}
}

func (s *serving) begin(status int, h http.Header) {
	if s.begun {
		return
	}
	s.begun = true
	s.sink.Begin(status, bluebellplatform.EndToEndHeader(h))
}

func (s *serving) deliver(a wholeAnswer) {
	s.begin(a.status, a.header)
	if err := s.sink.Write(a.body); err != nil {
		s.cause = err
		s.abort()
	}
	s.end("answered", a.status)
}

func (s *serving) abort() {
	s.end("broken off", 0)
	s.sink.Abort()
}
