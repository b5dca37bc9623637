package bluebellrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

// bufferedAnswer is an answer that is read whole before any of it is sent to the caller.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errNotRun is the cause of an attempt that the endpoint refused without running the call.
var errNotRun = errors.New("endpoint refused the call without running it")

// errUnidentifiedRefusal is the cause of an attempt whose refusal may answer an earlier call
// on the same connection.
var errUnidentifiedRefusal = errors.New("refusal on a reused connection has no call ID")

// errUnidentifiedAnswer is the cause of an attempt whose answer may be a second copy of the
// answer to an earlier call on the same connection.
var errUnidentifiedAnswer = errors.New("answer on a reused connection has no call ID")

// errEmptyStream is the cause of an attempt whose stream ended with its connection before the first
// event.
var errEmptyStream = &bluebelltransport.Error{Stage: bluebelltransport.ReadingAnswer, MaybeSent: true, Err: io.ErrUnexpectedEOF}

// errNotResumed is the cause of an attempt whose answer does not continue the stream where it broke off.
var errNotResumed = errors.New("answer does not continue the stream")

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isStream reports whether a successful answer is a stream of events: its type says so, or nothing else.
func (c *activeCall) isStream(exchange *bluebelltransport.Exchange) bool {
	mediaType := exchange.MediaType()
	return c.request.Route.Work == bluebelldeployment.Stream && (mediaType == eventStreamType || mediaType == "")
}

// isIdentified reports whether an answer is certainly that to this call. One without a call ID on a reused
// connection may be a copy of the answer to an earlier call, perhaps to one for another endpoint that had the
// address before.
func isIdentified(a bluebellplatform.Answer, exchange *bluebelltransport.Exchange) bool {
	return a.CallID != "" || !exchange.Reused()
}

// handleAnswer processes an answer whose header has arrived. Only an answer that carries the
// endpoint's seal is sent to the caller: a stream event by event, any other answer once it
// is complete.
func (c *activeCall) handleAnswer(ctx context.Context, choice bluebellplacement.Choice, exchange *bluebelltransport.Exchange, retryable bool) attemptResult {
	a := bluebellplatform.DecodeAnswer(exchange.Status(), exchange.Header())
	c.unframed, c.status, c.identified = exchange.Unframed(), exchange.Status(), a.CallID != ""
	c.recordStatements(choice, exchange, a)
	refused := a.NotRun && c.helper == "" && isIdentified(a, exchange)
	c.endUsage(!refused)
	if refused {
		return c.handleNotRun(choice, exchange, a)
	}
	c.countRun()
	if a.NotRun {
		c.endAttempt(choice, bluebellplacement.InvalidAnswer, errUnidentifiedRefusal)
		return resultRetry
	}
	if c.helper == "" && !isIdentified(a, exchange) {
		c.endAttempt(choice, bluebellplacement.InvalidAnswer, errUnidentifiedAnswer)
		return resultRetry
	}
	good := exchange.Status() < http.StatusMultipleChoices
	if good && (!a.Sealed || a.ContentEncoded) {
		c.endAttempt(choice, bluebellplacement.InvalidAnswer, errors.New("answer has no endpoint seal or has a content encoding"))
		return resultRetry
	}
	if good && c.isStream(exchange) {
		return c.stream(ctx, choice, exchange, retryable)
	}
	if c.headerSent {
		c.endAttempt(choice, bluebellplacement.InvalidAnswer, errNotResumed)
		return resultRetry
	}
	body, err := exchange.ReadAll(maxAnswerBytes, c.request.Deadline.Add(-answerMargin))
	if err != nil {
		c.endAttempt(choice, c.readErrorOutcome(ctx, err), err)
		return resultRetry
	}
	c.recordFirstEvent(choice)
	if !good {
		return c.handleErrorStatus(choice, exchange, a, body)
	}
	c.countStream()
	c.endAttempt(choice, bluebellplacement.Answered, nil)
	c.deliver(bufferedAnswer{exchange.Status(), exchange.Header(), body})
	return resultFinal
}

// readErrorOutcome classifies an error from reading an answer.
func (c *activeCall) readErrorOutcome(ctx context.Context, err error) bluebellplacement.Outcome {
	var failure *bluebelltransport.Error
	switch {
	case callerLeft(ctx):
		return bluebellplacement.Abandoned
	case errors.Is(err, bluebelltransport.ErrBufferFull):
		// The limit is this entry's own; the endpoint must not become suspect for it.
		return bluebellplacement.Abandoned
	case errors.Is(err, bluebelltransport.ErrMalformed):
		return bluebellplacement.Malformed
	case errors.As(err, &failure) && failure.Timeout, ctx.Err() != nil:
		return bluebellplacement.TimedOut
	}
	return bluebellplacement.InvalidAnswer
}

// handleNotRun processes a refusal that guarantees that the call has not run.
func (c *activeCall) handleNotRun(choice bluebellplacement.Choice, exchange *bluebelltransport.Exchange, a bluebellplatform.Answer) attemptResult {
	err := exchange.Discard(maxRefusalBytes, time.Now().Add(minTimeLeft))
	outcome := bluebellplacement.Declined
	switch {
	case a.WrongEndpoint:
		outcome = bluebellplacement.Misdirected
	case errors.Is(err, bluebelltransport.ErrMalformed):
		outcome = bluebellplacement.Malformed
	}
	c.endAttempt(choice, outcome, errors.Join(errNotRun, err))
	return resultRetry
}

