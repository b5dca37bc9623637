package bluebelldispatch

import (
	"crypto/sha256"
	"fmt"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// Call is one request of a caller. It must not be changed after it was passed to Do.
type Call struct {
	RequestID string
	Customer  *pb.Customer
	// Work is the declared kind of work; nil if the target declares none.
	Work *pb.Work
	// Target is the name of the model or service that is called.
	Target string
	Kind   pb.Kind
	Method string
	// Path is the path and query sent to the endpoint.
	Path string
	// EntryPath is the path and query sent to another VM if the call is forwarded.
	EntryPath   string
	ContentType string
	Body        []byte
	// Stream is set if the caller requests server-sent events.
	Stream bool
	// NonIdempotent is set for a call that must run at most once. It needs a Key.
	NonIdempotent bool
	// Key is the idempotency key that the caller chose.
	Key string
	// Blocks are the pieces of the prompt that endpoints cache.
	Blocks []bluebellroute.Block
	// StartBy is the time, on the clock of Config.Now, by which the call must have got a
	// slot at an endpoint.
	StartBy time.Duration
	// Hop is set if another VM forwarded the call to this VM.
	Hop *pb.Hop
}

// digest returns the hash that identifies the call's content in claims and crash reports.
func (c *Call) digest() []byte {
	h := sha256.New()
	for _, part := range []string{c.Customer.Name, c.Target, c.Method, c.Path} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(c.Body)
	return h.Sum(nil)
}

// Code is the kind of an error, as callers receive it.
type Code string

// The codes that callers receive.
const (
	CodeBadRequest              Code = "BadRequest"
	CodeUnauthenticated         Code = "Unauthenticated"
	CodeUnknownTarget           Code = "UnknownTarget"
	CodeTooLarge                Code = "TooLarge"
	CodeOverloaded              Code = "Overloaded"
	CodeNoEndpoint              Code = "NoEndpoint"
	CodeEndpointFailed          Code = "EndpointFailed"
	CodeStreamBroken            Code = "StreamBroken"
	CodeRequestCrashesEndpoints Code = "RequestCrashesEndpoints"
	CodeNotAgreed               Code = "NotAgreed"
	CodeInProgress              Code = "InProgress"
	CodeKeyExpired              Code = "KeyExpired"
	CodeKeyReused               Code = "KeyReused"
	CodeAnswerNotKept           Code = "AnswerNotKept"
	CodeNotReady                Code = "NotReady"
)

// CallError is an error with the details that are sent to the caller.
type CallError struct {
	// Status is the HTTP status code of the answer.
	Status int
	Code   Code
	Text   string
	// Run is what is certain about whether the call ran.
	Run pb.RunState
	// Retry is set if the caller may send the call again after RetryAfter.
	Retry      bool
	RetryAfter time.Duration
}

var _ error = (*CallError)(nil)

func (e *CallError) Error() string { return fmt.Sprintf("%s: %s (%v)", e.Code, e.Text, e.Run) }

// notRunError returns an error for a call that certainly did not run.
func notRunError(status int, code Code, retryAfter time.Duration, format string, args ...any) *CallError {
	return &CallError{
		Status: status, Code: code, Text: fmt.Sprintf(format, args...), Run: pb.RunState_NotRun,
		Retry: retryAfter > 0, RetryAfter: retryAfter,
	}
}

// unknownRunError returns an error for a call that may have run.
func unknownRunError(status int, code Code, retryAfter time.Duration, format string, args ...any) *CallError {
	e := notRunError(status, code, retryAfter, format, args...)
	e.Run = pb.RunState_Unknown
	return e
}
