package bluebellrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

// A call whose endpoint crashes before its answer has begun is evidence against its subjects, and
// one that is answered completely clears them. An answer with a server error does neither: an endpoint that
// fails its calls may not have run this one. See bluebellquarantine.

// justBegun is how long after its first event a call may still be the cause of a crash.
const justBegun = 300 * time.Millisecond

// QuarantinedError is the cause of a refusal of a call that has a subject in quarantine.
type QuarantinedError struct{ Verdict bluebellquarantine.Verdict }

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("subject %v (depth %d) is in quarantine: it crashes endpoints", e.Verdict.Key, e.Verdict.Depth)
}

// subjects returns the subjects of the call: the shared blocks of its prompt and, while whole calls
// are suspect, the call itself.
func (r *Relay) subjects(request *Request, wholeCall bool) []bluebellquarantine.Subject {
	var subjects []bluebellquarantine.Subject
	blocks := request.Call.Blocks
	for i, b := range blocks[:max(len(blocks)-1, 0)] {
		subjects = append(subjects, bluebellquarantine.Block(request.Call.Model, b.ID, i))
	}
	if !wholeCall {
		return subjects
	}
	customer := ""
	if request.Customer != nil {
		customer = request.Customer.Name
	}
	ids := make([]string, 0, len(blocks))
	for _, b := range blocks {
		ids = append(ids, b.ID)
	}
	return append(subjects, bluebellquarantine.Call(customer, request.Host, request.URI, ids, request.Body))
}

// quarantined returns the reason to refuse the call if one of its subjects is in quarantine.
func (c *activeCall) quarantined() *QuarantinedError {
	guard := c.relay.cfg.Guard
	verdict, blocked := guard.Blocked(c.relay.cfg.Now(), c.subjects)
	if !blocked {
		return nil
	}
	return &QuarantinedError{Verdict: verdict}
}

// watchQuarantine withdraws the call from its queue or endpoint when one of its subjects is put in
// quarantine, unless its answer has begun.
func (c *activeCall) watchQuarantine(cancel context.CancelCauseFunc) (unwatch func()) {
	return c.relay.cfg.Guard.Watch(c.subjects, func(v bluebellquarantine.Verdict) {
		if !c.begun.Load() {
			cancel(&QuarantinedError{Verdict: v})
		}
	})
}

// recordEvidence records what the end of an attempt says about the call's subjects.
func (c *activeCall) recordEvidence(choice bluebellplacement.Choice, outcome bluebellplacement.Outcome, err error) {
	cfg := &c.relay.cfg
	now := cfg.Now()
	switch {
	case outcome == bluebellplacement.Answered && c.unframed:
		cfg.Guard.RecordEnded(now, incarnation(choice), c.subjects)
	case outcome == bluebellplacement.Answered:
		cfg.Guard.RecordServed(now, c.subjects)
	case outcome != bluebellplacement.Abandoned && isCrash(err) && (!c.begun.Load() || now-c.begunAt < justBegun):
		cfg.CountEvent("endpoint_crashes", c.request.Target.Name)
		// From now on the whole call is suspect, and a later answer to it clears it.
		c.subjects = c.relay.subjects(c.request, true)
		c.crashed = true
		cfg.Guard.RecordCrash(bluebellquarantine.Crash{Endpoint: incarnation(choice), At: now, AliveAt: c.aliveAt(err)}, c.subjects)
		cfg.Logger.Warn("endpoint crashed", "Call", c.request.Call.ID, "Subject", c.subjects[len(c.subjects)-1].Key, "Endpoint", choice.Endpoint.ID,
			"Incarnation", choice.Endpoint.StartUnixMillis, "Attempt", c.sends, "Links", c.linkState())
	}
}

// aliveAt returns when the endpoint of a failed attempt was last known to be alive, 0 if unknown.
func (c *activeCall) aliveAt(err error) time.Duration {
	var failure *bluebelltransport.Error
	if !errors.As(err, &failure) || failure.AliveAt.IsZero() {
		return 0
	}
	return c.relay.cfg.Now() - time.Since(failure.AliveAt)
}

func incarnation(choice bluebellplacement.Choice) uint64 {
	return bluebellquarantine.Incarnation(choice.Endpoint.ID, choice.Endpoint.StartUnixMillis)
}

// isCrash reports whether an endpoint that may have received the call has closed the connection
// without a complete answer.
func isCrash(err error) bool {
	var failure *bluebelltransport.Error
	if !errors.As(err, &failure) || failure.Timeout || !failure.MaybeSent {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, bluebelltransport.ErrTruncated)
}
