package bluebelloverload

import (
	"cmp"
	"slices"
	"time"
)

// The properties of an engine are those that both users state for their engines.
const (
	// A step takes stepTime, stepTimePerCall for each running call, and the time to read the
	// chunk.
	stepTime        = 2600 * time.Microsecond
	stepTimePerCall = 120 * time.Microsecond
	// readTokensPerSecond is the number of prompt tokens that an engine reads in a second.
	readTokensPerSecond = 48_200.0
	// chunkTokens is the largest part of a prompt that is read in one step.
	chunkTokens = 4096
	// tokenBytes is the cache size of one token.
	tokenBytes = 18_432
	// maxRunning is the number of calls that run at the same time.
	maxRunning = 64
)

// engineCall is the state of a call at an engine.
type engineCall struct {
	call *call
	// promptLeft and answerLeft are the numbers of tokens of the prompt to read, and of the
	// answer to make.
	promptLeft, answerLeft int
	// begun is set once the first token of the answer is made.
	begun bool
}

// block is the part of the prompts about one subject that they share, in an engine's memory.
type block struct {
	tokens int
	// users is the number of running calls that need the block.
	users  int
	usedAt time.Duration
}

// engine simulates one endpoint that runs a model.
type engine struct {
	sim    *simulation
	id     string
	domain int
	// dark is set while the engine is silent.
	dark    bool
	waiting []*engineCall
	running []*engineCall
	// blocks holds the cached blocks by subject.
	blocks map[string]*block
	// usedTokens is the memory that running calls and blocks use.
	usedTokens int
	// stepping is set while a step is in progress.
	stepping bool
	// registeredAt is when the engine last registered with the core processes.
	registeredAt time.Duration
}

// enqueue adds a call whose fetch is over. The call is lost if the engine is dark.
func (e *engine) enqueue(c *call) {
	if e.dark || c.ended {
		return
	}
	e.waiting = append(e.waiting, &engineCall{call: c, answerLeft: c.kind.OutputTokens})
	e.step()
}

// step starts a step if none is in progress and there is a call to run.
func (e *engine) step() {
	if e.stepping || e.dark {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	took := stepTime + time.Duration(len(e.running))*stepTimePerCall
	reader, chunk := e.nextChunk()
	took += time.Duration(float64(chunk) / readTokensPerSecond * float64(time.Second))
	e.sim.eventQueue.After(took, func() {
		e.stepping = false
		e.finishStep(reader, chunk)
		e.step()
	})
}

// nextChunk returns the first running call whose prompt is not read, and the number of tokens
// to read in this step.
func (e *engine) nextChunk() (*engineCall, int) {
	for _, r := range e.running {
		if r.promptLeft > 0 {
			return r, min(r.promptLeft, chunkTokens)
		}
	}
	return nil, 0
}

// admit starts waiting calls in order of priority until the memory is full or maxRunning calls
// run.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(r *engineCall) bool { return r.call.ended })
	slices.SortStableFunc(e.waiting, func(a, b *engineCall) int { return cmp.Compare(a.call.kind.Priority, b.call.kind.Priority) })
	for len(e.waiting) > 0 && len(e.running) < maxRunning {
		r := e.waiting[0]
		if !e.allocate(r) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

// allocate takes memory for a call and its shared block. It reports whether there was enough.
func (e *engine) allocate(r *engineCall) bool {
	k := r.call.kind
	need := k.OwnTokens + k.OutputTokens
	b := e.blocks[r.call.subject]
	if b == nil {
		need += k.SharedTokens
	}
	if !e.evict(need, r.call.subject) {
		return false
	}
	e.usedTokens += need
	r.promptLeft = k.OwnTokens
	if b == nil {
		b = &block{tokens: k.SharedTokens}
		e.blocks[r.call.subject] = b
		if !r.call.fetched {
			r.promptLeft += k.SharedTokens
			e.sim.countRead(r.call)
		}
	}
	b.users++
	b.usedAt = e.sim.eventQueue.Now()
	return true
}

// evict drops blocks that no running call needs, the least recently used first, until need
// tokens are free. It keeps the block of the subject keep. It reports whether enough is free.
func (e *engine) evict(need int, keep string) bool {
	for e.usedTokens+need > e.sim.load.EngineRoom {
		oldest := ""
		for subject, b := range e.blocks {
			if b.users == 0 && subject != keep && (oldest == "" || older(b, subject, e.blocks[oldest], oldest)) {
				oldest = subject
			}
		}
		if oldest == "" {
			return false
		}
		e.usedTokens -= e.blocks[oldest].tokens
		delete(e.blocks, oldest)
	}
	return true
}

// finishStep applies the result of a step in which chunk tokens of the reader's prompt were
// read, and releases the calls that have ended.
func (e *engine) finishStep(reader *engineCall, chunk int) {
	var left []*engineCall
	for _, r := range e.running {
		switch {
		case r == reader:
			if r.promptLeft -= chunk; r.promptLeft == 0 {
				e.sim.saveBlock(r.call)
			}
		case r.promptLeft == 0:
			if !r.begun {
				r.begun = true
				e.sim.firstEvent(r.call, e)
			}
			r.answerLeft--
		}
		if r.answerLeft <= 0 || r.call.ended {
			e.release(r)
			if !r.call.ended {
				e.sim.answer(r.call, e)
			}
			continue
		}
		left = append(left, r)
	}
	e.running = left
}

// release frees the memory of a call. Its shared block stays cached.
func (e *engine) release(r *engineCall) {
	e.usedTokens -= r.call.kind.OwnTokens + r.call.kind.OutputTokens
	if b := e.blocks[r.call.subject]; b != nil {
		b.users--
		b.usedAt = e.sim.eventQueue.Now()
	}
}

// goDark makes the engine silent, and drops its calls and cached blocks.
func (e *engine) goDark() {
	e.dark = true
	e.waiting, e.running, e.blocks, e.usedTokens = nil, nil, map[string]*block{}, 0
}

// store simulates one cache store.
type store struct {
	address string
	domain  int
	// blockTokens holds the size of each stored block by subject, and usedTokens their sum.
	blockTokens map[string]int
	usedTokens  int
	// linkFreeAt is when the store's link has carried all requested fetches.
	linkFreeAt time.Duration
	// slowdown multiplies the time of each fetch.
	slowdown float64
}

// fetch adds a fetch to the store's link and returns the time at which it is complete.
func (s *store) fetch(now time.Duration, tokens int, bytesPerSecond float64) time.Duration {
	took := time.Duration(float64(tokens) * tokenBytes / bytesPerSecond * s.slowdown * float64(time.Second))
	s.linkFreeAt = max(s.linkFreeAt, now) + took
	return s.linkFreeAt
}

// older reports whether block a was last used before block b. Blocks with the same last use are
// ordered by name, so that runs are reproducible.
func older(a *block, nameA string, b *block, nameB string) bool {
	return a.usedAt < b.usedAt || a.usedAt == b.usedAt && nameA < nameB
}
