package bluebellroute

import "sync"

// shareSlack is the number of requests by which a new version may exceed its share,
// or fall short of it, so that a prompt stays with the version that has it cached.
const shareSlack = 2

// initialCredit makes the first request of a new version come sooner.
const initialCredit = 0.5

// versionSplitter keeps the number of requests that a new version gets close to
// its share, also if there are only a few different prompts. It uses error
// diffusion (Floyd and Steinberg, 1976), and prefers to send prompts that hash to
// the new version there.
type versionSplitter struct {
	mu     sync.Mutex
	next   string
	credit float64
}

// admit reports whether a request goes to the new version. Sticky is set if the
// prompt hashes to the new version, cached if an endpoint is known to have a part
// of the prompt cached for the old version.
func (s *versionSplitter) admit(share float64, sticky, cached bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit += share
	requiredCredit := 1.0
	switch {
	case share >= 1:
		return true
	case sticky:
		requiredCredit = -shareSlack + 1
	case cached:
		requiredCredit = shareSlack
	}
	if s.credit < requiredCredit {
		return false
	}
	s.credit--
	return true
}

// splitterSet holds one splitter for each target that has had a move.
type splitterSet struct {
	mu        sync.Mutex
	splitters map[string]*versionSplitter
}

// get returns the splitter of a target, or a new one if the new version changed.
func (s *splitterSet) get(target, next string) *versionSplitter {
	s.mu.Lock()
	defer s.mu.Unlock()
	splitter := s.splitters[target]
	if splitter == nil || splitter.next != next {
		splitter = &versionSplitter{next: next, credit: initialCredit}
		s.splitters[target] = splitter
	}
	return splitter
}
