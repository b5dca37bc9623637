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

// Error tells how an exchange failed.
type Error struct {
	Stage Stage
	// MaybeSent is unset when certainly no byte of the request has left.
	MaybeSent bool
	// BrokenOff is set when the other end closed the connection.
	BrokenOff bool
	// Timeout is set when a stage took too long.
	Timeout bool
	Err     error
}

var _ error = (*Error)(nil)

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
