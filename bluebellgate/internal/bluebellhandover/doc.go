// Package bluebellhandover has what two entries need to hand a call over: an entry that can reach no
// endpoint of a target, the origin, has another one, the helper, run the call.
//
// The origin keeps the caller, the deadline, the attempts and the retry budget. A call that is handed
// over is one attempt of the origin: the helper sends it to another endpoint only if the first did not
// run it, and hands it over to nobody. Offers and results are headers of a call and its answer on
// authenticated connections between entries. They reach neither callers nor endpoints, and callers
// cannot set them.
//
// # Usage
//
// The origin:
//
//	helper, ok := helpers.Pick(target, asked, nil)
//	offer.Encode(header)
//	result, err := bluebellhandover.DecodeResult(answerHeader)
//
// The helper:
//
//	offer, err := bluebellhandover.DecodeOffer(header)
//	bluebellhandover.Strip(header)
//	result.Encode(answerHeader)
package bluebellhandover
