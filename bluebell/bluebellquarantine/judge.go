package bluebellquarantine

import (
	"slices"
	"time"
)

const (
	// Strikes is the number of crashes at different moments that convict a subject.
	Strikes = 3
	// doubtFactor multiplies Strikes while most crashes have other causes, and while another call was
	// there at each of them.
	doubtFactor = 2
	// EvidenceRetention is how long a crash counts.
	EvidenceRetention = 5 * time.Minute
)

// Record is what is known of an earlier verdict on a subject.
type Record struct {
	// Active is set while the verdict is in force.
	Active bool
	// Since is when the verdict was agreed on.
	Since time.Duration
	// EndedAt is when the verdict ended, 0 if it has not. Crashes before it are no longer evidence.
	EndedAt time.Duration
	// Lifted is set if it ended before its term, as wrong.
	Lifted bool
}

// strikes returns the number of crashes that convict a subject with this record.
func (r Record) strikes() int {
	if r.EndedAt != 0 && !r.Lifted {
		return 1
	}
	return Strikes
}

// Charge is the evidence against the strongest suspect, for logs.
type Charge struct {
	Subject
	// Crashes is the number of crashes that no convicted subject explains, and Counted that of those
	// at different moments. Needed is how many convict the subject.
	Crashes, Counted, Needed int
	// Others is the number of moments at which endpoints crashed in the same time.
	Others int
	// Rivals is the number of other calls that were there at each of the crashes.
	Rivals int
}

// Judge returns the subjects to convict. History holds the records of earlier verdicts by key.
func Judge(suspects []Suspect, history map[Key]Record) []Subject {
	convicted, _ := Weigh(suspects, history)
	return convicted
}

// Weigh returns the subjects to convict, as Judge, and the charge against the strongest suspect of the
// others, which is zero if there is none.
func Weigh(suspects []Suspect, history map[Key]Record) ([]Subject, Charge) {
	all := allCrashes(suspects)
	open := make([]Suspect, 0, len(suspects))
	var known explanation
	for _, s := range suspects {
		r := history[s.Key]
		if r.Active {
			known = known.with(s)
			continue
		}
		open = append(open, s.withoutCrashes(func(c Crash) bool { return r.EndedAt != 0 && c.At <= r.EndedAt }))
	}
	var convicted []Subject
	for {
		left := make([]Suspect, len(open))
		for i, s := range open {
			left[i] = known.unexplained(s)
		}
		best := strongest(left)
		if best < 0 {
			return convicted, Charge{}
		}
		rivals := rivals(left, best)
		charge := charge(left[best], history[left[best].Key], all, len(rivals))
		if charge.Counted == 0 || charge.Counted < charge.Needed {
			return convicted, charge
		}
		guilty := append(rivals, best)
		slices.Sort(guilty)
		for _, i := range slices.Backward(guilty) {
			convicted = append(convicted, open[i].Subject)
			known = known.with(open[i])
			open = slices.Delete(open, i, i+1)
		}
	}
}

// rivals returns the positions of the other calls that were there at each crash of the one at position
// best. The crashes do not tell which of them is the cause; once endpoints are back, answers do.
func rivals(suspects []Suspect, best int) []int {
	if suspects[best].Depth != CallDepth {
		return nil
	}
	var list []int
	for i, s := range suspects {
		missing := func(c Crash) bool { return !slices.ContainsFunc(s.Crashes, c.same) }
		if i != best && s.Depth == CallDepth && len(s.Crashes) > 0 && !slices.ContainsFunc(suspects[best].Crashes, missing) {
			list = append(list, i)
		}
	}
	return list
}

// explanation holds the crashes of convicted subjects.
type explanation struct{ byBlocks, byCalls []Crash }

// with returns the explanation with the crashes of one more convicted subject.
func (e explanation) with(s Suspect) explanation {
	if s.Depth == CallDepth {
		e.byCalls = append(slices.Clip(e.byCalls), s.Crashes...)
	} else {
		e.byBlocks = append(slices.Clip(e.byBlocks), s.Crashes...)
	}
	return e
}

// unexplained returns the suspect without the explained crashes. Crashes of a convicted call count
// against a block of it again once another call with that block has crashed an endpoint, and none has
// been answered in between.
func (e explanation) unexplained(s Suspect) Suspect {
	s = s.withoutCrashes(func(c Crash) bool { return slices.ContainsFunc(e.byBlocks, c.same) })
	rest := s.withoutCrashes(func(c Crash) bool { return slices.ContainsFunc(e.byCalls, c.same) })
	if s.Depth != CallDepth && len(rest.Crashes) > 0 {
		return s
	}
	return rest
}

// strongest returns the position of the suspect with the most crashes, and of those the most
// specific one; -1 if there is none.
func strongest(suspects []Suspect) int {
	best := -1
	for i, s := range suspects {
		if best < 0 {
			best = i
			continue
		}
		have, than := moments(s.Crashes), moments(suspects[best].Crashes)
		if have > than || have == than && s.Depth > suspects[best].Depth {
			best = i
		}
	}
	return best
}

// charge returns the evidence against a suspect, given the crashes of all suspects and the number of
// rivals.
func charge(s Suspect, r Record, all []Crash, rivals int) Charge {
	c := Charge{Subject: s.Subject, Crashes: len(s.Crashes), Counted: moments(s.Crashes), Needed: r.strikes(), Rivals: rivals}
	if c.Counted == 0 {
		return c
	}
	since := s.Crashes[0].At
	c.Others = moments(slices.DeleteFunc(slices.Clone(all), func(c Crash) bool { return c.At < since-sameMoment }))
	if 2*c.Counted < c.Others || rivals > 0 {
		c.Needed = max(doubtFactor*c.Needed, Strikes)
	}
	return c
}

// allCrashes returns the crashes of all suspects, ordered by time and each once.
func allCrashes(suspects []Suspect) []Crash {
	var all []Crash
	for _, s := range suspects {
		for _, c := range s.Crashes {
			if !slices.ContainsFunc(all, c.same) {
				all = append(all, c)
			}
		}
	}
	slices.SortFunc(all, func(a, b Crash) int { return int(a.At - b.At) })
	return all
}
