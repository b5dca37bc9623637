package bluebellplacement

import (
	"cmp"
	"slices"
	"time"
)

// A brittle endpoint crashes if it turns away more than a number of calls in a second for want of room.
// What entries know of each other's calls is too old to keep a burst from all of them within its slots.
// While it is brittle, its slots are therefore divided among the entries, by rendezvous order.

const (
	// brittleLinger is how long after an answer that says that an endpoint is brittle another one may
	// end that.
	brittleLinger = 2 * time.Second
	// brittleSettle is the time in which all entries get to know that an endpoint is brittle. Calls that
	// are turned away meanwhile are too many because of the entries that do not know.
	brittleSettle = time.Second
	// refusalFactor is the ratio between the number of calls a second that an endpoint can turn away
	// and the rate at which entries try it again while it turns calls away.
	refusalFactor = 2
	// minRefusalPause and maxRefusalPause bound the time between two tries of one entry.
	minRefusalPause = 250 * time.Millisecond
	maxRefusalPause = 30 * time.Second
	// leaveTime is how long a call that was given up may still occupy its slot: its endpoint has to
	// notice.
	leaveTime = 500 * time.Millisecond
	// maxHolders bounds Choice.Holders.
	maxHolders = 8
)

// RecordBrittle records what an answer of a choice's endpoint says about the number of calls that it can
// turn away in a second. It reports whether that differs from what the endpoint said before to any
// entry. A refusal may say that the endpoint is brittle, and never that it no longer is: while it turns calls
// away, answers are too rare to rely on one of them.
func (p *Placer) RecordBrittle(c Choice, l RateLimit, refused bool) (changed bool) {
	if refused && !l.Named {
		return false
	}
	c.withState(func(_ *targetState, s *endpointState) { changed = s.brittle.record(l) })
	return changed
}

// isBrittle reports whether the endpoint is brittle.
func (s *endpointState) isBrittle() bool { return s.brittle.latest.Named }

// occupied returns the number of slots that calls of this entry may occupy.
func (s *endpointState) occupied(now time.Duration) int {
	s.givenUp = slices.DeleteFunc(s.givenUp, func(until time.Duration) bool { return now >= until })
	return s.running + len(s.givenUp)
}

// recordRoom records what the outcome of a call says about the room at the endpoint.
func (s *endpointState) recordRoom(now, sentAt time.Duration, o Outcome) {
	switch {
	case !s.isBrittle():
		s.window = 0
	case o == Declined && sentAt-s.brittle.since >= brittleSettle && sentAt >= s.refusedAt:
		// Calls that are sent again after a pause come at different times already.
		s.refusedAt, s.refusedTogether, s.window = now, s.window == 0, 1
	case o == Abandoned || o == TimedOut || o == InvalidAnswer || o == Malformed:
		s.givenUp = append(s.givenUp, now+leaveTime)
	}
}

// widen allows one more call in flight after an answer to a call that was sent after a refusal.
func (s *endpointState) widen(sentAt time.Duration) {
	if s.window > 0 && sentAt > s.refusedAt {
		s.window++
	}
}

// slotShare returns the number of calls that this entry may have in flight at a brittle endpoint. With
// more entries than slots, only the first ones in rendezvous order have a share.
func (p *Placer) slotShare(m *member) int {
	rank, entries, slots := p.senderRank(m), len(p.fleet.Entries), slotsOf(m)
	switch {
	case entries == 0:
		// This entry has long been without a source. It may be the only one, or one of many.
		return 1
	case rank < 0:
		return 0
	}
	share := slots / entries
	if rank < slots%entries {
		share++
	}
	return share
}

// slotsOf returns the number of slots of an endpoint, 1 if it is unknown.
func slotsOf(m *member) int { return max(m.endpoint.Slots, 1) }

// refusalPause returns how long this entry sends nothing to a brittle endpoint that has turned one of
// its calls away: so long that the tries of all entries, which then come one after another, keep within
// the number of calls that it can turn away.
func (p *Placer) refusalPause(m *member) time.Duration {
	senders := max(min(len(p.fleet.Entries), slotsOf(m)), 1)
	perSecond := m.state.brittle.latest.PerSecond / refusalFactor
	pause := maxRefusalPause
	if perSecond*maxRefusalPause.Seconds() > float64(senders) {
		pause = max(time.Duration(float64(senders)/perSecond*float64(time.Second)), minRefusalPause)
	}
	if !m.state.refusedTogether {
		return pause
	}
	return pause + pause*time.Duration(max(p.senderRank(m), 0)%senders)/time.Duration(senders)
}

// brittleRoom reports whether a brittle endpoint has room for a call of this entry. If not, it returns
// when it may have, and the mean time between further calls, which is 0 if other entries have all slots.
func (p *Placer) brittleRoom(now time.Duration, t *targetState, m *member) (from, interval time.Duration, room bool) {
	s := m.state
	share := p.slotShare(m)
	if share == 0 {
		return 0, 0, false
	}
	interval = max(t.runTime, defaultResponseTime) / time.Duration(share)
	if s.window > share {
		s.window = 0
	}
	if s.window > 0 {
		if returnAt := s.refusedAt + p.refusalPause(m); now < returnAt {
			return returnAt, interval, false
		}
		share = s.window
	}
	occupied := s.occupied(now)
	if occupied >= share || occupied+m.others.Calls >= slotsOf(m) {
		return now + interval, interval, false
	}
	return 0, 0, true
}

// holders returns entries other than this one that have a share of the slots of the target's brittle
// endpoints: those of the prompt's first one in rendezvous order, a different selection each time.
func (p *Placer) holders(t *targetState, unshared []*member, sharedBlock string) []string {
	if len(unshared) == 0 {
		return nil
	}
	first := slices.MaxFunc(unshared, func(a, b *member) int {
		return cmp.Compare(rendezvous(sharedBlock, a.endpoint.ID), rendezvous(sharedBlock, b.endpoint.ID))
	})
	s := first.state
	if s.holdersVersion != p.entriesVersion {
		s.holdersVersion, s.holders = p.entriesVersion, p.findHolders(first)
	}
	if len(s.holders) == 0 {
		return nil
	}
	t.handOvers++
	list := make([]string, 0, maxHolders)
	for i := range min(len(s.holders), maxHolders) {
		list = append(list, s.holders[(t.handOvers+i)%len(s.holders)])
	}
	return list
}

// findHolders returns the entries that have a share of an endpoint's slots.
func (p *Placer) findHolders(m *member) []string {
	entries := slices.DeleteFunc(slices.Clone(p.fleet.Entries), func(e string) bool { return e == p.cfg.Self })
	slices.SortFunc(entries, func(a, b string) int {
		return cmp.Compare(rendezvous(m.endpoint.ID, b), rendezvous(m.endpoint.ID, a))
	})
	return entries[:min(len(entries), slotsOf(m))]
}
