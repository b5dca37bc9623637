package bluebelloverload

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Load patterns are files in JSON with comments, so that a load that was met once can be
// replayed.

// Seconds is a time in a load file.
type Seconds float64

// Duration returns the time.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Load is a deployment and what happens to it.
type Load struct {
	Entries, Engines, Stores int
	// Domains is the number of failure domains.
	Domains int
	// Room of one engine and one store, in tokens.
	EngineRoom, StoreRoom int
	// StoreBytesPerSecond is the speed of a store's link.
	StoreBytesPerSecond float64
	Duration            Seconds
	Kinds               []Kind
	Troubles            []Trouble
}

// Kind is one kind of prompt.
type Kind struct {
	Name string
	// PerSecond calls of all callers.
	PerSecond float64
	// Subjects share SharedTokens with the calls about the same subject.
	Subjects                              int
	SharedTokens, OwnTokens, OutputTokens int
	Objective, Deadline                   Seconds
	// Priority ranks kinds, 0 first.
	Priority int
	// Resumable calls may be sent again after they have begun.
	Resumable bool
}

// Trouble is something that happens to a part of the deployment.
type Trouble struct {
	// What is Dark (engines go silent), SlowStores (links slow down by Factor), Emptied
	// (stores lose what they hold), Cut (the first failure domain is cut off from the others)
	// or Burst (Factor times the calls).
	What   string
	At     Seconds
	For    Seconds
	Share  float64
	Factor float64
}

// The kinds of trouble.
const (
	Dark       = "Dark"
	SlowStores = "SlowStores"
	Emptied    = "Emptied"
	Cut        = "Cut"
	Burst      = "Burst"
)

// ReadLoad reads a load pattern from a file.
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
		return fmt.Errorf("%s: entries, engines, domains, room, a duration and a kind of call are needed", path)
	}
	for _, k := range l.Kinds {
		if k.PerSecond <= 0 || k.Subjects <= 0 || k.Objective <= 0 || k.Deadline < k.Objective {
			return fmt.Errorf("%s: kind %q: calls, subjects, and an objective within its deadline are needed", path, k.Name)
		}
	}
	for _, t := range l.Troubles {
		switch t.What {
		case Dark, SlowStores, Emptied, Cut, Burst:
		default:
			return fmt.Errorf("%s: trouble %q is not known", path, t.What)
		}
	}
	return nil
}

// Times returns the load with the calls of all kinds multiplied.
func (l Load) Times(factor float64) Load {
	kinds := make([]Kind, len(l.Kinds))
	for i, k := range l.Kinds {
		k.PerSecond *= factor
		kinds[i] = k
	}
	l.Kinds = kinds
	return l
}
