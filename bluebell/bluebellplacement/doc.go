// Package bluebellplacement decides which endpoint of a target runs a call. A target is a
// group of endpoints that calls are addressed to; its endpoints run models (engines) or a
// plain service.
//
// A Placer has no clock, goroutine or socket. Its caller passes in the registered endpoints
// and the outcomes of calls, and asks it to pick an endpoint for each call. Each entry, a
// process that accepts calls, has its own Placer.
//
// # Choice
//
// Engines are compared by the expected time to the first event. It depends on the tokens of
// the prompt that the engine has not cached, and on the tokens that all entries have sent to
// it and that are still being processed. An engine gets only so many calls that a part of
// its memory remains for cached blocks. A prompt's home is the first endpoint in rendezvous
// order of its last shared block, so entries agree on it without exchanging messages. A
// prompt is sent elsewhere if its home would be slower although it has the prompt's blocks.
// Endpoints of plain services are compared by their calls in flight.
//
// # Ranks of calls
//
// Where the calls of a target are ranked by urgency (Fleet.Ranks), less urgent ones leave a part of
// each engine's memory free for more urgent ones, and are sent to no engine whose unread prompts would
// then delay these beyond a part of their objective. The unread tokens are reported by priority.
//
// # Predictions
//
// The speed of the engines is estimated from the calls that found an engine without unread
// tokens, for the target and, by corrections that entries share, for each engine. The time to
// the first event is predicted from the expected one by a regression over recent calls. An
// engine is not picked if the predicted answer would come too late, with twice the prediction
// for engines that are not homes of the prompt. Without answers a slowdown is forgotten within
// seconds.
//
// # Load reports
//
// Where endpoints report their load in their answers, entries exchange the latest reports. A
// report raises the expected time, at most to that of a full endpoint, and counts for a second.
// Calls of plain services are then spread by the share of slots that is free of calls which no
// entry has sent.
//
// # Health
//
// An endpoint that resets or refuses connections gets no calls during a back-off, then one
// call as a probe. An endpoint that fails or times out too often is treated in the same way.
// If its registrations stop, an endpoint is suspect but not considered down: one that
// answers calls keeps getting them.
//
// # Cold endpoints
//
// A cold endpoint is one that was started recently and can handle only a few calls per
// second from all entries together. The number of entries that send to it is limited so that
// the calls stay within that rate; they are chosen by rendezvous order and send at equal
// rates. After a failed connection an endpoint counts as cold for a while unless it registers
// as warm, since it may have been restarted.
//
// # Limited endpoints
//
// An endpoint in need names in its answers how many calls a second it takes from all entries. The
// entries report the latest that any of them has heard, and as many of them share the limit as can
// send a call at once without exceeding it. They take turns. An endpoint that names no limit in its
// latest answer, or that has started again, has none; one that names very little still gets a call
// every two seconds, from whose answer the end of the limit is known.
//
// # Brittle endpoints
//
// A brittle endpoint crashes if it turns away more than a number of calls in a second for want of room,
// and says so in its answers. What entries know of each other's calls is too old to prevent that, so its
// slots are divided among the entries, which report to each other whether it is brittle. With more
// entries than slots, some have no share; they are told which entries have one. An entry whose call was
// turned away pauses, so long that all entries together keep within the number, and then returns
// gradually.
//
// # Leaving endpoints
//
// An endpoint that is about to stop states in its answers that it leaves. From then on the entry that
// got the answer sends that incarnation no more calls, whatever later answers and registrations say.
//
// # Pauses
//
// An endpoint that turns a call away may state for how long it wants no calls from this entry. It gets
// none until then. Entries return to it at different times, each with few calls first. A pause of more
// than ten minutes is shortened to that twice for an incarnation, since it may have been named by
// mistake.
//
// # Usage
//
//	placer := bluebellplacement.New(bluebellplacement.Config{Self: address})
//	placer.Update(bluebellplacement.Fleet{...})
//	choice, result := placer.Pick(now, bluebellplacement.Request{...})
//	placer.Sent(&choice, now)
//	placer.FirstEvent(choice, now)
//	placer.Done(choice, now, bluebellplacement.Answered)
package bluebellplacement
