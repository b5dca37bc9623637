package bluebelldispatch

import (
	"crypto/sha256"
	"fmt"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// Call is one request of a caller. It must not be altered once dispatched.
type Call struct {
	RequestID string
	Customer  *pb.Customer
	Work      *pb.Work
	Target    string
	Kind      pb.Kind
	Method    string
	// Path at the endpoint, and EntryPath at another VM, with their query.
	Path        string
	EntryPath   string
	ContentType string
	Body        []byte
	// Stream asks for server-sent events.
	Stream bool
	// NonIdempotent calls carry a Key and run at most once.
	NonIdempotent bool
	Key           string
	Blocks        []bluebellroute.Block
	// StartBy is the time by which the call must have started to run.
	StartBy time.Duration
	// Hop is set when another VM has routed the call to this owner.
	Hop *pb.Hop
}

// digest names the call's content for claims and crash reports.
func (c *Call) digest() []byte {
	h := sha256.New()
	for _, part := range []string{c.Customer.Name, c.Target, c.Method, c.Path} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(c.Body)
	return h.Sum(nil)
}

// Code names a kind of error to callers.
type Code string

// The codes of errors.
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

// CallError is an error with all that a caller may know.
type CallError struct {
	Status     int
	Code       Code
	Text       string
	Run        pb.RunState
	Retry      bool
	RetryAfter time.Duration
}

var _ error = (*CallError)(nil)

func (e *CallError) Error() string { return fmt.Sprintf("%s: %s (%v)", e.Code, e.Text, e.Run) }

// notRun makes an error for a call that certainly did not run.
func notRun(status int, code Code, retryAfter time.Duration, format string, args ...any) *CallError {
	return &CallError{
		Status: status, Code: code, Text: fmt.Sprintf(format, args...), Run: pb.RunState_NotRun,
		Retry: retryAfter > 0, RetryAfter: retryAfter,
	}
}

// unknown makes an error for a call that may have run.
func unknown(status int, code Code, retryAfter time.Duration, format string, args ...any) *CallError {
	e := notRun(status, code, retryAfter, format, args...)
	e.Run = pb.RunState_Unknown
	return e
}
