// Package bluebellplacement decides which endpoint of a target runs a call.
//
// A Placer has no clock, goroutine or socket. It is told which endpoints there
// are and what happened to calls, and picks one for each call.
//
// # Choice
//
// Endpoints that run models are compared by the expected time to the first event:
// the tokens of the prompt that are missing there, and the tokens that all entries
// have sent and that are still being read. An engine gets no more calls than leave
// a part of its memory to cached blocks. A prompt's home is the first endpoint in rendezvous order of its
// last shared block, so entries agree on it without a message; a prompt goes
// elsewhere when its home would be slower although it has the prompt's blocks.
// Endpoints of plain services are compared by what is running there.
//
// # Health
//
// An endpoint that breaks off or refuses connections is left alone for a while,
// then tried with one call. One that keeps failing or stays silent more often than
// others is left alone as well. Registrations that have stopped count as a doubt,
// not as proof: an endpoint that answers keeps its work.
//
// # Cold endpoints
//
// A cold endpoint bears few calls a second, from all entries together. As many
// entries as it bears calls send to it, chosen by rendezvous order, each at an
// equal rate. After a break an endpoint counts as cold until it has said
// otherwise, since it may have been started again.
//
// # Usage
//
//	placer := bluebellplacement.New(bluebellplacement.Config{Self: address})
//	placer.Update(bluebellplacement.Fleet{...})
//	choice, why := placer.Pick(now, bluebellplacement.Request{...})
//	placer.Sent(choice, now)
//	placer.FirstEvent(choice, now)
//	placer.Done(choice, now, bluebellplacement.Answered)
package bluebellplacement
