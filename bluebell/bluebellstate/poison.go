package bluebellstate

import (
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// poisonRetention is how long a crash is remembered.
	poisonRetention = 24 * time.Hour
	// crashWindow is the time within which crashes count as one wave.
	crashWindow = 30 * time.Second
	// waveEndpoints crashed within the window make a wave.
	waveEndpoints = 3
	// waveFactor raises the limit of a request that crashes in a wave, since
	// its crashes may have another cause.
	waveFactor = 2
)

// reportCrash counts the endpoints that broke off while running a request. At
// the limit the request is refused everywhere.
func (m *Machine) reportCrash(c *pb.CrashReport) *pb.Result {
	m.forgetPoisons()
	old := m.poisons[string(c.Digest)]
	if slices.Contains(old.GetEndpoints(), c.Endpoint) {
		return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
	}
	limit := int(max(m.view.Configuration.GetPolicy().GetPoisonLimit(), 1))
	if m.crashedLately(c.Digest) >= waveEndpoints {
		limit *= waveFactor
	}
	p := &pb.Poison{
		Digest:    c.Digest,
		Endpoints: append(slices.Clone(old.GetEndpoints()), c.Endpoint),
		UnixNanos: m.now,
	}
	m.poisons[string(c.Digest)] = p
	known := slices.ContainsFunc(m.view.PoisonDigests, func(d []byte) bool { return string(d) == string(c.Digest) })
	if len(p.Endpoints) >= limit && !known {
		next := cloneView(m.view)
		next.PoisonDigests = append(next.PoisonDigests, c.Digest)
		m.publish(next)
	}
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

// crashedLately counts endpoints that other requests reported in the window.
func (m *Machine) crashedLately(except []byte) int {
	seen := map[string]bool{}
	for digest, p := range m.poisons {
		if digest == string(except) || m.now-p.UnixNanos > int64(crashWindow) {
			continue
		}
		for _, e := range p.Endpoints {
			seen[e] = true
		}
	}
	return len(seen)
}

func (m *Machine) forgetPoisons() {
	for digest, p := range m.poisons {
		if m.now-p.UnixNanos <= int64(poisonRetention) {
			continue
		}
		delete(m.poisons, digest)
		if i := slices.IndexFunc(m.view.PoisonDigests, func(d []byte) bool { return string(d) == digest }); i >= 0 {
			next := cloneView(m.view)
			next.PoisonDigests = slices.Delete(next.PoisonDigests, i, i+1)
			m.publish(next)
		}
	}
}
