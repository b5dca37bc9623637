package bluebellstate

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// CommandVersion is the version of the commands that this release can apply; see pb.CoreState.
const CommandVersion = 2

const (
	// departureRetention is how long a departure is kept: longer than endpoints that are draining serve calls,
	// and longer than entries remember an endpoint that is gone.
	departureRetention = 15 * time.Minute
	// maxDepartures bounds the departures that are kept. It is the number of endpoints that may register.
	maxDepartures = 4096
)

// CoreState returns the part of the state that core processes act on. The caller must not modify it. It is
// replaced at each change.
func (m *Machine) CoreState() *pb.CoreState { return m.core }

// editCore replaces the core state by a copy that edit has changed. edit may change the copy's lists, but not
// their elements.
func (m *Machine) editCore(edit func(next *pb.CoreState)) {
	next := &pb.CoreState{
		CommandVersion: m.core.CommandVersion,
		Departures:     slices.Clone(m.core.Departures),
		Usage:          slices.Clone(m.core.Usage),
		Scales:         slices.Clone(m.core.Scales),
	}
	edit(next)
	m.core = next
}

// setCommandVersion sets the version of the commands that all core processes can apply.
func (m *Machine) setCommandVersion(s *pb.SetCommandVersion) *pb.Result {
	if s.Version != m.core.CommandVersion {
		m.editCore(func(next *pb.CoreState) { next.CommandVersion = s.Version })
	}
	return m.accepted()
}

// recordDeparture records that an endpoint is draining or gone.
func (m *Machine) recordDeparture(d *pb.RecordDeparture) *pb.Result {
	r := d.Registration
	if r.GetID() == "" {
		return m.refuse("a departure needs a registration")
	}
	if old := departureOf(m.core, r.ID); old != nil && !departsAfter(r, old.Registration) {
		return m.accepted()
	}
	m.editCore(func(next *pb.CoreState) {
		next.Departures = slices.DeleteFunc(next.Departures, func(old *pb.Departure) bool {
			return old.Registration.ID == r.ID || m.now-old.UnixNanos > int64(departureRetention)
		})
		if len(next.Departures) >= maxDepartures {
			next.Departures = slices.Delete(next.Departures, 0, 1)
		}
		next.Departures = append(next.Departures, &pb.Departure{Registration: proto.CloneOf(r), UnixNanos: m.now})
	})
	return m.accepted()
}

// departureOf returns the departure of an endpoint, or nil.
func departureOf(core *pb.CoreState, id string) *pb.Departure {
	i := slices.IndexFunc(core.GetDepartures(), func(d *pb.Departure) bool { return d.Registration.ID == id })
	if i < 0 {
		return nil
	}
	return core.Departures[i]
}

// departsAfter reports whether a departure adds to a recorded one: it is of a later incarnation, or the endpoint
// is gone and was draining.
func departsAfter(r, recorded *pb.Registration) bool {
	return cmp.Or(cmp.Compare(r.BornUnixMillis, recorded.BornUnixMillis), cmp.Compare(r.State, recorded.State)) > 0
}

// HasDeparture reports whether a departure, or more of the same endpoint, is recorded.
func HasDeparture(core *pb.CoreState, r *pb.Registration) bool {
	d := departureOf(core, r.ID)
	return d != nil && !departsAfter(r, d.Registration)
}

// MayDeclare reports whether an encoded command may change the declaration. It does so for commands that it does not know.
func MayDeclare(data []byte) bool {
	if len(data) == 0 {
		return false
	}
	var c pb.Command
	if err := proto.Unmarshal(data, &c); err != nil {
		return true
	}
	switch c.Body.(type) {
	case *pb.Command_Barrier, *pb.Command_RecordDeparture, *pb.Command_SetCommandVersion, *pb.Command_OrderDomain,
		*pb.Command_NameWeights, *pb.Command_SetQuarantine, *pb.Command_DecideUsage, *pb.Command_RecordUsageSent, *pb.Command_OrderScale:
		return false
	}
	return true
}

// IsOrder reports whether a command is an operator's order that has no version of its own: of two contrary ones
// the one that is later in the log is in force. Such an order must not be proposed behind another one that was
// sent after it.
func IsOrder(c *pb.Command) bool {
	switch c.Body.(type) {
	case *pb.Command_OrderDomain, *pb.Command_SetQuarantine:
		return true
	}
	return false
}
