package bluebellscale

import "time"

const (
	// memoryShare is the share of an engine's memory that running calls may fill before entries hold calls back,
	// which are then placed only where their prompt has its home.
	memoryShare = 0.6
	// readingShare and slotShare are the shares of an endpoint's time and slots beyond which calls wait although
	// other endpoints are free.
	readingShare = 0.8
	slotShare    = 0.8
	// readOverhead is the time for which a call counts as unread although its engine does not read it: the network,
	// a step of the engine and the age of reports. Where prompts are mostly cached, it is several times as long as
	// the reading: by calculation, 400 calls a second make a third of 60 engines seem busy that read a tenth of the time.
	readOverhead = 30 * time.Millisecond
)

// Capacity is what one endpoint of a target can hold. A field that is 0 is unknown.
type Capacity struct {
	// Tokens is the memory of an engine, in tokens, and Slots the number of calls that an endpoint runs at once.
	Tokens, Slots int
	// ReadRate is the number of prompt tokens that an engine reads per second.
	ReadRate float64
	// ReadsPrompts is set for engines, which are busy while they have prompt tokens to read.
	ReadsPrompts bool
}

// EndpointLoad is the load of one endpoint that all entries together have sent.
type EndpointLoad struct {
	Calls int
	// Tokens is the memory that the calls take, Unread the prompt tokens that are not known to have been read.
	Tokens, Unread int
}

// Backlog is what has no endpoint yet, at all entries together.
type Backlog struct {
	// Waiting is the number of calls that wait at entries, and Returning that of calls that were refused and
	// told to return.
	Waiting, Returning int
	// WaitingTokens are the prompt tokens of the waiting calls.
	WaitingTokens int
}

// Load is the demand for a target, in endpoints that it would use fully.
type Load struct {
	// Memory, Slots and Reading are the demand for each resource. Demand is the largest.
	Memory, Slots, Reading float64
	// Calls is the number of calls in progress, and Backlog what has no endpoint.
	Calls   int
	Backlog Backlog
	// Known is set if the capacity of an endpoint is known. Otherwise the demand is 0.
	Known bool
}

// Measure returns the demand that the endpoints of a target and the calls without an endpoint make.
//
// The time for which engines read prompts is estimated by the number of engines that have unread tokens at the
// moment. It grows in proportion to the load, while the number of unread tokens grows without bound when engines
// approach their limit and would say nothing about a smaller number of engines. Where ReadRate is known, an engine
// counts for the share of the time that it reads.
func Measure(c Capacity, endpoints []EndpointLoad, b Backlog) Load {
	load := Load{Backlog: b, Known: c.Tokens > 0 || c.Slots > 0 || c.ReadsPrompts}
	tokens, busy := 0, 0.0
	for _, e := range endpoints {
		load.Calls += e.Calls
		tokens += e.Tokens
		if e.Unread > 0 {
			busy += c.readingTime(e.Unread)
		}
	}
	if c.ReadsPrompts {
		load.Reading = busy / readingShare
	}
	if c.Slots > 0 {
		load.Slots = float64(load.Calls+b.Waiting+b.Returning) / (slotShare * float64(c.Slots))
	}
	if c.Tokens > 0 {
		if load.Calls > 0 {
			// Refused calls need as much memory as the others on average.
			tokens += b.Returning * tokens / load.Calls
		}
		load.Memory = float64(tokens+b.WaitingTokens) / (memoryShare * float64(c.Tokens))
	}
	return load
}

// readingTime returns the share of the time that an engine reads for which it has a number of unread tokens.
func (c Capacity) readingTime(unread int) float64 {
	if c.ReadRate <= 0 {
		return 1
	}
	work := float64(unread) / c.ReadRate
	return work / (work + readOverhead.Seconds())
}

// Demand is the number of endpoints that the load would use fully.
func (l Load) Demand() float64 { return max(l.Memory, l.Slots, l.Reading) }

// Plus returns the sum of two loads, of which Over makes the mean.
func (l Load) Plus(other Load) Load {
	l.Memory += other.Memory
	l.Slots += other.Slots
	l.Reading += other.Reading
	l.Calls += other.Calls
	l.Backlog.Waiting += other.Backlog.Waiting
	l.Backlog.Returning += other.Backlog.Returning
	l.Backlog.WaitingTokens += other.Backlog.WaitingTokens
	l.Known = l.Known || other.Known
	return l
}

// Over returns the load divided by the number of loads that were added up, which must be positive.
func (l Load) Over(n int) Load {
	l.Memory /= float64(n)
	l.Slots /= float64(n)
	l.Reading /= float64(n)
	l.Calls /= n
	l.Backlog.Waiting /= n
	l.Backlog.Returning /= n
	l.Backlog.WaitingTokens /= n
	return l
}

const (
	// pressedShare of the calls in progress must wait or have been refused for a target to count as short of
	// endpoints, and at least minPressed: single calls are also refused for other reasons, such as a limit that
	// an endpoint names.
	pressedShare = 0.02
	minPressed   = 2
)

// Pressed reports whether calls are refused or wait in a number that shows a lack of endpoints.
func (l Load) Pressed() bool {
	stuck := l.Backlog.Waiting + l.Backlog.Returning
	return stuck >= minPressed && float64(stuck) > pressedShare*float64(l.Calls)
}
