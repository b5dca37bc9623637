// Package bluebellpressure decides which calls are refused at once because their answers cannot begin in
// time, and when their callers may return.
//
// It serves targets whose calls are ranked by urgency, under loads in which more prompts arrive than the
// engines can read: 79 to 98 entries with 2 to 4 prompts a second each, in front of 60 engines that have
// lost a quarter of their number, or at the crest of a wave. An entry sees few calls, so it cannot tell
// from its own queue that a call will get no place. It held such a call for half of its objective, refused
// it then, and sent it away for a time unrelated to when there would be room.
//
// # Pressure
//
// Pressure is the time in which all usable engines together read what is ahead of a call: the unread
// prompts at the engines, and those that wait at all entries and are as urgent or more. It is an
// estimate of the time until the call's own prompt is read: the engines are never equally busy, and a
// prompt counts as unread until its first event. A call for which it is too long is refused. The sums of other entries are some hundred milliseconds old, and all
// entries see the same ones. Each therefore refuses only the excess, by chance: if all refused, and then
// all admitted, the engines would be idle and overloaded in turn. The waiting calls of the entry itself
// are counted as they are.
//
// # Return
//
// A refused caller returns after the time in which what is ahead is read, spread over the steps of 0.1 s
// for which the fewest other callers have been told to return. Returning callers present nothing that
// identifies them, and return at any entry. No place is kept for a particular one: the number of those
// due is known at all entries, and those who are sent away later return after them.
//
// # Usage
//
//	state := bluebellpressure.State{Engines: 60, Rate: 3_600_000, Unread: unread, Demand: waiting}
//	if refusal, refused := state.Refuse(call, random); refused {
//		after := state.ReturnAfter(call, random)
//	}
package bluebellpressure