// handleErrorStatus processes a complete answer with an error status. It buffers the answer
// in case no other endpoint gives a better one. A status that tells the caller that the call
// has not run is not passed on, because this answer does not guarantee it.
func (c *activeCall) handleErrorStatus(choice bluebellplacement.Choice, exchange *bluebelltransport.Exchange, a bluebellplatform.Answer, body []byte) attemptResult {
	outcome := bluebellplacement.Errored
	if exchange.Status() < http.StatusInternalServerError {
		outcome = bluebellplacement.Answered
	}
	c.endAttempt(choice, outcome, errors.New(http.StatusText(exchange.Status())))
	if a.Sealed && !saysNotRun(exchange.Status()) {
		c.errorAnswer = &bufferedAnswer{exchange.Status(), exchange.Header(), body}
	}
	if outcome == bluebellplacement.Answered && c.errorAnswer != nil {
		return resultFinal
	}
	return resultRetry
}

// saysNotRun reports whether callers take a status to mean that the call has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordFirstEvent records that the answer, or the first event of a stream, has arrived.
func (c *activeCall) recordFirstEvent(choice bluebellplacement.Choice) {
	cfg := &c.relay.cfg
	c.begunAt = cfg.Now()
	c.begun.Store(true)
	if c.helper == "" {
		cfg.Placer.FirstEvent(choice, cfg.Now())
		cfg.CachePlanner.FetchesDone(c.cachePlan)
	}
	cfg.RecordFirstEvent(c.request.Target.Name, cfg.Now()-c.start)
}

// stream forwards events as they arrive. If the stream breaks, or stalls while another endpoint takes
// the call, the next attempt resumes it after the last event that the caller received. Only events
// with data are progress: a stalled endpoint may go on sending comments.
func (c *activeCall) stream(ctx context.Context, choice bluebellplacement.Choice, exchange *bluebelltransport.Exchange, retryable bool) attemptResult {
	progressBy := time.Now().Add(firstEventTimeout(c.request.Route, choice, c.timeLeft(), retryable))
	for {
		event, err := exchange.NextEvent(progressBy)
		if errors.Is(err, io.EOF) && !c.begun.Load() {
			err = c.emptyStreamError(exchange)
		}
		if errors.Is(err, io.EOF) {
			c.endAttempt(choice, bluebellplacement.Answered, nil)
			c.beginAnswer(exchange.Status(), exchange.Header())
			c.finish("answered", exchange.Status())
			return resultFinal
		}
		if err != nil {
			c.endAttempt(choice, c.readErrorOutcome(ctx, err), err)
			return resultRetry
		}
		switch c.place(event) {
		case eventRepeated:
			continue
		case eventMisplaced:
			c.endAttempt(choice, bluebellplacement.InvalidAnswer, errNotResumed)
			return resultRetry
		case eventFollows:
		}
		if event.HasData {
			if !c.begun.Load() {
				c.recordFirstEvent(choice)
				c.countStream()
				c.beginAnswer(exchange.Status(), exchange.Header())
			}
			progressBy = time.Now().Add(nextEventTimeout(c.request.Route, time.Until(c.request.Deadline), retryable))
		}
		if c.begun.Load() {
			c.forward(choice, event)
		}
	}
}

// emptyStreamError returns what the end of a stream without an event means: io.EOF if it may be the
// whole answer.
func (c *activeCall) emptyStreamError(exchange *bluebelltransport.Exchange) error {
	switch {
	case exchange.Unframed() && (c.headerSent || c.order.last == ""):
		return errEmptyStream
	case c.headerSent:
		return errNotResumed
	}
	return io.EOF
}

// place returns how an event of the current attempt continues what the caller has received.
func (c *activeCall) place(event bluebelltransport.Event) eventPlace {
	resumes := c.headerSent || c.request.Call.ResumeAfter != "" && c.request.Route.Resumable
	switch {
	case c.begun.Load():
		return c.order.place(event.ID)
	case event.HasData && resumes:
		return c.order.placeOfFirst(event.ID)
	}
	return eventFollows
}

// forward sends an event to the caller. It breaks the answer off if the caller has gone.
func (c *activeCall) forward(choice bluebellplacement.Choice, event bluebelltransport.Event) {
	if err := c.sink.Write(event.Text); err != nil {
		c.endAttempt(choice, bluebellplacement.Abandoned, err)
		c.cause = err
		c.abort()
	}
	c.order = c.order.With(event.ID)
	c.sentEventWithoutID = c.sentEventWithoutID || event.HasData && event.ID == ""
}

// beginAnswer sends the header of an endpoint's answer, unless an earlier attempt has sent one.
func (c *activeCall) beginAnswer(status int, h http.Header) {
	c.begin(status, h, bluebellhandover.Answered, 0)
}

// begin sends the header to the caller, or to the origin of the call, unless an earlier attempt has
// sent it.
func (c *activeCall) begin(status int, h http.Header, outcome bluebellhandover.Outcome, retryAfter time.Duration) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	h = bluebellplatform.EndToEndHeader(h)
	bluebellhandover.Strip(h)
	c.addResult(h, outcome, retryAfter)
	c.sink.Begin(status, h)
}

// deliver sends a buffered answer to the caller.
func (c *activeCall) deliver(a bufferedAnswer) {
	c.beginAnswer(a.status, a.header)
	if err := c.sink.Write(a.body); err != nil {
		c.cause = err
		c.abort()
	}
	c.finish("answered", a.status)
}

// abort breaks the answer off, so that the caller sees that it is incomplete. It does not
// return.
func (c *activeCall) abort() {
	c.finish("broken off", 0)
	c.sink.Abort()
}
