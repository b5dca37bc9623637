package bluebelltransport

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Stage is how far an exchange had come.
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

// ErrTruncated is returned when an answer ends before it is complete.
var ErrTruncated = errors.New("the answer ended before it was complete")

// Error is a failed exchange.
type Error struct {
	Stage Stage
	// MaybeSent is set unless the endpoint has certainly received nothing.
	MaybeSent bool
	// Timeout is set if the endpoint stayed silent.
	Timeout bool
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
