package bluebelloverload

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

// Load files are JSON with comments. They allow a load that occurred once to be replayed. The
// names of the fields of Load, CallKind and Fault are the keys of these files.

// Seconds is a duration in a load file.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Load describes a deployment, the calls that it gets and the faults that it suffers.
type Load struct {
	// Entries, Engines and Stores are the numbers of entry processes, of model endpoints and of
	// cache stores.
	Entries, Engines, Stores int
	// Domains is the number of failure domains.
	Domains int
	// EngineRoom and StoreRoom are the sizes of one engine and of one store in tokens.
	EngineRoom, StoreRoom int
	// StoreBytesPerSecond is the speed of a store's link.
	StoreBytesPerSecond float64
	// Duration is the time in which calls arrive.
	Duration Seconds
	// RanksByUrgency is set if the calls are ranked by the urgency of their kinds.
	RanksByUrgency bool
	Kinds          []CallKind
	Troubles       []Fault
}

// CallKind describes calls with prompts of one shape.
type CallKind struct {
	Name string
	// PerSecond is the mean number of calls per second of all callers together.
	PerSecond float64
	// Subjects is the number of subjects. Calls about the same subject have the first
	// SharedTokens of their prompts in common.
	Subjects int
	// OwnTokens is the size of the rest of the prompt, and OutputTokens that of the answer.
	SharedTokens, OwnTokens, OutputTokens int
	// Objective is the time by which the first event of the answer is wanted, and Deadline the
	// time after which the caller gives up. Both count from the call's arrival.
	Objective, Deadline Seconds
	// Priority orders kinds; 0 is the most urgent.
	Priority int
	// Resumable is set if a call may be sent again after an engine may have begun it.
	Resumable bool
}

// Fault is a fault of a part of the deployment, or a burst of calls.
type Fault struct {
	// What is Dark (engines become silent), SlowStores (fetches from stores take Factor times
	// as long), Emptied (stores lose their blocks), Cut (the first failure domain is cut off
	// from the others) or Burst (Factor times the calls).
	What string
	// At is the time of the start after the first calls. For is the duration; the fault stays
	// if it is 0.
	At  Seconds
	For Seconds
	// Share is the share of engines or stores that are affected.
	Share  float64
	Factor float64
}

// The values of Fault.What.
const (
	Dark       = "Dark"
	SlowStores = "SlowStores"
	Emptied    = "Emptied"
	Cut        = "Cut"
	Burst      = "Burst"
)

// ReadLoad reads and checks a load file.
func ReadLoad(path string) (Load, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Load{}, err
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return Load{}, fmt.Errorf("%s: %w", path, err)
	}
	var l Load
	if err := json.Unmarshal(plain, &l); err != nil {
		return Load{}, fmt.Errorf("%s: %w", path, err)
	}
	return l, l.check(path)
}

func (l Load) check(path string) error {
	if min(l.Entries, l.Engines, l.Domains, l.EngineRoom) <= 0 || l.Duration <= 0 || len(l.Kinds) == 0 {
		return fmt.Errorf("%s: Entries, Engines, Domains, EngineRoom and Duration must be positive, and Kinds must not be empty", path)
	}
	for _, k := range l.Kinds {
		if k.PerSecond <= 0 || k.Subjects <= 0 || k.Objective <= 0 || k.Deadline < k.Objective {
			return fmt.Errorf("%s: kind %q: PerSecond, Subjects and Objective must be positive, and Deadline at least Objective", path, k.Name)
		}
	}
	for _, t := range l.Troubles {
		switch t.What {
		case Dark, SlowStores, Emptied, Cut, Burst:
		default:
			return fmt.Errorf("%s: unknown value %q of What in Troubles", path, t.What)
		}
	}
	return nil
}

// ranks returns the ranks of the kinds, the most urgent first, if calls are ranked by urgency.
func (l Load) ranks() []bluebellplacement.Rank {
	if !l.RanksByUrgency {
		return nil
	}
	objectives := map[int]time.Duration{}
	for _, k := range l.Kinds {
		if o, known := objectives[k.Priority]; !known || k.Objective.Duration() < o {
			objectives[k.Priority] = k.Objective.Duration()
		}
	}
	var ranks []bluebellplacement.Rank
	for _, p := range slices.Sorted(maps.Keys(objectives)) {
		ranks = append(ranks, bluebellplacement.Rank{Priority: p, Objective: objectives[p]})
	}
	return ranks
}

// urgency returns the place of a priority among the ranks.
func (l Load) urgency(priority int) bluebellqueue.Urgency {
	ranks := l.ranks()
	switch {
	case len(ranks) < 2:
		return bluebellqueue.Unranked
	case priority < ranks[len(ranks)-1].Priority:
		return bluebellqueue.Urgent
	}
	return bluebellqueue.Lenient
}

// ScaleCalls returns a copy of the load with PerSecond of all kinds multiplied by factor.
func (l Load) ScaleCalls(factor float64) Load {
	kinds := make([]CallKind, len(l.Kinds))
	for i, k := range l.Kinds {
		k.PerSecond *= factor
		kinds[i] = k
	}
	l.Kinds = kinds
	return l
}
