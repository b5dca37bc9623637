package bluebellfleet

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// ToMessage encodes a registration at the time now. Points in time are encoded as durations
// relative to now, since the clocks of VMs differ.
func ToMessage(e Endpoint, now time.Duration) *pb.Registration {
	m := &pb.Registration{
		ID: e.ID, Target: e.Target, Address: e.Address, FailureDomain: e.FailureDomain,
		SoftwareVersion: e.SoftwareVersion, Slots: uint32(e.Slots), State: pb.RegistrationState(e.State),
		ColdLeft: durationpb.New(max(e.ColdUntil-now, 0)), BornUnixMillis: e.StartUnixMillis, Sequence: e.Sequence,
		HeardAgo: durationpb.New(now - e.ReceivedAt),
	}
	for model, version := range e.Weights {
		m.Weights = append(m.Weights, &pb.ModelWeights{Model: model, Version: version})
	}
	return m
}

// FromMessage decodes a registration that was received at the time now.
func FromMessage(m *pb.Registration, now time.Duration) Endpoint {
	e := Endpoint{
		ID: m.ID, Target: m.Target, Address: m.Address, FailureDomain: m.FailureDomain,
		SoftwareVersion: m.SoftwareVersion, Slots: int(m.Slots), State: State(m.State),
		StartUnixMillis: m.BornUnixMillis, Sequence: m.Sequence, ReceivedAt: now - m.HeardAgo.AsDuration(),
		Weights: make(map[string]uint64, len(m.Weights)),
	}
	if left := m.ColdLeft.AsDuration(); left > 0 {
		e.ColdUntil = now + left
	}
	for _, w := range m.Weights {
		e.Weights[w.Model] = w.Version
	}
	return e
}
