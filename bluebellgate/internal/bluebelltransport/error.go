package bluebelltransport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// Stage is the step of an exchange in which it failed.
type Stage int

// The stages of an exchange.
const (
	Connecting Stage = iota
	Sending
	AwaitingAnswer
	ReadingAnswer
)

func (s Stage) String() string {
	return [...]string{"Connecting", "Sending", "AwaitingAnswer", "ReadingAnswer"}[s]
}

// ErrTruncated is returned when a stream ends within an event.
var ErrTruncated = errors.New("response stream ended within an event")

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	// MaybeSent is false only if the endpoint has certainly received nothing of the call.
	MaybeSent bool
	// Timeout is set if a deadline or timeout expired, so that the endpoint may be unreachable
	// or slow.
	Timeout bool
	// AliveAt is when the endpoint was last known to be alive: the connection was opened, or bytes
	// arrived on it. It is zero if unknown.
	AliveAt time.Time
	// Connection is the use of the connection before the call, and Skipped the number of responses to
	// other calls that arrived on it. They are zero if none was opened.
	Connection ConnectionUse
	Skipped    int
	Err        error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
