package bluebellrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

const (
	// lobbyTick is how often waiting calls are tried without a cause: news of the load
	// of other entries comes that often at the most.
	lobbyTick = 20 * time.Millisecond
	// leastTick keeps answers that end together from having all that wait tried each
	// time.
	leastTick = 2 * time.Millisecond
)

// guest is a call in a lobby.
type guest struct {
	waiter  bluebellqueue.Waiter
	request bluebellplacement.Request
	choice  bluebellplacement.Choice
	absence bluebellplacement.PickResult
	// nearUntil is how long the call waits for its prompt's homes alone.
	nearUntil time.Duration
	// unfitUntil is how long the call waits while no endpoint could take it even if it
	// were idle.
	unfitUntil time.Duration
	// placed is closed once choice is set.
	placed chan struct{}
}

// lobby holds the calls of one target that wait for an endpoint.
type lobby struct {
	place func(r bluebellplacement.Request) (bluebellplacement.Choice, bluebellplacement.PickResult)
	now   func() time.Duration

	mu      sync.Mutex
	guests  []*guest
	triedAt time.Duration
	ticking bool
}

// wait returns an endpoint for a call, or why there is none by the end of its wait.
func (l *lobby) wait(ctx context.Context, g *guest, until time.Duration) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	if l.enter(g) {
		return g.choice, bluebellplacement.Picked
	}
	for _, at := range []time.Duration{min(g.unfitUntil, until), until} {
		select {
		case <-g.placed:
			return l.leave(g)
		case <-time.After(at - l.now()):
		case <-ctx.Done():
			return l.leave(g)
		}
		if l.isUnfit(g) {
			break
		}
	}
	return l.leave(g)
}

// isUnfit tells whether there is no endpoint to wait for.
func (l *lobby) isUnfit(g *guest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.absence == bluebellplacement.AllUnfit || g.absence == bluebellplacement.NoEndpoint
}

// enter places a call at once if no other waits, and otherwise lets it wait.
func (l *lobby) enter(g *guest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.placed = make(chan struct{})
	if len(l.guests) == 0 {
		if l.try(g) {
			return true
		}
	}
	l.guests = append(l.guests, g)
	if !l.ticking {
		l.ticking = true
		go l.tick()
	}
	return false
}

// tick tries those that wait until there are none.
func (l *lobby) tick() {
	for {
		time.Sleep(lobbyTick)
		l.mu.Lock()
		l.admit()
		l.ticking = len(l.guests) > 0
		ticking := l.ticking
		l.mu.Unlock()
		if !ticking {
			return
		}
	}
}

// leave returns what a call that stops waiting has got.
func (l *lobby) leave(g *guest) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guests = slices.DeleteFunc(l.guests, func(one *guest) bool { return one == g })
	return g.choice, g.absence
}

// ended lets calls that wait take the place of one that has ended.
func (l *lobby) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now()-l.triedAt >= leastTick {
		l.admit()
	}
}

// try looks for an endpoint for one call.
func (l *lobby) try(g *guest) bool {
	now := l.now()
	g.request.HomesOnly, g.request.FirstEventBy = now < g.nearUntil, bluebellqueue.FirstEventBy(g.waiter, now, len(l.guests))
	g.choice, g.absence = l.place(g.request)
	return g.absence == bluebellplacement.Picked
}

// admit gives endpoints to those that wait, in order; the lock is held.
func (l *lobby) admit() {
	if len(l.guests) == 0 {
		return
	}
	l.triedAt = l.now()
	waiters := make([]bluebellqueue.Waiter, len(l.guests))
	for i, g := range l.guests {
		waiters[i] = g.waiter
		// Those that are not tried are too large for the room that there is.
		g.absence = bluebellplacement.AllFull
	}
	bluebellqueue.Admit(waiters, l.triedAt, func(i int) bluebellqueue.TryResult {
		g := l.guests[i]
		switch {
		case l.try(g):
			close(g.placed)
			return bluebellqueue.Placed
		case g.absence.Saturated() && !g.request.HomesOnly:
			return bluebellqueue.Full
		}
		return bluebellqueue.NotPlaced
	})
	l.guests = slices.DeleteFunc(l.guests, func(g *guest) bool { return g.absence == bluebellplacement.Picked })
}
