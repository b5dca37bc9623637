package bluebellplacement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entries agree on the home of a prompt by rendezvous hashing, without exchanging
// messages.

// markHomes marks the candidates that come first in rendezvous order of the last shared
// block as the home and alternate homes, and returns the home. It skips suspect candidates
// unless all are suspect, so that all entries send the prompts of unreachable endpoints to
// the same other ones. heaviest is the highest weight of an engine, 0 if all weights are 1.
func markHomes(candidates []candidate, sharedBlock string, heaviest float64) *candidate {
	if sharedBlock == "" {
		return nil
	}
	allSuspect := !slices.ContainsFunc(candidates, func(c candidate) bool { return !c.suspect })
	block := xxhash.Sum64String(sharedBlock)
	var first [1 + alternateHomes]*candidate
	var scores [1 + alternateHomes]uint64
	least := uint64(0) // the least hash that matters
	for i := range candidates {
		if candidates[i].suspect && !allSuspect {
			continue
		}
		c, score := &candidates[i], mixHashes(block, candidates[i].hash)
		if heaviest > 0 {
			if score < least {
				continue
			}
			score = weightedScore(score, c.weight)
		}
		for at := range first {
			if first[at] == nil || score > scores[at] {
				first[at], c = c, first[at]
				scores[at], score = score, scores[at]
			}
			if c == nil {
				break
			}
		}
		if heaviest > 0 && first[alternateHomes] != nil {
			least = leastHash(scores[alternateHomes], heaviest)
		}
	}
	for at, c := range first {
		if c != nil {
			c.home, c.alternate = at == 0, at > 0
		}
	}
	return first[0]
}

// homeLocation is the address and failure domain of a prompt's home.
type homeLocation struct{ address, domain string }

// homeOf returns the location of a home, without the address if the home is suspect.
func homeOf(c *candidate) homeLocation {
	if c == nil {
		return homeLocation{}
	}
	h := homeLocation{domain: c.endpoint.FailureDomain}
	if !c.suspect {
		h.address = c.endpoint.Address
	}
	return h
}

// mixHashes returns the rendezvous hash for the hashes of a block and of an endpoint's ID. It
// is computed for each endpoint at each choice: hashing both strings together took most of the
// time of a choice among hundreds of endpoints. The function is the finalizer of SplitMix64.
func mixHashes(block, endpoint uint64) uint64 {
	h := block ^ endpoint
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// rendezvous returns the rendezvous hash of a name for a key: the name with the highest
// hash comes first.
func rendezvous(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
