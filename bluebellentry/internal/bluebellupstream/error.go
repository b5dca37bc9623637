package bluebellupstream

import "fmt"

// Stage is the part of an exchange in which it failed.
type Stage int

// The stages of an exchange.
const (
	Connecting Stage = iota
	Writing
	AwaitingAnswer
	ReadingAnswer
)

func (s Stage) String() string {
	return [...]string{"Connecting", "Writing", "AwaitingAnswer", "ReadingAnswer"}[s]
}

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	// MaybeSent is false only if certainly no byte of the request was sent.
	MaybeSent bool
	// BrokenOff is set if the peer closed the connection before the answer was complete.
	BrokenOff bool
	// Timeout is set if the stage exceeded its timeout.
	Timeout bool
	Err     error
}

var _ error = (*Error)(nil)

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
