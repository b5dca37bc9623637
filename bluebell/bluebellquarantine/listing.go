package bluebellquarantine

import "time"

// ListPath is the path of the control interface of a core process that lists quarantines with GET.
// With DELETE, and a key behind a slash, it lifts one. It is no part of the platform's interface.
const ListPath = "/quarantines"

// Listing is a quarantine as it is listed to operators.
type Listing struct {
	Key string
	// WholeCall is set if the subject is a call and not a block of a prompt.
	WholeCall    bool
	Since, Until time.Time
	InForce      bool
	// Count is the number of quarantines of the subject since one was last lifted.
	Count  uint32
	Reason string
}
