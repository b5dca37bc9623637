package bluebellpressure

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

const (
	// ReturnStep is the resolution of the times at which callers return.
	ReturnStep = 100 * time.Millisecond
	// ReturnSteps is the number of steps that are known: a third of a deadline of 15 s.
	ReturnSteps = 50
)

// Demand is the calls of a target that wait at one or more entries, and those that were sent away.
type Demand struct {
	// Waiting is the number of waiting calls of each priority, and Tokens that of the prompt tokens
	// that engines have to read for them.
	Waiting, Tokens bluebellplacement.TokensByPriority
	// Returning is the number of callers that return within each ReturnStep from now.
	Returning [ReturnSteps]int
}

// Add returns the sum of the demands.
func (d Demand) Add(other Demand) Demand {
	d.Waiting, d.Tokens = d.Waiting.Add(other.Waiting), d.Tokens.Add(other.Tokens)
	for i, n := range other.Returning {
		d.Returning[i] += n
	}
	return d
}

// Sub returns the demand without a part of it.
func (d Demand) Sub(part Demand) Demand {
	d.Waiting, d.Tokens = d.Waiting.Sub(part.Waiting), d.Tokens.Sub(part.Tokens)
	for i, n := range part.Returning {
		d.Returning[i] = max(d.Returning[i]-n, 0)
	}
	return d
}

// After returns the demand as it is known a time later: the callers return that much sooner.
func (d Demand) After(age time.Duration) Demand {
	steps := min(max(int((age+ReturnStep/2)/ReturnStep), 0), ReturnSteps)
	if steps == 0 {
		return d
	}
	var returning [ReturnSteps]int
	copy(returning[:], d.Returning[steps:])
	d.Returning = returning
	return d
}

// Returns holds the times at which callers that an entry has sent away return. The zero value holds none.
type Returns struct {
	at []time.Duration
}

// maxReturns bounds the callers of one entry that are remembered.
const maxReturns = 4096

// Add records that a caller returns at a time.
func (r *Returns) Add(now, at time.Duration) {
	kept := r.at[:0]
	for _, t := range r.at {
		if t > now {
			kept = append(kept, t)
		}
	}
	r.at = kept
	if len(r.at) < maxReturns {
		r.at = append(r.at, at)
	}
}

// Steps returns the number of callers that return within each ReturnStep from now.
func (r *Returns) Steps(now time.Duration) [ReturnSteps]int {
	var steps [ReturnSteps]int
	for _, t := range r.at {
		if step := int((t - now) / ReturnStep); t > now && step < ReturnSteps {
			steps[step]++
		}
	}
	return steps
}
