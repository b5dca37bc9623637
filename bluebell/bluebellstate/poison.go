package bluebellstate

import (
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// poisonRetention is how long the crashes of a request are kept after the last one
	// that was counted.
	poisonRetention = 24 * time.Hour
	// crashWindow is the time within which crashes count towards the same crash wave.
	crashWindow = 30 * time.Second
	// crashWaveEndpoints is the number of endpoints that other requests must have crashed
	// within crashWindow for a crash to count as part of a wave.
	crashWaveEndpoints = 3
	// crashWaveFactor multiplies the limit for a request that crashes an endpoint during
	// a wave, since the crash can have a cause other than the request.
	crashWaveFactor = 2
)

// reportCrash counts the endpoints that broke the connection while they ran a request,
// each once. When the count reaches the policy's limit, the request is published as
// poisoned, and all entries refuse it.
func (m *Machine) reportCrash(c *pb.CrashReport) *pb.Result {
	m.expirePoisons()
	old := m.poisons[string(c.Digest)]
	if slices.Contains(old.GetEndpoints(), c.Endpoint) {
		return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
	}
	limit := int(max(m.view.Configuration.GetPolicy().GetPoisonLimit(), 1))
	if m.recentlyCrashedEndpoints(c.Digest) >= crashWaveEndpoints {
		limit *= crashWaveFactor
	}
	p := &pb.Poison{
		Digest:    c.Digest,
		Endpoints: append(slices.Clone(old.GetEndpoints()), c.Endpoint),
		UnixNanos: m.now,
	}
	m.poisons[string(c.Digest)] = p
	alreadyPoisoned := slices.ContainsFunc(m.view.PoisonDigests, func(d []byte) bool { return string(d) == string(c.Digest) })
	if len(p.Endpoints) >= limit && !alreadyPoisoned {
		next := cloneView(m.view)
		next.PoisonDigests = append(next.PoisonDigests, c.Digest)
		m.publish(next)
	}
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

// recentlyCrashedEndpoints returns the number of endpoints crashed by requests other than
// excluded whose last counted crash lies within crashWindow.
func (m *Machine) recentlyCrashedEndpoints(excluded []byte) int {
	seen := map[string]bool{}
	for digest, p := range m.poisons {
		if digest == string(excluded) || m.now-p.UnixNanos > int64(crashWindow) {
			continue
		}
		for _, e := range p.Endpoints {
			seen[e] = true
		}
	}
	return len(seen)
}

// expirePoisons drops the requests whose last counted crash is older than poisonRetention, and
// publishes that they are no longer poisoned.
func (m *Machine) expirePoisons() {
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
