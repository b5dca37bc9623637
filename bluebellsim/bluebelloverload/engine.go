package bluebelloverload

import (
	"cmp"
	"slices"
	"time"
)

// The figures of an engine are those of both users' sheets.
const (
	stepTime    = 2600 * time.Microsecond
	stepForCall = 120 * time.Microsecond
	// readPerSecond is the number of prompt tokens that are read in a second.
	readPerSecond = 48_200.0
	pieceTokens   = 4096
	tokenBytes    = 18_432
	slots         = 64
)

// run is a call at an engine.
type run struct {
	call *call
	// unread and unmade are the tokens of the prompt and of the answer that are left.
	unread, unmade int
	begun          bool
}

// block is the shared part of a subject's prompts in an engine's memory.
type block struct {
	tokens int
	users  int
	usedAt time.Duration
}

// engine is the stand-in of one model engine.
type engine struct {
	w       *world
	id      string
	domain  int
	dark    bool
	waiting []*run
	running []*run
	blocks  map[string]*block
	// used is what running calls and blocks take.
	used    int
	stepped bool
	// heardAt is when it last registered.
	heardAt time.Duration
}

// arrive takes in a call whose fetch is over.
func (e *engine) arrive(c *call) {
	if e.dark || c.over {
		return
	}
	e.waiting = append(e.waiting, &run{call: c, unmade: c.kind.OutputTokens})
	e.step()
}

// step begins a step if none is under way.
func (e *engine) step() {
	if e.stepped || e.dark {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepped = true
	took := stepTime + time.Duration(len(e.running))*stepForCall
	reader, piece := e.nextPiece()
	took += time.Duration(float64(piece) / readPerSecond * float64(time.Second))
	e.w.agenda.After(took, func() {
		e.stepped = false
		e.finishStep(reader, piece)
		e.step()
	})
}

// nextPiece returns the most urgent call that is still to be read, and how much of it.
func (e *engine) nextPiece() (*run, int) {
	for _, r := range e.running {
		if r.unread > 0 {
			return r, min(r.unread, pieceTokens)
		}
	}
	return nil, 0
}

// admit starts waiting calls, the more urgent first, while there is memory.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(r *run) bool { return r.call.over })
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return cmp.Compare(a.call.kind.Priority, b.call.kind.Priority) })
	for len(e.waiting) > 0 && len(e.running) < slots {
		r := e.waiting[0]
		if !e.hold(r) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

// hold takes memory for a call, and tells whether there was enough.
func (e *engine) hold(r *run) bool {
	k := r.call.kind
	need := k.OwnTokens + k.OutputTokens
	b := e.blocks[r.call.subject]
	if b == nil {
		need += k.SharedTokens
	}
	if !e.free(need, r.call.subject) {
		return false
	}
	e.used += need
	r.unread = k.OwnTokens
	if b == nil {
		b = &block{tokens: k.SharedTokens}
		e.blocks[r.call.subject] = b
		if !r.call.fetched {
			r.unread += k.SharedTokens
			e.w.noteRead(r.call)
		}
	}
	b.users++
	b.usedAt = e.w.agenda.Now()
	return true
}

// free drops blocks that nothing uses, the least recently used first.
func (e *engine) free(need int, keep string) bool {
	for e.used+need > e.w.load.EngineRoom {
		oldest := ""
		for subject, b := range e.blocks {
			if b.users == 0 && subject != keep && (oldest == "" || older(b, subject, e.blocks[oldest], oldest)) {
				oldest = subject
			}
		}
		if oldest == "" {
			return false
		}
		e.used -= e.blocks[oldest].tokens
		delete(e.blocks, oldest)
	}
	return true
}

// finishStep gives out what a step has made.
func (e *engine) finishStep(reader *run, piece int) {
	var left []*run
	for _, r := range e.running {
		switch {
		case r == reader:
			if r.unread -= piece; r.unread == 0 {
				e.w.saved(r.call)
			}
		case r.unread == 0:
			if !r.begun {
				r.begun = true
				e.w.firstEvent(r.call, e)
			}
			r.unmade--
		}
		if r.unmade <= 0 || r.call.over {
			e.release(r)
			if !r.call.over {
				e.w.answered(r.call, e)
			}
			continue
		}
		left = append(left, r)
	}
	e.running = left
}

func (e *engine) release(r *run) {
	e.used -= r.call.kind.OwnTokens + r.call.kind.OutputTokens
	if b := e.blocks[r.call.subject]; b != nil {
		b.users--
		b.usedAt = e.w.agenda.Now()
	}
}

// goDark makes the engine fall silent with all that it holds.
func (e *engine) goDark() {
	e.dark = true
	e.waiting, e.running, e.blocks, e.used = nil, nil, map[string]*block{}, 0
}

// store is the stand-in of one cache store.
type store struct {
	address string
	domain  int
	held    map[string]int
	used    int
	// freeAt is when its link has carried all fetches that were asked for.
	freeAt   time.Duration
	slowness float64
}

// fetch returns when so many tokens have come over the store's link.
func (s *store) fetch(now time.Duration, tokens int, bytesPerSecond float64) time.Duration {
	took := time.Duration(float64(tokens) * tokenBytes / bytesPerSecond * s.slowness * float64(time.Second))
	s.freeAt = max(s.freeAt, now) + took
	return s.freeAt
}

// older compares blocks by their last use, and by name to be the same in each run.
func older(a *block, nameA string, b *block, nameB string) bool {
	return a.usedAt < b.usedAt || a.usedAt == b.usedAt && nameA < nameB
}
