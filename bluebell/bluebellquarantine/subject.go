package bluebellquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Key identifies a subject: the first bytes of a SHA-256, so that callers cannot easily make a call
// with the key of another's block.
type Key uint64

// String returns the key as 16 hexadecimal digits.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// ParseKey parses the result of Key.String.
func ParseKey(text string) (Key, error) {
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("key %q is not 16 hexadecimal digits", text)
	}
	return Key(k), nil
}

// CallDepth is the depth of a whole call, which is more specific than any of its blocks.
const CallDepth = 1 << 16

// Subject is a part of calls that may crash endpoints.
type Subject struct {
	Key Key
	// Depth orders the subjects of a call from general to specific: the position of a block in
	// the prompt, or CallDepth.
	Depth int
}

// Block returns the subject of a block at a position of a model's prompts.
func Block(model, id string, position int) Subject {
	return Subject{Key: digest("block", []byte(model), []byte(id)), Depth: position}
}

// Call returns the subject of all calls of a customer with the same URI, blocks and body.
func Call(customer, host, uri string, blocks []string, body []byte) Subject {
	parts := [][]byte{[]byte(customer), []byte(host), []byte(uri), body}
	for _, id := range blocks {
		parts = append(parts, []byte(id))
	}
	return Subject{Key: digest("call", parts...), Depth: CallDepth}
}

func digest(kind string, parts ...[]byte) Key {
	h := sha256.New()
	h.Write([]byte(kind))
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Crash is the crash of one incarnation of an endpoint.
type Crash struct {
	// Endpoint identifies the incarnation.
	Endpoint uint64
	At       time.Duration
	// AliveAt is when the endpoint was last known to be alive before, 0 if unknown.
	AliveAt time.Duration
}

const (
	// sameCrash is within what time reports of one endpoint are about the same crash. A restart
	// takes longer.
	sameCrash = time.Second
	// sameMoment is within what time crashes of different endpoints may have one cause, unless it is
	// known that one of them was alive after the crash of the other.
	sameMoment = 250 * time.Millisecond
	// maxCrashes bounds the crashes that are kept for a subject.
	maxCrashes = 12
)

// Suspect is a subject with the evidence against and for it.
type Suspect struct {
	Subject
	// Crashes are ordered by time.
	Crashes []Crash
	// ServedAt is when a call with the subject was last known to be answered completely, 0 if
	// never. Times from before the start of this process are negative.
	ServedAt time.Duration
}

// withCrash returns the suspect with one more crash. Of two reports of the same crash it keeps the
// tightest bounds.
func (s Suspect) withCrash(c Crash) Suspect {
	if s.ServedAt != 0 && c.At <= s.ServedAt {
		return s
	}
	s.Crashes = slices.Clone(s.Crashes)
	if i := slices.IndexFunc(s.Crashes, c.same); i >= 0 {
		s.Crashes[i] = s.Crashes[i].with(c)
		return s
	}
	s.Crashes = append(s.Crashes, c)
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return int(a.At - b.At) })
	s.Crashes = s.Crashes[max(len(s.Crashes)-maxCrashes, 0):]
	return s
}

// withServed returns the suspect without the crashes before an answer.
func (s Suspect) withServed(at time.Duration) Suspect {
	switch {
	case at == 0:
		return s
	case s.ServedAt == 0 || at > s.ServedAt:
		s.ServedAt = at
	}
	return s.withoutCrashes(func(c Crash) bool { return c.At <= s.ServedAt })
}

// withoutCrashes returns the suspect without the crashes for which drop returns true.
func (s Suspect) withoutCrashes(drop func(Crash) bool) Suspect {
	s.Crashes = slices.DeleteFunc(slices.Clone(s.Crashes), drop)
	return s
}

// same reports whether two reports are about the same crash.
func (c Crash) same(other Crash) bool {
	return c.Endpoint == other.Endpoint && (c.At-other.At).Abs() < sameCrash
}

// with returns the crash with what another report of it says.
func (c Crash) with(other Crash) Crash {
	c.At = min(c.At, other.At)
	if c.AliveAt == 0 || other.AliveAt != 0 && other.AliveAt > c.AliveAt {
		c.AliveAt = other.AliveAt
	}
	return c
}

// moments returns the number of crashes that cannot have one cause: they lie at least sameMoment apart, or
// the endpoint of the later one was alive after the earlier one. The crashes must be ordered by time.
func moments(crashes []Crash) int {
	count, last := 0, time.Duration(0)
	for _, c := range crashes {
		if count == 0 || c.At-last >= sameMoment || c.AliveAt != 0 && c.AliveAt >= last {
			count, last = count+1, c.At
		}
	}
	return count
}
