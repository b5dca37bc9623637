package bluebellrelay

import "strconv"

// eventOrder is the place in a stream behind the events that its caller has received.
type eventOrder struct {
	// last is the ID of the last event, "" if there was none.
	last string
	// direct counts the events whose number directly followed that of the one before. gaps is set
	// once a number did not.
	direct int
	gaps   bool
}

// eventPlace says how an event continues a stream.
type eventPlace int

const (
	// eventFollows is an event behind the last one.
	eventFollows eventPlace = iota
	// eventRepeated is the last event once more.
	eventRepeated
	// eventMisplaced is an event of another place in the stream.
	eventMisplaced
)

// With returns the order after another event, whose ID may be "".
func (o eventOrder) With(id string) eventOrder {
	if id == "" {
		return o
	}
	if o.last != "" {
		if difference, ok := idDifference(o.last, id); ok && difference == 1 {
			o.direct++
		} else {
			o.gaps = true
		}
	}
	o.last = id
	return o
}

// place returns how an event of the same run continues the stream.
func (o eventOrder) place(id string) eventPlace {
	difference, numbers := idDifference(o.last, id)
	switch {
	case o.last == "" || id == "":
		return eventFollows
	case o.last == id:
		return eventRepeated
	case numbers && difference < 0:
		return eventMisplaced
	}
	return eventFollows
}

// placeOfFirst returns how the first event of another run continues the stream. If all numbers have
// directly followed each other, that of this event has to do so as well.
func (o eventOrder) placeOfFirst(id string) eventPlace {
	difference, numbers := idDifference(o.last, id)
	switch {
	case id == "" || o.place(id) != eventFollows:
		return eventMisplaced
	case numbers && o.direct > 0 && !o.gaps && difference != 1:
		return eventMisplaced
	}
	return eventFollows
}

// idDifference returns by how much the ID b exceeds a, and whether both are numbers.
func idDifference(a, b string) (int64, bool) {
	numberA, errA := strconv.ParseInt(a, 10, 64)
	numberB, errB := strconv.ParseInt(b, 10, 64)
	if errA != nil || errB != nil || numberA < 0 || numberB < 0 {
		return 0, false
	}
	return numberB - numberA, true
}
