package bluebellplacement

import (
	"math"
	"slices"
	"time"
)

// Homes are shared out by the speeds of the engines: each engine gets a weight in the rendezvous order, in
// steps. The speeds are those that all entries report together, so that entries agree on the steps; a
// step changes only if the speed differs from it by a whole one. Entries that disagree for a time send
// some prompts to different engines, which read them again.

const (
	// homeWeightStep is the ratio between the weights of two steps.
	homeWeightStep = 1.15
	// homeSmoothing is the number of calls times their time in reports over which speeds are averaged.
	// With two suitable calls a second over all entries, each reported for a second, it is about 100 s.
	homeSmoothing = 200 * time.Second
	// minHomeEvidence is the same from which on a speed is known. With 10 and 40 s, some of equally fast
	// engines got other weights for the speeds of their first calls.
	minHomeEvidence = 150 * time.Second
	// maxHomeSteps bounds the steps of an engine.
	maxHomeSteps = 10
)

// homeWeight is the weight of one engine in the rendezvous order.
type homeWeight struct {
	// logRate is the logarithm of the speed in all entries' reports, smoothed; evidence is the number of
	// calls times their time in reports that it is from.
	logRate  float64
	evidence time.Duration
	// step is the power of homeWeightStep, relative to the median of the target.
	step int
}

// learn adds what all entries report for a time.
func (h *homeWeight) learn(all Speed, since time.Duration) {
	if all.Calls <= 0 || all.Total <= 0 || since <= 0 {
		return
	}
	added := time.Duration(all.Calls) * since
	h.evidence = min(h.evidence+added, homeSmoothing)
	weight := min(float64(added)/float64(h.evidence), 1)
	h.logRate += weight * (math.Log(all.TokensPerSecond()) - h.logRate)
}

// updateHomeWeights sets the weights of the members. They are all 1 unless an engine differs from the
// target's median by a step. changed, if not nil, is called for each change.
func (t *targetState) updateHomeWeights(changed func(endpoint string, weight, tokensPerSecond float64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ratios = t.ratios[:0]
	for i := range t.members {
		if h := &t.members[i].state.home; h.evidence >= minHomeEvidence {
			t.ratios = append(t.ratios, h.logRate)
		}
	}
	t.heaviest = 0
	if 2*len(t.ratios) < len(t.members) || len(t.ratios) < 2 {
		// Too little is known for a median. Entries that know the speeds of single engines only would
		// not agree with others.
		return
	}
	slices.Sort(t.ratios)
	median, weighted := t.ratios[len(t.ratios)/2], false
	for i := range t.members {
		m := &t.members[i]
		if h := &m.state.home; h.updateStep(median) && changed != nil {
			changed(m.endpoint.ID, h.weight(), math.Exp(h.logRate))
		}
		weighted = weighted || m.state.home.step != t.members[0].state.home.step
	}
	if !weighted {
		return
	}
	for i := range t.members {
		m := &t.members[i]
		m.weight = m.state.home.weight()
		t.heaviest = max(t.heaviest, m.weight)
	}
}

// weight returns the weight of the step.
func (h *homeWeight) weight() float64 { return math.Pow(homeWeightStep, float64(h.step)) }

// updateStep changes the step if the speed differs from it by a whole one. It reports whether it has
// changed.
func (h *homeWeight) updateStep(median float64) bool {
	steps := (h.logRate - median) / math.Log(homeWeightStep)
	if h.evidence < minHomeEvidence || math.Abs(steps-float64(h.step)) < 1 {
		return false
	}
	before := h.step
	h.step = int(min(max(math.Round(steps), -maxHomeSteps), maxHomeSteps))
	return h.step != before
}

// Weighted rendezvous scores are positive numbers whose bits are in the same order as the numbers.

// weightedScore returns the score of a rendezvous hash: the engine with the highest score comes first, and
// each one is first for a share of all blocks that is proportional to its weight.
func weightedScore(hash uint64, weight float64) uint64 {
	return math.Float64bits(-weight / math.Log((float64(hash>>11)+0.5)/(1<<53)))
}

// leastHash returns a hash below which an engine of a weight has a lower score than the given one. It is
// slightly too low rather than too high.
func leastHash(score uint64, weight float64) uint64 {
	return uint64(math.Exp(-weight/math.Float64frombits(score)) * (1 - 1e-9) * (1 << 64))
}
