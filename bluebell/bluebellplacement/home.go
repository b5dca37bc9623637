package bluebellplacement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entries agree on where a prompt belongs without a message: by rendezvous order.

// markHomes marks the first endpoints in rendezvous order and returns the home. Suspect
// ones are passed over, so that prompts of endpoints that are out of reach meet at others.
func markHomes(candidates []candidate, shared string) *candidate {
	if shared == "" {
		return nil
	}
	allSuspect := !slices.ContainsFunc(candidates, func(c candidate) bool { return !c.suspect })
	var first [1 + secondHomes]*candidate
	var scores [1 + secondHomes]uint64
	for i := range candidates {
		if candidates[i].suspect && !allSuspect {
			continue
		}
		c, score := &candidates[i], rendezvous(shared, candidates[i].endpoint.ID)
		for at := range first {
			if first[at] == nil || score > scores[at] {
				first[at], c = c, first[at]
				scores[at], score = score, scores[at]
			}
			if c == nil {
				break
			}
		}
	}
	for at, c := range first {
		if c != nil {
			c.home, c.second = at == 0, at > 0
		}
	}
	return first[0]
}

// home is where a prompt belongs.
type home struct{ address, domain string }

func homeOf(c *candidate) home {
	if c == nil {
		return home{}
	}
	h := home{domain: c.endpoint.FailureDomain}
	if !c.suspect {
		h.address = c.endpoint.Address
	}
	return h
}

func rendezvous(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
