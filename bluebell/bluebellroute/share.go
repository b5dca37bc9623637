package bluebellroute

import "sync"

// shareSlack is the number of requests by which a new version may run ahead of
// its share, or lag behind it, so that a prompt stays with the version that has
// it cached.
const shareSlack = 2

// firstCredit lets a new version's first request come soon.
const firstCredit = 0.5

// shareMeter keeps the requests that a new version gets close to its share,
// however few prompts there are. It is an error diffusion (Floyd and Steinberg,
// 1976) with a preference for prompts that hash to the new version.
type shareMeter struct {
	mu     sync.Mutex
	next   string
	credit float64
}

// take decides on one request: sticky tells that the prompt hashes to the new
// version, cached that the old one holds a part of it.
func (m *shareMeter) take(share float64, sticky, cached bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.credit += share
	least := 1.0
	switch {
	case share >= 1:
		return true
	case sticky:
		least = -shareSlack + 1
	case cached:
		least = shareSlack
	}
	if m.credit < least {
		return false
	}
	m.credit--
	return true
}

// meterSet keeps one meter for each target with a move.
type meterSet struct {
	mu     sync.Mutex
	meters map[string]*shareMeter
}

func (s *meterSet) get(target, next string) *shareMeter {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.meters[target]
	if m == nil || m.next != next {
		m = &shareMeter{next: next, credit: firstCredit}
		s.meters[target] = m
	}
	return m
}
